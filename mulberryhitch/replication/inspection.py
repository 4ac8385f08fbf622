"""Reads a replica's data folder without opening it for writing."""

from dataclasses import dataclass
from pathlib import Path

from mulberryhitch.errors import DamagedFileError
from mulberryhitch.replication.identity_file import read_identity
from mulberryhitch.replication.log_records import read_log
from mulberryhitch.replication.snapshot_file import read_snapshot
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.replication.vote_file import read_vote
from mulberryhitch.rpc.messages import LogEntry


@dataclass(frozen=True, slots=True)
class FolderReport:
    """The contents of a replica's data folder."""

    replica_id: str
    term: int
    voted_for: str
    snapshot: Snapshot | None
    entries: list[LogEntry]

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry, or else of the snapshot."""
        if self.entries:
            return self.entries[-1].index
        return self.snapshot.last_index if self.snapshot else 0


def read_folder(folder: Path) -> FolderReport:
    """Reads a replica's data folder and verifies its checksums.

    Raises:
        DamagedFileError: A checksum does not match, or there is no identity.
    """
    stored_log = read_log(folder / 'log')
    stored = read_snapshot(folder / 'snapshot')
    snapshot = stored.snapshot if stored else None
    snapshot_index = snapshot.last_index if snapshot else 0
    entries = [
        entry for entry in stored_log.entries if entry.index > snapshot_index
    ]
    replica_id = read_identity(folder / 'identity')
    if replica_id is None:
        raise DamagedFileError('identity file is missing', where=str(folder))
    vote = read_vote(folder / 'vote').record
    return FolderReport(
        replica_id,
        vote.term,
        vote.voted_for,
        snapshot,
        entries,
    )
