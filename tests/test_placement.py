"""Placement: fair shares, gangs, reservations, preemption and quotas."""

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
from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.placement.model import Placed, Preempted
from mulberryhitch.placement.orders import CapacityShares, TenantShare
from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Kind, Size, Urgency
from tests.data_centre import make_spec

WORKER = Size(4000, 4096, 1)


def make_engine(workers: int = 4, **options: Any) -> PlacementEngine:
    engine = PlacementEngine(PlacementOptions(**options))
    for number in range(workers):
        engine.add_worker(f'w{number}', f'rack-{number % 2}', WORKER)
    return engine


def enqueue(engine: PlacementEngine, number: int, now: float = 0, **spec: Any):
    workload = make_spec(number, **spec)
    engine.enqueue(workload, range(workload.task_count), now)
    return workload


def placed(decisions: list[Any]) -> list[tuple[TaskKey, str]]:
    return [
        pair
        for decision in decisions
        if isinstance(decision, Placed)
        for pair in decision.tasks
    ]


def test_many_tasks_of_one_tenant_do_not_delay_another() -> None:
    engine = make_engine()
    enqueue(engine, 1, tenant='flood', task_count=500)
    for _ in range(3):
        engine.decide(100, 0)
    enqueue(engine, 2, tenant='small', task_count=4)
    for task in list(engine.running)[:4]:
        engine.release(task)
    tenants = [
        engine.running[task].spec.tenant
        for task, _ in placed(engine.decide(100, 1))
    ]
    assert tenants == ['small'] * 4


@pytest.mark.parametrize(
    ('flooding', 'other'),
    [
        (Urgency.deferrable, Urgency.urgent),
        (Urgency.urgent, Urgency.deferrable),
    ],
)
def test_no_urgency_class_is_starved_by_another(
    flooding: Urgency, other: Urgency
) -> None:
    engine = make_engine()
    enqueue(engine, 1, urgency=flooding, task_count=2000)
    enqueue(engine, 2, urgency=other, task_count=2000)
    started = {flooding: 0, other: 0}
    for _ in range(60):
        for task, _ in placed(engine.decide(100, 0)):
            started[engine.running[task].spec.urgency] += 1
        for task in list(engine.running)[:4]:
            engine.release(task)
    assert started[other] >= sum(started.values()) / 11 * 0.8


def test_a_gang_starts_whole_or_not_at_all() -> None:
    engine = make_engine(workers=2)
    enqueue(engine, 1, task_count=1, size=Size(4000, 1))
    engine.decide(10, 0)
    enqueue(engine, 2, kind=Kind.gang, task_count=5, size=Size(1000, 1))
    assert not placed(engine.decide(10, 1))
    engine.release(TaskKey('home.1', 0))
    assert len(placed(engine.decide(10, 2))) == 5


def test_two_gangs_that_each_could_hold_half_do_not_deadlock() -> None:
    engine = make_engine(workers=2, reserve_after_seconds=1)
    enqueue(engine, 1, task_count=8, size=Size(1000, 1))
    engine.decide(10, 0)
    for number in (2, 3):
        enqueue(
            engine, number, kind=Kind.gang, task_count=8, size=Size(1000, 1)
        )
    started: list[str] = []
    for second in range(1, 40):
        for task in list(engine.running)[:1]:
            engine.release(task)
        for task, _ in placed(engine.decide(10, second)):
            if task.workload_id not in started:
                started.append(task.workload_id)
    assert sorted(started) == ['home.2', 'home.3']


def test_backfill_does_not_delay_the_reserved_gang() -> None:
    engine = make_engine(workers=2, reserve_after_seconds=1)
    enqueue(engine, 1, task_count=8, size=Size(1000, 1))
    engine.decide(10, 0)
    enqueue(engine, 2, kind=Kind.gang, task_count=8, size=Size(1000, 1))
    enqueue(engine, 3, tenant='other', task_count=50, size=Size(1000, 1))
    enqueue(
        engine,
        4,
        tenant='third',
        task_count=50,
        size=Size(1000, 1),
        restartable=True,
    )
    for second in range(1, 20):
        first = [t for t in engine.running if t.workload_id == 'home.1']
        if second > 5 and first:
            engine.release(first[0])
        for decision in engine.decide(10, second):
            if isinstance(decision, Preempted):
                engine.release(decision.task)
    running = {task.workload_id for task in engine.running}
    assert 'home.2' in running
    assert 'home.3' not in running


