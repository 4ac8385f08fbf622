"""Limits in bytes that fit each other, a disk and a process's memory."""

from dataclasses import dataclass

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.replication.file_storage import RESERVE_BYTES

_DEFAULT_DISK_BYTES = 128 * BYTES_PER_MEBIBYTE
_DEFAULT_MEMORY_BYTES = 296_000_000
_LEAST_SHARED_BYTES = 4 * BYTES_PER_MEBIBYTE
# A state takes up to five times its snapshot's size as objects, and four times
# while a snapshot is taken; interpreter, log and requests need the rest.
_MEMORY_PER_STATE = 16
# A log is in memory once, and for a moment as encoded batches to its peers.
_MEMORY_PER_LOG = 8
# A follower's log may have 3/2 of the limit, its rewritten file 9/8 of it.
_LOG_SHARE = 4 / 15
# The old and the new snapshot.
_STATE_SHARE = 2 / 15


@dataclass(frozen=True, slots=True)
class DiskBudget:
    """How a replica divides the room that it has.

    Old and new snapshot, the log, its rewritten file and the kept room are at
    most as large as the disk together.

    Attributes:
        disk_bytes: Size of the disk; zero if unknown, as 128 MiB.
        memory_bytes: Limit of the process's memory; zero if unknown, as 296
            MB.
    """

    disk_bytes: int = 0
    memory_bytes: int = 0

    @property
    def max_log_bytes(self) -> int:
        """Returns the maximum size of a leader's log."""
        share = self._share_bytes(_LOG_SHARE)
        return min(share, self._known_memory_bytes // _MEMORY_PER_LOG)

    @property
    def compact_bytes(self) -> int:
        """Returns the growth of the log after which a snapshot is due."""
        return self.max_log_bytes // 4

    @property
    def max_state_bytes(self) -> int:
        """Returns the maximum size of the state, as its snapshot."""
        share = self._share_bytes(_STATE_SHARE)
        return min(share, self._known_memory_bytes // _MEMORY_PER_STATE)

    @property
    def _known_memory_bytes(self) -> int:
        return self.memory_bytes or _DEFAULT_MEMORY_BYTES

    def _share_bytes(self, share: float) -> int:
        disk_bytes = self.disk_bytes or _DEFAULT_DISK_BYTES
        shared_bytes = min(disk_bytes, _DEFAULT_DISK_BYTES) - RESERVE_BYTES
        return round(max(shared_bytes, _LEAST_SHARED_BYTES) * share)
