"""What is kept free for a gang that can't start yet, and for how long."""

from collections.abc import Awaitable, Callable, Iterator

import anyio
import pytest

from mulberryhitch.dispatch.placement.gang_holds import GangHold
from mulberryhitch.jobs.model import Step
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import DispatcherHarness, FakeRun
from tests.replica_group import run_with_mock_clock
from tests.tenant_data import make_tenant

CORES = 8000
WIDE_GANG = Step(6, 7500, 10, estimate_seconds=12, gang=True)


def small(seconds: float, count: int = 2, **fields: object) -> Step:
    return Step(count, 1000, 10, estimate_seconds=seconds, **fields)


def make_harness(workers: int = 6) -> DispatcherHarness:
    """Returns workers of 8 cores, and a queue of gangs before another one."""
    harness = DispatcherHarness(urgency=1, stretch=2.2, target_seconds=1)
    harness.add_queue('small', urgency=2, stretch=4, target_seconds=3)
    for number in range(workers):
        harness.fleet.add_worker(f'w{number}', CORES)
    return harness


def play(
    body: Callable[[DispatcherHarness], Awaitable[None]], workers: int = 6
) -> None:
    async def main() -> None:
        harness = make_harness(workers)
        async with harness.running():
            await body(harness)

    run_with_mock_clock(main)


async def occupy(
    harness: DispatcherHarness, workers: int, **fields: object
) -> None:
    """Starts tasks that leave half a core each on some workers."""
    step = Step(workers, 7500, 10, spread_limit=1, **fields)
    await harness.submit('occupant', step, queue='small')
    await harness.wait_for_starts('occupant', workers)


def runs_of(harness: DispatcherHarness, job_id: str) -> Iterator[FakeRun]:
    for worker in harness.fleet.workers.values():
        for task, run in worker.running.items():
            if task.job_id == job_id:
                yield run


@pytest.mark.parametrize('lasts', [True, False])
def test_a_gang_that_waits_for_runs_without_an_end_keeps_nothing(
    lasts: bool,
) -> None:
    """Guards against idle workers that a gang keeps from all other jobs.

    The runs last, or have neither an estimate nor any progress.
    """

    async def body(harness: DispatcherHarness) -> None:
        await occupy(harness, 3, long_running=lasts, estimate_seconds=9999)
        for run in runs_of(harness, 'occupant'):
            run.ends_at = anyio.current_time() + 10**6
        if not lasts:
            for worker in harness.dispatcher.tracked_workers.values():
                for tracked in worker.tracked_runs.values():
                    tracked.estimate_seconds = 0
        await harness.submit('gang', WIDE_GANG)
        await anyio.sleep(0.5)
        for number in range(5):
            await harness.submit(f'j{number}', small(1), queue='small')
        for number in range(5):
            await harness.wait(f'j{number}', JobState.completed, 3)
        assert not harness.start_count('gang')

    play(body)


def test_a_gang_as_wide_as_all_workers_has_its_turn_beside_small_jobs() -> None:
    """Guards against a gang that waits as long as small jobs come.

    They are two tasks of four cores, 2 s each, four times a second: more than
    the workers can do.
    """

    async def body(harness: DispatcherHarness) -> None:
        async def send_small_jobs() -> None:
            for number in range(200):
                one = Step(2, 4000, 10, estimate_seconds=2)
                await harness.submit(f'j{number}', one, queue='small')
                await anyio.sleep(0.25)

        assert harness.task_group is not None
        harness.task_group.start_soon(send_small_jobs)
        await anyio.sleep(4)
        await harness.submit('gang', WIDE_GANG)
        # The longest run ends 2 s later.
        await harness.wait_for_starts('gang', WIDE_GANG.count, 2.5)

    play(body)


def test_steps_that_end_before_a_gang_starts_use_the_room_meanwhile() -> None:
    """Guards against workers that are idle until a gang starts, or too long."""

    async def body(harness: DispatcherHarness) -> None:
        await occupy(harness, 3, estimate_seconds=6)
        await harness.submit('gang', WIDE_GANG)
        await anyio.sleep(0.1)
        await harness.submit('long', small(9), queue='small')
        await harness.submit('unknown', small(0), queue='small')
        await harness.submit('short', small(2), queue='small')
        await harness.wait_for_starts('short', 2, 0.2)
        await harness.wait_for_starts('gang', WIDE_GANG.count, 6.5)
        assert not harness.start_count('long')
        assert not harness.start_count('unknown')

    play(body)


