"""Bodies that take far more memory or time to handle than to send."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeAlias

MakeBody: TypeAlias = Callable[[int], bytes]

# The largest body that a client or a caller of control may send.
CLIENT_BODY_BYTES = 262_144
CONTROL_BODY_BYTES = 8 * 1024 * 1024
# The largest heartbeat of the protocol.
HEARTBEAT_BODY_BYTES = 4 * 1024 * 1024
MOST_STEPS = 20_000


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


_ROUTES = b'{"version":2,"services":[],"routes":['


def invalid_control_bodies() -> list[CostlyBody]:
    """Returns bodies with invalid fields for workers' and operators' address."""
    kinds = {
        'routes that are numbers': _repeated(_ROUTES, b'1', b']}'),
        'empty routes': _repeated(_ROUTES, b'{}', b']}'),
        'services that are numbers': _repeated(
            b'{"version":2,"routes":[],"services":[', b'1', b']}'
        ),
        'keys that are numbers': _repeated(
            b'{"version":2,"routes":[],"services":[],'
            b'"tenants":[{"name":"a","api_keys":[',
            b'1',
            b']}]}',
        ),
    }
    return [
        *_configurations(kinds),
        _heartbeat('labels that are numbers', b'{"labels":[', b'1'),
    ]


def unknown_control_bodies() -> list[CostlyBody]:
    """Returns bodies whose unknown fields take much memory once parsed."""
    kinds = {
        'unknown field of lists': _repeated(_ROUTES + b'],"a":[', b'[]', b']}'),
        'unknown field of objects': _repeated(
            _ROUTES + b'],"a":[', b'{"":0}', b']}'
        ),
        'unknown fields': _numbered(_ROUTES + b'],', b'"a%d":0', b'}'),
    }
    return [
        *_configurations(kinds),
        _heartbeat('unknown field in a heartbeat', b'{"a":[', b'{"":0}'),
    ]


def _configurations(kinds: dict[str, MakeBody]) -> list[CostlyBody]:
    return [
        CostlyBody(name, 'PUT', '/config', make) for name, make in kinds.items()
    ]


def _heartbeat(name: str, start: bytes, part: bytes) -> CostlyBody:
    make = _repeated(start, part, b']}')
    return CostlyBody(name, 'PUT', '/instances/w-1', make)


def job_of_steps(count: int) -> bytes:
    """Returns a job of so many steps."""
    return b'{"steps":[' + b','.join([b'{}'] * count) + b']}'


def configuration_of_many_routes(size: int) -> bytes:
    """Returns a configuration whose last route has an unknown service."""
    route = (
        b'{"name":"r","host":"h","path_prefix":"/%08d/","timeout_ms":3000,'
        b'"service":"s","target_duration_ms":250,"max_attempts":4}'
    )
    count = size // (len(route) + 6)
    routes = [route % number for number in range(count)]
    routes.append(route.replace(b'"s"', b'"unknown"') % count)
    return (
        b'{"version":2,"services":[{"name":"s"}],"routes":['
        + b','.join(routes)
        + b']}'
    )
