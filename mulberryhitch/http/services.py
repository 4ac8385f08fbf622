"""Endpoint that forwards requests to services."""

import uuid
from collections.abc import AsyncIterator

import anyio
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response, StreamingResponse

from mulberryhitch.constants import (
    REQUEST_BODY_BUFFER_BYTES,
    REQUEST_DEADLINE_SECONDS,
)
from mulberryhitch.errors import (
    DeadlinePassedError,
    InvalidInputError,
    NotFoundError,
    OutcomeUnknownError,
    StoppingError,
    TooLargeError,
)
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.routes import (
    OUTCOME_HEADER,
    hold_body,
    principal_of,
    route,
)
from mulberryhitch.requests.messages import (
    HeaderList,
    ServiceRequest,
    ServiceResponse,
)
from mulberryhitch.tenants.authentication import PrincipalRole

_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
_REMOVED_HEADERS = frozenset(
    (
        b'authorization',
        b'mulberryhitch-deadline',
        b'mulberryhitch-hop',
        b'mulberryhitch-owner',
        b'mulberryhitch-request-id',
        b'mulberryhitch-tenant',
    ),
)
_MAX_DEADLINE_SECONDS = 3600.0
_MAX_KEY_CHARACTERS = 255


@route('/v1/services/{service}/{path:path}', *_METHODS)
async def forward_request(entry: Entry, request: Request) -> Response:
    """Forwards a request to a backend server of a service."""
    principal = principal_of(entry, request)
    principal.require_role(PrincipalRole.tenant, PrincipalRole.operator)
    tenant = principal.acting_tenant(
        request.headers.get('mulberryhitch-tenant', '')
    )
    forwarded_by = request.headers.get('mulberryhitch-hop', '')
    if entry.stopping and not forwarded_by:
        raise StoppingError(
            'this entry is shutting down', retry_after_seconds=1
        )
    service = request.path_params['service']
    service_configuration = entry.configuration.current.services.get(service)
    if service_configuration is None:
        raise NotFoundError(f'no service named {service}', where='path')
    deadline = _deadline(request, service_configuration.deadline_seconds)
    idempotent, key = _idempotency(request)
    body, remaining_body = await _read_body(entry, request, deadline)
    return _to_http_response(
        await entry.router.route(
            ServiceRequest(
                _request_id(request),
                tenant,
                service,
                request.method,
                _request_target(request),
                _forwarded_headers(request, tenant),
                body,
                remaining_body,
                deadline,
                idempotent,
                key,
                forwarded_by,
                request.headers['authorization'].encode('latin-1'),
            ),
        )
    )


def _to_http_response(service_response: ServiceResponse) -> Response:
    headers = [
        (name, value)
        for name, value in service_response.headers
        if name.lower()
        not in {b'mulberryhitch-outcome', b'mulberryhitch-request-id'}
    ]
    response: Response
    if service_response.remaining_body is None:
        response = Response(service_response.body, service_response.status)
    else:
        response = StreamingResponse(
            _concatenate(
                service_response.body, service_response.remaining_body
            ),
            service_response.status,
        )
    _set_headers(response, headers)
    response.headers[OUTCOME_HEADER] = service_response.outcome.value
    return response


def _set_headers(response: Response, headers: HeaderList) -> None:
    content_length = [
        (name, value)
        for name, value in response.raw_headers
        if name == b'content-length'
    ]
    response.raw_headers = content_length + [
        (name.lower(), value) for name, value in headers
    ]


async def _concatenate(
    body: bytes, remaining_body: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield body
    async for chunk in remaining_body:
        yield chunk


def _request_id(request: Request) -> str:
    request_id: str = request.state.request_id
    return request_id or uuid.uuid4().hex


def _request_target(request: Request) -> bytes:
    service = request.path_params['service']
    raw_path: bytes = request.scope['raw_path']
    prefix = f'/v1/services/{service}'.encode()
    path = raw_path[len(prefix) :] or b'/'
    query: bytes = request.scope['query_string']
    return b'?'.join((path, query)) if query else path


def _forwarded_headers(request: Request, tenant: str) -> HeaderList:
    headers = [
        (name, value)
        for name, value in request.headers.raw
        if name.lower() not in _REMOVED_HEADERS
    ]
    headers.append((b'Mulberryhitch-Tenant', tenant.encode()))
    return headers


def _deadline(request: Request, default_seconds: float) -> float:
    text = request.headers.get('mulberryhitch-deadline', '')
    try:
        seconds = float(text) if text else default_seconds
    except ValueError:
        seconds = -1
    if not 0 <= seconds <= _MAX_DEADLINE_SECONDS:
        raise InvalidInputError(
            f'"{text}" is not a number of seconds from 0 to '
            f'{_MAX_DEADLINE_SECONDS:.0f}',
            where='Mulberryhitch-Deadline',
        )
    seconds = min(seconds, max(default_seconds, REQUEST_DEADLINE_SECONDS))
    return anyio.current_time() + seconds


def _idempotency(request: Request) -> tuple[bool, str]:
    text = request.headers.get('mulberryhitch-idempotent', 'true').lower()
    if text not in {'true', 'false'}:
        raise InvalidInputError(
            f'"{text}" is neither true nor false',
            where='Mulberryhitch-Idempotent',
        )
    key = request.headers.get('idempotency-key', '')
    if text == 'false' and not 0 < len(key) <= _MAX_KEY_CHARACTERS:
        raise InvalidInputError(
            'a non-idempotent request needs a key of 1 to '
            f'{_MAX_KEY_CHARACTERS} characters, not {len(key)}',
            where='Idempotency-Key',
        )
    return text == 'true', key


async def _read_body(
    entry: Entry, request: Request, deadline: float
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    limit_bytes = entry.configuration.current.body_limit_bytes
    declared_bytes = request.headers.get('content-length', '0')
    if int(declared_bytes) > limit_bytes:
        raise TooLargeError(
            f'the body has {declared_bytes} bytes; the limit is {limit_bytes}',
            where='body',
        )
    stream = request.stream().__aiter__()
    body = bytearray()
    try:
        with anyio.fail_after(max(deadline - anyio.current_time(), 0)):
            while len(body) <= REQUEST_BODY_BUFFER_BYTES:
                chunk = await anext(stream, None)
                if chunk is None:
                    return bytes(body), None
                hold_body(request, len(chunk))
                body.extend(chunk)
    except TimeoutError as error:
        raise DeadlinePassedError(
            f'only {len(body)} bytes of the body arrived before the deadline',
            where='body',
        ) from error
    except ClientDisconnect as disconnect:
        raise InvalidInputError(
            f'the client disconnected after {len(body)} bytes of the body'
        ) from disconnect
    return bytes(body), _limit_body(stream, limit_bytes - len(body))


async def _limit_body(
    stream: AsyncIterator[bytes], limit_bytes: int
) -> AsyncIterator[bytes]:
    remaining_bytes = limit_bytes
    try:
        async for chunk in stream:
            remaining_bytes -= len(chunk)
            if remaining_bytes < 0:
                raise OutcomeUnknownError(
                    'the body exceeds the size limit; part of it was sent',
                    where='body',
                )
            yield chunk
    except ClientDisconnect as disconnect:
        raise OutcomeUnknownError(
            'the client disconnected; part of the body was sent', where='body'
        ) from disconnect
