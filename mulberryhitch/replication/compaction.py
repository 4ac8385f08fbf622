"""Takes snapshots of a replica's state, which replace its older log entries."""

import zlib

import anyio

from mulberryhitch.errors import DiskFullError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState

_DISK_FULL_RETRY_SECONDS = 2.0
_DUE_SPREAD = 0.25
_CRC32_VALUES = 2**32


class Compaction:
    """Takes a snapshot whenever the log has grown enough.

    The log grows by at least the size of the former snapshot between two
    snapshots, so that most of what is written is log. A log that nears its
    limit has one at each check that can shorten it. A snapshot holds up the
    replica, so each replica takes its own after another growth.

    Args:
        state: The replica's state.
        options: The growth in entries and bytes, the limit of the log, and the
            interval between checks.
        fail_stop: Stops the replica if the disk fails.
        log: Receives each snapshot that a full disk prevented.
    """

    def __init__(
        self,
        state: ReplicaState,
        options: ReplicationOptions,
        fail_stop: FailStop,
        log: Log,
    ) -> None:
        """Initialises the compaction; :meth:`run` starts it."""
        self._state = state
        self._options = options
        self._fail_stop = fail_stop
        self._log = log
        self._due_share = _due_share(state.replica_id)
        # Size of the log after the latest snapshot, in bytes.
        self._retained_bytes = 0
        self._log_grown = anyio.Event()
        state.set_committed_callback(self._wake_if_grown)

    async def run(self) -> None:
        """Takes the snapshots that are due, until cancelled.

        Raises:
            StorageError: The disk failed.
        """
        while True:
            with anyio.move_on_after(self._options.election_seconds):
                await self._log_grown.wait()
            self._log_grown = anyio.Event()
            if not self._is_due():
                continue
            try:
                await self._compact()
            except DiskFullError as error:
                self._log.problem('replica.not_compacted', error.problem)
                await anyio.sleep(_DISK_FULL_RETRY_SECONDS)

    def _wake_if_grown(self) -> None:
        if self._has_grown():
            self._log_grown.set()

    def _is_due(self) -> bool:
        uncompacted = self._state.commit_index - self._state.snapshot_index
        if uncompacted >= self._options.compact_entries * self._due_share:
            return True
        is_due = uncompacted > 0 and self._has_grown()
        return is_due or self._may_shorten_long_log()

    def _may_shorten_long_log(self) -> bool:
        """Whether much of a log that nears its limit may be dropped."""
        log_bytes = self._state.storage.log_bytes
        if log_bytes < self._options.max_log_bytes // 2:
            return False
        dropped_bytes = log_bytes - self._state.uncommitted_bytes()
        return dropped_bytes > self._options.least_dropped_bytes

    def _has_grown(self) -> bool:
        storage = self._state.storage
        # A snapshot of the leader or a truncation may have shortened the log.
        self._retained_bytes = min(self._retained_bytes, storage.log_bytes)
        growth = storage.log_bytes - self._retained_bytes
        due_growth = max(self._options.compact_bytes, storage.snapshot_bytes)
        due_growth = min(due_growth, self._options.max_log_bytes // 2)
        return growth >= due_growth * self._due_share

    async def _compact(self) -> None:
        storage = self._state.storage
        former_log_bytes = storage.log_bytes
        began_at = anyio.current_time()
        async with self._state.lock:
            with self._fail_stop:
                await self._state.compact(
                    self._options.retained_entries, self._options.retained_bytes
                )
        self._retained_bytes = storage.log_bytes
        self._log.event(
            'replica.compacted',
            group=self._state.group,
            snapshot_index=self._state.snapshot_index,
            snapshot_bytes=storage.snapshot_bytes,
            former_log_bytes=former_log_bytes,
            log_bytes=storage.log_bytes,
            seconds=round(anyio.current_time() - began_at, 3),
        )


def _due_share(replica_id: str) -> float:
    """Returns the share of the growth after which a replica's is due."""
    position = zlib.crc32(replica_id.encode()) / _CRC32_VALUES
    return 1 - _DUE_SPREAD * position
