"""Takes snapshots of a replica's state, which replace its older log entries."""

import anyio

from mulberryhitch.errors import DiskFullError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState

_DISK_FULL_RETRY_SECONDS = 2.0


class Compaction:
    """Takes a snapshot whenever enough entries have been applied.

    Args:
        state: The replica's state.
        options: The number of entries, and the interval between checks.
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

    async def run(self) -> None:
        """Takes the snapshots that are due, until cancelled.

        Raises:
            StorageError: The disk failed.
        """
        while True:
            await anyio.sleep(self._options.election_seconds)
            if not self._is_due():
                continue
            try:
                await self._compact()
            except DiskFullError as error:
                self._log.problem('replica.not_compacted', error.problem)
                await anyio.sleep(_DISK_FULL_RETRY_SECONDS)

    def _is_due(self) -> bool:
        uncompacted = self._state.commit_index - self._state.snapshot_index
        return uncompacted >= self._options.compact_entries

    async def _compact(self) -> None:
        storage = self._state.storage
        former_log_bytes = storage.log_bytes
        began_at = anyio.current_time()
        async with self._state.lock:
            with self._fail_stop:
                await self._state.compact()
        self._log.event(
            'replica.compacted',
            group=self._state.group,
            snapshot_index=self._state.snapshot_index,
            snapshot_bytes=storage.snapshot_bytes,
            former_log_bytes=former_log_bytes,
            log_bytes=storage.log_bytes,
            seconds=round(anyio.current_time() - began_at, 3),
        )
