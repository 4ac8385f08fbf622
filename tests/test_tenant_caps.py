"""What a tenant has running never exceeds its cap, and the cap starves no step."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import eliot
import pytest

from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, PermitPolicy, Step
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import DispatcherHarness, FakePermitClient
from tests.replica_group import run_with_mock_clock
from tests.tenant_data import make_tenant

CAP = 4000
MILL = make_tenant('mill', processors=CAP)
BAKER = make_tenant('baker', processors=CAP)
POLICY = PermitPolicy(0.05, 0, 1.5)


def make_harness(
    workers: int = 4, policy: PermitPolicy | None = None, **queue: Any
) -> DispatcherHarness:
    """Returns workers of 4 cores each, and two tenants with a cap of 4."""
    harness = DispatcherHarness(policy, **queue)
    harness.add_queue('batch', urgency=2, target_seconds=99, permits=policy)
    for number in range(workers):
        harness.fleet.add_worker(f'w{number}', 4000)
    if policy is not None:
        harness.fleet.permit_client = FakePermitClient(
            tuple(harness.fleet.workers)
        )
    harness.set_tenants(MILL, BAKER)
    return harness


def step(
    count: int = 1, processors: int = 1000, seconds: float = 1, **fields: Any
) -> Step:
    return Step(count, processors, 10, estimate_seconds=seconds, **fields)


def running_processors(harness: DispatcherHarness, tenant: str) -> int:
    """Returns what a tenant has running, as the workers know it."""
    return sum(
        run.resources.processors
        for worker in harness.fleet.workers.values()
        for task, run in worker.running.items()
        if harness.job_store.jobs[task.job_id].tenant == tenant
    )


async def _watch(harness: DispatcherHarness, seen: dict[str, int]) -> None:
    while True:
        for tenant in ('mill', 'baker', ''):
            running = running_processors(harness, tenant)
            seen[tenant] = max(seen.get(tenant, 0), running)
        await anyio.sleep(0.005)


def play(
    harness_maker: Callable[[], DispatcherHarness],
    body: Callable[[DispatcherHarness], Awaitable[None]],
) -> dict[str, int]:
    """Runs a test; returns the most that each tenant had running."""
    seen: dict[str, int] = {}

    async def main() -> None:
        harness = harness_maker()
        async with harness.running():
            assert harness.task_group is not None
            harness.task_group.start_soon(_watch, harness, seen)
            await body(harness)

    run_with_mock_clock(main)
    return seen


def test_a_tenant_stays_within_its_cap_over_all_workers() -> None:
    """Guards against starts that exceed a cap while workers are free."""

    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('a', step(9), tenant='mill')
        await harness.submit('b', step(3), tenant='baker')
        await harness.submit('c', step(5))
        for job_id in 'abc':
            await harness.wait(job_id, JobState.completed)

    assert play(make_harness, body) == {'mill': 4000, 'baker': 3000, '': 5000}


@pytest.mark.parametrize('dimension', ['memory', 'accelerators'])
def test_each_dimension_of_a_cap_counts(dimension: str) -> None:
    """Guards against a cap of which only the processors are looked at."""

    def make() -> DispatcherHarness:
        harness = make_harness()
        for worker in harness.fleet.workers.values():
            object.__setattr__(worker.record, 'accelerators', 8)
        harness.set_tenants(make_tenant('mill', **{dimension: 30}))
        return harness

    async def body(harness: DispatcherHarness) -> None:
        sizes = {'memory': 10, 'accelerators': 10}[dimension]
        fields = {'memory': 10, 'accelerators': 0, dimension: sizes}
        one = Step(5, 1000, estimate_seconds=1, **fields)
        if dimension == 'accelerators':
            one = Step(20, 1, 1, 2, estimate_seconds=1)
        await harness.submit('a', one, tenant='mill')
        await harness.wait_for_starts('a', 3)
        await anyio.sleep(0.5)
        used = harness.job_store.tenant_usage('mill')
        assert getattr(used, dimension) == 30

    play(make, body)


def test_placements_that_are_not_committed_yet_count() -> None:
    """Guards against rounds that each fill the cap during a slow commit."""

    async def body(harness: DispatcherHarness) -> None:
        commit = harness.commit

        async def commit_slowly(batch: list[Any]) -> list[Any]:
            if batch[0][0] == 'grant':
                await anyio.sleep(0.5)
            return await commit(batch)

        harness.dispatcher._term.commit = commit_slowly
        for number in range(6):
            await harness.submit(f'j{number}', step(2), tenant='mill')
            await anyio.sleep(0.08)
        for number in range(6):
            await harness.wait(f'j{number}', JobState.completed)

    assert play(make_harness, body)['mill'] == CAP


def test_runs_that_are_being_stopped_count() -> None:
    """Guards against a start beside runs that have yet to end."""

    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('a', step(4, seconds=60), tenant='mill')
        await harness.wait_for_starts('a', 4)
        await anyio.sleep(0.5)
        await harness.submit('b', step(4), tenant='mill')
        await harness.cancel('a')
        await harness.wait('b', JobState.completed)

    assert play(make_harness, body)['mill'] == CAP


def test_a_late_start_that_may_still_run_counts() -> None:
    """Guards against a start beside one whose answer was lost."""

    async def body(harness: DispatcherHarness) -> None:
        for worker in harness.fleet.workers.values():
            worker.unanswered_starts = 1
        await harness.submit('a', step(4, seconds=3), tenant='mill')
        await anyio.sleep(0.1)
        await harness.submit('b', step(4, seconds=3), tenant='mill')
        for job_id in 'ab':
            await harness.wait(job_id, JobState.completed, 60)

    assert play(make_harness, body)['mill'] <= CAP


def test_a_new_leader_counts_what_runs() -> None:
    """Guards against a cap filled anew by each leader."""
    seen: dict[str, int] = {}

    async def main() -> None:
        harness = make_harness()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.fleet.run)
            tasks.start_soon(_watch, harness, seen)
            old = harness.make_dispatcher(1)
            async with anyio.create_task_group() as term:
                term.start_soon(old.run)
                await anyio.sleep(0.1)
                for worker in harness.fleet.workers.values():
                    await old.workers.handle_heartbeat(
                        worker.record, worker.clock
                    )
                await harness.submit('a', step(3, seconds=4), tenant='mill')
                await harness.wait_for_starts('a', 3)
                term.cancel_scope.cancel()
            await harness.submit('b', step(4), tenant='mill')
            tasks.start_soon(harness.make_dispatcher(2).run)
            await harness.wait_for_starts('b', 1)
            await anyio.sleep(0.3)
            assert harness.start_count('b') == 1
            for job_id in 'ab':
                await harness.wait(job_id, JobState.completed)
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)
    assert seen['mill'] == CAP


def test_a_lowered_cap_stops_nothing_and_delays_starts() -> None:
    """Guards against work that is lost by a configuration."""

    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('a', step(4, seconds=3), tenant='mill')
        await harness.wait_for_starts('a', 4)
        harness.set_tenants(make_tenant('mill', processors=2000))
        await harness.submit('b', step(3, seconds=0.5), tenant='mill')
        await harness.wait('a', JobState.completed)
        assert not harness.start_count('b')
        assert harness.start_count('a') == 4
        await harness.wait_for_starts('b', 2)
        await anyio.sleep(0.2)
        assert running_processors(harness, 'mill') == 2000
        await harness.wait('b', JobState.completed)

    play(make_harness, body)


def test_a_raised_or_removed_cap_is_in_force_in_the_next_round() -> None:
    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('a', step(12, seconds=9), tenant='mill')
        await harness.wait_for_starts('a', 4)
        harness.set_tenants(make_tenant('mill', processors=6000))
        harness.dispatcher.request_round()
        await harness.wait_for_starts('a', 6, 0.2)
        harness.set_tenants(make_tenant('mill'))
        harness.dispatcher.request_round()
        await harness.wait_for_starts('a', 12, 0.2)

    play(make_harness, body)


def test_a_task_larger_than_the_cap_runs_alone() -> None:
    """Guards against a task that waits for ever, and against two at once."""

    def make() -> DispatcherHarness:
        harness = make_harness()
        harness.set_tenants(make_tenant('mill', processors=2500))
        return harness

    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('big', step(2, 4000), tenant='mill')
        await harness.submit(
            'gang', step(1, 4000, gang=True), tenant='mill', queue='batch'
        )
        await harness.submit('small', step(9), tenant='mill', queue='batch')
        for job_id in ('big', 'gang', 'small'):
            await harness.wait(job_id, JobState.completed)

    assert play(make, body)['mill'] == 4000


def test_a_gang_counts_as_a_whole_and_small_steps_do_not_starve_it() -> None:
    """Guards against a gang that never finds its part of the cap free."""

    async def body(harness: DispatcherHarness) -> None:
        for number in range(4):
            first = step(1, seconds=0.7 + number / 3)
            await harness.submit(f'first{number}', first, tenant='mill')
            await harness.wait_for_starts(f'first{number}', 1)
        gang = step(3, gang=True)
        await harness.submit('gang', gang, tenant='mill', queue='batch')
        for number in range(40):
            await harness.submit(
                f'j{number}',
                step(1, 900, seconds=0.35 + number % 7 / 10),
                tenant='mill',
                queue='batch',
            )
        await harness.wait('gang', JobState.completed, 3)
        starts = [at for task, _, at in harness.fleet.starts if _is(task)]
        assert max(starts) - min(starts) < 0.1
        for number in range(40):
            await harness.wait(f'j{number}', JobState.completed)

    def _is(task: Any) -> bool:
        return bool(task.job_id == 'gang')

    assert play(make_harness, body)['mill'] <= CAP


def test_a_gang_wider_than_a_lowered_cap_keeps_nothing_from_others() -> None:
    """Guards against a tenant whose work all waits for what never starts."""

    async def body(harness: DispatcherHarness) -> None:
        harness.set_tenants(make_tenant('mill', processors=2000))
        await harness.submit('gang', step(3, gang=True), tenant='mill')
        await harness.submit('j', step(4), tenant='mill', queue='batch')
        await harness.wait('j', JobState.completed)
        assert not harness.start_count('gang')
        harness.set_tenants(MILL)
        await harness.wait('gang', JobState.completed)

    play(lambda: make_harness(target_seconds=99), body)


def test_a_gang_that_long_running_steps_leave_no_room_keeps_nothing() -> None:
    """Guards against a tenant whose steps all wait for a gang that can't start.

    The long-running tasks leave two of the cap's four cores, and never end.
    """

    async def body(harness: DispatcherHarness) -> None:
        lasting = step(2, seconds=9999, long_running=True)
        await harness.submit('lasting', lasting, tenant='mill')
        await harness.wait_for_starts('lasting', 2)
        gang = step(3, seconds=9999, gang=True)
        await harness.submit('gang', gang, tenant='mill')
        await harness.submit('small', step(2), tenant='mill', queue='batch')
        await harness.wait('small', JobState.completed)

    play(make_harness, body)


@pytest.mark.parametrize('gang', [False, True])
def test_nothing_is_stopped_or_asked_for_a_step_that_its_cap_holds_back(
    gang: bool,
) -> None:
    """Guards against work of others stopped for what can't start anyway."""

    def make() -> DispatcherHarness:
        return make_harness(2, POLICY, urgency=0, target_seconds=99)

    async def body(harness: DispatcherHarness) -> None:
        own = step(3, seconds=30)
        await harness.submit('own', own, tenant='mill', queue='batch')
        await harness.wait_for_starts('own', 3)
        others = step(5, seconds=30, checkpointing=True)
        await harness.submit('others', others, queue='batch')
        await harness.wait_for_starts('others', 5)
        await anyio.sleep(3)
        client = harness.fleet.permit_client
        assert client is not None
        asked = len(client.requests)
        urgent = step(2, 1200, gang=gang)
        await harness.submit('urgent', urgent, tenant='mill')
        await anyio.sleep(3)
        assert len(client.requests) == asked
        assert not harness.dispatcher._last_plan.reservations
        assert harness.start_count('others') == 5
        assert len(harness.fleet.active_runs) == 8
        # The same step of nobody has both done for it.
        await harness.submit('free', urgent)
        await harness.wait('free', JobState.completed)

    play(make, body)