def test_a_gang_that_waits_for_a_task_without_an_end_is_no_lasting_block() -> (
    None
):
    """Guards against a worker that a gang keeps idle for as long as a task runs.

    The gang starts all the same once that task has ended.
    """
    engine = make_engine(workers=2, reserve_after_seconds=1)
    enqueue(engine, 1, size=Size(4000, 1))
    engine.decide(10, 0)
    enqueue(engine, 2, kind=Kind.gang, task_count=2, size=Size(4000, 1), now=0)
    started: dict[str, int] = {}
    for second in range(1, 400):
        enqueue(engine, second + 2, second, tenant='small', size=Size(1000, 1))
        for task in list(engine.running):
            is_small = engine.running[task].spec.tenant == 'small'
            if is_small or second == 300:
                engine.release(task)
        for task, _ in placed(engine.decide(10, second)):
            started.setdefault(task.workload_id, second)
    # A minute, and what it has waited before.
    assert started['home.12'] <= 75
    assert 300 <= started['home.2'] < 400


def test_urgent_work_preempts_only_restartable_tasks() -> None:
    engine = make_engine(workers=2)
    enqueue(engine, 1, task_count=4)
    engine.decide(10, 0)
    enqueue(engine, 2, task_count=4, restartable=True)
    engine.decide(10, 0)
    enqueue(engine, 3, urgency=Urgency.urgent, now=1)
    assert not placed(engine.decide(10, 1))
    preempted = [
        decision
        for decision in engine.decide(10, 3)
        if isinstance(decision, Preempted)
    ]
    assert [one.task.workload_id for one in preempted] == ['home.2']
    engine.release(preempted[0].task)
    tasks = placed(engine.decide(10, 4))
    assert [task.workload_id for task, _ in tasks] == ['home.3']


def test_preemptions_are_rate_limited() -> None:
    engine = make_engine(workers=8, preemptions_per_minute=6)
    enqueue(engine, 1, task_count=32, restartable=True)
    engine.decide(100, 0)
    enqueue(engine, 2, urgency=Urgency.urgent, task_count=500)
    preempted = 0
    for second in range(1, 61):
        for decision in engine.decide(100, second):
            if isinstance(decision, Preempted):
                preempted += 1
                engine.release(decision.task)
    assert 0 < preempted <= 12


def test_services_are_spread_over_racks_and_batch_is_packed() -> None:
    engine = make_engine(workers=4)
    enqueue(engine, 1, kind=Kind.service, task_count=4)
    workers = [worker for _, worker in placed(engine.decide(10, 0))]
    racks = [engine.pool.worker(worker).rack for worker in workers]
    assert sorted(racks) == ['rack-0', 'rack-0', 'rack-1', 'rack-1']
    packed = make_engine(workers=4)
    enqueue(packed, 2, task_count=4)
    assert len({worker for _, worker in placed(packed.decide(10, 0))}) == 1


def test_a_large_job_is_not_starved_by_small_ones() -> None:
    engine = make_engine(workers=2, reserve_after_seconds=5)
    for number in range(2, 200):
        enqueue(engine, number, tenant='small', task_count=1)
    engine.decide(8, 0)
    enqueue(engine, 1, tenant='large', size=Size(4000, 1))
    for second in range(1, 60):
        engine.release(next(iter(engine.running)))
        engine.decide(10, second)
        if any(t.workload_id == 'home.1' for t in engine.running):
            return
    pytest.fail('the large job starved')


