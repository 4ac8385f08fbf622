"""Measures how long the event loop of a process was held up."""

import anyio

from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log

_INTERVAL_SECONDS = 0.25
# A leader whose event loop stands still for longer may lose its lease.
_LOGGED_SECONDS = 0.2


class EventLoopMonitor:
    """Sleeps again and again, and reports each wake-up that came late.

    Late wake-ups have causes in the process (a long computation, a blocking
    call) or outside it (too little processor time, a suspended VM).

    Args:
        log: Receives each long delay.
        histograms: Receives all delays.
    """

    def __init__(self, log: Log, histograms: Histograms) -> None:
        """Initialises the monitor; :meth:`run` starts it."""
        self._log = log
        self._histograms = histograms

    async def run(self) -> None:
        """Measures until cancelled."""
        while True:
            due_at = anyio.current_time() + _INTERVAL_SECONDS
            await anyio.sleep(_INTERVAL_SECONDS)
            self._report(anyio.current_time() - due_at)

    def _report(self, late_seconds: float) -> None:
        self._histograms.record('held_up', 'event_loop', '', late_seconds)
        if late_seconds > _LOGGED_SECONDS:
            self._log.event(
                'event_loop.held_up', seconds=round(late_seconds, 3)
            )