def test_runs_are_stopped_for_no_more_tasks_than_the_cap_lets_start() -> None:
    """Guards against stops for steps that the cap holds back in the next round.

    Tasks for which runs are stopped use nothing of the cap before they start.
    """

    def make() -> DispatcherHarness:
        return make_harness(4, urgency=0, stretch=1, target_seconds=1)

    async def body(harness: DispatcherHarness) -> None:
        own = step(2, seconds=90)
        await harness.submit('own', own, tenant='mill', queue='batch')
        await harness.wait_for_starts('own', 2)
        others = step(14, seconds=30, checkpointing=True)
        await harness.submit('others', others, queue='batch')
        await harness.wait_for_starts('others', 14)
        await anyio.sleep(3)
        # Steps behind those that the cap lets start have a turn in round 0.
        harness.dispatcher._rounds = 0
        for number in range(6):
            spec = JobSpec('argument', (step(seconds=5),))
            wall_time = harness.wall_time()
            job_id = f'urgent{number}'
            accepted = changes.accept(job_id, 'q', spec, wall_time, 'mill')
            harness.apply([accepted])
        plan = harness.dispatcher._make_plan(only_urgent=False)
        assert len(plan.preempted) == 2

    play(make, body)


def test_permits_are_asked_for_no_more_tasks_than_the_cap_lets_start() -> None:
    """Guards against requests that name workers for tasks that can't start."""

    def make() -> DispatcherHarness:
        return make_harness(12, POLICY)

    async def body(harness: DispatcherHarness) -> None:
        client = harness.fleet.permit_client
        assert client is not None
        many = step(40, 4000, seconds=3)
        await harness.submit('mill', many, tenant='mill')
        await harness.wait_for_starts('mill', 1)
        capped = sum(map(len, client.requests))
        await harness.submit('free', many)
        await harness.wait_for_starts('free', 9)
        assert capped < 6 < sum(map(len, client.requests)) - capped

    assert play(make, body)['mill'] == CAP


