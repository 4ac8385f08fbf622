"""Keeps room on a disk in a file of zeros, which is given back when needed."""

import errno
import math
import os
import threading
from contextlib import suppress
from pathlib import Path

from mulberryhitch.replication.durable_files import (
    CREATE_FLAGS,
    FILE_MODE,
    write_all,
)

# A sync of each chunk: no sync of the log waits for all of the file.
_CHUNK_BYTES = 1_048_576


class Reserve:
    """A file that keeps room for elections and snapshots.

    It is as large as the last snapshot and ``base_bytes``: room for the next
    snapshot and the rewritten log beside the present files, if they have grown
    by no more than that. Thread-safe.

    Args:
        path: The file; what a killed process left of it counts.
        base_bytes: The size without a snapshot; 0 keeps no room at all.
    """

    def __init__(self, path: Path, base_bytes: int) -> None:
        """Initialises the reserve without writing anything."""
        self._path = path
        self._base_bytes = base_bytes
        self._target_bytes = base_bytes
        self._size = path.stat().st_size if path.exists() else 0
        self._is_short = False
        self._releases = 0
        self._lock = threading.Lock()

    @property
    def base_bytes(self) -> int:
        """The size without a snapshot."""
        return self._base_bytes

    @property
    def is_enabled(self) -> bool:
        """Whether any room is kept."""
        return self._base_bytes > 0

    @property
    def is_complete(self) -> bool:
        """Whether the file has its full size."""
        return self._size == self._target_bytes

    @property
    def is_short(self) -> bool:
        """Whether room was given back or refused, and is not there again."""
        return self._is_short and not self.is_complete

    def fit_to(self, snapshot_bytes: int) -> None:
        """Adapts the full size to a snapshot; :meth:`restore` applies it."""
        if self.is_enabled:
            self._target_bytes = self._base_bytes + snapshot_bytes

    def release(
        self, wanted_bytes: int, needed_bytes: int = 0, kept_bytes: int = 0
    ) -> bool:
        """Gives up to this much room back; returns whether there was any.

        Gives none back for a write that would find no room even so.

        Args:
            wanted_bytes: The most that is given back.
            needed_bytes: What the write needs on the disk.
            kept_bytes: What is not given back in any case.
        """
        with self._lock:
            available_bytes = self._size - kept_bytes
            if available_bytes <= 0:
                return False
            free_bytes = _free_bytes(self._path.parent, unknown=0)
            if available_bytes + free_bytes < needed_bytes:
                return False
            return self._shrink(max(kept_bytes, self._size - wanted_bytes))

    def restore(self) -> None:
        """Extends the file to its full size.

        If the disk has no room for all of it, the file is left as it was: the
        rest of the room serves elections, also those of other groups.

        Raises:
            OSError: The disk is full or faulty.
        """
        former_size, began = self._size, self._releases
        has_more = True
        try:
            self._check_free_bytes()
            while has_more:
                has_more = self._extend(began)
        except OSError:
            with self._lock:
                self._is_short = True
                self._shrink(min(self._size, former_size))
            raise

    def _check_free_bytes(self) -> None:
        """Refuses early what wouldn't fit, so as not to fill the disk in vain.

        A quota, or a file system that doesn't tell its size, refuses later.
        """
        free_bytes = _free_bytes(self._path.parent, unknown=math.inf)
        if free_bytes < self._target_bytes - self._size:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def _extend(self, began: int) -> bool:
        """Writes one more chunk; returns whether there may be more to write."""
        with self._lock:
            missing = self._target_bytes - self._size
            if missing < 0:
                self._shrink(self._target_bytes)
            if missing <= 0 or self._releases != began:
                return False
            self._append(min(missing, _CHUNK_BYTES))
            return True

    def _append(self, size: int) -> None:
        descriptor = os.open(self._path, CREATE_FLAGS, FILE_MODE)
        try:
            os.lseek(descriptor, self._size, os.SEEK_SET)
            write_all(descriptor, bytes(size))
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        self._size += size

    def _shrink(self, size: int) -> bool:
        with suppress(OSError):
            os.truncate(self._path, size)
            self._size = size
            self._is_short = self._size < self._target_bytes
            self._releases += 1
            return True
        return False


def _free_bytes(folder: Path, *, unknown: float) -> float:
    """Returns the free room of a disk, or ``unknown`` if it doesn't tell."""
    try:
        disk = os.statvfs(folder)
    except OSError:
        return unknown
    return disk.f_bavail * disk.f_frsize if disk.f_blocks else unknown
