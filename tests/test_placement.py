"""Placement: fair order, gangs, reservations, preemption, and its rules."""

from typing import Any

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mulberryhitch.errors import InvariantError
from mulberryhitch.placement.model import Placed, Preempted
from mulberryhitch.placement.orders import CapacityShares, TenantShare
from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Kind, Size, Urgency
from tests.data_centre import make_spec

WORKER = Size(4000, 4096, 1)


def a_placement(workers: int = 4, **options: Any) -> PlacementEngine:
    placement = PlacementEngine(PlacementOptions(**options))
    for number in range(workers):
        placement.add_worker(f'w{number}', f'rack-{number % 2}', WORKER)
    return placement


def enqueue(
    placement: PlacementEngine, number: int, now: float = 0, **spec: Any
):
    made = make_spec(number, **spec)
    placement.enqueue(made, range(made.task_count), now)
    return made


def placed(decisions: list[Any]) -> list[tuple[TaskKey, str]]:
    return [
        pair
        for one in decisions
        if isinstance(one, Placed)
        for pair in one.tasks
    ]


def test_a_flood_of_one_tenant_leaves_the_other_its_turn() -> None:
    placement = a_placement()
    enqueue(placement, 1, tenant='flood', task_count=500)
    for _ in range(3):
        placement.decide(100, 0)
    enqueue(placement, 2, tenant='small', task_count=4)
    for task in list(placement.running)[:4]:
        placement.release(task)
    tenants = [
        placement.running[task].spec.tenant
        for task, _ in placed(placement.decide(100, 1))
    ]
    assert tenants == ['small'] * 4


@pytest.mark.parametrize(
    ('flooding', 'other'),
    [
        (Urgency.deferrable, Urgency.urgent),
        (Urgency.urgent, Urgency.deferrable),
    ],
)
def test_no_class_is_starved_by_a_flood_of_another(
    flooding: Urgency, other: Urgency
) -> None:
    placement = a_placement()
    enqueue(placement, 1, urgency=flooding, task_count=2000)
    enqueue(placement, 2, urgency=other, task_count=2000)
    held = {flooding: 0, other: 0}
    for _ in range(60):
        for task, _ in placed(placement.decide(100, 0)):
            held[placement.running[task].spec.urgency] += 1
        for task in list(placement.running)[:4]:
            placement.release(task)
    assert held[other] >= sum(held.values()) / 11 * 0.8


def test_a_gang_starts_whole_or_not_at_all() -> None:
    placement = a_placement(workers=2)
    enqueue(placement, 1, task_count=1, size=Size(4000, 1))
    placement.decide(10, 0)
    enqueue(placement, 2, kind=Kind.gang, task_count=5, size=Size(1000, 1))
    assert not placed(placement.decide(10, 1))
    placement.release(TaskKey('home.1', 0))
    assert len(placed(placement.decide(10, 2))) == 5


def test_two_gangs_that_each_could_hold_half_do_not_deadlock() -> None:
    placement = a_placement(workers=2, reserve_after_seconds=1)
    enqueue(placement, 1, task_count=8, size=Size(1000, 1))
    placement.decide(10, 0)
    for number in (2, 3):
        enqueue(
            placement, number, kind=Kind.gang, task_count=8, size=Size(1000, 1)
        )
    started: list[str] = []
    for second in range(1, 40):
        for task in list(placement.running)[:1]:
            placement.release(task)
        for task, _ in placed(placement.decide(10, second)):
            if task.workload_id not in started:
                started.append(task.workload_id)
    assert sorted(started) == ['home.2', 'home.3']


def test_backfill_does_not_delay_the_reserved_gang() -> None:
    placement = a_placement(workers=2, reserve_after_seconds=1)
    enqueue(placement, 1, task_count=8, size=Size(1000, 1))
    placement.decide(10, 0)
    enqueue(placement, 2, kind=Kind.gang, task_count=8, size=Size(1000, 1))
    enqueue(placement, 3, tenant='other', task_count=50, size=Size(1000, 1))
    enqueue(
        placement,
        4,
        tenant='third',
        task_count=50,
        size=Size(1000, 1),
        restartable=True,
    )
    for second in range(1, 20):
        first = [t for t in placement.running if t.workload_id == 'home.1']
        if second > 5 and first:
            placement.release(first[0])
        for decision in placement.decide(10, second):
            if isinstance(decision, Preempted):
                placement.release(decision.task)
    ran = {task.workload_id for task in placement.running}
    assert 'home.2' in ran
    assert 'home.3' not in ran


def test_urgent_work_preempts_only_what_may_run_again() -> None:
    placement = a_placement(workers=2)
    enqueue(placement, 1, task_count=4)
    placement.decide(10, 0)
    enqueue(placement, 2, task_count=4, restartable=True)
    placement.decide(10, 0)
    enqueue(placement, 3, urgency=Urgency.urgent, now=1)
    assert not placed(placement.decide(10, 1))
    chosen = [
        one for one in placement.decide(10, 3) if isinstance(one, Preempted)
    ]
    assert [one.task.workload_id for one in chosen] == ['home.2']
    placement.release(chosen[0].task)
    tasks = placed(placement.decide(10, 4))
    assert [task.workload_id for task, _ in tasks] == ['home.3']


def test_a_preemption_storm_is_limited_in_rate() -> None:
    placement = a_placement(workers=8, preemptions_per_minute=6)
    enqueue(placement, 1, task_count=32, restartable=True)
    placement.decide(100, 0)
    enqueue(placement, 2, urgency=Urgency.urgent, task_count=500)
    preempted = 0
    for second in range(1, 61):
        for decision in placement.decide(100, second):
            if isinstance(decision, Preempted):
                preempted += 1
                placement.release(decision.task)
    assert 0 < preempted <= 12


