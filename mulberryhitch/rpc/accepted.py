"""Connections that peers opened, and what the process holds for them.

Each process decides by itself. A peer whose connection is closed connects
again and sends its calls again, as after a lost connection.
"""

import resource
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Final

import anyio
from anyio import lowlevel

from mulberryhitch.constants import (
    BYTES_PER_MEBIBYTE,
    RPC_MAX_FRAME_BYTES,
    SMALLEST_MEMORY_BYTES,
)
from mulberryhitch.observability.log import Log

# The kernel holds up to twice as much for a connection, unread or unsent.
SOCKET_BUFFER_BYTES: Final = 64 * 1024
# Connections that wait to be accepted.
BACKLOG: Final = 32
# The task of a call and its objects, beside the bytes of its frames.
CALL_BYTES: Final = 8 * 1024
# Buffers of the kernel and one read from them.
_CONNECTION_BYTES: Final = 4 * SOCKET_BUFFER_BYTES
_CONNECTIONS_MEMORY_SHARE: Final = 0.25
_HELD_MEMORY_SHARE: Final = 1 / 8
_DESCRIPTOR_SHARE: Final = 0.25
_LEAST_CONNECTIONS: Final = 64
# More are not read from a connection until some of them have ended.
_MAX_CALLS_OF_A_CONNECTION: Final = 256
# Longer than any call lasts whose peer reads the result.
_OVERDUE_SECONDS: Final = 5.0


@dataclass(frozen=True, slots=True)
class AcceptedLimits:
    """What a process holds for connections that peers opened.

    Attributes:
        connections: Maximum number of connections.
        held_bytes: Maximum bytes of calls that are received, served or
            answered.
    """

    connections: int = 1024
    held_bytes: int = 64 * BYTES_PER_MEBIBYTE


def accepted_limits(memory_bytes: int) -> AcceptedLimits:
    """Returns the limits that follow from the memory and the descriptors.

    Args:
        memory_bytes: Memory of the process; zero if unknown.
    """
    memory_bytes = memory_bytes or SMALLEST_MEMORY_BYTES
    usable_bytes = memory_bytes * _CONNECTIONS_MEMORY_SHARE
    connections = int(usable_bytes / _CONNECTION_BYTES)
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if descriptors != resource.RLIM_INFINITY:
        connections = min(connections, int(descriptors * _DESCRIPTOR_SHARE))
    return AcceptedLimits(
        max(connections, _LEAST_CONNECTIONS),
        max(int(memory_bytes * _HELD_MEMORY_SHARE), RPC_MAX_FRAME_BYTES),
    )


class AcceptedConnection:
    """A connection that a peer opened.

    Args:
        scope: Ends the connection when it is cancelled.

    Attributes:
        calls: Those that are received, served or answered.
        is_closed: Whether the connection holds nothing any more.
    """

    def __init__(self, scope: anyio.CancelScope) -> None:
        """Initialises the connection; nothing was received."""
        self._scope = scope
        self._call_ended = anyio.Event()
        self.calls: set[HeldCall] = set()
        self.is_closed = False

    async def wait_for_turn(self) -> None:
        """Waits until the next call may be read.

        Reading does not wait while a buffer holds calls, so that other
        connections get their turn here.
        """
        await lowlevel.checkpoint()
        while len(self.calls) >= _MAX_CALLS_OF_A_CONNECTION:
            self._call_ended = anyio.Event()
            await self._call_ended.wait()

    def end_call(self, call: 'HeldCall') -> None:
        """Forgets a call; the next one may be read."""
        self.calls.discard(call)
        self._call_ended.set()

    def close(self) -> None:
        """Ends the connection and its calls."""
        self.is_closed = True
        self._scope.cancel()


class HeldCall:
    """The bytes that one call of a peer takes.

    Args:
        calls: All calls of the process.
        connection: The connection of the call.
    """

    def __init__(
        self, calls: '_HeldCalls', connection: AcceptedConnection
    ) -> None:
        """Initialises a call without bytes."""
        self._calls = calls
        self.connection = connection
        self.held_bytes = 0
        self.began_at: float = 0

    def hold(self, held_bytes: int) -> None:
        """Records how many bytes the call takes now."""
        self._calls.change(self, held_bytes)

    def release(self) -> None:
        """Records that the call has ended."""
        self._calls.remove(self)


