"""The timings and sizes of a replicated log."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio


@dataclass(frozen=True, slots=True)
class ReplicationOptions:
    """Timings in seconds and sizes in entries or bytes.

    Attributes:
        heartbeat_seconds: The longest silence of a leader.
        election_seconds: How long a follower believes in a silent leader;
            a candidate waits between once and twice as long.
        drift_seconds: How much clocks may differ over one election time.
        call_seconds: How long a call to a peer may take.
        batch_entries: The most entries of one append.
        commit_notify_seconds: How long a follower may go without hearing that
            entries were committed; zero to tell it at once.
        window: The most appends on their way to one peer.
        compact_entries: A snapshot is taken after so many entries.
        chunk_bytes: The size of a part of a snapshot on its way.
        repair_seconds: A voter silent for so long is replaced by a spare.
        reconcile_seconds: The time between two looks at who is a member.
        target_voters: How many voters a whole group has; zero for as many
            as began it.
        may_bootstrap: Whether a group may begin anew where nobody has a log.
        suspended: How long this VM has been suspended, in seconds, which
            the steady clock leaves out.
    """

    heartbeat_seconds: float = 0.15
    election_seconds: float = 0.8
    drift_seconds: float = 0.1
    call_seconds: float = 2.0
    batch_entries: int = 256
    commit_notify_seconds: float = 0
    window: int = 4
    compact_entries: int = 20_000
    chunk_bytes: int = 1_048_576
    repair_seconds: float = 60.0
    reconcile_seconds: float = 0.8
    target_voters: int = 0
    may_bootstrap: bool = True
    suspended: Callable[[], float] = float

    def now(self) -> float:
        """The steady clock, and the time that it stood still, in seconds."""
        return anyio.current_time() + self.suspended()
