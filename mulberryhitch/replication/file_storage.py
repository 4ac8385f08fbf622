"""Stores a replica's log, vote, snapshot and identity in checksummed files.

The tail of the log that the last write has left torn was never acknowledged; it
is cut off. Damage to what was synced is corruption, after which the replica must
be replaced by a new one.
"""

import os
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress
from functools import partial
from pathlib import Path

import anyio
from anyio.to_thread import run_sync

from mulberryhitch.errors import (
    DamagedFileError,
    DiskFullError,
    ProtocolError,
    StorageError,
)
from mulberryhitch.replication.disk_errors import typed_disk_errors
from mulberryhitch.replication.durable_files import (
    CREATE_FLAGS,
    FILE_MODE,
    new_file,
    sync_folder,
    write_all,
    write_atomically,
)
from mulberryhitch.replication.entry_sizes import stored_bytes
from mulberryhitch.replication.failpoints import FailPoints
from mulberryhitch.replication.identity_file import (
    create_identity,
    read_identity,
)
from mulberryhitch.replication.kept_room import KeptRoom
from mulberryhitch.replication.left_over_files import remove_unfinished_files
from mulberryhitch.replication.log_records import (
    FIRST_RECORD_OFFSET,
    LogEncoder,
    encode_file_header,
    new_salt,
    read_log,
    remove_from,
)
from mulberryhitch.replication.members import MEMBERS_KIND
from mulberryhitch.replication.reserve import Reserve
from mulberryhitch.replication.snapshot_file import (
    encode_snapshot,
    read_snapshot,
)
from mulberryhitch.replication.state import NOOP_KIND
from mulberryhitch.replication.storage import Snapshot, StoredState
from mulberryhitch.replication.vote_file import FILE_BYTES as VOTE_FILE_BYTES
from mulberryhitch.replication.vote_file import VoteFile
from mulberryhitch.rpc.messages import LogEntry, VoteRecord

# Room for an election's entries, a first snapshot and the rewritten log.
RESERVE_BYTES = 8_388_608
# An election, a membership change or a truncation must not need free room.
_KINDS_THAT_MAY_USE_RESERVE = frozenset((NOOP_KIND, MEMBERS_KIND))


