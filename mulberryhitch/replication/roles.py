"""The roles of a replica in its group."""

from collections.abc import Callable
from enum import Enum

import anyio

from mulberryhitch.errors import InvariantError, NotLeaderError
from mulberryhitch.replication.leadership import EndReason, Leadership
from mulberryhitch.replication.state import ReplicaState


class Role(str, Enum):  # noqa: WPS600
    """The current role of a replica."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


class Roles:
    """A replica's role, and the leader that it knows.

    Args:
        state: The replica's state.
        begin: Begins a leadership with an election time; returns ``None`` if
            the replica does not run.

    Attributes:
        role: The current role.
        leader_id: The id of the current leader, or an empty string.
        leadership: The leadership, if the replica leads.
        last_leader_id: The id of the last leader, which may have ended.
        leader_heard_at: When it was last heard from or, if there was none,
            when the replica started.
    """

    def __init__(
        self,
        state: ReplicaState,
        begin: Callable[[float], Leadership | None],
    ) -> None:
        """Initialises the replica as a follower without a leader."""
        self._state = state
        self._begin = begin
        self.role = Role.follower
        self.leader_id = ''
        self.leadership: Leadership | None = None
        self.last_leader_id = ''
        self.leader_heard_at = float()

    @property
    def leads(self) -> bool:
        """Whether the replica leads, with or without a valid lease."""
        return self.leadership is not None

    @property
    def has_lease(self) -> bool:
        """Whether the replica leads with a valid lease, ready or not."""
        return self.leadership is not None and self.leadership.has_authority

    @property
    def is_candidate(self) -> bool:
        """Whether the replica is still a candidate in its term."""
        return self.role is Role.candidate

    def require_leadership(self) -> Leadership:
        """Returns the leadership.

        Raises:
            NotLeaderError: The replica does not lead.
        """
        if self.leadership is None:
            raise NotLeaderError(
                f'{self._state.replica_id} does not lead {self._state.group}',
                where=self.leader_id,
            )
        return self.leadership

    def start(self) -> None:
        """Records when the replica started."""
        self.leader_heard_at = anyio.current_time()

    def become_candidate(self) -> None:
        """Makes the replica a candidate in its new term."""
        self.role = Role.candidate
        self.leader_id = ''

    def become_leader(self, election_seconds: float) -> None:
        """Makes the replica the leader of its term.

        Args:
            election_seconds: The election time with which the term begins.
        """
        leadership = self._begin(election_seconds)
        if leadership is not None:
            self.role = Role.leader
            self.leader_id = self._state.replica_id
            self.leadership = leadership
            self._record_leader(self._state.replica_id)

    async def enter_term(self, term: int, voted_for: str = '') -> None:
        """Makes the replica a follower in a newer term, and stores the term.

        Args:
            term: The term; an older one changes nothing, the present one only
                the vote.
            voted_for: The candidate that gets this replica's vote, if one does.

        Raises:
            StorageError: The term was not stored.
        """
        if term > self._state.term:
            if self.leadership is not None:
                self.leadership.step_down(EndReason.newer_term)
            self._become_follower('')
        elif term < self._state.term or not voted_for:
            return
        await self._state.save_term(term, voted_for)

    async def follow(self, term: int, leader: str) -> None:
        """Makes the replica a follower of the leader of a term.

        Raises:
            InvariantError: The term has another leader.
            StorageError: The term was not stored.
        """
        await self.enter_term(term)
        if self.leader_id not in {'', leader}:
            raise InvariantError(
                f'two leaders in term {term}: {self.leader_id} and {leader}'
            )
        self._become_follower(leader)
        self._record_leader(leader)

    def end(self, leadership: Leadership) -> None:
        """Makes the replica a follower if it still has this leadership."""
        if self.leadership is leadership:
            self._record_leader(self._state.replica_id)
            self._become_follower('')

    def _record_leader(self, leader_id: str) -> None:
        self.last_leader_id = leader_id
        self.leader_heard_at = anyio.current_time()

    def _become_follower(self, leader_id: str) -> None:
        self.role = Role.follower
        self.leader_id = leader_id
        self.leadership = None
