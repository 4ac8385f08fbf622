"""Reads a replica's data folder without opening it for writing."""

from dataclasses import dataclass
from pathlib import Path

from mulberryhitch.errors import DamagedFileError
from mulberryhitch.replication.durable_files import read_checked
from mulberryhitch.replication.log_records import read_log
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.replication.vote_file import read_vote
from mulberryhitch.rpc.codec import decode_record
from mulberryhitch.rpc.messages import (
    IdentityRecord,
    LogEntry,
    SnapshotRecord,
)


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
    snapshot = _read_snapshot(folder)
    snapshot_index = snapshot.last_index if snapshot else 0
    entries = [
        entry for entry in stored_log.entries if entry.index > snapshot_index
    ]
    identity = read_checked(folder / 'identity')
    if identity is None:
        raise DamagedFileError('identity file is missing', where=str(folder))
    vote = read_vote(folder / 'vote').record
    return FolderReport(
        decode_record(IdentityRecord, identity).replica_id,
        vote.term,
        vote.voted_for,
        snapshot,
        entries,
    )


def _read_snapshot(folder: Path) -> Snapshot | None:
    content = read_checked(folder / 'snapshot')
    if content is None:
        return None
    record = decode_record(SnapshotRecord, content)
    members = Members(tuple(record.voters), tuple(record.learners))
    return Snapshot(record.last_index, record.last_term, members, record.state)
