"""A process reports how long its event loop was held up."""

import anyio
import trio

from mulberryhitch.observability.event_loop import EventLoopMonitor
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from tests.replica_group import run_with_mock_clock


def test_a_held_up_event_loop_is_counted_and_measured() -> None:
    log = Log('scheduler@vm-1')
    histograms = Histograms()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(EventLoopMonitor(log, histograms).run)
            await anyio.sleep(0.1)
            # The monitor was to wake up at 0.25 s.
            trio.lowlevel.current_clock().jump(0.6)
            await anyio.sleep(0.5)
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)
    assert log.counts['event_loop.held_up'] == 1
    (summary,) = histograms.summaries()
    assert summary.name == 'held_up'
    assert 0.44 < summary.worst < 0.46