class _HeldCalls:
    """The calls of all connections, the oldest first."""

    def __init__(self, limit_bytes: int, log: Log) -> None:
        self._limit_bytes = limit_bytes
        self._log = log
        self._calls: dict[HeldCall, None] = {}
        self._held_bytes = 0

    def change(self, call: HeldCall, held_bytes: int) -> None:
        """Records a call's bytes; closes connections if there are too many.

        A single call is never too large. The connection of the oldest call
        is closed first: a peer that sends and reads has only young ones.
        """
        if call.connection.is_closed:
            return
        if call not in self._calls:
            self._calls[call] = None
            call.began_at = anyio.current_time()
            call.connection.calls.add(call)
        self._held_bytes += held_bytes - call.held_bytes
        call.held_bytes = held_bytes
        while self._held_bytes > self._limit_bytes and len(self._calls) > 1:
            self._log.count('rpc.closed.held_bytes')
            self.close(next(iter(self._calls)).connection)

    def oldest(self, least_seconds: float = 0) -> AcceptedConnection | None:
        """Returns the connection of the oldest call, if it is old enough."""
        call = next(iter(self._calls), None)
        if call is None:
            return None
        age_seconds = anyio.current_time() - call.began_at
        return call.connection if age_seconds >= least_seconds else None

    def remove(self, call: HeldCall) -> None:
        """Forgets a call."""
        if call in self._calls:
            self._calls.pop(call)
            call.connection.end_call(call)
            self._held_bytes -= call.held_bytes

    def close(self, connection: AcceptedConnection) -> None:
        """Closes a connection and forgets its calls.

        A call whose task was cancelled before it began does not end itself.
        """
        connection.close()
        for call in list(connection.calls):
            self.remove(call)


class AcceptedConnections:
    """The connections that peers opened to a process.

    Beyond the limit one is closed: one that does not read its results, then
    the one that waits longest for its first call, then the one with the
    oldest call, then the one that has been silent for longest.

    Args:
        limits: What the process may hold.
        log: Counts the connections that are closed.
    """

    def __init__(self, limits: AcceptedLimits, log: Log) -> None:
        """Initialises the connections; there are none."""
        self._limit = limits.connections
        self._log = log
        self._calls = _HeldCalls(limits.held_bytes, log)
        self._without_call: dict[AcceptedConnection, None] = {}
        self._with_calls: dict[AcceptedConnection, None] = {}

    @property
    def count(self) -> int:
        """Number of connections."""
        return len(self._without_call) + len(self._with_calls)

    @contextmanager
    def admitted(self) -> Iterator[AcceptedConnection]:
        """Holds a connection, and closes another if there are too many."""
        with anyio.CancelScope() as scope:
            connection = AcceptedConnection(scope)
            if self.count >= self._limit:
                self._close_one()
            self._without_call[connection] = None
            try:
                yield connection
            finally:
                self._forget(connection)
                self._calls.close(connection)

    def begin_call(self, connection: AcceptedConnection) -> HeldCall:
        """Returns the next call of a connection, which holds no bytes yet."""
        return HeldCall(self._calls, connection)

    def record_call(self, connection: AcceptedConnection) -> None:
        """Records that a connection has delivered a call."""
        self._forget(connection)
        if not connection.is_closed:
            self._with_calls[connection] = None

    def _close_one(self) -> None:
        victim = (
            self._calls.oldest(_OVERDUE_SECONDS)
            or next(iter(self._without_call), None)
            or self._calls.oldest()
            or next(iter(self._with_calls))
        )
        self._forget(victim)
        self._log.count('rpc.closed.limit')
        self._calls.close(victim)

    def _forget(self, connection: AcceptedConnection) -> None:
        self._without_call.pop(connection, None)
        self._with_calls.pop(connection, None)
