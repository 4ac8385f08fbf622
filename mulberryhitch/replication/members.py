"""The members of a group: voters, and learners without a vote."""

from collections.abc import Iterable
from dataclasses import dataclass

import orjson

from mulberryhitch.errors import ConflictError

MEMBERS_KIND = 'members'


def vm_of(replica_id: str) -> str:
    """Returns the VM named in a replica id."""
    return replica_id.partition('#')[0]


@dataclass(frozen=True, slots=True)
class Members:
    """The members of a group as of one log index."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def replica_ids(self) -> tuple[str, ...]:
        """Returns all members' ids, voters first."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Returns the number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    def has_quorum(self, replica_ids: Iterable[str]) -> bool:
        """Whether the given replicas include a majority of the voters."""
        return len(set(replica_ids) & set(self.voters)) >= self.quorum

    def with_learner(self, replica_id: str) -> 'Members':
        """Returns these members with a learner added.

        Raises:
            ConflictError: The replica is already a member.
        """
        if replica_id in self.replica_ids:
            raise ConflictError('already a member', where=replica_id)
        return Members(self.voters, (*self.learners, replica_id))

    def with_voter(self, replica_id: str) -> 'Members':
        """Returns these members with a learner promoted to voter.

        Raises:
            ConflictError: The replica is not a learner.
        """
        if replica_id not in self.learners:
            raise ConflictError('not a learner', where=replica_id)
        learners = tuple(
            learner for learner in self.learners if learner != replica_id
        )
        return Members((*self.voters, replica_id), learners)

    def without(self, replica_id: str) -> 'Members':
        """Returns these members without one replica.

        Raises:
            ConflictError: The replica is not a member, or is the last voter.
        """
        if replica_id not in self.replica_ids:
            raise ConflictError('not a member', where=replica_id)
        if self.voters == (replica_id,):
            raise ConflictError(
                'cannot remove the last voter', where=replica_id
            )
        return Members(
            tuple(member for member in self.voters if member != replica_id),
            tuple(member for member in self.learners if member != replica_id),
        )

    def encode(self) -> bytes:
        """Encodes the members as the body of a log entry."""
        return orjson.dumps([self.voters, self.learners])

    @classmethod
    def decode(cls, body: bytes) -> 'Members':
        """Decodes the output of :meth:`encode`."""
        voters, learners = orjson.loads(body)
        return cls(tuple(voters), tuple(learners))
