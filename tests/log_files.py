"""Builders of log files: torn by a loss of power, or of the former format."""

import struct
import zlib
from collections.abc import Iterator

from mulberryhitch.rpc.codec import encode_record
from mulberryhitch.rpc.messages import LogEntry

SECTOR_BYTES = 64


def torn_writes(
    content: bytes, start: int, old_bytes: bytes
) -> Iterator[tuple[str, bytes]]:
    """Yields what a loss of power may leave of a file's last write.

    Args:
        content: The file with the whole write.
        start: The offset at which the write began.
        old_bytes: What blocks that were not written may hold.
    """
    size = len(content)
    for offset in range(start, size):
        end = min(size, offset + SECTOR_BYTES)
        zeros = bytes(end - offset)
        old = (old_bytes * size)[offset:end]
        before, behind = content[:offset], content[end:]
        yield f'cut short at {offset}', before
        yield f'zeros at {offset}', before + zeros + behind
        yield f'old bytes at {offset}', before + old + behind
        yield f'extended with zeros at {offset}', before + bytes(size)
    yield 'extended with zeros behind it', content + bytes(size)
    yield 'nothing but zeros', content[:start] + bytes(size - start)


def former_log(entries: list[LogEntry]) -> bytes:
    """Returns a log file of the former format."""
    records = []
    chain_checksum = 0
    for entry in entries:
        payload = encode_record(entry)
        length = struct.pack('>I', len(payload))
        header_checksum = zlib.crc32(length, chain_checksum)
        chain_checksum = zlib.crc32(payload, chain_checksum)
        records.append(length + struct.pack('>I', header_checksum))
        records.append(payload + struct.pack('>I', chain_checksum))
    return b''.join(records)