def test_a_quota_limits_the_resources_of_a_tenant() -> None:
    shares = CapacityShares(
        tenant_shares={'north': TenantShare(quota=Size(2000, 4096, 0))}
    )
    engine = PlacementEngine(shares=shares)
    engine.add_worker('w', 'r', WORKER)
    enqueue(engine, 1, task_count=4)
    assert len(placed(engine.decide(10, 0))) == 2
    engine.release(TaskKey('home.1', 0))
    assert len(placed(engine.decide(10, 1))) == 1


def test_the_pool_refuses_allocations_over_capacity() -> None:
    engine = make_engine(workers=1)
    with pytest.raises(InvariantError):
        engine.pool.allocate('w0', Size(5000, 1))
    with pytest.raises(InvariantError):
        engine.pool.release('w0', Size(1, 1))


class PlacementRuns(RuleBasedStateMachine):
    """Checks random placements against a second record of assignments."""

    @initialize(order=st.sampled_from(('fair', 'fifo')))
    def begin(self, order: str) -> None:
        self.engine = make_engine(
            workers=3, order=order, reserve_after_seconds=3
        )
        self.now = 0.0
        self.number = 0
        self.assignments: dict[TaskKey, str] = {}
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
            self.engine,
            self.number,
            self.now,
            task_count=count,
            size=Size(cores, 256, accelerators),
            **changes,
        )

    @rule(limit=st.integers(1, 20), seconds=st.sampled_from((0.1, 1, 5)))
    def decide(self, limit: int, seconds: float) -> None:
        self.now += seconds
        for decision in self.engine.decide(limit, self.now):
            if isinstance(decision, Preempted):
                assert self.engine.running[decision.task].spec.preemptible
                continue
            spec = self.engine.running[decision.tasks[0][0]].spec
            if spec.kind is Kind.gang and len(decision.tasks) > 1:
                assert len(decision.tasks) == spec.task_count
            for task, worker in decision.tasks:
                assert task not in self.assignments
                self.assignments[task] = worker
                self.sizes[task] = spec.size

    @rule(place=st.integers(0, 30))
    def end(self, place: int) -> None:
        if self.assignments:
            task = sorted(self.assignments, key=str)[
                place % len(self.assignments)
            ]
            self.engine.release(task)
            del self.assignments[task]

    @rule(place=st.integers(0, 30))
    def cancel(self, place: int) -> None:
        if self.number:
            self.engine.remove_waiting(f'home.{1 + place % self.number}')

    @rule(place=st.integers(0, 2), is_open=st.booleans())
    def open_worker(self, place: int, is_open: bool) -> None:
        self.engine.set_schedulable(f'w{place}', is_open)

    @invariant()
    def no_worker_is_overcommitted(self) -> None:
        if not hasattr(self, 'engine'):
            return
        for node in self.engine.pool:
            used = Size()
            for task, worker in self.assignments.items():
                if worker == node.worker_id:
                    used += self.sizes[task]
            assert used.fits(node.capacity)
            assert node.capacity - used == node.free
        assert set(self.assignments) == set(self.engine.running)

    def teardown(self) -> None:
        """Checks that all tasks that fit are placed once the others end."""
        if not hasattr(self, 'engine'):
            return
        for place in range(3):
            self.engine.set_schedulable(f'w{place}', is_schedulable=True)
        for _ in range(400):
            self.decide(20, 1)
            if self.assignments:
                self.end(0)
            elif not self.engine.queued:
                return
        waiting = self.engine.queued
        assert not waiting or self._is_blocked_by_gang()

    def _is_blocked_by_gang(self) -> bool:
        """Whether a gang that may not fit on the workers blocks the queue."""
        waiting = [
            workload.spec
            for workload in self.engine._waiting.values()
            if workload.task_numbers
        ]
        return any(spec.kind is Kind.gang for spec in waiting)


TestPlacementRuns = PlacementRuns.TestCase
TestPlacementRuns.settings = settings(
    max_examples=150, stateful_step_count=40, derandomize=True, deadline=None
)
