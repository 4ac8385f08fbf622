"""Merging and validation of JSON documents, with errors by path."""

from typing import Any, TypeVar

import orjson
from pydantic import BaseModel, ValidationError

from mulberryhitch.errors import InvalidInputError

ModelType = TypeVar('ModelType', bound=BaseModel)


def merge(base: Any, overlay: Any) -> Any:
    """Returns the base merged with the overlay.

    Objects are merged member by member; null removes a member; any other
    value replaces the base's.
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
    """Returns a location in a document as a JSON pointer."""
    steps = '/'.join(str(step) for step in location)
    return f'/{steps}'


def validate(model: type[ModelType], document: Any, source: str) -> ModelType:
    """Validates a document and returns it as its model.

    Raises:
        InvalidInputError: The document is invalid; gives the source and path.
    """
    try:
        return model.model_validate(document)
    except ValidationError as error:
        first = error.errors()[0]
        pointer = json_pointer(first['loc'])
        raise InvalidInputError(
            f'{first["msg"]} (total errors: {error.error_count()})',
            where=f'{source}{pointer}',
        ) from error


def parse_json(text: bytes | str, source: str) -> Any:
    """Parses JSON.

    Raises:
        InvalidInputError: The text is not JSON; gives the source and line.
    """
    try:
        return orjson.loads(text)
    except orjson.JSONDecodeError as error:
        raise InvalidInputError(
            f'invalid JSON: {error.msg}', where=f'{source}:{error.lineno}'
        ) from error
