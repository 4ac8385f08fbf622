"""What one replica knows: its term, vote, log, members and commit index.

The rules that must never break are asserted here, where the state changes.
"""

from collections.abc import Callable
from typing import Any

import anyio

from mulberryhitch.errors import InvariantError, MulberryhitchError
from mulberryhitch.replication.interfaces import StateMachine
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.storage import Snapshot, Storage
from mulberryhitch.rpc.messages import LogEntry

NOOP_KIND = 'noop'
FIRST_INDEX = 1


class ReplicaState:
    """The state of one replica, kept in step with its storage.

    Args:
        group: The group's name.
        storage: The replica's disk.
        machine: What committed entries are applied to.

    Raises:
        DamagedFileError: The storage can't be read.
    """

    def __init__(
        self, group: str, storage: Storage, machine: StateMachine
    ) -> None:
        """Loads the storage."""
        stored = storage.load()
        self.group = group
        self.replica_id = stored.replica_id
        self.storage = storage
        self.machine = machine
        self.lock = anyio.Lock()
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.commit_index = 0
        self.snapshot = stored.snapshot
        self._entries = stored.entries
        self._member_changes: list[tuple[int, Members]] = []
        self._on_applied: Callable[[LogEntry, Any, Any], None] | None = None
        if stored.snapshot is not None:
            self._restore(stored.snapshot)
        self._rebuild_member_changes()

    @property
    def configured(self) -> bool:
        """Whether this replica was ever given a group's beginning."""
        return self.snapshot is not None

    @property
    def members(self) -> Members:
        """The newest members in the log, committed or not."""
        if self._member_changes:
            return self._member_changes[-1][1]
        return self.snapshot.members if self.snapshot else Members(())

    @property
    def members_committed(self) -> bool:
        """Whether the newest change of members is committed."""
        if not self._member_changes:
            return True
        return self._member_changes[-1][0] <= self.commit_index

    @property
    def snapshot_index(self) -> int:
        """The last index that the snapshot covers."""
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.last_term if self.snapshot else 0

    def set_applied_callback(
        self, callback: Callable[[LogEntry, Any, Any], None]
    ) -> None:
        """Names who is told of each applied entry, its result and failure."""
        self._on_applied = callback

    def term_at(self, index: int) -> int | None:
        """The term of an entry, or nothing where it is not held."""
        if index == self.snapshot_index:
            return self.snapshot.last_term if self.snapshot else 0
        if self.snapshot_index < index <= self.last_index:
            return self._entries[index - self.snapshot_index - 1].term
        return None

    def entries_from(self, index: int, limit: int) -> list[LogEntry]:
        """At most so many entries, from an index after the snapshot on."""
        start = index - self.snapshot_index - 1
        return self._entries[start : start + limit]

    def is_not_newer_than(self, last_term: int, last_index: int) -> bool:
        """Whether this log is no newer than one with this last entry."""
        return (self.last_term, self.last_index) <= (last_term, last_index)

    async def save_term(self, term: int, voted_for: str) -> None:
        """Keeps a term and a vote.

        Raises:
            InvariantError: The term would go back, or the vote change.
        """
        if term < self.term:
            raise InvariantError(f'term {self.term} would become {term}')
        if term == self.term and self.voted_for not in {'', voted_for}:
            raise InvariantError(f'a second vote in term {term}')
        await self.storage.save_vote(term, voted_for)
        self.term = term
        self.voted_for = voted_for

    def write(self, entries: list[LogEntry]) -> None:
        """Adds entries, not yet synced.

        Raises:
            InvariantError: They don't follow the last entry.
            StorageError: Nothing was added.
        """
        if entries and entries[0].index != self.last_index + 1:
            raise InvariantError('entries leave a gap')
        self.storage.write(entries)
        self._entries.extend(entries)
        for entry in entries:
            if entry.kind == MEMBERS_KIND:
                members = Members.decode(entry.body)
                self._member_changes.append((entry.index, members))

    async def truncate(self, index: int) -> None:
        """Removes entries that were never committed.

        Raises:
            InvariantError: A committed entry would go.
        """
        if index <= self.commit_index:
            raise InvariantError(f'entry {index} is committed')
        await self.storage.truncate(index)
        self._entries = self._entries[: index - self.snapshot_index - 1]
        self._rebuild_member_changes()

    def commit(self, index: int) -> None:
        """Applies all entries up to an index.

        Raises:
            InvariantError: The entries are not held.
        """
        if index > self.last_index:
            raise InvariantError(f'entry {index} is not held')
        while self.commit_index < index:
            entry = self.entries_from(self.commit_index + 1, 1)[0]
            self.commit_index = entry.index
            self._apply(entry)

    async def bootstrap(self, members: Members) -> None:
        """Gives an empty replica its group's beginning."""
        snapshot = Snapshot(FIRST_INDEX, 0, members, self.machine.snapshot())
        await self.install(snapshot)

    async def install(self, snapshot: Snapshot) -> None:
        """Takes over a snapshot in place of the whole log."""
        retained: list[LogEntry] = []
        if self.term_at(snapshot.last_index) == snapshot.last_term:
            retained = self.entries_from(
                snapshot.last_index + 1, self.last_index
            )
        await self.storage.save_snapshot(snapshot, retained)
        self._entries = retained
        self.snapshot = snapshot
        self._restore(snapshot)
        self._rebuild_member_changes()

    async def compact(self) -> None:
        """Takes a snapshot at the commit index and drops what it covers."""
        index = self.commit_index
        if index <= self.snapshot_index:
            return
        snapshot = Snapshot(
            index,
            self.term_at(index) or 0,
            self._members_as_of(index),
            self.machine.snapshot(),
        )
        retained = self.entries_from(index + 1, self.last_index)
        await self.storage.save_snapshot(snapshot, retained)
        self._entries = retained
        self.snapshot = snapshot
        self._rebuild_member_changes()

    def _apply(self, entry: LogEntry) -> None:
        result: Any = None
        failure: MulberryhitchError | None = None
        if entry.kind not in {NOOP_KIND, MEMBERS_KIND}:
            try:
                result = self.machine.apply(entry)
            except MulberryhitchError as error:
                failure = error
        if self._on_applied is not None:
            self._on_applied(entry, result, failure)

    def _restore(self, snapshot: Snapshot) -> None:
        if snapshot.last_index < self.commit_index:
            raise InvariantError('a snapshot would undo committed entries')
        self.machine.restore(snapshot.state)
        self.commit_index = snapshot.last_index

    def _members_as_of(self, index: int) -> Members:
        effective = self.snapshot.members if self.snapshot else Members(())
        for changed_at, members in self._member_changes:
            if changed_at <= index:
                effective = members
        return effective

    def _rebuild_member_changes(self) -> None:
        self._member_changes = [
            (entry.index, Members.decode(entry.body))
            for entry in self._entries
            if entry.kind == MEMBERS_KIND
        ]
