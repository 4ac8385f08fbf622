"""Records of a replica's log file, which is only appended to.

The file header holds a salt that no other file has, and the size that was
synced before the file got its name. Each record begins with the salt and says
how much of the file was synced when it was written. Its checksums include its
offset. So a damaged record was synced if a later one, or the file header, says
so; otherwise it belongs to a write that a loss of power has torn.
"""

import os
import secrets
import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

from mulberryhitch.errors import DamagedFileError
from mulberryhitch.replication.file_bytes import FileBytes
from mulberryhitch.replication.former_log_records import (
    read_former_log_records,
)
from mulberryhitch.rpc.codec import decode_record, encode_record
from mulberryhitch.rpc.messages import LogEntry

_MAGIC = b'MULBLOG2'
_SALT_BYTES = 8
# The memory that encoding takes beside the entries, and one entry more.
_CHUNK_BYTES = 1_048_576
# Magic number, salt and synced size.
_FILE_HEADER = struct.Struct('>8s8sQ')
# Salt, kind, payload length and synced size.
_RECORD_HEADER = struct.Struct('>8sBIQ')
_OFFSET = struct.Struct('>Q')
_INDEX = struct.Struct('>Q')
_CHECKSUM = struct.Struct('>I')
FIRST_RECORD_OFFSET = _FILE_HEADER.size + _CHECKSUM.size


class _Kind(IntEnum):
    """What a record holds: an entry, or the index to truncate from."""

    entry = 1
    truncation = 2


@dataclass(frozen=True, slots=True)
class StoredLog:
    """The intact content of a log file.

    Attributes:
        entries: The entries that no later record has truncated.
        end: The offset in bytes up to which the file is intact.
        salt: The file's salt; empty if the file has the former format.
    """

    entries: list[LogEntry]
    end: int
    salt: bytes = b''


@dataclass(frozen=True, slots=True)
class _Record:
    kind: int
    payload: bytes
    synced_size: int
    end: int

    def replay(self, entries: list[LogEntry]) -> None:
        """Adds the entry, or removes the entries that are truncated."""
        if self.kind == _Kind.entry:
            entries.append(decode_record(LogEntry, self.payload))
            return
        remove_from(entries, _INDEX.unpack(self.payload)[0])


class LogEncoder:
    """Encodes the records of one log file.

    Args:
        salt: The file's salt.
    """

    def __init__(self, salt: bytes) -> None:
        """Initialises the encoder."""
        self._salt = salt

    def encode_entries(
        self, entries: list[LogEntry], offset: int, synced_size: int
    ) -> Iterator[bytes]:
        """Yields the records of entries, some of them at a time.

        Args:
            entries: The entries.
            offset: Where the first record will be written, in bytes.
            synced_size: How much of the file is synced, in bytes.
        """
        records: list[bytes] = []
        size = 0
        for entry in entries:
            record = self._encode(
                _Kind.entry, encode_record(entry), offset, synced_size
            )
            records.append(record)
            offset += len(record)
            size += len(record)
            if size >= _CHUNK_BYTES:
                yield b''.join(records)
                records.clear()
                size = 0
        if records:
            yield b''.join(records)

    def encode_truncation(
        self, index: int, offset: int, synced_size: int
    ) -> bytes:
        """Returns the record that removes all entries from an index on."""
        return self._encode(
            _Kind.truncation, _INDEX.pack(index), offset, synced_size
        )

    def _encode(
        self, kind: _Kind, payload: bytes, offset: int, synced_size: int
    ) -> bytes:
        header = _RECORD_HEADER.pack(
            self._salt, kind, len(payload), synced_size
        )
        checksum = _header_checksum(header, offset)
        return b''.join(
            (
                header,
                _CHECKSUM.pack(checksum),
                payload,
                _CHECKSUM.pack(zlib.crc32(payload, checksum)),
            )
        )


