"""HTTP client of the platform adapter, with a pool of idle connections.

It parses with httptools on anyio streams, because httpcore and h11 take a
multiple of the processor time for each small request; see docs/CAPACITY.md.
"""

import socket
from collections import deque
from dataclasses import dataclass
from typing import Any

import anyio
import orjson
from anyio.abc import SocketAttribute, SocketStream

from mulberryhitch.configuration.addresses import SocketAddress, parse_address
from mulberryhitch.errors import (
    InvalidInputError,
    OutcomeUnknownError,
    ProtocolError,
    UnreachableError,
)
from mulberryhitch.platform.http_messages import (
    HttpParserError,
    ResponseReader,
    encode_request,
)

_CONNECT_TIMEOUT_SECONDS = 0.5
_MAX_IDLE_CONNECTIONS = 6
_RECEIVE_BYTES = 65_536
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_TCP_USER_TIMEOUT_MILLISECONDS = 3000

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    HttpParserError,
)


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """A status and a decoded JSON object; empty if the body was not one."""

    status: int
    content: dict[str, Any]


class _Connection:
    """A connection; ``is_reused`` once it has delivered a response."""

    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._reader = ResponseReader()
        self.is_reused = False

    async def exchange(self, request_bytes: bytes) -> tuple[int, bytes]:
        """Sends a request; returns the status and body of the response.

        Raises:
            HttpParserError: The response is malformed or too large.
        """
        await self._stream.send(request_bytes)
        size = 0
        while not self._reader.is_complete:
            received = await self._stream.receive(_RECEIVE_BYTES)
            size += len(received)
            if size > _MAX_RESPONSE_BYTES:
                raise HttpParserError(f'over {_MAX_RESPONSE_BYTES} bytes')
            self._reader.receive(received)
        return self._reader.status, self._reader.body

    def prepare_for_reuse(self) -> bool:
        """Prepares for the next request; returns whether that is possible."""
        if not self._reader.is_reusable:
            return False
        self._reader.expect_next()
        self.is_reused = True
        return True

    async def close(self) -> None:
        """Closes the connection without waiting for the peer."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)


class PlatformClient:
    """Sends JSON requests to workers and services of the platform."""

    def __init__(self) -> None:
        """Initialises the client with no connections."""
        self._idle: dict[str, deque[_Connection]] = {}

    async def send(  # noqa: WPS211
        self,
        address: str,
        method: str,
        path: str,
        content: dict[str, Any],
        timeout_seconds: float,
        headers: tuple[tuple[str, str], ...] = (),
        host: str = '',
    ) -> JsonResponse:
        """Sends one request and returns its response.

        Args:
            address: IP address and port.
            method: The HTTP method.
            path: The request target.
            content: The body, sent as JSON.
            timeout_seconds: Time limit for the response.
            headers: Additional headers.
            host: Host header; the address if empty.

        Raises:
            UnreachableError: The connection failed, or the address or a
                header is malformed; nothing was sent.
            OutcomeUnknownError: The request was sent, but no complete
                response was received.
            ProtocolError: The response body is not valid JSON.
        """
        body = orjson.dumps(content)
        request_bytes = encode_request(
            method,
            path,
            (
                ('Host', host or address),
                ('Content-Type', 'application/json'),
                *headers,
            ),
            body,
        )
        connection = await self._acquire(address)
        try:
            with anyio.fail_after(timeout_seconds):
                status, response_body = await connection.exchange(request_bytes)
        except TimeoutError as error:
            await self._close_lost(address, connection)
            raise OutcomeUnknownError(
                f'no response within {timeout_seconds:.3f} s',
                where=f'{address}{path}',
            ) from error
        except _CONNECTION_ERRORS as error:
            await self._close_lost(address, connection)
            raise OutcomeUnknownError(
                f'connection lost: {error!r}', where=f'{address}{path}'
            ) from error
        except anyio.get_cancelled_exc_class():
            await connection.close()
            raise
        await self._release(address, connection)
        return JsonResponse(status, _decode(response_body, address))

    async def _acquire(self, address: str) -> _Connection:
        idle = self._idle.get(address)
        if idle:
            return idle.pop()
        return _Connection(await _connect(address))

    async def _release(self, address: str, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, deque())
        if len(idle) < _MAX_IDLE_CONNECTIONS and connection.prepare_for_reuse():
            idle.append(connection)
        else:
            await connection.close()

    async def _close_lost(self, address: str, connection: _Connection) -> None:
        """Closes a connection, and those that were idle as long as it was."""
        await connection.close()
        if connection.is_reused:
            for idle in self._idle.pop(address, deque()):
                await idle.close()


async def _connect(address: str) -> SocketStream:
    """Opens a connection.

    Raises:
        UnreachableError: The address is malformed, or the connection failed.
    """
    socket_address = _parse_address(address)
    try:
        with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(
                socket_address.host, socket_address.port
            )
        _set_options(stream)
    # ValueError: a host that the standard library can't encode.
    except (OSError, TimeoutError, ValueError) as error:
        raise UnreachableError(
            f'connection failed: {error!r}', where=address
        ) from error
    return stream


def _set_options(stream: SocketStream) -> None:
    """Sets options of a new connection.

    Raises:
        OSError: The peer has reset it already.
    """
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw_socket.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        _TCP_USER_TIMEOUT_MILLISECONDS,
    )


def _parse_address(address: str) -> SocketAddress:
    try:
        return parse_address(address)
    except InvalidInputError as error:
        raise UnreachableError(error.what, where=address) from error


def _decode(body: bytes, where: str) -> dict[str, Any]:
    if not body:
        return {}
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error), where=where) from error
    return content if isinstance(content, dict) else {}
