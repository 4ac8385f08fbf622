"""The storage interface of a replica and the data that it persists."""

from dataclasses import dataclass, field
from typing import Protocol

from mulberryhitch.replication.members import Members
from mulberryhitch.rpc.messages import LogEntry


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state machine's complete state as of one log index."""

    last_index: int
    last_term: int
    members: Members
    state: bytes


@dataclass(slots=True)
class StoredState:
    """A replica's persistent state as loaded from disk.

    Attributes:
        replica_id: Generated once for each new data folder.
        snapshot: The latest snapshot; ``None`` if the group was never
            bootstrapped here.
        promised_seconds: The longest time for which the replica may have
            promised a leader to vote for no other; 0 for the configured time.
    """

    replica_id: str
    term: int = 0
    voted_for: str = ''
    snapshot: Snapshot | None = None
    entries: list[LogEntry] = field(default_factory=list)
    promised_seconds: float = 0


class Storage(Protocol):
    """The persistent storage of a replica.

    A failed ``write`` leaves the log unchanged. After a failed ``sync`` the
    state of the disk is unknown and the replica must stop. After a loss of
    power each write since the last sync may be missing.
    """

    @property
    def is_synced(self) -> bool:
        """Whether the last sync covers everything done to the log."""

    @property
    def log_bytes(self) -> int:
        """The size of the log on disk."""

    @property
    def snapshot_bytes(self) -> int:
        """The size of the snapshot on disk."""

    @property
    def keeps_room(self) -> bool:
        """Whether room is kept on the disk; if not, it never runs short."""

    @property
    def is_room_kept(self) -> bool:
        """Whether all the room is kept that snapshots and elections need."""

    @property
    def is_room_short(self) -> bool:
        """Whether ordinary entries are refused, to keep room for others."""

    def load(self) -> StoredState:
        """Reads the stored state.

        Raises:
            DamagedFileError: A checksum does not match.
        """

    def write(self, entries: list[LogEntry]) -> None:
        """Appends entries to the log without syncing.

        Raises:
            DiskFullError: Nothing was added.
            StorageError: What the disk holds is unknown.
        """

    async def sync(self) -> None:
        """Syncs the written entries to disk.

        Raises:
            StorageError: The sync failed; what is durable is unknown.
        """

    async def truncate(self, index: int) -> None:
        """Removes all entries from an index on and syncs.

        Raises:
            StorageError: The sync failed; what is durable is unknown.
        """

    async def save_vote(
        self, term: int, voted_for: str, promised_seconds: float = 0
    ) -> None:
        """Stores the term, the vote and the longest promise durably.

        Raises:
            StorageError: The disk is full or faulty.
        """

    async def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        """Stores a snapshot and only these entries after it, durably.

        Raises:
            StorageError: The disk is full or faulty.
        """

    async def keep_room(self) -> None:
        """Keeps room on the disk for snapshots and elections.

        While it is refused, or has been used and not restored, ``write``
        refuses all entries but those of elections and membership changes.
        Takes no lock and may be called at any time.

        Raises:
            DiskFullError: There is no room.
            StorageError: The disk failed.
        """
