"""A registry of routes, and the answers that all of them share."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, TypeAlias

import orjson
from starlette.requests import Request
from starlette.responses import Response

from mulberryhitch.configuration.overlays import (
    ModelType,
    parse_json,
    validate,
)
from mulberryhitch.errors import MulberryhitchError, TooLargeError
from mulberryhitch.outcomes import Outcome
from mulberryhitch.tenants.authentication import Principal

if TYPE_CHECKING:
    from mulberryhitch.http.entry import Entry

Endpoint: TypeAlias = Callable[['Entry', Request], Awaitable[Response]]

OUTCOME_HEADER = 'Mulberryhitch-Outcome'
REQUEST_ID_HEADER = 'Mulberryhitch-Request-Id'
_JSON_MEDIA_TYPE = 'application/json'
_PROBLEM_JSON_MEDIA_TYPE = 'application/problem+json'
_MAX_JSON_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class RegisteredRoute:
    """One route."""

    path: str
    methods: tuple[str, ...]
    endpoint: Endpoint


_routes: list[RegisteredRoute] = []


def route(path: str, *methods: str) -> Callable[[Endpoint], Endpoint]:
    """Registers an endpoint under its path and methods."""

    def register(endpoint: Endpoint) -> Endpoint:
        _routes.append(RegisteredRoute(path, methods, endpoint))
        return endpoint

    return register


def all_routes() -> tuple[RegisteredRoute, ...]:
    """All registered routes, in their order."""
    return tuple(_routes)


def principal_of(entry: 'Entry', request: Request) -> Principal:
    """The holder of the request's token.

    Raises:
        UnauthenticatedError: There is none.
    """
    return entry.authenticator.authenticate(
        request.headers.get('authorization', '')
    )


def json_response(
    content: Any, status: int = 200, outcome: Outcome = Outcome.completed
) -> Response:
    """An answer in JSON."""
    return Response(
        orjson.dumps(content, default=_to_json_value),
        status,
        {OUTCOME_HEADER: outcome.value},
        _JSON_MEDIA_TYPE,
    )


def problem_response(error: MulberryhitchError) -> Response:
    """A failure as ``application/problem+json``."""
    headers = {OUTCOME_HEADER: error.outcome.value}
    if error.retry_after_seconds:
        seconds = max(1, round(error.retry_after_seconds))
        headers['Retry-After'] = str(seconds)
    content = {
        'type': f'urn:mulberryhitch:{error.code}',
        'title': (error.__class__.__doc__ or '').splitlines()[0],
        'status': int(error.status),
        'code': error.code,
        'detail': error.what,
        'where': error.where,
        'advice': error.advice,
        'outcome': error.outcome.value,
    }
    return Response(
        orjson.dumps(content),
        int(error.status),
        headers,
        _PROBLEM_JSON_MEDIA_TYPE,
    )


async def json_body(request: Request, model: type[ModelType]) -> ModelType:
    """Reads and checks a JSON body.

    Raises:
        InvalidInputError: It does not fit the model.
        TooLargeError: It is over the limit.
    """
    content = bytearray()
    async for chunk in request.stream():
        content.extend(chunk)
        if len(content) > _MAX_JSON_BYTES:
            raise TooLargeError(
                f'more than {_MAX_JSON_BYTES} bytes', where='body'
            )
    return validate(model, parse_json(bytes(content), 'body'), 'body: ')


def _to_json_value(value: Any) -> Any:
    if hasattr(value, 'model_dump'):
        return value.model_dump()
    return asdict(value)
