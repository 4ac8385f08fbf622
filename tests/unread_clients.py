"""Clients that send ahead, send slowly or leave, and do not read answers."""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from tests.platform_harness import HOST

Address = tuple[str, int]

PIPELINED_REQUESTS = 3000
_CHUNK_BYTES = 16 * 1024
_RETRY_SECONDS = 0.2
_SLOW_BYTE_SECONDS = 0.05
_ENDLESS_CHUNK = b'1000\r\n' + b'x' * 0x1000 + b'\r\n'
_FEW_HEADERS = 3000
_MANY_HEADERS = 30_000
# The peer gets a reset rather than an orderly end.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What each connection of a kind of client sends.

    Attributes:
        parts: Returns the parts that are sent one after another; the client
            then leaves the connection open.
        pause_seconds: Time between two parts.
        endless: Whether the last part is repeated.
        leaves: Whether the client resets the connection after the last part
            and connects again.
    """

    name: str
    parts: Callable[[], list[bytes]]
    pause_seconds: float = 0
    endless: bool = False
    leaves: bool = False


def request(
    method: str, path: str, *headers: str, host: str = HOST, body: str = ''
) -> bytes:
    """Returns the bytes of one request, without ``Host`` if that is empty."""
    lines = [f'{method} {path} HTTP/1.1']
    if host:
        lines.append(f'Host: {host}')
    if body:
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, *headers, '', body)).encode()


def pipelined(name: str, one: bytes) -> Behaviour:
    """Sends many requests at once and reads no answer."""
    return Behaviour(
        name, lambda: _split(one * PIPELINED_REQUESTS, _CHUNK_BYTES)
    )


def leaving(name: str, one: bytes) -> Behaviour:
    """Sends a few requests and resets the connection before the answers."""
    return Behaviour(name, lambda: [one * 5], pause_seconds=0.02, leaves=True)


def slow_and_odd(method: str, path: str) -> list[Behaviour]:
    """Returns the kinds of clients that send slowly, oddly or nothing."""
    head = f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'.encode()
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
    sized = head + b'Content-Length: 200000\r\n\r\n'
    return [
        Behaviour('idle connections', lambda: []),
        Behaviour(
            'heads byte by byte',
            lambda: _split(head + b'X: ' + b'x' * 4000, 1),
            _SLOW_BYTE_SECONDS,
        ),
        Behaviour(
            'bodies byte by byte',
            lambda: [sized, *_split(b'x' * 4000, 1)],
            _SLOW_BYTE_SECONDS,
        ),
        Behaviour(
            'short headers', lambda: [head + b'a:\r\n' * _FEW_HEADERS + b'\r\n']
        ),
        Behaviour(
            'thousands of headers',
            lambda: _split(
                head + b'X-A: bcdefgh\r\n' * _MANY_HEADERS, _CHUNK_BYTES
            ),
        ),
        Behaviour(
            'endless bodies', lambda: [chunked, _ENDLESS_CHUNK], endless=True
        ),
    ]


class Clients:
    """Clients of one behaviour, each with a connection to an address.

    A client whose connection is refused or closed connects again.
    """

    def __init__(
        self, behaviour: Behaviour, address: Address, count: int
    ) -> None:
        self._behaviour = behaviour
        self._address = address
        self._count = count
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> 'Clients':
        self._tasks = [
            asyncio.create_task(self._run()) for _ in range(self._count)
        ]
        return self

    async def __aexit__(self, *details: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            with socket.socket() as connection, suppress(OSError):
                connection.setblocking(False)
                await self._send(connection)
            await asyncio.sleep(_RETRY_SECONDS)

    async def _send(self, connection: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, self._address)
        part = b''
        for part in self._behaviour.parts():
            await loop.sock_sendall(connection, part)
            await asyncio.sleep(self._behaviour.pause_seconds)
        while self._behaviour.endless:
            await loop.sock_sendall(connection, part)
        if self._behaviour.leaves:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            return
        await self._wait_closed(connection)

    async def _wait_closed(self, connection: socket.socket) -> None:
        """Waits until the peer resets the connection; reads nothing."""
        while not connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            await asyncio.sleep(_RETRY_SECONDS)


def _split(data: bytes, size: int) -> list[bytes]:
    return [data[start : start + size] for start in range(0, len(data), size)]
