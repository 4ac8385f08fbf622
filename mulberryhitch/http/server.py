"""The HTTP server of every program: uvicorn, and its listening sockets."""

import socket
from contextlib import contextmanager
from typing import Any

import uvicorn

from mulberryhitch.errors import UnreachableError

_BACKLOG = 2048


class HttpServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the program."""

    @contextmanager
    def capture_signals(self) -> Any:
        """Captures none."""
        yield


def listen(host: str, port: int) -> socket.socket:
    """Opens a listening TCP socket.

    It names TCP as its protocol, or asyncio would leave Nagle's algorithm on
    for the connections that it accepts.

    Raises:
        UnreachableError: The address can't be listened on.
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
