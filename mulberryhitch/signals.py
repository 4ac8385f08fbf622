"""Signals that the programs receive: SIGTERM, SIGINT and SIGHUP."""

import signal
import sys
from collections.abc import Callable

import anyio

from mulberryhitch.exit_status import ExitStatus


async def watch_signals(
    stop: anyio.Event, log_cut_off: Callable[[], None]
) -> None:
    """Sets the event on SIGTERM or SIGINT; a second SIGINT exits at once.

    A repeated SIGTERM changes nothing: the graceful shutdown goes on. SIGHUP
    is ignored: changed files are reloaded without it. Once this function is
    cancelled, SIGTERM and SIGHUP are ignored until the process ends.

    Args:
        stop: Set to request a graceful shutdown.
        log_cut_off: Logs the work that an immediate exit cuts off.

    Raises:
        SystemExit: A second SIGINT was received.
    """
    interrupted = False
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async for received in signals:
                stop.set()
                if received != signal.SIGINT:
                    continue
                if interrupted:
                    log_cut_off()
                    sys.exit(int(ExitStatus.cut_off))
                interrupted = True
    finally:
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
