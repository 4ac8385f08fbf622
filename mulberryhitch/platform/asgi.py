"""What both of the adapter's interfaces share: requests in, answers out."""

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeAlias

import orjson

from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.errors import (
    HeadersTooLargeError,
    InvalidInputError,
    MulberryhitchError,
    OutcomeUnknownError,
    StorageError,
    TooLargeError,
)
from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.outcomes import Outcome

Scope: TypeAlias = dict[str, Any]
Receive: TypeAlias = Callable[[], Awaitable[dict[str, Any]]]
Send: TypeAlias = Callable[[dict[str, Any]], Awaitable[None]]

_MAXIMUM_PATIENCE_SECONDS = 1.5
_PATIENCE_SHARE = 0.4
_RETRY_AFTER = b'1'


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A whole request.

    Attributes:
        patience_seconds: How long an answer may be worked on.
    """

    method: str
    host: str
    path: str
    body: bytes
    patience_seconds: float


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A status and a JSON body."""

    status: int
    content: bytes = b'{}'
    content_type: bytes = b'application/json'


Handler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpReply]]


class Interface:
    """An ASGI application around one handler.

    Args:
        handler: Answers requests.
        log: Where refusals and defects are written.
        limits: The bounds in force.
        closing: Whether connections are to be closed after each answer.
        histograms: Where the times of answers are noted.
    """

    def __init__(
        self,
        handler: Handler,
        log: Log,
        limits: Callable[[], Limits],
        closing: Callable[[], bool],
        histograms: Histograms,
    ) -> None:
        """Answers nothing yet."""
        self._histograms = histograms
        self._handler = handler
        self._log = log
        self._limits = limits
        self._closing = closing
        self.in_flight = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        if scope['type'] != 'http':
            return
        self.in_flight += 1
        began = time.monotonic()
        try:
            reply = await self._answer(scope, receive)
            self._histograms.record(
                'answer',
                scope['method'],
                str(int(reply.status)),
                time.monotonic() - began,
            )
            await self._send(reply, send)
        finally:
            self.in_flight -= 1

    async def _answer(self, scope: Scope, receive: Receive) -> HttpReply:
        try:
            request = await self._read(scope, receive)
            return await self._handler(request)
        except MulberryhitchError as error:
            self._log.problem(
                'request.refused',
                error.problem,
                method=scope['method'],
                path=scope['path'],
                status=status_of(error),
            )
            return HttpReply(
                status_of(error),
                orjson.dumps({'code': error.code, 'what': error.what}),
            )
        except Exception as defect:  # noqa: BLE001
            self._log.unexpected_error('request.defect', defect)
            unknown = OutcomeUnknownError('a defect')
            return HttpReply(status_of(unknown))

    async def _read(self, scope: Scope, receive: Receive) -> HttpRequest:
        headers = dict(scope['headers'])
        limits = self._limits()
        size = sum(len(name) + len(value) for name, value in scope['headers'])
        if size > limits.header_bytes:
            raise HeadersTooLargeError(f'{size} bytes', where='headers')
        parts: list[bytes] = []
        total = 0
        more = True
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                raise InvalidInputError('the caller went away', where='body')
            part = message.get('body', b'')
            total += len(part)
            if total > limits.body_bytes:
                raise TooLargeError(f'over {limits.body_bytes}', where='body')
            parts.append(part)
            more = message.get('more_body', False)
        host = headers.get(b'host', b'').decode('latin-1')
        return HttpRequest(
            scope['method'],
            host.partition(':')[0],
            scope['path'],
            b''.join(parts),
            _patience(headers.get(b'x-deadline-ms', b'')),
        )

    async def _send(self, reply: HttpReply, send: Send) -> None:
        headers = [
            (b'content-type', reply.content_type),
            (b'content-length', str(len(reply.content)).encode()),
        ]
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            headers.append((b'retry-after', _RETRY_AFTER))
        if self._closing():
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': headers,
            },
        )
        await send({'type': 'http.response.body', 'body': reply.content})


def status_of(error: MulberryhitchError) -> int:
    """The status for a failure: 503 only where nothing ran or will run."""
    if error.outcome is Outcome.unknown:
        return HTTPStatus.BAD_GATEWAY
    if isinstance(error, StorageError) or error.status >= 500:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return error.status


def _patience(told: bytes) -> float:
    if not told.isdigit():
        return _MAXIMUM_PATIENCE_SECONDS
    seconds = int(told) / MILLISECONDS_PER_SECOND
    return min(seconds * _PATIENCE_SHARE, _MAXIMUM_PATIENCE_SECONDS)
