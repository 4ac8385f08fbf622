"""Bodies that take far more memory or time to handle than to send."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

MakeBody: TypeAlias = Callable[[int], bytes]

# The largest body that a client may send.
CLIENT_BODY_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class CostlyBody:
    """A body of repeated parts, and the request that it belongs to.

    Attributes:
        make: Returns the body, for its size in bytes.
    """

    name: str
    method: str
    path: str
    make: MakeBody


def _repeated(start: bytes, part: bytes, end: bytes) -> MakeBody:
    def make(size: int) -> bytes:
        count = (size - len(start) - len(end)) // (len(part) + 1)
        return start + b','.join([part] * count) + end

    return make


def _numbered(start: bytes, part: bytes, end: bytes) -> MakeBody:
    def make(size: int) -> bytes:
        count = (size - len(start) - len(end)) // (len(part) + 9)
        parts = (part % number for number in range(count))
        return start + b','.join(parts) + end

    return make


def job_bodies(path: str) -> list[CostlyBody]:
    """Returns bodies for the address of clients."""
    kinds = {
        'steps that are numbers': _repeated(b'{"steps":[', b'1', b']}'),
        'empty steps': _repeated(b'{"steps":[', b'{}', b']}'),
        'dependencies that are strings': _repeated(
            b'{"steps":[{"depends_on":[', b'""', b']}]}'
        ),
        'unknown field of lists': _repeated(
            b'{"steps":[{}],"a":[', b'[]', b']}'
        ),
        'unknown field of objects': _repeated(
            b'{"steps":[{}],"a":[', b'{"":0}', b']}'
        ),
        'unknown fields': _numbered(b'{"steps":[{}],', b'"a%d":0', b'}'),
        'lists in lists': lambda size: b'[' * size,
    }
    return [
        CostlyBody(name, 'POST', path, make) for name, make in kinds.items()
    ]
