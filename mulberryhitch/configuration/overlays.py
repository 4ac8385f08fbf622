"""Merging a base with an overlay, and errors that name the path."""

from typing import Any, TypeVar

import orjson
from pydantic import BaseModel, ValidationError

from mulberryhitch.errors import InvalidInputError

ModelType = TypeVar('ModelType', bound=BaseModel)


def merge(base: Any, overlay: Any) -> Any:
    """The base with the overlay's members put over it.

    Objects are merged member by member; null removes a member; all else
    replaces what was there.
    """
    if not isinstance(base, dict) or not isinstance(overlay, dict):
        return overlay
    result = dict(base)
    for name, value in overlay.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merge(result.get(name), value)
    return result


def json_pointer(location: tuple[int | str, ...]) -> str:
    """A place in a document as a JSON pointer."""
    steps = '/'.join(str(step) for step in location)
    return f'/{steps}'


def validate(model: type[ModelType], document: Any, source: str) -> ModelType:
    """Checks a document against its model.

    Raises:
        InvalidInputError: It does not fit; names the source and the path.
    """
    try:
        return model.model_validate(document)
    except ValidationError as error:
        first = error.errors()[0]
        place = json_pointer(first['loc'])
        raise InvalidInputError(
            f'{first["msg"]} ({error.error_count()} in all)',
            where=f'{source}{place}',
        ) from error


def parse_json(text: bytes | str, source: str) -> Any:
    """Reads JSON.

    Raises:
        InvalidInputError: It is no JSON; names the source and the place.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise InvalidInputError(
            f'no JSON: {error.msg}', where=f'{source}:{error.lineno}'
        ) from error