def test_services_are_spread_over_racks_and_batch_is_packed() -> None:
    placement = a_placement(workers=4)
    enqueue(placement, 1, kind=Kind.service, task_count=4)
    workers = [worker for _, worker in placed(placement.decide(10, 0))]
    racks = [placement.pool.worker(worker).rack for worker in workers]
    assert sorted(racks) == ['rack-0', 'rack-0', 'rack-1', 'rack-1']
    packed = a_placement(workers=4)
    enqueue(packed, 2, task_count=4)
    assert len({worker for _, worker in placed(packed.decide(10, 0))}) == 1


def test_a_large_job_among_small_ones_gets_its_turn() -> None:
    placement = a_placement(workers=2, reserve_after_seconds=5)
    for number in range(2, 200):
        enqueue(placement, number, tenant='small', task_count=1)
    placement.decide(8, 0)
    enqueue(placement, 1, tenant='large', size=Size(4000, 1))
    for second in range(1, 60):
        placement.release(next(iter(placement.running)))
        placement.decide(10, second)
        if any(t.workload_id == 'home.1' for t in placement.running):
            return
    pytest.fail('the large job starved')


def test_a_quota_bounds_what_a_tenant_holds() -> None:
    totals = CapacityShares(
        tenant_shares={'north': TenantShare(quota=Size(2000, 4096, 0))}
    )
    placement = PlacementEngine(shares=totals)
    placement.add_worker('w', 'r', WORKER)
    enqueue(placement, 1, task_count=4)
    assert len(placed(placement.decide(10, 0))) == 2
    placement.release(TaskKey('home.1', 0))
    assert len(placed(placement.decide(10, 1))) == 1


def test_the_pool_refuses_more_than_a_worker_holds() -> None:
    placement = a_placement(workers=1)
    with pytest.raises(InvariantError):
        placement.pool.allocate('w0', Size(5000, 1))
    with pytest.raises(InvariantError):
        placement.pool.release('w0', Size(1, 1))


class PlacementRuns(RuleBasedStateMachine):
    """Random work and faults; the books are kept a second time here."""

    @initialize(order=st.sampled_from(('fair', 'fifo')))
    def begin(self, order: str) -> None:
        self.placement = a_placement(
            workers=3, order=order, reserve_after_seconds=3
        )
        self.now = 0.0
        self.number = 0
        self.where: dict[TaskKey, str] = {}
        self.sizes: dict[TaskKey, Size] = {}

    @rule(
        kind=st.sampled_from(list(Kind)),
        urgency=st.sampled_from(list(Urgency)),
        tenant=st.sampled_from(('north', 'south', 'east')),
        count=st.integers(1, 6),
        cores=st.sampled_from((500, 1000, 2000, 4000)),
        accelerators=st.integers(0, 1),
        restartable=st.booleans(),
    )
    def submit(self, cores: int, accelerators: int, **changes: Any) -> None:
        self.number += 1
        count = changes.pop('count')
        enqueue(
            self.placement,
            self.number,
            self.now,
            task_count=count,
            size=Size(cores, 256, accelerators),
            **changes,
        )

    @rule(limit=st.integers(1, 20), seconds=st.sampled_from((0.1, 1, 5)))
    def decide(self, limit: int, seconds: float) -> None:
        self.now += seconds
        for one in self.placement.decide(limit, self.now):
            if isinstance(one, Preempted):
                assert self.placement.running[one.task].spec.preemptible
                continue
            spec = self.placement.running[one.tasks[0][0]].spec
            if spec.kind is Kind.gang and len(one.tasks) > 1:
                assert len(one.tasks) == spec.task_count
            for task, worker in one.tasks:
                assert task not in self.where
                self.where[task] = worker
                self.sizes[task] = spec.size

    @rule(place=st.integers(0, 30))
    def end(self, place: int) -> None:
        if self.where:
            task = sorted(self.where, key=str)[place % len(self.where)]
            self.placement.release(task)
            del self.where[task]

    @rule(place=st.integers(0, 30))
    def cancel(self, place: int) -> None:
        if self.number:
            self.placement.remove_waiting(f'home.{1 + place % self.number}')

    @rule(place=st.integers(0, 2), is_open=st.booleans())
    def open_worker(self, place: int, is_open: bool) -> None:
        self.placement.set_schedulable(f'w{place}', is_open)

    @invariant()
    def no_worker_is_overcommitted(self) -> None:
        if not hasattr(self, 'placement'):
            return
        for node in self.placement.pool:
            used = Size()
            for task, worker in self.where.items():
                if worker == node.worker_id:
                    used += self.sizes[task]
            assert used.fits(node.capacity)
            assert node.capacity - used == node.free
        assert set(self.where) == set(self.placement.running)

    def teardown(self) -> None:
        """Nothing that fits starves once all else has ended."""
        if not hasattr(self, 'placement'):
            return
        for place in range(3):
            self.placement.set_schedulable(f'w{place}', is_schedulable=True)
        for _ in range(400):
            self.decide(20, 1)
            if self.where:
                self.end(0)
            elif not self.placement.queued:
                return
        waiting = self.placement.queued
        assert not waiting or self._is_blocked_by_impossible()

    def _is_blocked_by_impossible(self) -> bool:
        """What is left is a gang larger than all workers, or behind one."""
        left = [
            one.spec
            for one in self.placement._waiting.values()
            if one.task_numbers
        ]
        return any(spec.kind is Kind.gang for spec in left)


TestPlacementRuns = PlacementRuns.TestCase
TestPlacementRuns.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
