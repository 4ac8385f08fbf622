"""Frames at internal ports that no process of the cell sends."""

import struct
from collections.abc import Callable

MEBIBYTE = 1024 * 1024
FRAME_BYTES = 16 * MEBIBYTE
# Types of fields in Thrift's binary protocol.
_I64 = 10
_STRING = 11
_STRUCT = 12
_LIST = 15
_CALL = 0x80010001
_STOP = b'\0'
# Numbers of fields.
_REQUEST = 2
_ENTRIES = 8
_ANNOUNCEMENTS = 11
_SILENT_IDS = 5
_UNKNOWN = 99


def _begin(method: bytes) -> bytes:
    return struct.pack('>II', _CALL, len(method)) + method + b'\0\0\0\1'


def _field(kind: int, number: int) -> bytes:
    return struct.pack('>BH', kind, number)


def _request_with_list(
    method: bytes, field_number: int, kind: int, item: bytes
) -> bytes:
    """Returns the largest call without a header whose request is a list."""
    head = (
        _begin(method)
        + _field(_STRUCT, _REQUEST)
        + _field(_LIST, field_number)
        + bytes([kind])
    )
    count = (FRAME_BYTES - len(head) - 6) // len(item)
    return head + struct.pack('>I', count) + item * count + _STOP * 2


def _empty_entries() -> bytes:
    return _request_with_list(b'append', _ENTRIES, _STRUCT, _STOP)


def _entries_with_an_index() -> bytes:
    entry = _field(_I64, 1) + struct.pack('>Q', 2**60 + 1) + _STOP
    return _request_with_list(b'append', _ENTRIES, _STRUCT, entry)


def _short_strings() -> bytes:
    return _request_with_list(b'hello', _SILENT_IDS, _STRING, b'\0\0\0\2ab')


def _empty_announcements() -> bytes:
    return _request_with_list(b'exchange', _ANNOUNCEMENTS, _STRUCT, _STOP)


def _announcements_and_a_string(count: int, length: int) -> bytes:
    """Returns a call with empty announcements and a string of some length."""
    return (
        _begin(b'exchange')
        + _field(_STRUCT, _REQUEST)
        + _field(_STRING, 1)
        + struct.pack('>I', length)
        + b'x' * length
        + _field(_LIST, _ANNOUNCEMENTS)
        + struct.pack('>BI', _STRUCT, count)
        + _STOP * (count + 2)
    )


def _nested_unknown_fields() -> bytes:
    return _begin(b'hello') + _field(_STRUCT, _UNKNOWN) * (
        FRAME_BYTES // 3 - 10
    )


FRAMES: dict[str, Callable[[], bytes]] = {
    'empty entries': _empty_entries,
    'entries with an index': _entries_with_an_index,
    'short strings': _short_strings,
    'empty announcements': _empty_announcements,
    'fewer announcements': lambda: _announcements_and_a_string(350_000, 0),
    'announcements and a string': lambda: _announcements_and_a_string(
        110_000, 12 * MEBIBYTE
    ),
    'announcements and a longer string': lambda: _announcements_and_a_string(
        35_000, 16 * MEBIBYTE - 50_000
    ),
    'nested unknown fields': _nested_unknown_fields,
}
