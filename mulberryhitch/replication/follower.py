"""Applies the leader's appends and snapshots on a follower.

The caller must hold ``ReplicaState.lock``.
"""

from mulberryhitch.errors import DiskFullError
from mulberryhitch.replication.entry_sizes import stored_bytes
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)

_DEFAULT_OPTIONS = ReplicationOptions()


class Follower:
    """Handles replication requests from the leader.

    Args:
        state: The replica's state.
        options: The maximum size of the log; entries for which it has no room
            are accepted after the next snapshot.
    """

    def __init__(
        self,
        state: ReplicaState,
        options: ReplicationOptions = _DEFAULT_OPTIONS,
    ) -> None:
        """Initialises the follower with an empty snapshot buffer."""
        self._state = state
        self._max_log_bytes = options.max_follower_log_bytes
        self._least_dropped_bytes = options.least_dropped_bytes
        self._is_disk_full = False
        self._snapshot_buffer = bytearray()
        self._buffered_snapshot = (0, 0, 0)

    async def append(
        self, request: AppendRequest, promised_seconds: float
    ) -> AppendReply:
        """Appends entries that match the log and advances the commit index.

        A success confirms synced entries only, up to ``last_index`` of the
        reply: fewer than were sent if the log has no room for the others. On a
        mismatch ``last_index`` is where to try next.

        Args:
            request: The append.
            promised_seconds: How long this replica votes for no other leader.

        Raises:
            StorageError: The entries were not stored.
        """
        local_term = self._state.term_at(request.previous_index)
        in_snapshot = request.previous_index < self._state.snapshot_index
        if not in_snapshot and local_term != request.previous_term:
            hint = min(self._state.last_index, request.previous_index - 1)
            hint = max(hint, self._state.commit_index)
            return self._reply(hint, promised_seconds, success=False)
        await self._state.sync()
        await self._append_entries(request)
        last = request.previous_index + len(request.entries)
        last = min(max(last, self._state.commit_index), self._state.last_index)
        commit = min(request.commit_index, last)
        if commit > self._state.commit_index:
            self._state.commit(commit)
            self._drop_covered_chunks()
        return self._reply(last, promised_seconds, success=True)

    async def receive_chunk(self, request: SnapshotRequest) -> SnapshotReply:
        """Adds a chunk of a snapshot and installs it after the last chunk.

        A chunk of another snapshot, or of another leader, discards the chunks
        received so far. The reply's ``next_offset`` is where to go on.

        Raises:
            StorageError: The snapshot was not stored.
        """
        if request.last_index <= self._state.commit_index:
            await self._state.sync()
            end = request.offset + len(request.state)
            return SnapshotReply(self._state.term, end)
        snapshot = (request.last_index, request.last_term, request.term)
        if snapshot != self._buffered_snapshot:
            self._snapshot_buffer.clear()
            self._buffered_snapshot = snapshot
        offset = len(self._snapshot_buffer)
        if request.offset != offset:
            return SnapshotReply(self._state.term, offset)
        self._snapshot_buffer.extend(request.state)
        offset += len(request.state)
        if request.done:
            await self._install_snapshot(request)
        return SnapshotReply(self._state.term, offset)

    def _reply(
        self, last_index: int, promised_seconds: float, *, success: bool
    ) -> AppendReply:
        return AppendReply(
            self._state.term,
            success,
            last_index,
            promised_seconds,
            self._is_disk_full or self._state.storage.is_room_short,
        )

    async def _append_entries(self, request: AppendRequest) -> None:
        entries = request.entries
        for position, entry in enumerate(entries):
            if entry.index <= self._state.commit_index:
                continue
            local_term = self._state.term_at(entry.index)
            if local_term == entry.term:
                continue
            if local_term is not None:
                await self._state.truncate(entry.index)
            self._write(
                self._fitting(entries[position:]),
                is_leader_ready=self._is_ready(request),
            )
            await self._state.sync()
            return

    def _write(self, entries: list[LogEntry], *, is_leader_ready: bool) -> None:
        """Writes entries; none if the disk is full, which the reply tells.

        A leader that is not ready gets no reply: a voter whose log is shorter
        may need less room to begin its term.

        Raises:
            DiskFullError: The disk is full, and the leader is not ready.
        """
        self._is_disk_full = False
        try:
            self._state.write(entries)
        except DiskFullError:
            if not is_leader_ready:
                raise
            self._is_disk_full = True

    def _is_ready(self, request: AppendRequest) -> bool:
        """Whether the leader is known to have committed its first entry."""
        return self._state.term_at(request.commit_index) == request.term

    def _fitting(self, entries: list[LogEntry]) -> list[LogEntry]:
        """Returns the first entries, as many as the log has room for.

        Returns all of them if no snapshot could make room: nothing would be
        committed if a majority refused the first entry of a term.
        """
        log_bytes = self._state.storage.log_bytes
        free_bytes = self._max_log_bytes - log_bytes
        if free_bytes <= 0 and not self._may_be_shortened(log_bytes):
            return entries
        for position, entry in enumerate(entries):
            free_bytes -= stored_bytes(entry)
            if free_bytes < 0:
                return entries[:position]
        return entries

    def _may_be_shortened(self, log_bytes: int) -> bool:
        dropped_bytes = log_bytes - self._state.uncommitted_bytes()
        return dropped_bytes > self._least_dropped_bytes

    def _drop_covered_chunks(self) -> None:
        """Frees the chunks of a snapshot that is no longer needed."""
        if self._buffered_snapshot[0] <= self._state.commit_index:
            self._snapshot_buffer.clear()
            self._buffered_snapshot = (0, 0, 0)

    async def _install_snapshot(self, request: SnapshotRequest) -> None:
        content = bytes(self._snapshot_buffer)
        self._snapshot_buffer.clear()
        members = Members(tuple(request.voters), tuple(request.learners))
        await self._state.install(
            Snapshot(request.last_index, request.last_term, members, content)
        )
