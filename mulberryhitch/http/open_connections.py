"""Connections that a process has open, and which of them it gives up first."""

import enum
from collections import Counter
from typing import Final, Protocol

import anyio

from mulberryhitch.freed_memory import FreedMemory
from mulberryhitch.http.steps import SteppedReader, StepQueue
from mulberryhitch.observability.log import Log

_REPORT_SECONDS: Final = 1.0
# Requests of clients that do not wait for their answers, beside all others.
_MAX_HANDLED_AHEAD: Final = 8


class Stage(enum.Enum):
    """What a connection waits for.

    Attributes:
        unread: The client, to read answers.
        discarding: The client, to end a body that was refused.
        ahead: An answer of ours; the client has sent further requests.
        idle: The client, to send a request.
        head: The client, to send the rest of a request's head.
        body: The client, to send the rest of a body.
        answering: An answer of ours.
    """

    unread = 'unread answer'
    discarding = 'endless body'
    ahead = 'requests sent ahead'
    idle = 'idle'
    head = 'slow head'
    body = 'slow body'
    answering = 'answering'


# Clients within the published limits do not get into these.
_GIVEN_UP_FIRST: Final = (Stage.unread, Stage.discarding, Stage.ahead)
_GIVEN_UP_LAST: Final = (Stage.idle, Stage.head, Stage.body)


class ClosableConnection(SteppedReader, Protocol):
    """A connection that can be closed at any time."""

    def give_up(self) -> None:
        """Closes it without sending what is unsent."""


class OpenConnections:
    """The connections of all HTTP servers of a process.

    Beyond the limit the connection that has waited longest for its client is
    closed, first one whose client sends ahead or does not read. If all are
    being answered, the new one is closed.

    Args:
        limit: Maximum number of connections.
        log: Receives counts of the connections, and why they were closed.

    Attributes:
        limit: Maximum number of connections.
        steps: Those with received bytes that wait for their next step.
        ahead_limiter: Those that sent ahead and whose request is handled.
        freed_memory: Gives back the memory of those that have ended.
    """

    def __init__(self, limit: int, log: Log | None = None) -> None:
        """Initialises the connections; there are none."""
        self.limit = limit
        self.steps = StepQueue()
        self.ahead_limiter = anyio.CapacityLimiter(_MAX_HANDLED_AHEAD)
        self.freed_memory = FreedMemory()
        self._log = log
        self._stages: dict[ClosableConnection, Stage] = {}
        # Each is in the order in which the connections began to wait.
        self._waiting: dict[Stage, dict[ClosableConnection, float]] = {
            stage: {} for stage in Stage
        }
        self._closed: Counter[str] = Counter()
        self._reported_at = float('-inf')

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._stages)

    def add(self, connection: ClosableConnection, now: float) -> None:
        """Adds a connection, and closes one if there are too many.

        Args:
            connection: The new connection.
            now: Time in seconds, from any origin.
        """
        self._count('connection.opened')
        self._put(connection, Stage.idle, now)
        if len(self._stages) > self.limit:
            victim = self._longest_waiting(connection)
            self.closed(f'limit {self._stages[victim].value}')
            self.remove(victim)
            victim.give_up()

    def move(
        self, connection: ClosableConnection, stage: Stage, now: float
    ) -> None:
        """Records that a connection waits for something else."""
        previous = self._stages.get(connection)
        if previous is None or previous is stage:
            return
        self._waiting[previous].pop(connection)
        self._put(connection, stage, now)

    def remove(self, connection: ClosableConnection) -> None:
        """Forgets a connection that is closed."""
        self.steps.remove(connection)
        stage = self._stages.pop(connection, None)
        if stage is not None:
            self._waiting[stage].pop(connection)
            self._count('connection.ended')

    def closed(self, reason: str) -> None:
        """Counts a connection that is closed for a reason."""
        self._closed[reason] += 1
        self._count(f'connection.closed.{reason.replace(" ", "_")}')

    def report(self, now: float) -> None:
        """Logs the connections closed since the last report, if any."""
        if not self._closed or now < self._reported_at + _REPORT_SECONDS:
            return
        self._reported_at = now
        if self._log is not None:
            self._log.summary(
                'connection.closed',
                reasons=dict(self._closed),
                open=self.count,
                limit=self.limit,
            )
        self._closed.clear()

    def _put(
        self, connection: ClosableConnection, stage: Stage, now: float
    ) -> None:
        self._stages[connection] = stage
        self._waiting[stage][connection] = now

    def _longest_waiting(
        self, newest: ClosableConnection
    ) -> ClosableConnection:
        for stage in _GIVEN_UP_FIRST:
            if self._waiting[stage]:
                return next(iter(self._waiting[stage]))
        longest = [
            next(iter(self._waiting[stage].items()))
            for stage in _GIVEN_UP_LAST
            if self._waiting[stage]
        ]
        return min(longest, key=_waiting_since, default=(newest, 0))[0]

    def _count(self, event: str) -> None:
        if self._log is not None:
            self._log.count(event)


def _waiting_since(entry: tuple[ClosableConnection, float]) -> float:
    return entry[1]
