"""A limit on the memory that a JSON text takes once it is parsed."""

from collections.abc import Iterator
from typing import Final

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.errors import TooLargeError

_QUOTE: Final = b'"'
_BACKSLASH: Final = b'\\'
# So much is split into pieces at once.
_PART_BYTES: Final = 64 * 1024
# CPython's objects, with their places in the containers that hold them.
_OBJECT_BYTES: Final = 192
_ARRAY_BYTES: Final = 64
_MEMBER_BYTES: Final = 40
# A configuration of 8 MiB, with 30,000 routes, takes 27.
_PARSED_LIMIT_BYTES: Final = 32 * BYTES_PER_MEBIBYTE


def parsed_size(content: bytes) -> int:
    """Estimates the memory of a JSON text once it is parsed, in bytes.

    The estimate is from the number of values outside strings, without parsing.
    """
    return sum(
        part.count(b'{') * _OBJECT_BYTES
        + part.count(b'[') * _ARRAY_BYTES
        + part.count(b',') * _MEMBER_BYTES
        for part in _parts_outside_strings(content)
    )


def _parts_outside_strings(content: bytes) -> Iterator[bytes]:
    """Yields the text without its strings, in parts of limited size."""
    content = content.replace(_BACKSLASH * 2, b'')
    content = content.replace(_BACKSLASH + _QUOTE, b'')
    # Each quote that is left begins or ends a string.
    is_string = False
    for start in range(0, len(content), _PART_BYTES):
        pieces = content[start : start + _PART_BYTES].split(_QUOTE)
        yield b''.join(pieces[int(is_string) :: 2])
        is_string ^= len(pieces) % 2 == 0


def check_parsed_size(content: bytes, name: str) -> None:
    """Refuses a JSON text that would take too much memory once parsed.

    A short text may have millions of small values.

    Args:
        content: The text.
        name: What it is, for the error.

    Raises:
        TooLargeError: It would take over 32 MiB.
    """
    parsed_bytes = parsed_size(content)
    if parsed_bytes > _PARSED_LIMIT_BYTES:
        raise TooLargeError(
            f'it has so many values that it would take {parsed_bytes} bytes, '
            f'over {_PARSED_LIMIT_BYTES}',
            where=name,
        )
