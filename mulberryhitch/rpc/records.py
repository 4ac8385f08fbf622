"""JSON encoding of log entries, operations and their results.

Decoding validates the JSON against the type hints of the data class.
"""

import functools
from collections.abc import Callable
from typing import Any, TypeVar, cast

from pydantic import TypeAdapter, ValidationError

from mulberryhitch.errors import ProtocolError

RecordType = TypeVar('RecordType')
_DataClass = TypeVar('_DataClass', bound=type)

_types_by_kind: dict[str, type] = {}
_kinds_by_type: dict[type, str] = {}


def record(kind: str) -> Callable[[_DataClass], _DataClass]:
    """Registers a data class under a kind."""

    def register(data_class: _DataClass) -> _DataClass:
        _types_by_kind[kind] = data_class
        _kinds_by_type[data_class] = kind
        return data_class

    return register


def kind_of(instance: object) -> str:
    """Returns the kind of an instance of a registered data class."""
    return _kinds_by_type[instance.__class__]


@functools.cache
def _adapter(data_class: Any) -> TypeAdapter[Any]:
    return TypeAdapter(data_class)


def encode(instance: Any) -> bytes:
    """Encodes an instance as JSON."""
    return _adapter(instance.__class__).dump_json(instance)


def decode(kind: str, body: bytes) -> Any:
    """Decodes an instance of a kind.

    Raises:
        ProtocolError: The kind is unknown, or the body is invalid for it.
    """
    data_class = _types_by_kind.get(kind)
    if data_class is None:
        raise ProtocolError('unknown kind', where=kind)
    return decode_as(data_class, body)


def decode_as(data_class: type[RecordType], body: bytes) -> RecordType:
    """Decodes an instance of a class.

    Raises:
        ProtocolError: The body is invalid for the class.
    """
    try:
        instance = _adapter(cast('Any', data_class)).validate_json(body)
    except ValidationError as error:
        raise ProtocolError(str(error), where=data_class.__name__) from error
    return cast('RecordType', instance)
