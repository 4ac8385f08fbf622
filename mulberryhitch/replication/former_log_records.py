"""Reads log files of the former format, which had no file header.

A record consists of the payload's length, the length's checksum, the payload
and the payload's checksum. Both checksums are chained to the previous record.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.errors import DamagedFileError
from mulberryhitch.replication.file_bytes import FileBytes
from mulberryhitch.rpc.codec import decode_record
from mulberryhitch.rpc.messages import LogEntry

_HEADER = struct.Struct('>II')
_CHECKSUM = struct.Struct('>I')


@dataclass(frozen=True, slots=True)
class FormerLogRecord:
    """A log entry with the end offset of its record."""

    entry: LogEntry
    end: int


def read_former_log_records(
    content: FileBytes, where: str
) -> Iterator[FormerLogRecord]:
    """Yields all complete records and stops at a torn tail.

    Raises:
        DamagedFileError: A checksum does not match.
    """
    offset = 0
    chain_checksum = 0
    while content.size - offset >= _HEADER.size:
        payload_start = offset + _HEADER.size
        header = content.read(offset, payload_start)
        length, header_checksum = _HEADER.unpack(header)
        expected = zlib.crc32(struct.pack('>I', length), chain_checksum)
        if header_checksum != expected:
            raise DamagedFileError(
                'log record header checksum mismatch', where=f'{where}@{offset}'
            )
        payload_end = payload_start + length
        end = payload_end + _CHECKSUM.size
        if end > content.size:
            return
        payload = content.read(payload_start, payload_end)
        chain_checksum = zlib.crc32(payload, chain_checksum)
        if content.read(payload_end, end) != _CHECKSUM.pack(chain_checksum):
            raise DamagedFileError(
                'log record payload checksum mismatch',
                where=f'{where}@{offset}',
            )
        yield FormerLogRecord(decode_record(LogEntry, payload), end)
        offset = end
