"""Limits on the connections of a process, and on the time each may take."""

import os
import resource
from dataclasses import dataclass
from typing import Final

from mulberryhitch.constants import (
    FIRST_REQUEST_TIMEOUT_SECONDS,
    SMALLEST_MEMORY_BYTES,
)

# A connection is closed four rounds of the event loop after it was accepted,
# so that four times as many are open beside the limit.
_ACCEPTED_SHARE: Final = 0.1
_LEAST_ACCEPTED: Final = 4
# A request head and a read beyond it, 64 KiB of a body or of an answer, and
# the objects of the connection and its request.
_CONNECTION_BYTES: Final = 128 * 1024
# The TLS layer has a read buffer of 256 KiB for each connection.
_TLS_BYTES: Final = 256 * 1024
# The rest is for the program, and for large bodies and answers.
_MEMORY_SHARE: Final = 0.25
# The rest is for files, calls to other processes and accepted connections
# that are about to be closed.
_DESCRIPTOR_SHARE: Final = 0.5
_LEAST_CONNECTIONS: Final = 16
# The kernel holds up to twice as much for a connection, unread or unsent.
SOCKET_BUFFER_BYTES: Final = 16 * 1024
# Connections that wait to be accepted hold unread bytes only.
_WAITING_CONNECTION_BYTES: Final = 2 * SOCKET_BUFFER_BYTES
_WAITING_MEMORY_SHARE: Final = 1 / 16
_LEAST_WAITING: Final = 16


@dataclass(frozen=True, slots=True)
class ConnectionTimeouts:
    """How long a connection may wait for its client, in seconds.

    Attributes:
        head_seconds: From the first byte of a request to the end of its
            headers.
        body_seconds: From there to the end of the body.
        idle_seconds: Between an answer and the next request.
        first_request_seconds: Until the first request, if this is longer
            than the limit that all servers have.
        unread_seconds: Until the client reads some of the answers that are
            not sent.
        discard_seconds: For the rest of a body that was refused. The answer
            might be lost if the connection was closed before.
    """

    head_seconds: float = FIRST_REQUEST_TIMEOUT_SECONDS
    body_seconds: float = 300
    idle_seconds: float = 75
    first_request_seconds: float = 0
    unread_seconds: float = 15
    discard_seconds: float = 2


def connection_limit(memory_bytes: int, *, tls: bool = False) -> int:
    """Returns how many connections from clients a process keeps open.

    It follows from the limit of open descriptors and from the memory.

    Args:
        memory_bytes: Memory of the process; zero if unknown.
        tls: Whether the connections are encrypted.
    """
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    connection_bytes = _CONNECTION_BYTES
    if tls:
        connection_bytes += _TLS_BYTES
    usable_bytes = (memory_bytes or SMALLEST_MEMORY_BYTES) * _MEMORY_SHARE
    limit = int(usable_bytes / connection_bytes)
    if descriptors != resource.RLIM_INFINITY:
        limit = min(limit, int(descriptors * _DESCRIPTOR_SHARE))
    return max(limit, _LEAST_CONNECTIONS)


def waiting_limit(memory_bytes: int, share: float = 1) -> int:
    """Returns how many connections may wait to be accepted.

    Args:
        memory_bytes: Memory of the process; zero if unknown.
        share: An address's share of the connections of the process.
    """
    memory_bytes = memory_bytes or SMALLEST_MEMORY_BYTES
    usable_bytes = memory_bytes * _WAITING_MEMORY_SHARE
    limit = int(usable_bytes / _WAITING_CONNECTION_BYTES * share)
    return max(limit, _LEAST_WAITING)


def accepted_at_once(limit: int) -> int:
    """Returns how many connections a server accepts at once.

    Args:
        limit: Number of connections that the process keeps open.
    """
    return max(int(limit * _ACCEPTED_SHARE), _LEAST_ACCEPTED)


def machine_memory_bytes() -> int:
    """Returns the memory of the machine."""
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')