def new_salt() -> bytes:
    """Returns a salt for a new log file."""
    return secrets.token_bytes(_SALT_BYTES)


def encode_file_header(salt: bytes, size: int) -> bytes:
    """Returns the header of a new log file.

    The file must be synced before it replaces the former one.

    Args:
        salt: The file's salt.
        size: The size of the file with its first records, in bytes.
    """
    header = _FILE_HEADER.pack(_MAGIC, salt, size)
    return header + _CHECKSUM.pack(zlib.crc32(header))


def read_log(path: Path) -> StoredLog:
    """Returns the intact part of a log file, without a torn last write.

    The file is never in memory as a whole beside its entries.

    Raises:
        DamagedFileError: What was synced is damaged.
    """
    descriptor = os.open(path, os.O_RDONLY)
    try:
        return _read_log(FileBytes(descriptor), str(path))
    finally:
        os.close(descriptor)


def remove_from(entries: list[LogEntry], index: int) -> None:
    """Removes all entries from an index on."""
    while entries and entries[-1].index >= index:
        entries.pop()


def _read_log(content: FileBytes, where: str) -> StoredLog:
    magic = content.read(0, len(_MAGIC))
    if not magic or not _MAGIC.startswith(magic):
        return _read_former_log(content, where)
    salt, synced_size = _read_file_header(content, where)
    entries: list[LogEntry] = []
    end = FIRST_RECORD_OFFSET
    record = _record_at(content, end, salt)
    while record is not None:
        record.replay(entries)
        end = record.end
        record = _record_at(content, end, salt)
    if synced_size > end or _was_synced(content, end, salt):
        raise DamagedFileError(
            'synced log record is damaged', where=f'{where}@{end}'
        )
    return StoredLog(entries, end, salt)


def _read_former_log(content: FileBytes, where: str) -> StoredLog:
    entries: list[LogEntry] = []
    end = 0
    for record in read_former_log_records(content, where):
        entries.append(record.entry)
        end = record.end
    return StoredLog(entries, end)


def _read_file_header(content: FileBytes, where: str) -> tuple[bytes, int]:
    header = content.read(0, _FILE_HEADER.size)
    checksum = content.read(_FILE_HEADER.size, FIRST_RECORD_OFFSET)
    if checksum != _CHECKSUM.pack(zlib.crc32(header)):
        raise DamagedFileError('log file header checksum mismatch', where=where)
    _, salt, synced_size = _FILE_HEADER.unpack(header)
    return salt, synced_size


def _record_at(content: FileBytes, offset: int, salt: bytes) -> _Record | None:
    """Returns the record at an offset if it is complete and intact."""
    payload_start = offset + _RECORD_HEADER.size + _CHECKSUM.size
    header = content.read(offset, payload_start)
    checksum = _header_checksum(header[: _RECORD_HEADER.size], offset)
    if header[_RECORD_HEADER.size :] != _CHECKSUM.pack(checksum):
        return None
    record_salt, kind, length, synced_size = _RECORD_HEADER.unpack_from(header)
    payload_end = payload_start + length
    end = payload_end + _CHECKSUM.size
    if record_salt != salt or end > content.size:
        return None
    payload = content.read(payload_start, payload_end)
    payload_checksum = _CHECKSUM.pack(zlib.crc32(payload, checksum))
    if content.read(payload_end, end) != payload_checksum:
        return None
    return _Record(kind, payload, synced_size, end)


def _was_synced(content: FileBytes, offset: int, salt: bytes) -> bool:
    """Whether an intact record behind an offset says that it was synced."""
    position = content.find(salt, offset + 1)
    while position >= 0:
        record = _record_at(content, position, salt)
        if record is not None and record.synced_size > offset:
            return True
        position = content.find(salt, position + 1)
    return False


def _header_checksum(header: bytes, offset: int) -> int:
    return zlib.crc32(header, zlib.crc32(_OFFSET.pack(offset)))
