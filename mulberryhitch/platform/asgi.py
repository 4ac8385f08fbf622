"""ASGI application shared by the adapter's HTTP interfaces."""

import math
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from http import HTTPMethod, HTTPStatus
from typing import Any, TypeAlias

import anyio
import orjson

from mulberryhitch.byte_budget import (
    SMALL_BYTES,
    RequestBudgets,
    Reservation,
)
from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.errors import (
    DeadlinePassedError,
    HeadersTooLargeError,
    InvalidInputError,
    MulberryhitchError,
    OutcomeUnknownError,
    OverloadedError,
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

_MAX_TIMEOUT_SECONDS = 1.5
_DEADLINE_SHARE = 0.4
_RETRY_AFTER_SECONDS = 1
# Statuses of requests that did not run and may be sent again later.
_RETRYABLE_STATUSES = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)
_BODY_IDLE_SECONDS = 15.0
_LEAST_BLOCK_BYTES = 4096
# Responses that a connection's own buffer holds are not counted.
_RESPONSE_PART_BYTES = SMALL_BYTES
_RESPONSE_IDLE_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A complete HTTP request.

    Attributes:
        timeout_seconds: Time limit for handling the request.
        authorization: The header of that name; empty if there is none.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout_seconds: float
    authorization: str = ''


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """An HTTP response; the body is JSON by default.

    Attributes:
        retry_after_seconds: Delay before the request may be sent again, if the
            status allows it.
    """

    status: int
    content: bytes = b'{}'
    content_type: bytes = b'application/json'
    retry_after_seconds: int = _RETRY_AFTER_SECONDS


Handler: TypeAlias = Callable[[HttpRequest], Awaitable[HttpResponse]]


