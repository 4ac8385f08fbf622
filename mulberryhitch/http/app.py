"""ASGI application of an entry."""

import functools
import re
import uuid
from typing import Any

from starlette.applications import Starlette
from starlette.exceptions import HTTPException
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route
from starlette.types import ASGIApp, Message, Receive, Scope, Send

from mulberryhitch.constants import REQUEST_HEADER_LIMIT_BYTES
from mulberryhitch.errors import (
    HeadersTooLargeError,
    InvalidInputError,
    MulberryhitchError,
    NotFoundError,
    OutcomeUnknownError,
)
from mulberryhitch.http import (
    announcements,
    openapi,
    operators,
    services,
    workloads,
)
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.routes import (
    REQUEST_ID_HEADER,
    Endpoint,
    all_routes,
    problem_response,
)

_MODULES = (announcements, openapi, operators, services, workloads)
_REQUEST_ID_PATTERN = re.compile('[A-Za-z0-9_-]{8,64}')


def make_app(entry: Entry) -> ASGIApp:
    """Returns the application with all registered routes."""
    app = Starlette(
        routes=[
            Route(
                registered.path,
                _with_error_handling(entry, registered.endpoint),
                methods=list(registered.methods),
            )
            for registered in all_routes()
        ],
        exception_handlers={HTTPException: _route_not_found},
    )
    return _RequestIdMiddleware(app)


def _with_error_handling(entry: Entry, endpoint: Endpoint) -> Any:
    @functools.wraps(endpoint)
    async def respond(request: Request) -> Response:
        try:
            _check_headers(request)
            with entry.bodies.reservation() as reservation:
                request.state.body_reservation = reservation
                return await endpoint(entry, request)
        except MulberryhitchError as error:
            entry.metrics.count(f'errors.{error.code}')
            return problem_response(error)
        except ClientDisconnect:
            return problem_response(
                InvalidInputError('the client disconnected')
            )
        except Exception as unexpected_error:  # noqa: BLE001
            entry.log.unexpected_error('http.request', unexpected_error)
            return problem_response(
                OutcomeUnknownError(
                    'unexpected error; the log of this VM has the stack trace',
                    where=entry.member_id,
                ),
            )

    return respond


def _check_headers(request: Request) -> None:
    total = sum(len(name) + len(value) for name, value in request.headers.raw)
    if total > REQUEST_HEADER_LIMIT_BYTES:
        raise HeadersTooLargeError(
            f'{total} bytes exceed the limit of {REQUEST_HEADER_LIMIT_BYTES}',
            where='headers',
        )


async def _route_not_found(request: Request, error: Exception) -> Response:
    return problem_response(
        NotFoundError(
            f'no route for {request.method} {request.url.path}',
            where='path',
        ),
    )


class _RequestIdMiddleware:
    """Returns each request's identifier, new or forwarded, in a header."""

    def __init__(self, app: ASGIApp) -> None:
        self._app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        request_id = _forwarded_request_id(scope) or uuid.uuid4().hex
        scope.setdefault('state', {})['request_id'] = request_id

        async def send_with_id(message: Message) -> None:
            if message['type'] == 'http.response.start':
                header = (
                    REQUEST_ID_HEADER.lower().encode(),
                    request_id.encode(),
                )
                message['headers'] = [*message.get('headers', []), header]
            await send(message)

        await self._app(scope, receive, send_with_id)


def _forwarded_request_id(scope: Scope) -> str:
    """Returns the identifier of a request that another member forwarded.

    It is empty if the request was not forwarded or the value is malformed.
    """
    headers = dict(scope['headers'])
    if b'mulberryhitch-hop' not in headers:
        return ''
    request_id = headers.get(b'mulberryhitch-request-id', b'').decode('latin-1')
    return request_id if _REQUEST_ID_PATTERN.fullmatch(request_id) else ''
