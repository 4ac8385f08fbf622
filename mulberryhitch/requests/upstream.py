"""Sends requests to one address and reports whether they may have run."""

from collections.abc import AsyncIterator, Callable

import anyio
import httpcore

from mulberryhitch.configuration.addresses import parse_address
from mulberryhitch.constants import (
    RESPONSE_BUFFER_BYTES,
    RPC_CONNECT_TIMEOUT_SECONDS,
    UPSTREAM_KEEPALIVE_SECONDS,
)
from mulberryhitch.errors import OutcomeUnknownError, UnreachableError
from mulberryhitch.requests.messages import (
    HeaderList,
    ServiceRequest,
    ServiceResponse,
)

_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'host',
        b'content-length',
        b'expect',
    ),
)
_BODYLESS = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE'))


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Returns the headers that are not specific to one connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == b'connection'
        for token in value.split(b',')
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _HOP_BY_HOP and name.lower() not in named
    ]


class Upstream:
    """A limited pool of connections to one address.

    Args:
        address: IP address and port.
        connections: Maximum number of open connections.
    """

    def __init__(self, address: str, connections: int) -> None:
        """Initialises the pool, which connects at the first request."""
        socket_address = parse_address(address)
        self._host = socket_address.host.encode()
        self._port = socket_address.port
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=UPSTREAM_KEEPALIVE_SECONDS,
        )

    async def aclose(self) -> None:
        """Closes all connections."""
        await self._pool.aclose()

    async def send(
        self,
        request: ServiceRequest,
        target: bytes,
        extra_headers: HeaderList,
        on_end: Callable[[bool], None],
    ) -> ServiceResponse:
        """Sends a request and returns the response, complete if it is short.

        Args:
            request: The client's request.
            target: Path and query, as the receiver expects them.
            extra_headers: Headers to add.
            on_end: Called once, when the exchange ends, with True if the
                receiver may still be processing the request.

        Raises:
            UnreachableError: No byte can have reached the receiver.
            OutcomeUnknownError: Bytes were sent, but no complete response
                was received.
        """
        exchange = _Exchange(on_end)
        try:  # noqa: WPS225
            return await self._send(request, target, extra_headers, exchange)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
        ) as connect_error:
            exchange.end(still_running=False)
            raise UnreachableError(
                f'could not connect: {connect_error!r}', where=self._address
            ) from connect_error
        except httpcore.PoolTimeout as pool_error:
            exchange.end(still_running=False)
            raise UnreachableError(
                'no connection in the pool became free', where=self._address
            ) from pool_error
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
        ) as connection_error:
            exchange.end(still_running=True)
            raise OutcomeUnknownError(
                f'the connection was lost: {connection_error!r}',
                where=self._address,
            ) from connection_error
        except (httpcore.TimeoutException, TimeoutError) as timeout_error:
            exchange.end(still_running=True)
            raise OutcomeUnknownError(
                'no complete response before the deadline', where=self._address
            ) from timeout_error
        except BaseException:
            exchange.end(still_running=True)
            raise

    async def _send(
        self,
        request: ServiceRequest,
        target: bytes,
        extra_headers: HeaderList,
        exchange: '_Exchange',
    ) -> ServiceResponse:
        remaining_seconds = max(request.deadline - anyio.current_time(), 0)
        upstream_request = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b'http',
                host=self._host,
                port=self._port,
                target=target,
            ),
            headers=self._headers(request, extra_headers),
            content=_request_content(request),
            extensions={
                'timeout': {
                    'connect': min(
                        remaining_seconds, RPC_CONNECT_TIMEOUT_SECONDS
                    ),
                    'pool': min(remaining_seconds, RPC_CONNECT_TIMEOUT_SECONDS),
                    'read': remaining_seconds,
                    'write': remaining_seconds,
                },
            },
        )
        with anyio.fail_after(remaining_seconds):
            upstream_response = await self._pool.handle_async_request(
                upstream_request
            )
            return await self._read_response(
                upstream_response, exchange, request.deadline
            )

    async def _read_response(
        self,
        upstream_response: httpcore.Response,
        exchange: '_Exchange',
        deadline: float,
    ) -> ServiceResponse:
        stream = upstream_response.aiter_stream().__aiter__()
        beginning = bytearray()
        is_complete = False
        try:
            while len(beginning) < RESPONSE_BUFFER_BYTES:
                chunk = await anext(stream, None)
                if chunk is None:
                    is_complete = True
                    break
                beginning.extend(chunk)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await upstream_response.aclose()
            raise
        response = ServiceResponse(
            upstream_response.status,
            end_to_end_headers(upstream_response.headers),
            bytes(beginning),
        )
        if is_complete:
            await upstream_response.aclose()
            exchange.end(still_running=False)
        else:
            response.remaining_body = _stream_remaining_body(
                stream, upstream_response, exchange, deadline
            )
        return response

    def _headers(
        self, request: ServiceRequest, extra_headers: HeaderList
    ) -> HeaderList:
        headers = [(b'Host', self._address.encode())]
        headers.extend(end_to_end_headers(request.headers))
        headers.extend(extra_headers)
        if request.remaining_body is not None:
            headers.append((b'Transfer-Encoding', b'chunked'))
        elif request.body or request.method not in _BODYLESS:
            length = str(len(request.body)).encode()
            headers.append((b'Content-Length', length))
        return headers


class _Exchange:
    """Reports the end of an exchange at most once."""

    def __init__(self, on_end: Callable[[bool], None]) -> None:
        self._on_end = on_end
        self._ended = False

    def end(self, *, still_running: bool) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(still_running)


def _request_content(request: ServiceRequest) -> bytes | AsyncIterator[bytes]:
    if request.remaining_body is None:
        return request.body
    return _stream_request_body(request.body, request.remaining_body)


async def _stream_request_body(
    beginning: bytes, remaining_body: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    if beginning:
        yield beginning
    async for chunk in remaining_body:
        yield chunk


async def _stream_remaining_body(
    stream: AsyncIterator[bytes],
    upstream_response: httpcore.Response,
    exchange: _Exchange,
    deadline: float,
) -> AsyncIterator[bytes]:
    still_running = True
    try:
        while True:
            remaining_seconds = max(deadline - anyio.current_time(), 0)
            with anyio.fail_after(remaining_seconds):
                chunk = await anext(stream, None)
            if chunk is None:
                still_running = False
                return
            yield chunk
    finally:
        exchange.end(still_running=still_running)
        with anyio.CancelScope(shield=True):
            await upstream_response.aclose()