def test_what_a_gang_leaves_free_is_free_to_steps_of_any_length() -> None:
    """Guards against a worker of which a gang keeps more than it needs."""

    async def body(harness: DispatcherHarness) -> None:
        await occupy(harness, 3, estimate_seconds=6)
        gang = Step(6, 5000, 10, estimate_seconds=4, gang=True)
        await harness.submit('gang', gang)
        await anyio.sleep(0.1)
        await harness.submit('long', small(30, 9), queue='small')
        await harness.wait_for_starts('long', 9, 0.2)
        await harness.wait_for_starts('gang', gang.count, 6.5)

    play(body)


def test_a_gang_keeps_nothing_for_runs_slower_than_estimated() -> None:
    """Guards against room that is kept for as long as an estimate is wrong."""

    async def body(harness: DispatcherHarness) -> None:
        await occupy(harness, 3, estimate_seconds=3)
        for run in runs_of(harness, 'occupant'):
            run.ends_at = anyio.current_time() + 60
        await harness.submit('gang', WIDE_GANG)
        await anyio.sleep(0.1)
        await harness.submit('long', small(30), queue='small')
        # Until the progress of the runs tells.
        await harness.wait_for_starts('long', 2, 3)

    play(body)


def test_a_hold_that_leads_to_no_start_ends_and_a_pause_follows() -> None:
    """Guards against room that is kept for as long as permits don't come."""
    hold = GangHold(('w',), began_at=10, starts_by=14)
    assert hold.at(27.9) is hold
    pause = hold.at(28)
    assert pause is not None
    assert pause.is_pause
    # As long as the hold was.
    assert pause.at(45.9) is pause
    assert pause.at(46) is None


def test_a_lasting_step_does_not_wait_for_a_gang_that_starts_late() -> None:
    """Guards against a service that is not started for long beside free room."""

    async def body(harness: DispatcherHarness) -> None:
        await occupy(harness, 3, estimate_seconds=8)
        await harness.submit('gang', WIDE_GANG)
        await anyio.sleep(0.1)
        lasting = small(9999, long_running=True)
        await harness.submit('lasting', lasting, queue='small')
        await harness.wait_for_starts('lasting', 2, 0.2)
        # Where it runs the gang no longer fits.
        await harness.submit('long', small(30), queue='small')
        await harness.wait_for_starts('long', 2, 0.2)

    play(body)


def test_several_gangs_at_once_all_start_beside_small_jobs() -> None:
    """Guards against gangs that keep workers from each other."""

    async def body(harness: DispatcherHarness) -> None:
        async def send_small_jobs() -> None:
            for number in range(400):
                one = Step(2, 4000, 10, estimate_seconds=1)
                await harness.submit(f'j{number}', one, queue='small')
                await anyio.sleep(0.1)

        assert harness.task_group is not None
        harness.task_group.start_soon(send_small_jobs)
        await anyio.sleep(2)
        gang = Step(4, 7500, 10, estimate_seconds=2, gang=True)
        for number in range(4):
            await harness.submit(f'gang{number}', gang)
        for number in range(4):
            await harness.wait(f'gang{number}', JobState.completed, 16)

    play(body)


@pytest.mark.parametrize('seconds', [0, 9999])
def test_a_gang_within_a_cap_that_waits_for_long_keeps_nothing(
    seconds: float,
) -> None:
    """Guards against a cap whose free part a gang keeps for a run's whole time.

    The run has no estimate, or is not to end for hours.
    """

    async def body(harness: DispatcherHarness) -> None:
        harness.set_tenants(make_tenant('mill', processors=4000))
        await harness.submit('run', small(seconds, 1), tenant='mill')
        await harness.wait_for_starts('run', 1)
        for run in runs_of(harness, 'run'):
            run.ends_at = anyio.current_time() + 9999
        gang = Step(4, 1000, 10, estimate_seconds=1, gang=True)
        await harness.submit('gang', gang, tenant='mill')
        await anyio.sleep(0.5)
        await harness.submit('j', small(20), tenant='mill', queue='small')
        await harness.wait_for_starts('j', 2, 1)

    play(body)


def test_a_step_that_ends_before_a_gang_starts_uses_its_part_of_a_cap() -> None:
    """Guards against a part of a cap that is idle until a gang starts."""

    async def body(harness: DispatcherHarness) -> None:
        harness.set_tenants(make_tenant('mill', processors=4000))
        await harness.submit('run', small(6, 1), tenant='mill')
        await harness.wait_for_starts('run', 1)
        gang = Step(4, 1000, 10, estimate_seconds=1, gang=True)
        await harness.submit('gang', gang, tenant='mill')
        await harness.submit('long', small(9), tenant='mill', queue='small')
        await harness.submit('short', small(2), tenant='mill', queue='small')
        await harness.wait_for_starts('short', 2, 1)
        await harness.wait_for_starts('gang', 4, 6.5)
        assert not harness.start_count('long')

    play(body)