def test_steps_that_a_cap_holds_back_take_no_places_of_others() -> None:
    """Guards against a flood of one tenant that hides the others' steps."""

    async def body(harness: DispatcherHarness) -> None:
        harness.set_tenants(MILL, make_tenant('baker'))
        for number in range(300):
            await harness.submit(
                f'm{number}', step(1, seconds=60), tenant='mill'
            )
        await harness.wait_for_starts('m3', 1)
        await harness.submit('b', step(4), tenant='baker', queue='batch')
        await harness.wait_for_starts('b', 4, 0.3)

    play(make_harness, body)


def test_a_step_behind_one_that_waits_for_workers_has_a_turn() -> None:
    """Guards against a busy label that keeps all else of a tenant waiting."""

    def make() -> DispatcherHarness:
        harness = make_harness(3)
        harness.fleet.add_worker('x', 4000, labels=('k', 'r1', 'x'))
        return harness

    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('busy', step(4, 1000, 60, label='x'))
        await harness.wait_for_starts('busy', 4)
        await harness.submit('x', step(9, label='x'), tenant='mill')
        await harness.submit('j', step(2), tenant='mill')
        await harness.wait('j', JobState.completed, 9)
        assert not harness.start_count('x')

    play(make, body)


def test_a_gang_that_waits_for_workers_finds_its_part_of_the_cap() -> None:
    """Guards against workers kept free for a gang whose cap others use up."""

    def make() -> DispatcherHarness:
        harness = make_harness(3, target_seconds=99)
        harness.fleet.add_worker('x', 4000, labels=('k', 'r1', 'x'))
        return harness

    async def body(harness: DispatcherHarness) -> None:
        await harness.submit('busy', step(2, 1000, 2, label='x'))
        await harness.wait_for_starts('busy', 2)
        gang = step(3, gang=True, label='x')
        await harness.submit('gang', gang, tenant='mill')
        small = step(2, seconds=60)
        await harness.submit('small', small, tenant='mill', queue='batch')
        await harness.wait_for_starts('gang', 3, 3)
        assert harness.start_count('small') == 1

    assert play(make, body)['mill'] == CAP


def test_the_status_report_says_whom_a_cap_holds_back() -> None:
    lines: list[dict[str, Any]] = []

    async def body(harness: DispatcherHarness) -> None:
        harness.set_tenants(make_tenant('mill', processors=CAP, weight=3))
        await harness.submit('a', step(6, seconds=9), tenant='mill')
        await harness.submit('b', step(1, seconds=9), tenant='mill')
        await anyio.sleep(2)

    eliot.add_destinations(lines.append)
    lines.clear()
    try:
        play(make_harness, body)
    finally:
        eliot.remove_destination(lines.append)
    last = {line['message_type']: line for line in lines}
    status = last['tenant.status']
    assert (status['tenant'], status['cores'], status['cap']) == ('mill', 4, 4)
    assert (status['weight'], status['waiting']) == (3, 3)
    assert last['tenant.capped']['tenant'] == 'mill'
    assert last['tenant.capped']['steps'] == 2
    assert last['queue.status']['blocked'] == {'tenant cap': 3}
