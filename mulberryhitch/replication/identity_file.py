"""The file that holds a replica's id."""

import secrets
from pathlib import Path

from mulberryhitch.replication.durable_files import (
    read_checked,
    write_atomically,
)
from mulberryhitch.rpc.codec import decode_record, encode_record
from mulberryhitch.rpc.messages import IdentityRecord


def read_identity(path: Path) -> str | None:
    """Returns the stored id, or ``None`` if there is none.

    Raises:
        DamagedFileError: The checksum does not match.
    """
    content = read_checked(path)
    if content is None:
        return None
    return decode_record(IdentityRecord, content).replica_id


def create_identity(path: Path, vm: str) -> str:
    """Stores a new random id for a VM durably, and returns it."""
    replica_id = f'{vm}#{secrets.token_hex(4)}'
    write_atomically(path, encode_record(IdentityRecord(replica_id)))
    return replica_id
