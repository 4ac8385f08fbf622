"""Files that survive a loss of power: written aside, synced and renamed."""

import os
import struct
import zlib
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path

from mulberryhitch.errors import DamagedFileError

CREATE_FLAGS = os.O_RDWR | os.O_CREAT
FILE_MODE = 0o600
_CHECKSUM = struct.Struct('>I')


def write_atomically(path: Path, content: bytes) -> None:
    """Replaces a file atomically and durably by a content and its checksum."""
    replace_file(path, content + _CHECKSUM.pack(zlib.crc32(content)))


def replace_file(path: Path, content: bytes) -> None:
    """Replaces a file atomically and durably.

    Writes the content to a temporary file, syncs and renames it, then syncs
    the folder.
    """
    temporary_path = path.with_suffix('.aside')
    with new_file(temporary_path) as descriptor:
        write_all(descriptor, content)
        os.fsync(descriptor)
        temporary_path.rename(path)
    os.close(descriptor)
    sync_folder(path.parent)


def read_checked(path: Path) -> bytes | None:
    """Reads a file written by :func:`write_atomically`, or returns ``None``.

    Raises:
        DamagedFileError: The checksum does not match.
    """
    if not path.exists():
        return None
    record = path.read_bytes()
    content = record[: -_CHECKSUM.size]
    if record[-_CHECKSUM.size :] != _CHECKSUM.pack(zlib.crc32(content)):
        raise DamagedFileError('checksum mismatch', where=str(path))
    return content


def sync_folder(folder: Path) -> None:
    """Syncs a folder, so that renamed and new files in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@contextmanager
def new_file(path: Path) -> Iterator[int]:
    """Yields a new file's descriptor; closes and removes it on an error."""
    descriptor = os.open(path, CREATE_FLAGS | os.O_TRUNC, FILE_MODE)
    try:
        yield descriptor
    except BaseException:
        os.close(descriptor)
        with suppress(OSError):
            path.unlink()
        raise


def write_all(descriptor: int, content: bytes) -> None:
    written = 0
    while written < len(content):
        written += os.write(descriptor, content[written:])
