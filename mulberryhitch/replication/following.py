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


class Following:
    """A follower's log.

    Args:
        state: The replica's state.
    """

    def __init__(self, state: ReplicaState) -> None:
        """Has received no part of a snapshot."""
        self._state = state
        self._incoming = bytearray()

    async def append(self, request: AppendRequest) -> AppendReply:
        """Takes entries that fit, and commits what the leader has."""
        known_term = self._state.term_at(request.previous_index)
        covered = request.previous_index < self._state.snapshot_index
        if not covered and known_term != request.previous_term:
            hint = min(self._state.last_index, request.previous_index - 1)
            hint = max(hint, self._state.commit_index)
            return AppendReply(self._state.term, False, hint)
        await self._take_entries(request.entries)
        last = request.previous_index + len(request.entries)
        last = min(max(last, self._state.commit_index), self._state.last_index)
        commit = min(request.commit_index, last)
        if commit > self._state.commit_index:
            self._state.commit(commit)
        return AppendReply(self._state.term, True, last)

    async def take_part(self, request: SnapshotRequest) -> SnapshotReply:
        """Takes the next part of a snapshot; the last puts it in force."""
        if request.offset != len(self._incoming):
            self._incoming.clear()
            return SnapshotReply(self._state.term, 0)
        self._incoming.extend(request.state)
        offset = len(self._incoming)
        if request.done:
            await self._install(request)
        return SnapshotReply(self._state.term, offset)

    async def _take_entries(self, entries: list[LogEntry]) -> None:
        for place, entry in enumerate(entries):
            if entry.index <= self._state.commit_index:
                continue
            known_term = self._state.term_at(entry.index)
            if known_term == entry.term:
                continue
            if known_term is not None:
                await self._state.truncate(entry.index)
            self._state.write(entries[place:])
            await self._state.storage.sync()
            return

    async def _install(self, request: SnapshotRequest) -> None:
        content = bytes(self._incoming)
        self._incoming.clear()
        if request.last_index <= self._state.commit_index:
            return
        members = Members(tuple(request.voters), tuple(request.learners))
        await self._state.install(
            Snapshot(request.last_index, request.last_term, members, content)
        )
