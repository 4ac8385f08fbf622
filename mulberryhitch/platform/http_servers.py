"""HTTP servers of a process on the platform, which share their limits."""

from collections.abc import Callable
from typing import Final

import uvicorn

from mulberryhitch.http.connection_limits import (
    ConnectionTimeouts,
    accepted_at_once,
    connection_limit,
    waiting_limit,
)
from mulberryhitch.http.open_connections import OpenConnections
from mulberryhitch.http.server import HttpServer, bounded_protocol
from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import AsgiApplication

# Longer than any request takes.
LAST_ANSWER_SECONDS: Final = 2
# A head may arrive in several reads, and has a request line and separators
# beside the bytes that the limit counts.
_MAX_HEAD_BYTES: Final = 32 * 1024
# A client that uses its limits fully is not closed by an event loop that is
# held up.
_TIMEOUT_MARGIN_SECONDS: Final = 2.0
_BODY_SECONDS: Final = 60.0
# Idle connections are closed by the limit of the configuration: uvicorn's own
# must not come before a longer one.
_KEEP_ALIVE_SECONDS: Final = 24 * 60 * 60
# Of the connections that wait to be accepted. A process has one main address
# and two others at most.
_MAIN_SHARE: Final = 0.75
_OTHER_SHARE: Final = 0.125


class HttpServers:
    """Makes the servers of a process, with one limit on their connections.

    Args:
        memory_bytes: Memory of the process; zero if unknown.
        log: Receives counts of connections, and why they were closed.
        limits: Returns the limits of the configuration in force.
    """

    def __init__(
        self, memory_bytes: int, log: Log, limits: Callable[[], Limits]
    ) -> None:
        """Initialises the limit."""
        self._memory_bytes = memory_bytes
        self._connections = OpenConnections(connection_limit(memory_bytes), log)
        self._limits = limits

    def make(
        self, application: AsgiApplication, *, is_main: bool = False
    ) -> HttpServer:
        """Returns a server for an application.

        Args:
            application: What it serves.
            is_main: Whether it serves clients, or workers and operators;
                others need few connections.
        """
        share = _MAIN_SHARE if is_main else _OTHER_SHARE
        return HttpServer(
            uvicorn.Config(
                application,
                loop='asyncio',
                http=bounded_protocol(
                    connections=self._connections, timeouts=self._timeouts
                ),
                h11_max_incomplete_event_size=_MAX_HEAD_BYTES,
                backlog=accepted_at_once(self._connections.limit),
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                server_header=False,
                date_header=False,
                timeout_keep_alive=_KEEP_ALIVE_SECONDS,
                timeout_graceful_shutdown=LAST_ANSWER_SECONDS,
            ),
            self._connections,
            waiting_limit(self._memory_bytes, share),
        )

    def _timeouts(self) -> ConnectionTimeouts:
        limits = self._limits()
        idle_seconds = limits.idle_seconds + _TIMEOUT_MARGIN_SECONDS
        return ConnectionTimeouts(
            head_seconds=limits.header_seconds + _TIMEOUT_MARGIN_SECONDS,
            body_seconds=max(_BODY_SECONDS, idle_seconds),
            idle_seconds=idle_seconds,
            # A head may begin when the connection has been idle for as long
            # as it may be.
            first_request_seconds=idle_seconds + limits.header_seconds,
        )
