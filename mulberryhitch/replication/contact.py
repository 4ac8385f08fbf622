"""When a follower last heard from a leader, and what it promised to it.

Why two leaders never have authority at the same time: a leader counts each
peer's promise from when it sent the append, less the clock drift. The peer
counts it from when it accepted that append, and votes for no other leader,
itself included, before it has passed. Each majority that elects another leader
includes a peer of the majority whose promises make the lease, so the lease has
expired by then. A promise that is longer than the configured time is stored
before it is given, and a replica that starts waits for the longest one that it
may have given. A leader that requests a takeover has given up its authority.

A promise that is longer than needed ends early with a new epoch of the leader's
lease. The leader has then given up what longer promises add to its lease, and
counts no answer to a request of an earlier epoch. The first request after a start
or in a new term ends none: an earlier one of its epoch may have been accepted.
None ends the wait for promises from before a start.
"""

import math

import anyio

from mulberryhitch.errors import DiskFullError
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState


class LeaderContact:
    """How long this replica votes for no other, and waits for its leader.

    Args:
        state: The replica's state, which stores the longest promise.
        options: Timing settings.
    """

    def __init__(
        self, state: ReplicaState, options: ReplicationOptions
    ) -> None:
        """Initialises the contact as live until :meth:`start`."""
        self._state = state
        self._options = options
        self._heard_at = float()
        self._live_until = math.inf
        self._promised_until = float()
        self._start_wait_until = float()
        self._lease_version = (0, 0)

    @property
    def election_seconds(self) -> float:
        """Returns the longest time that may have been promised, in seconds."""
        return max(self._state.promised_seconds, self._options.election_seconds)

    @property
    def silent_seconds(self) -> float:
        """Returns the time since the last contact, in seconds."""
        return anyio.current_time() - self._heard_at

    @property
    def remaining_seconds(self) -> float:
        """Returns how long this replica still waits for its leader."""
        return self._live_until - anyio.current_time()

    @property
    def is_live(self) -> bool:
        """Whether a leader may rely on this replica not to vote for others."""
        return self.remaining_seconds > 0

    def start(self) -> None:
        """Waits for what may have been promised before this start."""
        self._live_until = float()
        self.record(self.election_seconds)
        self._promised_until = self._live_until
        self._start_wait_until = self._live_until

    def record(self, seconds: float = 0) -> None:
        """Records a contact, and waits for its sender from now on.

        Args:
            seconds: How long to wait; at least the configured election time is
                waited. Promises that are still valid are kept beside.
        """
        seconds = min(seconds, self._options.max_election_seconds)
        self._heard_at = anyio.current_time()
        self._extend(max(seconds, self._options.election_seconds))

    def end_wait_for_candidate(self) -> None:
        """Waits no longer than promised, as the candidate lost its election."""
        self._live_until = min(self._live_until, self._promised_until)

    def begin_lease_epoch(
        self, term: int, epoch: int, requested_seconds: float
    ) -> None:
        """Ends longer promises to a leader, if its lease has a new epoch.

        The caller must hold ``ReplicaState.lock``, and promise again.

        Args:
            term: The leader's term.
            epoch: The epoch of its lease.
            requested_seconds: The leader's election time.
        """
        known_term, known_epoch = self._lease_version
        if term == known_term and epoch > known_epoch:
            seconds = max(requested_seconds, self._options.election_seconds)
            until = anyio.current_time() + seconds
            until = max(until, self._start_wait_until)
            self._live_until = min(self._live_until, until)
            self._promised_until = min(self._promised_until, until)
        self._lease_version = max(self._lease_version, (term, epoch))

    async def promise(self, requested_seconds: float) -> float:
        """Promises a leader to vote for no other, and returns for how long.

        The caller must hold ``ReplicaState.lock``.

        Args:
            requested_seconds: The leader's election time; 0 for the
                configured time.

        Raises:
            StorageError: The disk failed.
        """
        seconds = max(requested_seconds, self._options.election_seconds)
        seconds = min(seconds, self._options.max_election_seconds)
        if self._must_store(seconds):
            try:
                await self._state.save_promise(seconds)
            except DiskFullError:
                seconds = min(seconds, self.election_seconds)
        self._heard_at = anyio.current_time()
        self._extend(seconds)
        until = anyio.current_time() + seconds
        self._promised_until = max(self._promised_until, until)
        return seconds

    def _must_store(self, seconds: float) -> bool:
        """Whether a promise is longer, or no earlier longer one is valid."""
        if seconds > self.election_seconds:
            return True
        remaining = self._promised_until - anyio.current_time()
        return remaining <= seconds < self.election_seconds

    def _extend(self, seconds: float) -> None:
        until = anyio.current_time() + seconds
        self._live_until = max(self._live_until, until)
