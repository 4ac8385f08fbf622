"""The roles of a replica in its group."""

from enum import Enum
from typing import Protocol


class Role(str, Enum):  # noqa: WPS600
    """The current role of a replica."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


class Roles(Protocol):
    """A replica's roles, which votes and campaigns change."""

    @property
    def leader_id(self) -> str:
        """Returns the id of the current leader, or an empty string."""

    @property
    def leads(self) -> bool:
        """Whether the replica leads."""

    @property
    def has_lease(self) -> bool:
        """Whether the replica leads with a valid lease, ready or not."""

    @property
    def is_candidate(self) -> bool:
        """Whether the replica is still a candidate in its term."""

    def become_candidate(self) -> None:
        """Makes the replica a candidate in its new term."""

    def become_leader(self, election_seconds: float) -> None:
        """Makes the replica the leader of its term.

        Args:
            election_seconds: The election time with which the term begins.
        """

    async def enter_term(self, term: int) -> None:
        """Makes the replica a follower in a newer term."""
