"""Runs are stopped only where that gains more than it loses."""

import anyio

from mulberryhitch.dispatch.placement.preemption_candidates import Victim
from mulberryhitch.dispatch.placement.preemption_cost import cheapest_victims
from mulberryhitch.jobs.model import Resources, Step, StepKey, TaskKey
from mulberryhitch.jobs.state import JobState, StepExecution
from tests.deployment_loads import make_tills
from tests.fake_workers import DispatcherHarness
from tests.load_player import play
from tests.replica_group import run_with_mock_clock

# Gangs may have half of the workers kept free, which is one of two.
WORKERS = 2
LONG_BATCH = Step(WORKERS, 4000, 100, estimate_seconds=8, checkpointing=True)


def make_harness() -> DispatcherHarness:
    harness = DispatcherHarness(urgency=1, stretch=3, target_seconds=1)
    harness.add_queue('batch', urgency=2, stretch=1, target_seconds=99)
    harness.add_queue('urgent', urgency=0, stretch=1, target_seconds=2)
    for number in range(WORKERS):
        harness.fleet.add_worker(f'w{number}', 4000)
    return harness


async def run_long_batch(harness: DispatcherHarness) -> None:
    await harness.submit('batch', LONG_BATCH, queue='batch')
    await harness.wait('batch', JobState.running)
    await anyio.sleep(2)


def make_victim(number: int, processors: int) -> Victim:
    key = StepKey('batch', 0, number)
    execution = StepExecution(key, Step(1, processors), [], 1)
    task = TaskKey(*key, 0)
    return Victim(task, 1, execution, 9, processors / 1000)


def test_a_gang_with_time_to_spare_waits_for_runs_to_end() -> None:
    """Guards against stops for gangs that would be in time anyway.

    On a heavy day of `tills` they were most of the 18% of runs stopped.
    """

    async def main() -> None:
        harness = make_harness()
        gang = Step(2, 2000, 100, estimate_seconds=10, gang=True)
        async with harness.running():
            await run_long_batch(harness)
            await harness.submit('gang', gang)
            await harness.wait('batch', JobState.completed)
            assert harness.start_count('batch') == WORKERS
            await harness.wait('gang', JobState.completed)

    run_with_mock_clock(main)


def test_a_gang_without_time_to_spare_stops_a_run() -> None:
    """Guards against gangs that wait until it is too late to stop a run."""

    async def main() -> None:
        harness = make_harness()
        harness.add_queue('hasty', urgency=1, stretch=1, target_seconds=2)
        gang = Step(2, 2000, 100, estimate_seconds=4, gang=True)
        async with harness.running():
            await run_long_batch(harness)
            await harness.submit('gang', gang, queue='hasty')
            await harness.wait('gang', JobState.running, 2)
            await harness.wait('batch', JobState.completed)
            assert harness.start_count('batch') == WORKERS + 1

    run_with_mock_clock(main)


def test_a_gang_does_not_stop_runs_that_would_then_be_late() -> None:
    """Guards against overload, where stopped batches were late in turn."""

    async def main() -> None:
        harness = make_harness()
        harness.add_queue('tight', urgency=2, stretch=1, target_seconds=3)
        harness.add_queue('hasty', urgency=1, stretch=1, target_seconds=2)
        gang = Step(2, 2000, 100, estimate_seconds=4, gang=True)
        async with harness.running():
            await harness.submit('batch', LONG_BATCH, queue='tight')
            await anyio.sleep(2)
            await harness.submit('gang', gang, queue='hasty')
            await harness.wait('batch', JobState.completed)
            assert harness.start_count('batch') == WORKERS

    run_with_mock_clock(main)


def test_a_tiny_task_does_not_stop_a_large_run() -> None:
    """Guards against stops that lose more than they gain.

    The task takes 0.005 core-seconds, the stop of the run 3.2.
    """

    async def main() -> None:
        harness = make_harness()
        tiny = Step(1, 100, 100, estimate_seconds=0.05)
        async with harness.running():
            await run_long_batch(harness)
            await harness.submit('tiny', tiny, queue='urgent')
            await harness.wait('batch', JobState.completed)
            assert harness.start_count('batch') == WORKERS

    run_with_mock_clock(main)


def test_runs_that_are_not_needed_are_not_stopped() -> None:
    """Guards against a small run that is stopped before a sufficient one."""
    small, large = make_victim(0, 1000), make_victim(1, 3000)
    needed, free = Resources(3000), Resources()
    assert cheapest_victims([small, large], needed, free) == [large]


def test_few_runs_are_stopped_while_urgent_jobs_and_gangs_are_in_time() -> None:
    """Guards against a load like that of `tills` stopping a tenth of its runs.

    The jobs take about nine tenths of all processors.
    """
    report = play(make_tills(44, 15, 1.5))
    assert report.stopped_share < 0.1
    urgent = report.by_class['lookup']
    assert urgent.in_time >= 0.95 * (urgent.offered - urgent.failed)
