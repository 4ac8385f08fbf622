"""What a replica must keep, and how it is asked to keep it."""

from dataclasses import dataclass, field
from typing import Protocol

from mulberryhitch.replication.members import Members
from mulberryhitch.rpc.messages import LogEntry


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state machine's whole state at one index."""

    last_index: int
    last_term: int
    members: Members
    state: bytes


@dataclass(slots=True)
class StoredState:
    """All that a replica finds on its disk.

    Attributes:
        replica_id: Made once for each new data folder.
        snapshot: The newest snapshot; nothing if the log was never begun.
    """

    replica_id: str
    term: int = 0
    voted_for: str = ''
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)


class Storage(Protocol):
    """A replica's disk.

    ``write`` may fail and leaves the log as it was. A failed ``sync`` means
    that nothing is known of the disk: the replica must stop.
    """

    def load(self) -> StoredState:
        """Reads everything.

        Raises:
            DamagedFileError: A checksum does not match.
        """

    def write(self, entries: list[LogEntry]) -> None:
        """Adds entries to the log, not yet synced.

        Raises:
            StorageError: The disk is full or broken; nothing was added.
        """

    async def sync(self) -> None:
        """Makes the entries last.

        Raises:
            StorageError: It can't be known what lasts.
        """

    async def truncate(self, index: int) -> None:
        """Removes all entries from an index on, and syncs."""

    async def save_vote(self, term: int, voted_for: str) -> None:
        """Keeps term and vote, synced."""

    async def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        """Keeps a snapshot and only these entries after it, synced."""
