"""Registry of routes, and the request and response helpers they share."""

from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING, Any, TypeAlias

import orjson
from starlette.requests import Request
from starlette.responses import Response

from mulberryhitch.byte_budget import Reservation
from mulberryhitch.configuration.overlays import (
    ModelType,
    parse_json,
    validate,
)
from mulberryhitch.errors import (
    InvalidInputError,
    MulberryhitchError,
    TooLargeError,
)
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
_MAX_STORED_CHARACTERS = 255


@dataclass(frozen=True, slots=True)
class RegisteredRoute:
    """A route's path, methods and endpoint."""

    path: str
    methods: tuple[str, ...]
    endpoint: Endpoint


_routes: list[RegisteredRoute] = []


def route(path: str, *methods: str) -> Callable[[Endpoint], Endpoint]:
    """Returns a decorator that registers an endpoint."""

    def register(endpoint: Endpoint) -> Endpoint:
        _routes.append(RegisteredRoute(path, methods, endpoint))
        return endpoint

    return register


def all_routes() -> tuple[RegisteredRoute, ...]:
    """Returns all routes in the order of registration."""
    return tuple(_routes)


def principal_of(entry: 'Entry', request: Request) -> Principal:
    """Returns the holder of the request's token.

    Raises:
        UnauthenticatedError: The token is missing or unknown.
    """
    return entry.authenticator.authenticate(
        request.headers.get('authorization', '')
    )


def json_response(
    content: Any, status: int = 200, outcome: Outcome = Outcome.completed
) -> Response:
    """Returns a response with a JSON body."""
    return Response(
        orjson.dumps(content, default=_to_json_value),
        status,
        {OUTCOME_HEADER: outcome.value},
        _JSON_MEDIA_TYPE,
    )


def problem_response(error: MulberryhitchError) -> Response:
    """Returns an error as ``application/problem+json``."""
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
    """Reads a JSON body and returns it as its model.

    Raises:
        InvalidInputError: The body is not JSON or does not fit the model.
        TooLargeError: The body exceeds the size limit.
        OverloadedError: Too many bytes of bodies are held.
    """
    content = bytearray()
    async for chunk in request.stream():
        content.extend(chunk)
        if len(content) > _MAX_JSON_BYTES:
            raise TooLargeError(
                f'the body exceeds {_MAX_JSON_BYTES} bytes', where='body'
            )
        hold_body(request, len(chunk))
    return validate(model, parse_json(bytes(content), 'body'), 'body: ')


def hold_body(request: Request, part_bytes: int) -> None:
    """Counts a part of the body that is held until the request has ended.

    Raises:
        OverloadedError: Too many bytes of bodies are held.
    """
    reservation: Reservation = request.state.body_reservation
    reservation.grow_to(reservation.held_bytes + part_bytes)


def stored_header(request: Request, name: str, default: str = '') -> str:
    """Returns a header that is stored with the request.

    Raises:
        InvalidInputError: It is too long.
    """
    text = request.headers.get(name, default)
    if len(text) > _MAX_STORED_CHARACTERS:
        raise InvalidInputError(
            f'{len(text)} characters; at most {_MAX_STORED_CHARACTERS} are '
            'allowed',
            where=name,
        )
    return text


def _to_json_value(value: Any) -> Any:
    if hasattr(value, 'model_dump'):
        return value.model_dump()
    return asdict(value)
