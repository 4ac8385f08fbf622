"""HTTP server of all programs: uvicorn and its listening sockets."""

import socket
from contextlib import contextmanager
from typing import Any

import uvicorn

from mulberryhitch.errors import UnreachableError

_BACKLOG = 2048


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the program."""

    @contextmanager
    def capture_signals(self) -> Any:
        """Installs no signal handlers."""
        yield


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening TCP socket.

    The protocol is set to TCP explicitly: otherwise asyncio leaves Nagle's
    algorithm enabled on accepted connections.

    Raises:
        UnreachableError: The socket cannot be bound to the address.
    """
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(_BACKLOG)
    except OSError as error:
        listener.close()
        raise UnreachableError(str(error), where=f'{host}:{port}') from error
    return listener
