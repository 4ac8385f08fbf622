"""Which leader a replica knows, or what keeps its group from having one."""

from dataclasses import dataclass
from enum import Enum

from mulberryhitch.replication.election import Election


class Obstacle(str, Enum):  # noqa: WPS600
    """What keeps a replica from voting for itself after a won pre-vote."""

    none = ''
    state_in_use = 'waiting for its own state'
    disk_silent = 'waiting for its disk'
    disk_full = 'its vote not stored: disk full'
    leader_found = 'a leader was heard'
    another_candidate = 'it waits for another candidate'
    newer_term = 'it entered a newer term'


@dataclass(frozen=True, slots=True)
class LeaderOverview:
    """The leader that a replica knows, or why it knows none.

    Attributes:
        leads: Whether the replica leads, with or without a lease.
        last_leader_id: The last leader, which may have ended; empty if the
            replica has known none since its start.
        leaderless_seconds: Time since a leader was heard from or, if none
            was, since the start; zero while one is live.
        election: The replica's newest round of votes or pre-votes, unless a
            leader was heard from since it began.
        obstacle: What kept the replica from voting for itself, if it won its
            last pre-vote.
    """

    leads: bool
    last_leader_id: str
    leaderless_seconds: float
    election: Election | None
    obstacle: Obstacle = Obstacle.none
