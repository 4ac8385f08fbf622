"""The file that holds a replica's snapshot."""

from dataclasses import dataclass
from pathlib import Path

from mulberryhitch.replication.durable_files import read_checked
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.codec import decode_record, encode_record
from mulberryhitch.rpc.messages import SnapshotRecord


@dataclass(frozen=True, slots=True)
class StoredSnapshot:
    """A snapshot as read from its file.

    Attributes:
        size: The size of its record, in bytes.
    """

    snapshot: Snapshot
    size: int


def read_snapshot(path: Path) -> StoredSnapshot | None:
    """Reads a snapshot file, or returns ``None`` if there is none.

    Raises:
        DamagedFileError: The checksum does not match.
    """
    content = read_checked(path)
    if content is None:
        return None
    record = decode_record(SnapshotRecord, content)
    members = Members(tuple(record.voters), tuple(record.learners))
    snapshot = Snapshot(
        record.last_index, record.last_term, members, record.state
    )
    return StoredSnapshot(snapshot, len(content))


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Returns the record of a snapshot."""
    return encode_record(
        SnapshotRecord(
            snapshot.last_index,
            snapshot.last_term,
            list(snapshot.members.voters),
            list(snapshot.members.learners),
            snapshot.state,
        ),
    )
