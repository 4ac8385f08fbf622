"""How long the members of a group have not answered their leader."""

from collections.abc import Mapping

from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.log_growth import LogGrowth
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.progress import Progress
from mulberryhitch.replication.state import ReplicaState

_MAX_LAG_ENTRIES = 64


class MemberContact:
    """Which members answer the leader of a term, and which are up to date.

    Args:
        state: The leader's state.
        leadership: The leadership, whose peers are the other members.
        options: Timing settings.
        silent_since: Since when members have answered neither the last leader
            nor the candidate that leads now.
    """

    def __init__(
        self,
        state: ReplicaState,
        leadership: Leadership,
        options: ReplicationOptions,
        silent_since: Mapping[str, float],
    ) -> None:
        """Initialises the contact at the start of a leadership."""
        self._state = state
        self._leadership = leadership
        self._options = options
        self._earlier_silent_since = silent_since
        self._log_growth = LogGrowth()

    @property
    def answer_seconds(self) -> float:
        """Returns within how long a member that is alive answers."""
        return self._leadership.needed_election_seconds * 2

    @property
    def allowed_seconds(self) -> float:
        """Returns for how long a silent member is waited for."""
        return max(
            self._options.repair_seconds,
            self._leadership.needed_election_seconds,
        )

    def silent_members(self) -> dict[str, float]:
        """Returns the members that don't answer, and for how many seconds."""
        return {
            replica_id: self.silent_seconds(replica_id)
            for replica_id in self._state.members.replica_ids
            if not self.is_alive(replica_id)
        }

    def is_alive(self, replica_id: str) -> bool:
        """Whether a member is the leader itself, or answered recently."""
        peer = self._leadership.peers.get(replica_id)
        if peer is None:
            return replica_id == self._state.replica_id
        elapsed = self._options.now() - peer.last_contact
        return elapsed < self.answer_seconds

    def record_log_growth(self) -> None:
        """Records the length of the log, to be called at each check."""
        self._log_growth.record(self._options.now(), self._state.last_index)

    def is_caught_up(self, replica_id: str) -> bool:
        """Whether a member is alive and has nearly the whole log.

        It lacks few entries, or only those of the last election time.
        """
        peer = self._leadership.peers.get(replica_id)
        if peer is None or not self.is_alive(replica_id):
            return False
        if not peer.match_index:
            return False
        if self._state.last_index - peer.match_index <= _MAX_LAG_ENTRIES:
            return True
        earlier = self._options.now() - self._leadership.needed_election_seconds
        earlier_index = self._log_growth.last_index_at(earlier)
        return earlier_index is not None and peer.match_index >= earlier_index

    def has_room(self, replica_id: str) -> bool:
        """Whether a member's disk is not known to refuse ordinary entries."""
        peer = self._leadership.peers.get(replica_id)
        return peer is None or not peer.is_room_short

    def is_full_for_long(self, replica_id: str) -> bool:
        """Whether a member's disk has refused entries for too long."""
        peer = self._leadership.peers.get(replica_id)
        if peer is None:
            return False
        now = self._options.now()
        return peer.room_short_seconds(now) > self.allowed_seconds

    def is_timed_out(self, replica_id: str) -> bool:
        """Whether a member has been silent for too long to wait for it."""
        # A leader that was cut off itself gives the others time to answer.
        elapsed = self._options.now() - self._leadership.in_contact_since
        if elapsed < self._leadership.needed_election_seconds:
            return False
        return self.silent_seconds(replica_id) > self.allowed_seconds

    def silent_seconds(self, replica_id: str) -> float:
        """Returns the time since a member last answered, in seconds.

        For one that has never answered it is the time since it was added, or,
        if it was a member before this leadership, since it last answered the
        former leader or the candidate that leads now.
        """
        peer = self._leadership.peers.get(replica_id)
        if peer is None:
            return 0
        return self._options.now() - self._silent_since(peer)

    def _silent_since(self, peer: Progress) -> float:
        if peer.last_contact:
            return peer.last_contact
        if peer.added_at > self._leadership.started_at:
            return peer.added_at
        return self._earlier_silent_since.get(peer.replica_id, peer.added_at)