class AsgiApplication:
    """ASGI application that passes each request to one handler.

    Args:
        handler: Handles a request and returns the response.
        log: Receives refused requests and unexpected errors.
        limits: Returns the active size limits.
        is_closing: Whether to close each connection after its response.
        histograms: Receives the response times.
        budgets: Limits that all applications of a process share; by default
            it has its own.
    """

    def __init__(
        self,
        handler: Handler,
        log: Log,
        limits: Callable[[], Limits],
        is_closing: Callable[[], bool],
        histograms: Histograms,
        budgets: RequestBudgets | None = None,
    ) -> None:
        """Initialises the application; no request is in flight."""
        self._histograms = histograms
        self._handler = handler
        self._log = log
        self._limits = limits
        self._is_closing = is_closing
        self._budgets = budgets or RequestBudgets()
        self.in_flight = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles one request; ignores scopes other than HTTP."""
        if scope['type'] != 'http':
            return
        self.in_flight += 1
        started_at = time.monotonic()
        try:
            response = await self._respond_unless_cut_off(scope, receive, send)
            with self._budgets.answers.reservation() as reservation:
                response = self._admit(response, scope, reservation)
                self._histograms.record(
                    'answer',
                    _method_label(scope['method']),
                    str(int(response.status)),
                    time.monotonic() - started_at,
                )
                await self._send(response, send)
        finally:
            self.in_flight -= 1

    async def _respond_unless_cut_off(
        self, scope: Scope, receive: Receive, send: Send
    ) -> HttpResponse:
        """Returns the response; if cancelled, sends one and raises again."""
        try:
            return await self._respond(scope, receive)
        except anyio.get_cancelled_exc_class():
            error = OutcomeUnknownError('cut off by the end of the shutdown')
            self._log.problem(
                'request.cut_off',
                error.problem,
                method=scope['method'],
                path=scope['path'],
            )
            await self._send(_error_response(error), send)
            raise

    async def _respond(self, scope: Scope, receive: Receive) -> HttpResponse:
        try:
            with self._budgets.bodies.reservation() as reservation:
                request = await self._read(scope, receive, reservation)
                return await self._handler(request)
        except MulberryhitchError as error:
            return self._refuse(error, scope)
        except Exception as unexpected_error:  # noqa: BLE001
            self._log.unexpected_error('request.defect', unexpected_error)
            unknown = OutcomeUnknownError('unexpected error')
            return HttpResponse(http_status_of(unknown))

    def _refuse(self, error: MulberryhitchError, scope: Scope) -> HttpResponse:
        error.forget_frames()
        self._log.problem(
            'request.refused',
            error.problem,
            **error.summary_fields,
            method=scope['method'],
            path=scope['path'],
            status=http_status_of(error),
            **error.log_fields,
        )
        return _error_response(error)

    def _admit(
        self, response: HttpResponse, scope: Scope, reservation: Reservation
    ) -> HttpResponse:
        """Returns the response, or a refusal if too many are being sent.

        Only reads have large responses, so nothing has run.
        """
        size = len(response.content)
        if size <= _RESPONSE_PART_BYTES:
            return response
        try:
            reservation.grow_to(size)
        except OverloadedError as error:
            return self._refuse(error, scope)
        return response

    async def _read(
        self, scope: Scope, receive: Receive, reservation: Reservation
    ) -> HttpRequest:
        headers = dict(scope['headers'])
        limits = self._limits()
        size = sum(len(name) + len(value) for name, value in scope['headers'])
        if size > limits.header_bytes:
            raise HeadersTooLargeError(
                f'headers have {size} bytes, over {limits.header_bytes}',
                where='headers',
            )
        body = await _read_body(receive, limits.body_bytes, reservation)
        host = headers.get(b'host', b'').decode('latin-1')
        return HttpRequest(
            scope['method'],
            host.partition(':')[0],
            scope['path'],
            body,
            _timeout_seconds(headers.get(b'x-deadline-ms', b'')),
            headers.get(b'authorization', b'').decode('latin-1'),
        )

    async def _send(self, response: HttpResponse, send: Send) -> None:
        headers = [
            (b'content-type', response.content_type),
            (b'content-length', str(len(response.content)).encode()),
        ]
        if response.status in _RETRYABLE_STATUSES:
            seconds = str(response.retry_after_seconds).encode()
            headers.append((b'retry-after', seconds))
        if self._is_closing():
            headers.append((b'connection', b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': response.status,
                'headers': headers,
            },
        )
        try:
            await _send_body(response.content, send)
        except TimeoutError:
            self._log.event(
                'response.unread',
                seconds=_RESPONSE_IDLE_SECONDS,
                size=len(response.content),
            )


class _BodyBuffer:
    """Parts of a body; small ones are put together.

    Each object has an overhead of tens of bytes, and a single large buffer
    would be copied again and again as it grows.

    Attributes:
        size: Number of bytes.
    """

    def __init__(self) -> None:
        self.size = 0
        self._blocks = [bytearray()]

    def add(self, part: bytes) -> None:
        """Appends a part."""
        self.size += len(part)
        if len(self._blocks[-1]) >= _LEAST_BLOCK_BYTES:
            self._blocks.append(bytearray(part))
        else:
            self._blocks[-1] += part

    def joined(self) -> bytes:
        """Returns the whole body."""
        return b''.join(self._blocks)


async def _read_body(
    receive: Receive, limit_bytes: int, reservation: Reservation
) -> bytes:
    """Reads a body.

    Raises:
        TooLargeError: It is longer than the limit.
        OverloadedError: Too many bytes of bodies are held.
        DeadlinePassedError: No part arrived for some time.
        InvalidInputError: The client left before the end.
    """
    body = _BodyBuffer()
    more = True
    while more:
        message = await _receive_part(receive, body.size)
        if message['type'] == 'http.disconnect':
            raise InvalidInputError(
                f'client disconnected after {body.size} bytes of the body',
                where='body',
            )
        body.add(message.get('body', b''))
        if body.size > limit_bytes:
            raise TooLargeError(
                f'body is over {limit_bytes} bytes', where='body'
            )
        reservation.grow_to(body.size)
        more = message.get('more_body', False)
    return body.joined()


async def _receive_part(receive: Receive, received_bytes: int) -> Any:
    try:
        with anyio.fail_after(_BODY_IDLE_SECONDS):
            return await receive()
    except TimeoutError as error:
        raise DeadlinePassedError(
            f'no more than {received_bytes} bytes of the body came',
            where='body',
        ) from error


async def _send_body(content: bytes, send: Send) -> None:
    """Sends a body in parts, each once the client has read most before it.

    Raises:
        TimeoutError: The client has read nothing for some time.
    """
    end = max(len(content), 1)
    for start in range(0, end, _RESPONSE_PART_BYTES):
        stop = start + _RESPONSE_PART_BYTES
        with anyio.fail_after(_RESPONSE_IDLE_SECONDS):
            await send(
                {
                    'type': 'http.response.body',
                    'body': content[start:stop],
                    'more_body': stop < end,
                },
            )


def _method_label(method: str) -> str:
    """Returns a method of the standard, or ``other``."""
    return method if method in HTTPMethod.__members__ else 'other'


def _error_response(error: MulberryhitchError) -> HttpResponse:
    return HttpResponse(
        http_status_of(error),
        orjson.dumps({'code': error.code, 'what': error.what}),
        retry_after_seconds=max(
            _RETRY_AFTER_SECONDS, math.ceil(error.retry_after_seconds)
        ),
    )


def http_status_of(error: MulberryhitchError) -> int:
    """Returns an error's HTTP status; 503 means nothing ran or will run."""
    if error.outcome is Outcome.unknown:
        return HTTPStatus.BAD_GATEWAY
    if isinstance(error, StorageError) or error.status >= 500:
        return HTTPStatus.SERVICE_UNAVAILABLE
    return error.status


def _timeout_seconds(deadline_ms: bytes) -> float:
    if not deadline_ms.isdigit():
        return _MAX_TIMEOUT_SECONDS
    seconds = int(deadline_ms) / MILLISECONDS_PER_SECOND
    return min(seconds * _DEADLINE_SHARE, _MAX_TIMEOUT_SECONDS)
