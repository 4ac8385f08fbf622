"""What a follower does with its leader's entries and snapshots.

The caller holds the state's lock.
"""

from mulberryhitch.replication.members import Members
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)


class Follower:
    """A follower's log.

    Args:
        state: The replica's state.
    """

    def __init__(self, state: ReplicaState) -> None:
        """Has received no part of a snapshot."""
        self._state = state
        self._snapshot_buffer = bytearray()

    async def append(self, request: AppendRequest) -> AppendReply:
        """Takes entries that fit, and commits what the leader has."""
        known_term = self._state.term_at(request.previous_index)
        in_snapshot = request.previous_index < self._state.snapshot_index
        if not in_snapshot and known_term != request.previous_term:
            hint = min(self._state.last_index, request.previous_index - 1)
            hint = max(hint, self._state.commit_index)
            return AppendReply(self._state.term, False, hint)
        await self._append_entries(request.entries)
        last = request.previous_index + len(request.entries)
        last = min(max(last, self._state.commit_index), self._state.last_index)
        commit = min(request.commit_index, last)
        if commit > self._state.commit_index:
            self._state.commit(commit)
        return AppendReply(self._state.term, True, last)

    async def receive_chunk(self, request: SnapshotRequest) -> SnapshotReply:
        """Takes the next part of a snapshot; the last puts it in force."""
        if request.offset != len(self._snapshot_buffer):
            self._snapshot_buffer.clear()
            return SnapshotReply(self._state.term, 0)
        self._snapshot_buffer.extend(request.state)
        offset = len(self._snapshot_buffer)
        if request.done:
            await self._install_snapshot(request)
        return SnapshotReply(self._state.term, offset)

    async def _append_entries(self, entries: list[LogEntry]) -> None:
        for position, entry in enumerate(entries):
            if entry.index <= self._state.commit_index:
                continue
            known_term = self._state.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                await self._state.truncate(entry.index)
            self._state.write(entries[position:])
            await self._state.storage.sync()
            return

    async def _install_snapshot(self, request: SnapshotRequest) -> None:
        content = bytes(self._snapshot_buffer)
        self._snapshot_buffer.clear()
        if request.last_index <= self._state.commit_index:
            return
        members = Members(tuple(request.voters), tuple(request.learners))
        await self._state.install(
            Snapshot(request.last_index, request.last_term, members, content)
        )
