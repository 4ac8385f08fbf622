"""A leader's lease, and the election time that its group needs.

The lease expires with the promises of a majority, see :mod:`.contact`. While the
answers of a majority are slow, the leader asks for longer promises, so that its
lease outlasts a round trip and followers don't take it for failed. When it asks
for shorter ones again, a new epoch of the lease begins: the leader first gives up
what the longer ones add to its lease, then the followers end them.
"""

import math
from collections.abc import Callable, Mapping

from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.progress import Progress
from mulberryhitch.replication.state import ReplicaState

# A longer election time is kept for so long after it was last needed. It must end
# well within 4 s, after which another machine may be lost.
_CALM_SECONDS = 2.0


class Lease:
    """The lease of one leadership.

    Args:
        state: The leader's state.
        options: Timing settings.
        peers: The progress of each peer, by replica id.
        election_seconds: The election time with which the term begins.

    Attributes:
        epoch: How often the election time was shortened.
        regained_at: When a peer answered again after none had, in seconds.
    """

    def __init__(
        self,
        state: ReplicaState,
        options: ReplicationOptions,
        peers: Mapping[str, Progress],
        election_seconds: float,
    ) -> None:
        """Initialises the lease as expired."""
        self._state = state
        self._options = options
        self._peers = peers
        self._election_seconds = election_seconds
        self._needed_at: dict[float, float] = {}
        self.epoch = 0
        self.regained_at = options.now()
        self._answered_at = self.regained_at

    @property
    def election_seconds(self) -> float:
        """Returns the term's present election time, in seconds."""
        return self._election_seconds

    @property
    def needed_election_seconds(self) -> float:
        """Returns the election time that the present answers need."""
        round_trip = self._round_trip()
        if math.isinf(round_trip):
            return self._election_seconds
        fitting = self._options.fitting_election_seconds(round_trip)
        return min(fitting, self._election_seconds)

    @property
    def expires_at(self) -> float:
        """Returns when the promises of a majority expire, in local time."""
        own = self._options.now() + self._options.lease_seconds(
            self._election_seconds
        )
        return self._of_majority(own, lambda peer: peer.promised_until)

    @property
    def last_contact(self) -> float:
        """Returns when appends were sent that a majority has answered."""
        now = self._options.now()
        return self._of_majority(now, lambda peer: peer.last_contact)

    def adapt(self) -> None:
        """Sets the longest election time that was needed lately.

        While a majority doesn't answer, the present one is.
        """
        now = self._options.now()
        self._needed_at.setdefault(self._election_seconds, now)
        round_trip = self._round_trip()
        needed = self._election_seconds
        if not math.isinf(round_trip):
            needed = self._options.fitting_election_seconds(round_trip)
        self._needed_at[needed] = now
        longest_needed = max(
            seconds
            for seconds, needed_at in self._needed_at.items()
            if now - needed_at <= _CALM_SECONDS
        )
        if longest_needed < self._election_seconds:
            self._begin_epoch(now + self._options.lease_seconds(longest_needed))
        self._election_seconds = longest_needed

    def record_answer(
        self,
        peer: Progress,
        sent_at: float,
        epoch: int,
        promised_seconds: float,
    ) -> None:
        """Records an answer; a promise of an earlier epoch extends nothing.

        Args:
            peer: The peer that answered.
            sent_at: When the request was sent, in seconds.
            epoch: The epoch in which it was sent.
            promised_seconds: For how long the peer votes for no other.
        """
        self._observe_gap()
        is_valid = epoch == self.epoch
        seconds = self._options.lease_seconds(promised_seconds)
        peer.record_promise(sent_at, seconds if is_valid else 0)

    def _observe_gap(self) -> None:
        now = self._options.now()
        if now - self._answered_at > self.needed_election_seconds:
            self.regained_at = now
        self._answered_at = now

    def _begin_epoch(self, latest_promise: float) -> None:
        self.epoch += 1
        for peer in self._peers.values():
            peer.promised_until = min(peer.promised_until, latest_promise)

    def _round_trip(self) -> float:
        """Returns within how long a majority answers, in seconds."""
        now = self._options.now()
        oldest = now - self._election_seconds * 2
        return -self._of_majority(
            0, lambda peer: -peer.round_trip_seconds_since(oldest)
        )

    def _of_majority(
        self, own: float, measure: Callable[[Progress], float]
    ) -> float:
        """Returns the value that a majority of the voters reaches."""
        found = [
            own
            if voter == self._state.replica_id
            else self._of_peer(voter, measure)
            for voter in self._state.members.voters
        ]
        found.sort(reverse=True)
        return found[self._state.members.quorum - 1]

    def _of_peer(
        self, replica_id: str, measure: Callable[[Progress], float]
    ) -> float:
        peer = self._peers.get(replica_id)
        return -math.inf if peer is None else measure(peer)
