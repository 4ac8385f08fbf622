"""A lease is over for the leader no earlier than for the worker."""

import anyio
import pytest

from mulberryhitch.jobs.model import Step, WorkerRecord
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import DispatcherHarness, FakeWorker
from tests.replica_group import run_with_mock_clock

LONG_STEP = Step(1, 1000, 100, estimate_seconds=8)
SLOWEST_RATE = 0.98
# Shorter than the time-out of a start.
SLOW_ANSWER_SECONDS = 0.38
CHECK_INTERVAL_SECONDS = 0.25


def _add_slow_workers(harness: DispatcherHarness, count: int) -> None:
    """Adds workers with slow clocks that answer starts slowly."""
    for number in range(count):
        harness.fleet.add_worker(f'w{number}', 1000)
    for worker in harness.fleet.workers.values():
        worker.answer_seconds = SLOW_ANSWER_SECONDS
        worker.clock_rate = SLOWEST_RATE


@pytest.mark.parametrize('phase', range(10))
def test_no_task_starts_elsewhere_while_a_silent_worker_s_lease_lasts(
    phase: int,
) -> None:
    """Slow answers to starts made the leader's bound of the clock too high."""

    async def main() -> None:
        harness = DispatcherHarness()
        _add_slow_workers(harness, 2)
        async with harness.running():
            # By then no lease of an earlier leader can last. The leader's
            # checks come at any time after the lease's end.
            await anyio.sleep(10 + phase * CHECK_INTERVAL_SECONDS / 10)
            await harness.submit('j', LONG_STEP)
            await anyio.sleep(1)
            harness.busy_worker().unresponsive = True
            # The fake workers assert that no task runs twice at a time.
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 2

    run_with_mock_clock(main)


def test_a_clock_that_an_earlier_incarnation_told_is_not_recorded() -> None:
    """A late answer set the clock of a worker that had started again."""

    async def main() -> None:
        harness = DispatcherHarness()
        _add_slow_workers(harness, 1)
        async with harness.running():
            await anyio.sleep(0.5)
            before = harness.fleet.workers['w0']
            before.clock_base -= 1000
            await harness.dispatcher.workers.handle_heartbeat(
                before.record, before.clock
            )
            await harness.submit('j', LONG_STEP)
            await harness.wait_for_starts('j', 1)
            await _restart(harness, born=2)
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 2

    run_with_mock_clock(main)


def test_a_worker_whose_time_of_day_went_back_at_a_restart_is_used_again() -> (
    None
):
    """The leader neither read its lists nor gave it up, for good."""

    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w0', 1000, born=5)
        async with harness.running():
            await harness.submit('j', LONG_STEP)
            await harness.wait_for_starts('j', 1)
            record = await _restart(harness, born=4)
            worker = harness.fleet.workers['w0']
            for _ in range(20):
                await anyio.sleep(1)
                await harness.dispatcher.workers.handle_heartbeat(
                    record, worker.clock
                )
            await harness.wait('j', JobState.completed)

    run_with_mock_clock(main)


async def _restart(harness: DispatcherHarness, born: int) -> WorkerRecord:
    """Replaces w0 by another incarnation, which sends a heartbeat."""
    before = harness.fleet.workers['w0']
    before.crash()
    record = before.record.restarted(born)
    after = FakeWorker(harness.fleet, record)
    harness.fleet.workers['w0'] = after
    await harness.dispatcher.workers.handle_heartbeat(record, after.clock)
    return record
