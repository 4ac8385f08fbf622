"""Accepted jobs are not left waiting, and not forgotten."""

import anyio

from mulberryhitch.jobs.model import Step
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import DispatcherHarness
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
