"""Accepted jobs are not left waiting, and not forgotten."""

from dataclasses import replace

import anyio

from mulberryhitch.jobs.model import Step
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import COMMIT_SECONDS, DispatcherHarness
from tests.replica_group import run_with_mock_clock

SMALL = Step(1, 1000, 100, estimate_seconds=0.5)


def test_a_worker_that_missed_a_poll_is_used_again_once_it_answers() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            await anyio.sleep(1)
            worker = harness.fleet.workers['w1']
            worker.unresponsive = True
            await harness.submit('j', SMALL)
            await anyio.sleep(1)
            worker.unresponsive = False
            assert await harness.wait('j', JobState.completed) < 2

    run_with_mock_clock(main)


def test_steps_that_fit_no_worker_do_not_keep_others_from_starting() -> None:
    async def main() -> None:
        harness = DispatcherHarness(target_seconds=1000)
        harness.fleet.add_worker('w1', 2000)
        too_large = Step(1, 4000, 100, estimate_seconds=0.5)
        too_wide = Step(3, 1000, 100, estimate_seconds=0.5, gang=True)
        async with harness.running():
            for number in range(100):
                await harness.submit(f'large-{number}', too_large)
                await harness.submit(f'wide-{number}', too_wide)
            await harness.submit('j', replace(SMALL, estimate_seconds=5))
            await harness.wait('j', JobState.completed, 10)

    run_with_mock_clock(main)


def test_steps_that_wait_for_busy_workers_do_not_hide_idle_ones() -> None:
    async def main() -> None:
        harness = DispatcherHarness(target_seconds=1000)
        harness.fleet.add_worker('busy', 1000, labels=('busy',))
        harness.fleet.add_worker('idle', 1000, labels=('idle',))
        for_busy = Step(1, 1000, 100, estimate_seconds=5, label='busy')
        for_idle = replace(for_busy, estimate_seconds=6, label='idle')
        async with harness.running():
            for number in range(250):
                await harness.submit(f'busy-{number}', for_busy)
            await harness.submit('j', for_idle)
            await harness.wait('j', JobState.completed, 10)

    run_with_mock_clock(main)


def test_the_ends_of_a_restarted_worker_are_not_taken_for_former_ones() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            harness.refused_ends = 1
            await harness.submit('former', Step(3, 1000, estimate_seconds=0.5))
            while harness.refused_ends:
                await anyio.sleep(0.01)
            harness.fleet.add_worker('w1', born=2)
            restarted = harness.fleet.workers['w1']
            await harness.dispatcher.workers.handle_heartbeat(
                restarted.record, restarted.clock
            )
            await harness.wait('former', JobState.completed)
            await harness.submit('next', SMALL)
            await harness.wait('next', JobState.completed, 2)
            assert harness.start_count('next') == 1

    run_with_mock_clock(main)


def test_a_job_is_not_placed_on_an_idle_worker_that_has_fallen_silent() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('w2')
        async with harness.running():
            harness.fleet.workers['w1'].silent = True
            await anyio.sleep(5)
            await harness.submit('j', SMALL)
            assert await harness.wait('j', JobState.completed) < 1

    run_with_mock_clock(main)


def _harness_with_three_workers() -> DispatcherHarness:
    harness = DispatcherHarness()
    for name in ('w1', 'w2', 'w3'):
        harness.fleet.add_worker(name, 2000)
    return harness


async def _replace_w3_by_w4(harness: DispatcherHarness) -> None:
    worker = harness.fleet.workers['w4']
    await harness.dispatcher.workers.handle_heartbeat(
        worker.record, worker.clock
    )
    await harness.dispatcher.workers._remove('w3', 'gone')


def test_a_gang_does_not_wait_for_a_member_that_could_not_be_granted() -> None:
    async def main() -> None:
        harness = _harness_with_three_workers()
        async with harness.running():
            await anyio.sleep(0.5)
            harness.fleet.workers.pop('w3')
            harness.fleet.add_worker('w4', 2000, born=2)
            harness.task_group.start_soon(_replace_w3_by_w4, harness)
            # The grants are proposed while the removal of w3 is committed.
            await anyio.sleep(COMMIT_SECONDS / 2)
            gang = Step(6, 1000, 100, estimate_seconds=0.5, gang=True)
            await harness.submit('g', gang)
            await harness.wait('g', JobState.completed, 2)
            assert {run for _, run, _ in harness.fleet.starts} == {2}
            assert harness.start_count('g') == gang.count

    run_with_mock_clock(main)


def test_a_gang_with_a_silent_worker_does_not_keep_room_on_the_others() -> None:
    async def main() -> None:
        harness = _harness_with_three_workers()
        async with harness.running():
            await anyio.sleep(0.5)
            harness.fleet.workers['w3'].silent = True
            gang = Step(6, 1000, 100, estimate_seconds=20, gang=True)
            await harness.submit('g', gang)
            await anyio.sleep(1)
            await harness.submit('j', replace(SMALL, processors=2000))
            assert await harness.wait('j', JobState.completed) < 1

    run_with_mock_clock(main)
