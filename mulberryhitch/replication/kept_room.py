"""Writes that may use the room which a replica keeps on its disk."""

import sys
from collections.abc import Callable

from mulberryhitch.errors import DiskFullError
from mulberryhitch.replication.disk_errors import is_disk_full
from mulberryhitch.replication.reserve import Reserve

# Part of the room that snapshots never get.
_ELECTION_ROOM_BYTES = 1_048_576
# A block of the file system; other processes may take what is not used of it.
_RELEASE_STEP_BYTES = 4096


class KeptRoom:
    """Repeats a write that found no room with room from the reserve.

    Args:
        reserve: The reserve.
    """

    def __init__(self, reserve: Reserve) -> None:
        """Initialises the room."""
        self._reserve = reserve

    def write_for_group(
        self,
        write: Callable[[], object],
        needed_bytes: int = _RELEASE_STEP_BYTES,
    ) -> None:
        """Writes what an election or a membership change needs.

        It gives back little at first, as others may take what is not used.

        Args:
            write: The write; leaves nothing behind if it fails.
            needed_bytes: About how much room it needs.

        Raises:
            OSError: The disk is full or faulty.
            StorageError: The same, as a typed error.
        """
        released_bytes = _RELEASE_STEP_BYTES
        while not self._try_to_write(write, released_bytes, needed_bytes):
            released_bytes *= 2

    def write_snapshot(
        self, write: Callable[[], object], needed_bytes: int
    ) -> None:
        """Writes a snapshot or the log that follows it.

        It leaves a part of the reserve to elections.

        Args:
            write: The write; leaves nothing behind if it fails.
            needed_bytes: About how much room it needs.

        Raises:
            OSError: The disk is full or faulty.
            StorageError: The same, as a typed error.
        """
        kept_bytes = min(_ELECTION_ROOM_BYTES, self._reserve.base_bytes // 2)
        is_written = False
        while not is_written:
            is_written = self._try_to_write(
                write, sys.maxsize, needed_bytes, kept_bytes
            )

    def _try_to_write(
        self,
        write: Callable[[], object],
        released_bytes: int,
        needed_bytes: int,
        kept_bytes: int = 0,
    ) -> bool:
        """Writes, or gives room back; returns whether it has written."""
        try:
            write()
        except (OSError, DiskFullError) as error:
            is_full = is_disk_full(error) or is_disk_full(error.__cause__)
            if not is_full:
                raise
            if not self._reserve.release(
                released_bytes, needed_bytes, kept_bytes
            ):
                raise
            return False
        return True
