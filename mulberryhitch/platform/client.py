"""HTTP client of the platform adapter, with a pool of idle connections.

It uses h11 on anyio streams, because httpcore takes more than twice the
processor time for each small request; see docs/CAPACITY.md.
"""

import socket
from collections import deque
from dataclasses import dataclass
from typing import Any

import anyio
import h11
import orjson
from anyio.abc import SocketAttribute, SocketStream

from mulberryhitch.configuration.addresses import check_address
from mulberryhitch.errors import (
    InvalidInputError,
    OutcomeUnknownError,
    ProtocolError,
    UnreachableError,
)

_CONNECT_TIMEOUT_SECONDS = 0.5
_MAX_IDLE_CONNECTIONS = 6
_RECEIVE_BYTES = 65_536
_TCP_USER_TIMEOUT_MILLISECONDS = 3000

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    h11.ProtocolError,
)


@dataclass(frozen=True, slots=True)
class JsonResponse:
    """A status and a decoded JSON object; empty if the body was not one."""

    status: int
    content: dict[str, Any]


class _Connection:
    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._protocol = h11.Connection(h11.CLIENT)

    async def exchange(
        self, head: h11.Request, body: bytes
    ) -> tuple[int, bytes]:
        """Sends a request; returns the status and body of the response."""
        request_bytes = self._protocol.send(head) or b''
        request_bytes += self._protocol.send(h11.Data(data=body)) or b''
        request_bytes += self._protocol.send(h11.EndOfMessage()) or b''
        await self._stream.send(request_bytes)
        status = 0
        parts: list[bytes] = []
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                self._protocol.receive_data(
                    await self._stream.receive(_RECEIVE_BYTES)
                )
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return status, b''.join(parts)

    def prepare_for_reuse(self) -> bool:
        """Prepares for the next request; returns whether that is possible."""
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
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
        head = _make_head(
            method,
            path,
            (
                ('Host', host or address),
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                *headers,
            ),
        )
        connection = await self._acquire(address)
        try:
            with anyio.fail_after(timeout_seconds):
                status, response_body = await connection.exchange(head, body)
        except TimeoutError as error:
            await connection.close()
            raise OutcomeUnknownError(
                f'no response within {timeout_seconds:.3f} s',
                where=f'{address}{path}',
            ) from error
        except _CONNECTION_ERRORS as error:
            await connection.close()
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
        host, port = _host_and_port(address)
        try:
            with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(host, port)
        except (OSError, TimeoutError) as error:
            raise UnreachableError(
                f'connection failed: {error!r}', where=address
            ) from error
        raw_socket = stream.extra(SocketAttribute.raw_socket)
        raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw_socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            _TCP_USER_TIMEOUT_MILLISECONDS,
        )
        return _Connection(stream)

    async def _release(self, address: str, connection: _Connection) -> None:
        idle = self._idle.setdefault(address, deque())
        if len(idle) < _MAX_IDLE_CONNECTIONS and connection.prepare_for_reuse():
            idle.append(connection)
        else:
            await connection.close()


def _make_head(
    method: str, path: str, headers: tuple[tuple[str, str], ...]
) -> h11.Request:
    try:
        return h11.Request(method=method, target=path, headers=list(headers))
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        raise UnreachableError(
            f'request cannot be sent: {error}', where=path
        ) from error


def _host_and_port(address: str) -> tuple[str, int]:
    try:
        check_address(address)
    except InvalidInputError as error:
        raise UnreachableError(error.what, where=address) from error
    host, _, port = address.rpartition(':')
    return host, int(port)


def _decode(body: bytes, where: str) -> dict[str, Any]:
    if not body:
        return {}
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error), where=where) from error
    return content if isinstance(content, dict) else {}
