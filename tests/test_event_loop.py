"""A process reports how long its event loop was held up."""

import time

import anyio

from mulberryhitch.observability.event_loop import EventLoopMonitor
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log

HELD_UP_SECONDS = 0.6


def test_a_held_up_event_loop_is_counted_and_measured() -> None:
    log = Log('scheduler@vm-1')
    histograms = Histograms()

    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(EventLoopMonitor(log, histograms).run)
            await anyio.sleep(0.1)
            time.sleep(HELD_UP_SECONDS)
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()

    anyio.run(main)
    assert log.counts['event_loop.held_up'] == 1
    (summary,) = histograms.summaries()
    assert summary.name == 'held_up'
    assert 0.4 < summary.worst < HELD_UP_SECONDS
