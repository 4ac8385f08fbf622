"""Stores a replica's vote in place, so that a full disk can't refuse it.

The file has two slots, each a block with a record and a checksum. Saving writes
and syncs the first slot, then the second, and takes no new file and no new
block. If one slot is torn or damaged, the other one holds the vote.
"""

import os
import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

from mulberryhitch.errors import DamagedFileError, DiskFullError, StorageError
from mulberryhitch.replication.disk_errors import typed_disk_errors
from mulberryhitch.replication.durable_files import (
    read_checked,
    replace_file,
    write_all,
    write_atomically,
)
from mulberryhitch.rpc.codec import decode_record, encode_record
from mulberryhitch.rpc.messages import VoteRecord

BLOCK_BYTES = 512
# A page each, so that no lost sector had both slots.
SLOT_BYTES = 4096
SLOT_OFFSETS = (0, SLOT_BYTES)
FILE_BYTES = 2 * SLOT_BYTES
_LENGTH = struct.Struct('>H')
_CHECKSUM = struct.Struct('>I')
_CHECKED_BYTES = BLOCK_BYTES - _CHECKSUM.size


@dataclass(frozen=True, slots=True)
class StoredVote:
    """What a vote file holds.

    Attributes:
        in_place: Whether the file has slots; otherwise it is missing or has
            the former format, a single record.
        healthy: Whether both slots are intact and equal.
    """

    record: VoteRecord
    in_place: bool = False
    healthy: bool = False


def read_vote(path: Path) -> StoredVote:
    """Reads a vote file of either format; a missing one holds no vote.

    Raises:
        DamagedFileError: No slot is intact.
    """
    if not path.exists():
        return StoredVote(VoteRecord(0, ''))
    content = path.read_bytes()
    if len(content) < BLOCK_BYTES:
        former = read_checked(path) or b''
        return StoredVote(decode_record(VoteRecord, former))
    blocks = [content[slot : slot + BLOCK_BYTES] for slot in SLOT_OFFSETS]
    intact = [block for block in blocks if _is_intact(block)]
    if not intact:
        raise DamagedFileError('both slots are damaged', where=str(path))
    healthy = blocks[0] == blocks[1] and len(content) == FILE_BYTES
    return StoredVote(_decode(intact[0]), in_place=True, healthy=healthy)


class VoteFile:
    """The vote file of one replica.

    A missing file, or one of the former format, is replaced as soon as the
    disk has room. Until then the vote is saved in the former format.

    Args:
        path: The file.
    """

    def __init__(self, path: Path) -> None:
        """Initialises the file; :meth:`load` reads it."""
        self._path = path
        self._in_place = False

    def load(self) -> VoteRecord:
        """Reads the vote, and repairs a slot that is damaged or older.

        Raises:
            DamagedFileError: No slot is intact.
            OSError: A slot could not be repaired.
        """
        stored = read_vote(self._path)
        self._in_place = stored.in_place
        # Of two equal slots the first was synced before the second was written.
        if stored.in_place and not stored.healthy:
            self._write_slots(_encode(stored.record))
        return stored.record

    def take_over(self, vote: VoteRecord) -> None:
        """Creates the file with slots, unless the disk is full.

        Raises:
            StorageError: The disk failed.
        """
        if self._in_place:
            return
        with suppress(DiskFullError), typed_disk_errors(self._path):
            self._create(_encode(vote))

    def save(self, vote: VoteRecord) -> None:
        """Stores a vote durably.

        Raises:
            StorageError: The disk is full or faulty, or the record too long.
        """
        if not self._in_place:
            self.take_over(vote)
            if not self._in_place:
                write_atomically(self._path, encode_record(vote))
            return
        self._write_slots(_encode(vote))

    def _create(self, block: bytes) -> None:
        slot = block.ljust(SLOT_BYTES, b'\0')
        replace_file(self._path, slot * len(SLOT_OFFSETS))
        self._in_place = True

    def _write_slots(self, block: bytes) -> None:
        with self._opened() as descriptor:
            for slot in SLOT_OFFSETS:
                os.lseek(descriptor, slot, os.SEEK_SET)
                write_all(descriptor, block)
                os.fsync(descriptor)

    @contextmanager
    def _opened(self) -> Iterator[int]:
        descriptor = os.open(self._path, os.O_RDWR)
        try:
            yield descriptor
        finally:
            os.close(descriptor)


def _encode(vote: VoteRecord) -> bytes:
    record = encode_record(vote)
    if len(record) > _CHECKED_BYTES - _LENGTH.size:
        raise StorageError(f'a vote of {len(record)} bytes is too long')
    padded = (_LENGTH.pack(len(record)) + record).ljust(_CHECKED_BYTES, b'\0')
    return padded + _CHECKSUM.pack(zlib.crc32(padded))


def _decode(block: bytes) -> VoteRecord:
    end = _LENGTH.size + _LENGTH.unpack_from(block)[0]
    return decode_record(VoteRecord, block[_LENGTH.size : end])


def _is_intact(block: bytes) -> bool:
    checksum = _CHECKSUM.pack(zlib.crc32(block[:_CHECKED_BYTES]))
    return len(block) == BLOCK_BYTES and block[_CHECKED_BYTES:] == checksum
