"""Workers are told which of their listed ends are committed."""

import anyio
import pytest

from mulberryhitch.jobs.model import Step
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import DispatcherHarness
from tests.replica_group import run_with_mock_clock

SMALL = Step(1, 1000, 100, estimate_seconds=0.5)
ACKNOWLEDGEMENT_SECONDS = 4


async def _send_heartbeats(harness: DispatcherHarness, interval: float) -> None:
    while True:
        await anyio.sleep(interval)
        for worker in harness.fleet.workers.values():
            await harness.dispatcher.workers.handle_heartbeat(
                worker.record, worker.clock
            )


@pytest.mark.parametrize('interval', [0.5, 1.5, 60])
def test_the_last_end_of_a_worker_that_becomes_idle_is_acknowledged(
    interval: float,
) -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        worker = harness.fleet.workers['w1']
        async with harness.running():
            harness.task_group.start_soon(_send_heartbeats, harness, interval)
            await harness.submit('j', SMALL)
            await harness.wait('j', JobState.completed)
            assert worker.ended
            await anyio.sleep(ACKNOWLEDGEMENT_SECONDS)
            assert not worker.ended

    run_with_mock_clock(main)


def test_ends_that_a_former_leader_committed_are_acknowledged() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        worker = harness.fleet.workers['w1']
        async with harness.running():
            await harness.submit('j', SMALL)
            await harness.wait('j', JobState.completed)
        assert worker.ended
        async with harness.running(fence=2):
            harness.task_group.start_soon(_send_heartbeats, harness, 1.5)
            await anyio.sleep(ACKNOWLEDGEMENT_SECONDS)
            assert not worker.ended

    run_with_mock_clock(main)
