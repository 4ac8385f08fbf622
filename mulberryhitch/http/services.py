"""The endpoint that passes requests on to services."""

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
from mulberryhitch.http.routes import OUTCOME, principal_of, route
from mulberryhitch.requests.messages import (
    HeaderList,
    ServiceRequest,
    ServiceResponse,
)
from mulberryhitch.tenants.authentication import PrincipalRole

_METHODS = ('GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS')
_OWN_HEADERS = frozenset(
    (
        b'authorization',
        b'mulberryhitch-deadline',
        b'mulberryhitch-hop',
        b'mulberryhitch-owner',
        b'mulberryhitch-request-id',
        b'mulberryhitch-tenant',
    ),
)
_LONGEST_DEADLINE_SECONDS = 3600.0
_LONGEST_KEY = 255


@route('/v1/services/{service}/{path:path}', *_METHODS)
async def pass_on(entry: Entry, request: Request) -> Response:
    """Passes a request on to a backend server of a service."""
    principal = principal_of(entry, request)
    principal.require_role(PrincipalRole.tenant, PrincipalRole.operator)
    tenant = principal.acting_tenant(
        request.headers.get('mulberryhitch-tenant', '')
    )
    hop = request.headers.get('mulberryhitch-hop', '')
    if entry.stopping and not hop:
        raise StoppingError('shutting down', retry_after_seconds=1)
    service = request.path_params['service']
    limits = entry.configuration.current.services.get(service)
    if limits is None:
        raise NotFoundError(f'no service named {service}', where='path')
    deadline = _deadline(request, limits.deadline_seconds)
    idempotent, key = _idempotency(request)
    beginning, rest = await _body(entry, request, deadline)
    return _response(
        await entry.router.route(
            ServiceRequest(
                _request_id(request),
                tenant,
                service,
                request.method,
                _target(request),
                _forwarded(request, tenant),
                beginning,
                rest,
                deadline,
                idempotent,
                key,
                hop,
                request.headers['authorization'].encode('latin-1'),
            ),
        )
    )


def _response(answer: ServiceResponse) -> Response:
    headers = [
        (name, value)
        for name, value in answer.headers
        if name.lower()
        not in {b'mulberryhitch-outcome', b'mulberryhitch-request-id'}
    ]
    response: Response
    if answer.remaining_body is None:
        response = Response(answer.body, answer.status)
    else:
        response = StreamingResponse(
            _joined(answer.body, answer.remaining_body), answer.status
        )
    _set_headers(response, headers)
    response.headers[OUTCOME] = answer.outcome.value
    return response


def _set_headers(response: Response, headers: HeaderList) -> None:
    own = [
        (name, value)
        for name, value in response.raw_headers
        if name == b'content-length'
    ]
    response.raw_headers = own + [
        (name.lower(), value) for name, value in headers
    ]


async def _joined(
    beginning: bytes, rest: AsyncIterator[bytes]
) -> AsyncIterator[bytes]:
    yield beginning
    async for part in rest:
        yield part


def _request_id(request: Request) -> str:
    found: str = request.state.request_id
    return found or uuid.uuid4().hex


def _target(request: Request) -> bytes:
    service = request.path_params['service']
    raw_path: bytes = request.scope['raw_path']
    prefix = f'/v1/services/{service}'.encode()
    path = raw_path[len(prefix) :] or b'/'
    query: bytes = request.scope['query_string']
    return b'?'.join((path, query)) if query else path


def _forwarded(request: Request, tenant: str) -> HeaderList:
    headers = [
        (name, value)
        for name, value in request.headers.raw
        if name.lower() not in _OWN_HEADERS
    ]
    headers.append((b'Mulberryhitch-Tenant', tenant.encode()))
    return headers


def _deadline(request: Request, default: float) -> float:
    text = request.headers.get('mulberryhitch-deadline', '')
    try:
        seconds = float(text) if text else default
    except ValueError:
        seconds = -1
    if not 0 <= seconds <= _LONGEST_DEADLINE_SECONDS:
        raise InvalidInputError(
            'a deadline is a number of seconds, at most 3600',
            where='Mulberryhitch-Deadline',
        )
    seconds = min(seconds, max(default, REQUEST_DEADLINE_SECONDS))
    return anyio.current_time() + seconds


def _idempotency(request: Request) -> tuple[bool, str]:
    mark = request.headers.get('mulberryhitch-idempotent', 'true').lower()
    if mark not in {'true', 'false'}:
        raise InvalidInputError(
            'either true or false', where='Mulberryhitch-Idempotent'
        )
    key = request.headers.get('idempotency-key', '')
    if mark == 'false' and not 0 < len(key) <= _LONGEST_KEY:
        raise InvalidInputError(
            'a non-idempotent request needs a key of 1 to 255 characters',
            where='Idempotency-Key',
        )
    return mark == 'true', key


async def _body(
    entry: Entry, request: Request, deadline: float
) -> tuple[bytes, AsyncIterator[bytes] | None]:
    limit = entry.configuration.current.body_limit_bytes
    declared = request.headers.get('content-length', '0')
    if int(declared) > limit:
        raise TooLargeError(f'more than {limit} bytes', where='body')
    stream = request.stream().__aiter__()
    beginning = bytearray()
    try:
        with anyio.fail_after(max(deadline - anyio.current_time(), 0)):
            while len(beginning) <= REQUEST_BODY_BUFFER_BYTES:
                part = await anext(stream, None)
                if part is None:
                    return bytes(beginning), None
                beginning.extend(part)
    except TimeoutError as error:
        raise DeadlinePassedError(
            'the body did not come in time', where='body'
        ) from error
    except ClientDisconnect as gone:
        raise InvalidInputError('the body was cut off') from gone
    return bytes(beginning), _limited(stream, limit - len(beginning))


async def _limited(
    stream: AsyncIterator[bytes], limit: int
) -> AsyncIterator[bytes]:
    left = limit
    try:
        async for part in stream:
            left -= len(part)
            if left < 0:
                raise OutcomeUnknownError(
                    'the body is over the limit; a part was sent',
                    where='body',
                )
            yield part
    except ClientDisconnect as gone:
        raise OutcomeUnknownError(
            'the body was cut off; a part was sent', where='body'
        ) from gone
