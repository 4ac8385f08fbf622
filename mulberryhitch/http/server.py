"""HTTP server of all programs: uvicorn and its listening sockets."""

import asyncio
import socket
from contextlib import contextmanager
from functools import partial
from typing import Any, Final, cast

import uvicorn

from mulberryhitch.errors import UnreachableError
from mulberryhitch.http.connection_limits import (
    SOCKET_BUFFER_BYTES,
    waiting_limit,
)
from mulberryhitch.http.open_connections import OpenConnections
from mulberryhitch.http.protocol import FirstRequestTimeoutProtocol

# A tick of the server is a tenth of a second.
_TICKS_BETWEEN_CHECKS: Final = 5


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the program.

    It closes connections whose clients let it wait for too long.

    Args:
        config: Options of the server.
        connections: The open connections of the process.
        most_waiting: How many connections may wait to be accepted; by
            default as many as fit into the smallest memory.
    """

    def __init__(
        self,
        config: uvicorn.Config,
        connections: OpenConnections | None = None,
        most_waiting: int = 0,
    ) -> None:
        """Initialises the server."""
        super().__init__(config)
        self._connections = connections
        self._most_waiting = most_waiting or waiting_limit(0)

    @contextmanager
    def capture_signals(self) -> Any:
        """Installs no signal handlers."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Begins to accept connections.

        The event loop accepts fewer at once; the others wait.
        """
        await super().startup(sockets)
        for listener in sockets or []:
            listener.listen(self._most_waiting)

    async def on_tick(self, counter: int) -> bool:
        """Closes overdue connections; returns whether to stop."""
        if counter % _TICKS_BETWEEN_CHECKS == 0:
            self._close_overdue_connections()
        return await super().on_tick(counter)

    async def shutdown(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Answers what was read, as far as clients read the answers.

        A request whose answer waits for its client would otherwise keep the
        process from ending.
        """
        await super().shutdown(sockets)
        for connection in self._protocols():
            if connection.has_unsent_answers:
                connection.give_up()

    def _close_overdue_connections(self) -> None:
        now = asyncio.get_running_loop().time()
        for connection in self._protocols():
            connection.close_if_overdue(now)
        if self._connections is not None:
            self._connections.report(now)

    def _protocols(self) -> list[FirstRequestTimeoutProtocol]:
        return [
            connection
            for connection in self.server_state.connections
            if isinstance(connection, FirstRequestTimeoutProtocol)
        ]


def bounded_protocol(**options: Any) -> type[asyncio.Protocol]:
    """Returns the protocol class for uvicorn's option ``http``.

    Args:
        options: The keyword arguments ``connections`` and ``timeouts`` of
            :class:`FirstRequestTimeoutProtocol`.
    """
    factory = partial(FirstRequestTimeoutProtocol, **options)
    return cast('type[asyncio.Protocol]', factory)


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    The protocol is set to TCP explicitly: otherwise asyncio leaves Nagle's
    algorithm enabled on accepted connections. These inherit the sizes of the
    kernel's buffers, also while they wait to be accepted.

    Raises:
        UnreachableError: The socket cannot be bound to the address.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            listener.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        listener.bind((host, port))
        listener.listen(waiting_limit(0))
    except OSError as error:
        listener.close()
        raise UnreachableError(str(error), where=f'{host}:{port}') from error
    return listener
