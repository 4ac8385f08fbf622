"""Who votes in a group, and who only learns."""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from mulberryhitch.errors import ConflictError

MEMBERS_KIND = 'members'


def vm_of(replica_id: str) -> str:
    """The VM that a replica's id names."""
    return replica_id.partition('#')[0]


@dataclass(frozen=True, slots=True)
class Members:
    """The members of a group at one index of its log."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """How many voters make a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, replica_ids: Iterable[str]) -> bool:
        """Whether the voters among the named make a majority."""
        return len(set(replica_ids) & set(self.voters)) >= self.quorum

    def with_learner(self, replica_id: str) -> 'Members':
        """These members and one more learner.

        Raises:
            ConflictError: It is a member already.
        """
        if replica_id in self.replica_ids:
            raise ConflictError('a member already', where=replica_id)
        return Members(self.voters, (*self.learners, replica_id))

    def with_voter(self, replica_id: str) -> 'Members':
        """These members with one learner made a voter.

        Raises:
            ConflictError: It is no learner.
        """
        if replica_id not in self.learners:
            raise ConflictError('not a learner', where=replica_id)
        learners = tuple(
            learner for learner in self.learners if learner != replica_id
        )
        return Members((*self.voters, replica_id), learners)

    def without(self, replica_id: str) -> 'Members':
        """These members less one.

        Raises:
            ConflictError: It is no member, or the last voter.
        """
        if replica_id not in self.replica_ids:
            raise ConflictError('not a member', where=replica_id)
        if self.voters == (replica_id,):
            raise ConflictError('the last voter stays', where=replica_id)
        return Members(
            tuple(member for member in self.voters if member != replica_id),
            tuple(member for member in self.learners if member != replica_id),
        )

    def encode(self) -> bytes:
        """The body of a log entry that sets these members."""
        return orjson.dumps([self.voters, self.learners])

    @classmethod
    def decode(cls, body: bytes) -> 'Members':
        """Reads :meth:`encode`'s bytes."""
        voters, learners = orjson.loads(body)
        return cls(tuple(voters), tuple(learners))
