"""A leader's view of how far one peer's log is replicated."""

import math
from dataclasses import dataclass

import anyio

from mulberryhitch.replication.entry_sizes import stored_bytes
from mulberryhitch.rpc.messages import LogEntry

_ROUND_TRIP_WEIGHT = 0.25


@dataclass(frozen=True, slots=True, eq=False)
class AppendInFlight:
    """An append that has no answer yet.

    Attributes:
        sent_at: When it was sent, in seconds.
        stored_bytes: About the size of its entries.
    """

    sent_at: float
    stored_bytes: int


class Progress:
    """Replication progress of one peer.

    Args:
        replica_id: The peer's id.
        next_index: The index of the first entry to send.
        added_at: When the leader began to send to it, in seconds.

    Attributes:
        last_contact: When the last request that got a reply was sent, in
            seconds.
        unreachable: Whether the last call failed; the peer is then
            contacted only once per heartbeat.
        is_log_full: Whether its log had no room for the last entries sent; it
            is then sent entries only once per heartbeat.
        promised_until: Until when it votes for no other, less the drift.
        receives_snapshot: Whether a snapshot is being sent to it.
        probing: Whether the index up to which the logs match is unknown; the
            peer is then sent one append at a time.
        scope: Cancels the peer's replication task.
    """

    def __init__(
        self, replica_id: str, next_index: int, added_at: float
    ) -> None:
        """Initialises the peer in the probing state."""
        self.replica_id = replica_id
        self.added_at = added_at
        self.next_index = next_index
        self.match_index = 0
        self.last_contact = float()
        self.promised_until = float()
        self._round_trip_seconds = math.inf
        self._in_flight: list[AppendInFlight] = []
        self.receives_snapshot = False
        self.probing = True
        self.sent_commit_index = 0
        self.last_sent = float()
        self.unreachable = False
        self._room_short_since: float | None = None
        self.is_log_full = False
        self.scope = anyio.CancelScope()
        self._woken = anyio.Event()

    @property
    def is_probed(self) -> bool:
        """Whether an append that probes the peer is in flight."""
        return self.probing and bool(self._in_flight)

    @property
    def in_flight_bytes(self) -> int:
        """Returns about the size of the entries that have no answer yet."""
        return sum(append.stored_bytes for append in self._in_flight)

    def may_send(self, window: int, answer_seconds: float) -> bool:
        """Whether another append may be sent now.

        Appends without an answer for ``answer_seconds`` don't count.
        """
        limit = 1 if self.probing else window
        oldest = anyio.current_time() - answer_seconds
        recent = [one for one in self._in_flight if one.sent_at > oldest]
        return len(recent) < limit

    def record_sent(
        self, entries: list[LogEntry], commit_index: int
    ) -> AppendInFlight:
        """Records that an append is in flight, and returns its record."""
        self.last_sent = anyio.current_time()
        append = AppendInFlight(self.last_sent, sum(map(stored_bytes, entries)))
        self._in_flight.append(append)
        self.sent_commit_index = commit_index
        if not self.probing:
            self.next_index += len(entries)
        return append

    @property
    def is_room_short(self) -> bool:
        """Whether its disk refuses ordinary entries."""
        return self._room_short_since is not None

    def room_short_seconds(self, now: float) -> float:
        """Returns for how long its disk has refused ordinary entries."""
        if self._room_short_since is None:
            return 0
        return now - self._room_short_since

    def record_room(self, now: float, *, is_short: bool) -> None:
        """Records whether its disk refuses ordinary entries."""
        if not is_short:
            self._room_short_since = None
        elif self._room_short_since is None:
            self._room_short_since = now

    def record_end(self, append: AppendInFlight) -> None:
        """Records that an append is no longer in flight."""
        self._in_flight.remove(append)

    def record_promise(self, sent_at: float, lease_seconds: float) -> None:
        """Records an answer, and the lease that its promise gives."""
        self.last_contact = max(self.last_contact, sent_at)
        self.promised_until = max(self.promised_until, sent_at + lease_seconds)

    def record_round_trip(self, seconds: float) -> None:
        """Records how long an append and its answer took."""
        if math.isinf(self._round_trip_seconds):
            self._round_trip_seconds = seconds
        change = seconds - self._round_trip_seconds
        self._round_trip_seconds += change * _ROUND_TRIP_WEIGHT

    def resend_seconds(self, election_seconds: float, shortest: float) -> float:
        """Returns after how long an append without an answer may be lost.

        A leader's election time is more than twice its group's round trip.
        """
        likely = max(self._round_trip_seconds * 2, shortest)
        return min(likely, election_seconds / 2)

    def round_trip_seconds_since(self, oldest: float) -> float:
        """Returns the smoothed time of an append and its answer.

        It is infinite if no append sent since ``oldest`` was answered.
        """
        is_recent = self.last_contact > oldest
        return self._round_trip_seconds if is_recent else math.inf

    def record_match(self, index: int) -> None:
        """Records that the peer's log matches up to an index."""
        self.unreachable = False
        self.is_log_full = False
        self.match_index = max(self.match_index, index)
        if self.probing:
            self.probing = False
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_rejection(self, hint: int) -> None:
        """Moves back to where the logs may match and probes from there."""
        self.unreachable = False
        self.probing = True
        hinted_index = min(hint + 1, self.next_index)
        self.next_index = max(self.match_index + 1, hinted_index)

    def record_partial_match(self, index: int) -> None:
        """Records that the peer confirmed only some of the entries sent.

        Its log has no room for the others now; they will be sent again.
        """
        self.record_match(index)
        self.probing = True
        self.is_log_full = True
        self.next_index = self.match_index + 1

    def record_failure(self) -> None:
        """Records a failed call; entries not known to match are resent."""
        self.probing = True
        self.unreachable = True
        self.next_index = self.match_index + 1
        self.sent_commit_index = 0

    def wake(self) -> None:
        """Wakes the peer's replication task."""
        self._woken.set()

    async def wait_until_woken(self) -> None:
        """Waits for :meth:`wake`."""
        await self._woken.wait()
        self._woken = anyio.Event()
