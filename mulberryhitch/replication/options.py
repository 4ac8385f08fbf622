"""Timing and size settings of a replicated log."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mulberryhitch.constants import RPC_MAX_FRAME_BYTES

_MAX_ELECTION_FACTOR = 8


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Timings in seconds, and sizes in entries or bytes.

    Attributes:
        heartbeat_seconds: Maximum interval between a leader's appends.
        election_seconds: Time without contact during which a follower still
            accepts its leader; elections start after 1 to 2 times as long.
        drift_seconds: Maximum clock drift over one election time; over a
            longer time it is proportionally longer.
        call_seconds: Timeout of a call that sends a snapshot chunk.
        disk_timeout_seconds: Time without an answer of its disk after which a
            leader hands over.
        batch_entries: Maximum entries in one append.
        batch_bytes: Maximum size of the entries in one append; a larger entry
            is sent on its own.
        commit_notify_seconds: Maximum delay before a follower is notified
            of newly committed entries; zero notifies it immediately.
        window: Maximum appends in flight to one peer.
        max_in_flight_bytes: Size of the entries in flight to one peer from
            which on no further ones are sent.
        compact_entries: Applied entries after which a snapshot is taken.
        compact_bytes: Growth of the log after which a snapshot is taken, unless
            the former snapshot is larger.
        max_log_bytes: Maximum size of a leader's log; a proposal for which it
            has no room is refused until a snapshot has been taken.
        chunk_bytes: Maximum size of a snapshot chunk.
        repair_seconds: Time without contact after which a voter is replaced
            by a spare, or a learner removed.
        reconcile_seconds: Interval between membership checks.
        target_voters: Number of voters in a complete group; zero for as many
            as there are initial VMs.
        data_centre: Where this replica is; empty if unknown.
        may_bootstrap: Whether a new group may be bootstrapped when no replica
            has a log.
        suspended: Returns how long this VM has been suspended, in seconds,
            which the monotonic clock does not include.
    """

    heartbeat_seconds: float = 0.15
    election_seconds: float = 0.8
    drift_seconds: float = 0.1
    call_seconds: float = 2.0
    disk_timeout_seconds: float = 1.0
    batch_entries: int = 256
    batch_bytes: int = 4_194_304
    commit_notify_seconds: float = 0
    window: int = 4
    max_in_flight_bytes: int = 4_194_304
    compact_entries: int = 20_000
    compact_bytes: int = 8_388_608
    max_log_bytes: int = 33_554_432
    chunk_bytes: int = 1_048_576
    repair_seconds: float = 60.0
    reconcile_seconds: float = 0.8
    target_voters: int = 0
    data_centre: str = ''
    may_bootstrap: bool = True
    suspended: Callable[[], float] = float

    @property
    def max_election_seconds(self) -> float:
        """Returns the longest election time that a slow group may use."""
        return self.election_seconds * _MAX_ELECTION_FACTOR

    @property
    def retained_entries(self) -> int:
        """Returns how many entries a snapshot leaves for lagging peers."""
        return self.compact_entries // 4

    @property
    def retained_bytes(self) -> int:
        """Returns the maximum size of these entries."""
        return min(self.compact_bytes // 2, self.max_log_bytes // 8)

    @property
    def max_queued_bytes(self) -> int:
        """Returns the maximum size of the proposals that wait to be written."""
        return self.max_log_bytes // 4

    @property
    def max_proposal_bytes(self) -> int:
        """Returns the maximum size of one entry, which must fit in a frame."""
        return min(self.max_log_bytes // 2, RPC_MAX_FRAME_BYTES * 3 // 4)

    @property
    def max_follower_log_bytes(self) -> int:
        """Returns the maximum size of a follower's log.

        It has room for a leader's longest log beside the covered and truncated
        entries that a snapshot may leave.
        """
        return self.max_log_bytes * 3 // 2

    @property
    def least_dropped_bytes(self) -> int:
        """Returns what a snapshot of a log near its limit must drop of it."""
        return self.max_log_bytes // 4

    def lease_seconds(self, promised_seconds: float) -> float:
        """Returns how long a leader may rely on a promise, by its own clock."""
        drift_share = self.drift_seconds / self.election_seconds
        return promised_seconds * (1 - drift_share)

    def fitting_election_seconds(self, round_trip_seconds: float) -> float:
        """Returns the shortest election time that fits slow answers.

        Its lease bridges an append that is answered late or lost.
        """
        needed = 2 * round_trip_seconds + self.heartbeat_seconds
        seconds = self.election_seconds
        while (
            self.lease_seconds(seconds) < needed
            and seconds < self.max_election_seconds
        ):
            seconds *= 2
        return seconds

    def now(self) -> float:
        """Returns the monotonic clock plus the suspended time, in seconds."""
        return anyio.current_time() + self.suspended()
