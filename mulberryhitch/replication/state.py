"""The state of a replica: term, vote, log, members and commit index.

Safety invariants are checked here, where the state changes.
"""

from collections.abc import Callable
from typing import Any

import anyio

from mulberryhitch.errors import InvariantError, MulberryhitchError
from mulberryhitch.replication.entry_sizes import stored_bytes
from mulberryhitch.replication.interfaces import StateMachine
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.storage import Snapshot, Storage
from mulberryhitch.rpc.messages import LogEntry

NOOP_KIND = 'noop'
BOOTSTRAP_INDEX = 1


class ReplicaState:
    """The in-memory state of a replica, kept consistent with its storage.

    Args:
        group: The group's name.
        storage: The replica's persistent storage.
        machine: The state machine to apply committed entries to.

    Raises:
        DamagedFileError: The stored data is corrupt.
    """

    def __init__(
        self, group: str, storage: Storage, machine: StateMachine
    ) -> None:
        """Loads the stored state."""
        stored = storage.load()
        self.group = group
        self.replica_id = stored.replica_id
        self.storage = storage
        self.machine = machine
        self.lock = anyio.Lock()
        self.term = stored.term
        self.voted_for = stored.voted_for
        self.promised_seconds = stored.promised_seconds
        self.commit_index = 0
        self.snapshot = stored.snapshot
        # May begin with entries that the snapshot covers, for lagging peers.
        self._entries = stored.entries
        self._sync_lock = anyio.Lock()
        self._member_changes: list[tuple[int, Members]] = []
        self._on_applied: Callable[[LogEntry, Any, Any], None] | None = None
        self._on_committed: Callable[[], None] | None = None
        if stored.snapshot is not None:
            self._restore(stored.snapshot)
        self._index_before_write = self.last_index
        self._rebuild_member_changes()

    @property
    def configured(self) -> bool:
        """Whether this replica was bootstrapped or received a snapshot."""
        return self.snapshot is not None

    @property
    def members(self) -> Members:
        """Returns the latest members in the log, committed or not."""
        if self._member_changes:
            return self._member_changes[-1][1]
        return self.snapshot.members if self.snapshot else Members(())

    @property
    def members_committed(self) -> bool:
        """Whether the latest membership change is committed."""
        if not self._member_changes:
            return True
        return self._member_changes[-1][0] <= self.commit_index

    @property
    def snapshot_index(self) -> int:
        """Returns the last index that the snapshot covers, or 0."""
        return self.snapshot.last_index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Returns the index of the last entry."""
        return self._first_index + len(self._entries) - 1

    @property
    def synced_index(self) -> int:
        """Returns the index up to which the log survives a loss of power.

        Replies to other replicas must not confirm later entries.
        """
        if self.storage.is_synced:
            return self.last_index
        return self._index_before_write

    @property
    def last_term(self) -> int:
        """Returns the term of the last entry."""
        if self._entries:
            return self._entries[-1].term
        return self.snapshot.last_term if self.snapshot else 0

    def set_applied_callback(
        self, callback: Callable[[LogEntry, Any, Any], None]
    ) -> None:
        """Sets the callback for each applied entry, its result and error."""
        self._on_applied = callback

    def set_committed_callback(self, callback: Callable[[], None]) -> None:
        """Sets the callback for each advance of the commit index."""
        self._on_committed = callback

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry, or ``None`` if it is not in the log."""
        if index == self.snapshot_index:
            return self.snapshot.last_term if self.snapshot else 0
        if self._first_index <= index <= self.last_index:
            return self._entries[index - self._first_index].term
        return None

    def entries_from(self, index: int, limit: int) -> list[LogEntry]:
        """Returns up to ``limit`` entries, from an index in the log."""
        start = index - self._first_index
        return self._entries[start : start + limit]

    def uncommitted_bytes(self) -> int:
        """Returns about how many bytes of the log may not be dropped yet."""
        uncommitted = self.entries_from(self.commit_index + 1, self.last_index)
        return sum(map(stored_bytes, uncommitted))

    def is_not_newer_than(self, last_term: int, last_index: int) -> bool:
        """Whether a log with this last entry is at least as up to date."""
        return (self.last_term, self.last_index) <= (last_term, last_index)

    async def save_term(self, term: int, voted_for: str) -> None:
        """Stores a term and a vote durably.

        Raises:
            InvariantError: The term would decrease, or the vote change within
                a term.
            StorageError: The term and vote were not stored.
        """
        if term < self.term:
            raise InvariantError(f'term {self.term} would become {term}')
        if term == self.term and self.voted_for not in {'', voted_for}:
            raise InvariantError(
                f'second vote in term {term}: for {voted_for!r}, after one '
                f'for {self.voted_for!r}'
            )
        await self.storage.save_vote(term, voted_for, self.promised_seconds)
        self.term = term
        self.voted_for = voted_for

    async def save_promise(self, seconds: float) -> None:
        """Stores durably how long the replica may vote for no other leader.

        Raises:
            StorageError: The promise was not stored.
        """
        await self.storage.save_vote(self.term, self.voted_for, seconds)
        self.promised_seconds = seconds

    def write(self, entries: list[LogEntry]) -> None:
        """Appends entries without syncing.

        All earlier writes must be synced: after a loss of power, entries
        behind a missing write can't be read.

        Raises:
            InvariantError: The entries don't follow the last entry, or earlier
                writes are not synced.
            DiskFullError: The write failed; nothing was added.
            StorageError: The write failed; what is on the disk is unknown.
        """
        if not self.storage.is_synced:
            raise InvariantError(
                f'cannot write: the log is synced up to {self.synced_index} '
                f'of {self.last_index}'
            )
        if entries and entries[0].index != self.last_index + 1:
            raise InvariantError(
                f'entry {entries[0].index} does not follow the last log index '
                f'{self.last_index}'
            )
        self._index_before_write = self.last_index
        self.storage.write(entries)
        self._entries.extend(entries)
        for entry in entries:
            if entry.kind == MEMBERS_KIND:
                members = Members.decode(entry.body)
                self._member_changes.append((entry.index, members))

    async def sync(self) -> None:
        """Makes all entries of the log durable.

        Raises:
            StorageError: The sync failed; what is durable is unknown.
        """
        if self.storage.is_synced:
            return
        async with self._sync_lock:
            if not self.storage.is_synced:
                await self.storage.sync()

    async def truncate(self, index: int) -> None:
        """Removes uncommitted entries from an index on, after a sync.

        Raises:
            InvariantError: A committed entry would be removed.
            StorageError: The sync failed; what is durable is unknown.
        """
        if index <= self.commit_index:
            raise InvariantError(
                f'cannot truncate at entry {index}: entries up to '
                f'{self.commit_index} are committed'
            )
        await self.sync()
        self._index_before_write = index - 1
        await self.storage.truncate(index)
        self._entries = self._entries[: index - self._first_index]
        self._rebuild_member_changes()

    def commit(self, index: int) -> None:
        """Advances the commit index and applies the entries up to it.

        Raises:
            InvariantError: The entries are not in the log.
        """
        if index > self.last_index:
            raise InvariantError(
                f'cannot commit entry {index}: the last log index is '
                f'{self.last_index}'
            )
        while self.commit_index < index:
            entry = self.entries_from(self.commit_index + 1, 1)[0]
            self.commit_index = entry.index
            self._apply(entry)
        if self._on_committed is not None:
            self._on_committed()

    async def bootstrap(self, members: Members) -> None:
        """Initialises an empty replica as a member of a new group."""
        snapshot = Snapshot(
            BOOTSTRAP_INDEX, 0, members, self.machine.snapshot()
        )
        await self.install(snapshot)

    async def install(self, snapshot: Snapshot) -> None:
        """Replaces the state and log by a snapshot, keeping later entries.

        Entries after the snapshot are kept only if the log matches it.

        Raises:
            InvariantError: The snapshot is older than the commit index.
            StorageError: The snapshot was not stored.
        """
        await self.sync()
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

    async def compact(
        self, retained_entries: int = 0, retained_bytes: int = 0
    ) -> None:
        """Takes a snapshot at the commit index and drops covered entries.

        The latest of them may be kept, for peers that lag a little. Records of
        truncated entries are dropped as well.

        Args:
            retained_entries: Maximum number of covered entries to keep.
            retained_bytes: Maximum size of the covered entries to keep.

        Raises:
            StorageError: The snapshot was not stored.
        """
        await self.sync()
        index = self.commit_index
        if not self.configured:
            return
        snapshot = Snapshot(
            index,
            self.term_at(index) or 0,
            self._members_as_of(index),
            self.machine.snapshot(),
        )
        first_index = self._first_retained(
            index, retained_entries, retained_bytes
        )
        retained = self.entries_from(first_index, len(self._entries))
        await self.storage.save_snapshot(snapshot, retained)
        self._entries = retained
        self.snapshot = snapshot
        self._rebuild_member_changes()

    @property
    def _first_index(self) -> int:
        """Returns the index of the first entry, or of the next if none."""
        if self._entries:
            return self._entries[0].index
        return self.snapshot_index + 1

    def _first_retained(
        self, index: int, max_entries: int, max_bytes: int
    ) -> int:
        """Returns the first index that a snapshot at ``index`` retains."""
        first_index = index + 1
        free_bytes = max_bytes
        for entry in reversed(self._entries[: first_index - self._first_index]):
            free_bytes -= stored_bytes(entry)
            if free_bytes < 0 or index - entry.index >= max_entries:
                break
            first_index = entry.index
        return first_index

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
            raise InvariantError(
                f'snapshot {snapshot.last_index} is older than the commit '
                f'index {self.commit_index}'
            )
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
            if entry.kind == MEMBERS_KIND and entry.index > self.snapshot_index
        ]
