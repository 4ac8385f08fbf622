"""Sends one request to one address and tells truly what became of it."""

from collections.abc import AsyncIterator, Callable

import anyio
import httpcore

from mulberryhitch.constants import (
    ANSWER_BUFFER_BYTES,
    RPC_CONNECT_TIMEOUT_SECONDS,
    UPSTREAM_KEEPALIVE_SECONDS,
)
from mulberryhitch.errors import OutcomeUnknownError, UnreachableError
from mulberryhitch.requests.messages import (
    HeaderList,
    ServiceAnswer,
    ServiceRequest,
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


def end_to_end(headers: HeaderList) -> HeaderList:
    """The headers that belong to the message, not to one connection."""
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
    """Connections to one address, at most so many.

    Args:
        address: An IP number and port.
        connections: How many connections may be open.
    """

    def __init__(self, address: str, connections: int) -> None:
        """Connects at the first request."""
        host, _, port = address.rpartition(':')
        self._host = host.encode()
        self._port = int(port)
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
        extra: HeaderList,
        on_end: Callable[[bool], None],
    ) -> ServiceAnswer:
        """Sends a request and returns the answer, whole if it is short.

        Args:
            request: What the caller sent.
            target: Path and query, as the other side expects them.
            extra: Headers to add.
            on_end: Called once, when the exchange is over: with True if the
                other side may still be working on it.

        Raises:
            UnreachableError: No byte can have reached the other side.
            OutcomeUnknownError: Bytes were sent; no whole answer came.
        """
        exchange = _Exchange(on_end)
        try:  # noqa: WPS225
            return await self._send(request, target, extra, exchange)
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as refused:
            exchange.end(still_running=False)
            raise UnreachableError(
                'no connection', where=self._address
            ) from refused
        except httpcore.PoolTimeout as crowded:
            exchange.end(still_running=False)
            raise UnreachableError(
                'no connection came free', where=self._address
            ) from crowded
        except (httpcore.NetworkError, httpcore.ProtocolError) as broken:
            exchange.end(still_running=True)
            raise OutcomeUnknownError(
                f'the connection broke: {broken!r}', where=self._address
            ) from broken
        except (httpcore.TimeoutException, TimeoutError) as late:
            exchange.end(still_running=True)
            raise OutcomeUnknownError(
                'no whole answer before the deadline', where=self._address
            ) from late
        except BaseException:
            exchange.end(still_running=True)
            raise

    async def _send(
        self,
        request: ServiceRequest,
        target: bytes,
        extra: HeaderList,
        exchange: '_Exchange',
    ) -> ServiceAnswer:
        left = max(request.deadline - anyio.current_time(), 0)
        upstream = httpcore.Request(
            request.method,
            httpcore.URL(
                scheme=b'http',
                host=self._host,
                port=self._port,
                target=target,
            ),
            headers=self._headers(request, extra),
            content=_content(request),
            extensions={
                'timeout': {
                    'connect': min(left, RPC_CONNECT_TIMEOUT_SECONDS),
                    'pool': min(left, RPC_CONNECT_TIMEOUT_SECONDS),
                    'read': left,
                    'write': left,
                },
            },
        )
        with anyio.fail_after(left):
            response = await self._pool.handle_async_request(upstream)
            return await self._read(response, exchange, request.deadline)

    async def _read(
        self,
        response: httpcore.Response,
        exchange: '_Exchange',
        deadline: float,
    ) -> ServiceAnswer:
        stream = response.aiter_stream().__aiter__()
        beginning = bytearray()
        whole = False
        try:
            while len(beginning) < ANSWER_BUFFER_BYTES:
                part = await anext(stream, None)
                if part is None:
                    whole = True
                    break
                beginning.extend(part)
        except BaseException:
            with anyio.CancelScope(shield=True):
                await response.aclose()
            raise
        answer = ServiceAnswer(
            response.status, end_to_end(response.headers), bytes(beginning)
        )
        if whole:
            await response.aclose()
            exchange.end(still_running=False)
        else:
            answer.rest = _rest(stream, response, exchange, deadline)
        return answer

    def _headers(
        self, request: ServiceRequest, extra: HeaderList
    ) -> HeaderList:
        headers = [(b'Host', self._address.encode())]
        headers.extend(end_to_end(request.headers))
        headers.extend(extra)
        if request.rest is not None:
            headers.append((b'Transfer-Encoding', b'chunked'))
        elif request.body or request.method not in _BODYLESS:
            length = str(len(request.body)).encode()
            headers.append((b'Content-Length', length))
        return headers


class _Exchange:
    """Tells once that an exchange is over."""

    def __init__(self, on_end: Callable[[bool], None]) -> None:
        self._on_end = on_end
        self._ended = False

    def end(self, *, still_running: bool) -> None:
        if not self._ended:
            self._ended = True
            self._on_end(still_running)


def _content(request: ServiceRequest) -> bytes | AsyncIterator[bytes]:
    if request.rest is None:
        return request.body
    return _whole_body(request.body, request.rest)


async def _whole_body(
    beginning: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    if beginning:
        yield beginning
    async for part in rest:
        yield part


async def _rest(
    stream: AsyncIterator[bytes],
    response: httpcore.Response,
    exchange: _Exchange,
    deadline: float,
) -> AsyncIterator[bytes]:
    still_running = True
    try:
        while True:
            left = max(deadline - anyio.current_time(), 0)
            with anyio.fail_after(left):
                part = await anext(stream, None)
            if part is None:
                still_running = False
                return
            yield part
    finally:
        exchange.end(still_running=still_running)
        with anyio.CancelScope(shield=True):
            await response.aclose()