class FileStorage:
    """File-based storage of one replica.

    Room is kept in a file, ``reserve``, which is as large as the snapshot and
    ``reserve_bytes``. On a full disk, snapshots and the entries of elections
    and membership changes get this room; while it is short, all other entries
    are refused. :meth:`keep_room` writes it and restores it.

    Args:
        folder: The replica's folder; created if missing.
        vm: The VM's name, used as the prefix of a new replica id.
        fail_points: Failpoints for tests.
        reserve_bytes: The room to keep beside that for a snapshot of the
            present size; 0 keeps none.
    """

    def __init__(
        self,
        folder: Path,
        vm: str,
        fail_points: FailPoints | None = None,
        reserve_bytes: int = RESERVE_BYTES,
    ) -> None:
        """Creates the folder if needed and opens the log file."""
        self._folder = folder
        self._vm = vm
        self._fail_points = fail_points or FailPoints()
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        remove_unfinished_files(folder)
        self._vote_file = VoteFile(folder / 'vote')
        self._reserve = Reserve(folder / 'reserve', reserve_bytes)
        self._kept_room = KeptRoom(self._reserve)
        # Renames that a killed process left unsynced count as durable now.
        sync_folder(folder)
        self._descriptor = self._open_log()
        # None if the log file must be rewritten before the next write.
        self._encoder: LogEncoder | None = None
        self._entries: list[LogEntry] = []
        self._end = 0
        self._synced_end = 0
        self._snapshot_index = 0
        self._snapshot_bytes = 0
        self._is_synced = False
        self._disk_lock = anyio.Lock()

    @property
    def is_synced(self) -> bool:
        """Whether the last sync covers everything done to the log file."""
        return self._is_synced

    @property
    def log_bytes(self) -> int:
        """The size of the log on disk."""
        return self._end

    @property
    def snapshot_bytes(self) -> int:
        """The size of the snapshot on disk."""
        return self._snapshot_bytes

    @property
    def keeps_room(self) -> bool:
        """Whether room is kept on the disk; if not, it never runs short."""
        return self._reserve.is_enabled

    @property
    def is_room_kept(self) -> bool:
        """Whether all the room is kept that snapshots and elections need."""
        return self._reserve.is_complete

    @property
    def is_room_short(self) -> bool:
        """Whether ordinary entries are refused, to keep room for others."""
        return self._reserve.is_short

    def close(self) -> None:
        """Closes the log file."""
        os.close(self._descriptor)

    def load(self) -> StoredState:
        """Reads all files and cuts off a torn tail of the log.

        Raises:
            DamagedFileError: A checksum does not match, or the files are
                inconsistent.
        """
        vote = self._vote_file.load()
        snapshot = self._read_snapshot()
        self._snapshot_index = snapshot.last_index if snapshot else 0
        self._reserve.fit_to(self._snapshot_bytes)
        self._load_log()
        if snapshot and not self._log_continues(snapshot):
            self._entries.clear()
            self._encoder = None
        self._check_contiguous()
        if self._entries and self._entries[-1].term > vote.term:
            raise DamagedFileError(
                f'vote has term {vote.term}, older than the log', where='vote'
            )
        if snapshot and (self._encoder is None or self._is_mostly_covered()):
            self._rewrite_log_if_possible()
        replica_id = self._load_identity()
        self._vote_file.take_over(vote)
        return StoredState(
            replica_id,
            vote.term,
            vote.voted_for,
            snapshot,
            [
                entry
                for entry in self._entries
                if entry.index > self._snapshot_index
            ],
            vote.promised_seconds,
        )

    def write(self, entries: list[LogEntry]) -> None:
        """Appends entries to the log without syncing.

        A batch with an entry of an election or a membership change may use the
        kept room, with the entries before it that a follower lacks.

        Raises:
            DiskFullError: The write failed for any reason, or the kept room
                is short; nothing was added.
            StorageError: What a failed write left could not be removed.
        """
        kinds = {entry.kind for entry in entries}
        if kinds & _KINDS_THAT_MAY_USE_RESERVE:
            self._kept_room.write_for_group(
                partial(self._write, entries), _body_bytes(entries)
            )
        elif self._reserve.is_short:
            raise DiskFullError(
                'No space left on device beside the room kept for elections '
                'and snapshots',
                where=str(self._log_path),
            )
        else:
            self._write(entries)
        self._entries.extend(entries)

    async def sync(self) -> None:
        """Syncs the written entries to disk.

        Raises:
            StorageError: The sync failed; what is durable is unknown.
        """
        try:
            await self._run_in_thread(self._sync)
        except DiskFullError as error:
            raise StorageError(error.what, where=error.where) from error
        self._is_synced = True

    async def truncate(self, index: int) -> None:
        """Removes all entries from an index on and syncs.

        Raises:
            DiskFullError: Nothing was removed.
            StorageError: The sync failed; what is durable is unknown.
        """
        self._kept_room.write_for_group(partial(self._write_truncation, index))
        remove_from(self._entries, index)
        await self.sync()

    async def save_vote(
        self, term: int, voted_for: str, promised_seconds: float = 0
    ) -> None:
        """Stores the term, the vote and the longest promise durably.

        Raises:
            StorageError: The disk is full or faulty.
        """
        self._fail_points.reach('vote')
        vote = VoteRecord(term, voted_for, promised_seconds)
        await self._run_in_thread(
            self._kept_room.write_for_group,
            partial(self._vote_file.save, vote),
            VOTE_FILE_BYTES,
        )

    async def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        """Stores a snapshot, then rewrites the log with only these entries.

        On a full disk it uses the kept room, whose size is then adapted to
        the snapshot's.

        Raises:
            StorageError: The disk is full or faulty.
        """
        self._fail_points.reach('snapshot')
        content = encode_snapshot(snapshot)
        path = self._folder / 'snapshot'
        await self._run_in_thread(
            self._kept_room.write_snapshot,
            partial(write_atomically, path, content),
            len(content),
        )
        self._snapshot_bytes = len(content)
        self._reserve.fit_to(self._snapshot_bytes)
        self._fail_points.reach('compact')
        self._snapshot_index = snapshot.last_index
        await self._run_in_thread(
            self._kept_room.write_snapshot,
            partial(self._rewrite_log, entries),
            _body_bytes(entries),
        )

    async def keep_room(self) -> None:
        """Writes what the reserve lacks of its full size.

        Raises:
            DiskFullError: There is no room; ordinary entries are refused
                until there is.
            StorageError: The disk failed.
        """
        with typed_disk_errors(self._folder):
            await run_sync(self._reserve.restore, abandon_on_cancel=True)

    @property
    def _log_path(self) -> Path:
        return self._folder / 'log'

    def _write(self, entries: list[LogEntry]) -> None:
        with self._write_errors():
            self._fail_points.reach('write')
            records = self._present_encoder().encode_entries(
                entries, self._end, self._synced_end
            )
            self._append(b''.join(records))

    def _write_truncation(self, index: int) -> None:
        with self._write_errors():
            record = self._present_encoder().encode_truncation(
                index, self._end, self._synced_end
            )
            self._append(record)

    def _load_log(self) -> None:
        stored = read_log(self._log_path)
        self._entries = stored.entries
        self._encoder = LogEncoder(stored.salt) if stored.salt else None
        self._end = stored.end
        if os.fstat(self._descriptor).st_size > self._end:
            os.ftruncate(self._descriptor, self._end)
        os.fsync(self._descriptor)
        self._synced_end = self._end
        self._is_synced = True

    def _is_mostly_covered(self) -> bool:
        """Whether a process was killed before it rewrote the log."""
        covered = sum(
            stored_bytes(entry)
            for entry in self._entries
            if entry.index <= self._snapshot_index
        )
        return covered > self._end // 2

    def _rewrite_log_if_possible(self) -> None:
        """Rewrites the log without the entries that the snapshot covers.

        On a full disk the next write or snapshot does so.
        """
        entries = [
            entry
            for entry in self._entries
            if entry.index > self._snapshot_index
        ]
        with suppress(DiskFullError), typed_disk_errors(self._log_path):
            self._kept_room.write_snapshot(
                partial(self._rewrite_log, entries), _body_bytes(entries)
            )

    def _present_encoder(self) -> LogEncoder:
        """Returns the encoder; creates the log file first if necessary."""
        if self._encoder is None:
            return self._rewrite_log(self._entries)
        return self._encoder

    @contextmanager
    def _write_errors(self) -> Iterator[None]:
        """Removes what a failed write left, and raises a typed error."""
        try:
            yield
        except OSError as error:
            self._remove_failed_write()
            raise DiskFullError(
                str(error), where=str(self._log_path)
            ) from error

    def _append(self, records: bytes) -> None:
        self._end = self._write_chunks(self._descriptor, (records,), self._end)
        self._is_synced = False

    def _write_chunks(
        self, descriptor: int, chunks: Iterable[bytes], start: int
    ) -> int:
        """Writes from an offset on; returns where what was written ends."""
        os.lseek(descriptor, start, os.SEEK_SET)
        end = start
        for chunk in chunks:
            write_all(descriptor, chunk)
            end += len(chunk)
        return end

    def _remove_failed_write(self) -> None:
        """Cuts off the part of a failed write that the file received."""
        if os.fstat(self._descriptor).st_size > self._end:
            self._cut_log(self._end)

    def _cut_log(self, end: int) -> None:
        self._is_synced = False
        try:
            os.ftruncate(self._descriptor, end)
        except OSError as error:
            raise StorageError(str(error), where=str(self._log_path)) from error

    def _open_log(self) -> int:
        return os.open(self._log_path, CREATE_FLAGS, FILE_MODE)

    def _sync(self) -> None:
        end = self._end
        self._fail_points.reach('sync')
        os.fsync(self._descriptor)
        self._synced_end = end

    def _rewrite_log(self, entries: list[LogEntry]) -> LogEncoder:
        """Replaces the log file by a new, synced one."""
        temporary_path = self._folder / 'log.aside'
        salt = new_salt()
        encoder = LogEncoder(salt)
        records = encoder.encode_entries(
            entries, FIRST_RECORD_OFFSET, FIRST_RECORD_OFFSET
        )
        with new_file(temporary_path) as descriptor:
            end = self._write_chunks(descriptor, records, FIRST_RECORD_OFFSET)
            header = encode_file_header(salt, end)
            self._write_chunks(descriptor, (header,), 0)
            os.fsync(descriptor)
            temporary_path.rename(self._log_path)
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._encoder = encoder
        self._entries = list(entries)
        self._end = end
        self._synced_end = end
        self._is_synced = True
        self._sync_renamed_log()
        return encoder

    def _sync_renamed_log(self) -> None:
        """Syncs the folder; the former log may return if that fails."""
        try:
            sync_folder(self._folder)
        except OSError as error:
            raise StorageError(str(error), where=str(self._log_path)) from error

    def _load_identity(self) -> str:
        path = self._folder / 'identity'
        stored = read_identity(path)
        if stored is not None:
            return stored
        if self._entries or self._snapshot_index:
            raise DamagedFileError('identity file is missing', where=str(path))
        return create_identity(path, self._vm)

    def _read_snapshot(self) -> Snapshot | None:
        stored = read_snapshot(self._folder / 'snapshot')
        if stored is None:
            return None
        self._snapshot_bytes = stored.size
        return stored.snapshot

    def _log_continues(self, snapshot: Snapshot) -> bool:
        """Whether the log matches a snapshot at its end, or starts after it.

        It does neither if a snapshot of the leader was stored and the log was
        not rewritten.
        """
        if self._entries and self._entries[0].index > snapshot.last_index:
            return True
        return any(
            entry.index == snapshot.last_index
            and entry.term == snapshot.last_term
            for entry in self._entries
        )

    def _check_contiguous(self) -> None:
        expected = self._entries[0].index if self._entries else 0
        if self._entries and expected > self._snapshot_index + 1:
            raise DamagedFileError(
                f'log starts at index {expected}, after a gap',
                where=str(self._log_path),
            )
        for entry in self._entries:
            if entry.index != expected:
                raise DamagedFileError(
                    f'expected log index {expected}, got {entry.index}',
                    where=str(self._log_path),
                )
            expected += 1

    async def _run_in_thread(
        self, function: Callable[..., object], *args: object
    ) -> None:
        try:
            with (
                anyio.CancelScope(shield=True),
                typed_disk_errors(self._folder),
            ):
                async with self._disk_lock:
                    await run_sync(function, *args)
        except ProtocolError as error:
            raise StorageError(str(error), where=str(self._folder)) from error


def _body_bytes(entries: list[LogEntry]) -> int:
    """Returns the size of the entries' bodies, a lower bound of their records."""
    return sum(len(entry.body) for entry in entries)
