"""Stores a replica's log, vote, snapshot and identity in checksummed files.

A log record consists of the payload's length, the length's checksum, the
payload and the payload's checksum. Both checksums are chained to the previous
record. A tail that is too short for its record comes from a torn write; it
was never acknowledged and is truncated. Any other mismatch is corruption,
after which the replica must be replaced by a new one.
"""

import os
import secrets
import struct
import zlib
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import dataclass
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
from mulberryhitch.replication.failpoints import FailPoints
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.storage import Snapshot, StoredState
from mulberryhitch.rpc.codec import decode_record, encode_record
from mulberryhitch.rpc.messages import (
    IdentityRecord,
    LogEntry,
    SnapshotRecord,
    VoteRecord,
)

_HEADER = struct.Struct('>II')
_CHECKSUM = struct.Struct('>I')
_CREATE_FLAGS = os.O_RDWR | os.O_CREAT
_FILE_MODE = 0o600


@dataclass(frozen=True, slots=True)
class _LogRecord:
    """A log entry with its record's end offset and payload checksum.

    The checksum is the initial value of both checksums of the next record.
    """

    entry: LogEntry
    end: int
    chain_checksum: int


def encode_log_record(payload: bytes, chain_checksum: int) -> tuple[bytes, int]:
    """Returns the encoded record and the checksum to chain the next one to."""
    length = struct.pack('>I', len(payload))
    header = _HEADER.pack(len(payload), zlib.crc32(length, chain_checksum))
    checksum = zlib.crc32(payload, chain_checksum)
    return header + payload + _CHECKSUM.pack(checksum), checksum


def read_log_records(content: bytes, where: str) -> Iterator[_LogRecord]:
    """Yields all complete records and stops at a torn tail.

    Raises:
        DamagedFileError: A checksum does not match.
    """
    offset = 0
    chain_checksum = 0
    while len(content) - offset >= _HEADER.size:
        length, header_checksum = _HEADER.unpack_from(content, offset)
        expected = zlib.crc32(struct.pack('>I', length), chain_checksum)
        if header_checksum != expected:
            raise DamagedFileError(
                'log record header checksum mismatch', where=f'{where}@{offset}'
            )
        payload_start = offset + _HEADER.size
        end = payload_start + length + _CHECKSUM.size
        if end > len(content):
            return
        payload = content[payload_start : payload_start + length]
        chain_checksum = zlib.crc32(payload, chain_checksum)
        if _CHECKSUM.unpack_from(content, payload_start + length) != (
            chain_checksum,
        ):
            raise DamagedFileError(
                'log record payload checksum mismatch',
                where=f'{where}@{offset}',
            )
        yield _LogRecord(decode_record(LogEntry, payload), end, chain_checksum)
        offset = end


def write_atomically(path: Path, content: bytes) -> None:
    """Replaces a file atomically and durably.

    Writes the content and its checksum to a temporary file, syncs and renames
    it, then syncs the folder.
    """
    temporary_path = path.with_suffix('.aside')
    record = content + _CHECKSUM.pack(zlib.crc32(content))
    with _new_file(temporary_path) as descriptor:
        _write_all(descriptor, record)
        os.fsync(descriptor)
        temporary_path.rename(path)
    os.close(descriptor)
    sync_folder(path.parent)


def read_checked(path: Path) -> bytes | None:
    """Reads a file written by :func:`write_atomically`, or returns ``None``.

    Raises:
        DamagedFileError: The checksum does not match.
    """
    if not path.exists():
        return None
    record = path.read_bytes()
    content = record[: -_CHECKSUM.size]
    if record[-_CHECKSUM.size :] != _CHECKSUM.pack(zlib.crc32(content)):
        raise DamagedFileError('checksum mismatch', where=str(path))
    return content


def sync_folder(folder: Path) -> None:
    """Syncs a folder, so that renamed and new files in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


@contextmanager
def _new_file(path: Path) -> Iterator[int]:
    """Yields a new file's descriptor; closes and removes it on an error."""
    descriptor = os.open(path, _CREATE_FLAGS | os.O_TRUNC, _FILE_MODE)
    try:
        yield descriptor
    except BaseException:
        os.close(descriptor)
        with suppress(OSError):
            path.unlink()
        raise


def _write_all(descriptor: int, content: bytes) -> None:
    written = 0
    while written < len(content):
        written += os.write(descriptor, content[written:])


class FileStorage:
    """File-based storage of one replica.

    Args:
        folder: The replica's folder; created if missing.
        vm: The VM's name, used as the prefix of a new replica id.
        fail_points: Failpoints for tests.
    """

    def __init__(
        self, folder: Path, vm: str, fail_points: FailPoints | None = None
    ) -> None:
        """Creates the folder if needed and opens the log file."""
        self._folder = folder
        self._vm = vm
        self._fail_points = fail_points or FailPoints()
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        self._log_path = folder / 'log'
        self._descriptor = self._open_log()
        self._records: list[_LogRecord] = []
        self._snapshot_index = 0
        self._is_synced = False
        self._disk_lock = anyio.Lock()

    @property
    def is_synced(self) -> bool:
        """Whether the last sync covers everything done to the log file."""
        return self._is_synced

    def close(self) -> None:
        """Closes the log file."""
        os.close(self._descriptor)

    def load(self) -> StoredState:
        """Reads all files and truncates a torn tail of the log.

        Raises:
            DamagedFileError: A checksum does not match, or the files are
                inconsistent.
        """
        vote = self._read_vote()
        snapshot = self._read_snapshot()
        self._snapshot_index = snapshot.last_index if snapshot else 0
        self._records = list(
            read_log_records(self._log_path.read_bytes(), str(self._log_path))
        )
        if snapshot and not self._log_continues(snapshot):
            self._records.clear()
        os.ftruncate(self._descriptor, self._end_offset)
        os.fsync(self._descriptor)
        self._is_synced = True
        entries = [record.entry for record in self._records]
        self._check_contiguous(entries)
        if entries and entries[-1].term > vote.term:
            raise DamagedFileError(
                f'vote has term {vote.term}, older than the log', where='vote'
            )
        return StoredState(
            self._load_identity(),
            vote.term,
            vote.voted_for,
            snapshot,
            [entry for entry in entries if entry.index > self._snapshot_index],
        )

    def write(self, entries: list[LogEntry]) -> None:
        """Appends entries to the log without syncing.

        Raises:
            DiskFullError: The write failed for any reason; nothing was added.
            StorageError: What a failed write left could not be removed.
        """
        end = self._end_offset
        chain_checksum = (
            self._records[-1].chain_checksum if self._records else 0
        )
        new_records = []
        encoded = []
        offset = end
        for entry in entries:
            encoded_record, chain_checksum = encode_log_record(
                encode_record(entry), chain_checksum
            )
            offset += len(encoded_record)
            new_records.append(_LogRecord(entry, offset, chain_checksum))
            encoded.append(encoded_record)
        try:
            self._fail_points.reach('write')
            os.lseek(self._descriptor, end, os.SEEK_SET)
            _write_all(self._descriptor, b''.join(encoded))
        except OSError as error:
            self._remove_failed_write(end)
            raise DiskFullError(
                str(error), where=str(self._log_path)
            ) from error
        self._is_synced = False
        self._records.extend(new_records)

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
            StorageError: The sync failed; what is durable is unknown.
        """
        while self._records and self._records[-1].entry.index >= index:
            self._records.pop()
        self._cut_log(self._end_offset)
        await self.sync()

    async def save_vote(self, term: int, voted_for: str) -> None:
        """Stores the term and vote durably.

        Raises:
            StorageError: The disk is full or faulty.
        """
        self._fail_points.reach('vote')
        content = encode_record(VoteRecord(term, voted_for))
        await self._run_in_thread(
            write_atomically, self._folder / 'vote', content
        )

    async def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        """Stores a snapshot, then rewrites the log with only these entries.

        Raises:
            StorageError: The disk is full or faulty.
        """
        self._fail_points.reach('snapshot')
        content = encode_record(
            SnapshotRecord(
                snapshot.last_index,
                snapshot.last_term,
                list(snapshot.members.voters),
                list(snapshot.members.learners),
                snapshot.state,
            ),
        )
        await self._run_in_thread(
            write_atomically, self._folder / 'snapshot', content
        )
        self._fail_points.reach('compact')
        self._snapshot_index = snapshot.last_index
        await self._run_in_thread(self._rewrite_log, entries)

    @property
    def _end_offset(self) -> int:
        return self._records[-1].end if self._records else 0

    def _remove_failed_write(self, end: int) -> None:
        """Cuts off the part of a failed write that the file received."""
        if os.fstat(self._descriptor).st_size > end:
            self._cut_log(end)

    def _cut_log(self, end: int) -> None:
        self._is_synced = False
        try:
            os.ftruncate(self._descriptor, end)
        except OSError as error:
            raise StorageError(str(error), where=str(self._log_path)) from error

    def _open_log(self) -> int:
        return os.open(self._log_path, _CREATE_FLAGS, _FILE_MODE)

    def _sync(self) -> None:
        self._fail_points.reach('sync')
        os.fsync(self._descriptor)

    def _rewrite_log(self, entries: list[LogEntry]) -> None:
        temporary_path = self._folder / 'log.aside'
        records: list[_LogRecord] = []
        chain_checksum = 0
        offset = 0
        with _new_file(temporary_path) as descriptor:
            for entry in entries:
                encoded_record, chain_checksum = encode_log_record(
                    encode_record(entry), chain_checksum
                )
                _write_all(descriptor, encoded_record)
                offset += len(encoded_record)
                records.append(_LogRecord(entry, offset, chain_checksum))
            os.fsync(descriptor)
            temporary_path.rename(self._log_path)
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._records = records
        self._is_synced = True
        self._sync_renamed_log()

    def _sync_renamed_log(self) -> None:
        """Syncs the folder; the former log may return if that fails."""
        try:
            sync_folder(self._folder)
        except OSError as error:
            raise StorageError(str(error), where=str(self._log_path)) from error

    def _load_identity(self) -> str:
        path = self._folder / 'identity'
        content = read_checked(path)
        if content is not None:
            return decode_record(IdentityRecord, content).replica_id
        if self._records or self._snapshot_index:
            raise DamagedFileError('identity file is missing', where=str(path))
        replica_id = f'{self._vm}#{secrets.token_hex(4)}'
        write_atomically(path, encode_record(IdentityRecord(replica_id)))
        return replica_id

    def _read_vote(self) -> VoteRecord:
        content = read_checked(self._folder / 'vote')
        if content is None:
            return VoteRecord(0, '')
        return decode_record(VoteRecord, content)

    def _read_snapshot(self) -> Snapshot | None:
        content = read_checked(self._folder / 'snapshot')
        if content is None:
            return None
        record = decode_record(SnapshotRecord, content)
        members = Members(tuple(record.voters), tuple(record.learners))
        return Snapshot(
            record.last_index, record.last_term, members, record.state
        )

    def _log_continues(self, snapshot: Snapshot) -> bool:
        """Whether the log matches a snapshot at its end, or starts after it.

        It does neither if a snapshot of the leader was stored and the log was
        not rewritten.
        """
        if self._records and self._records[0].entry.index > snapshot.last_index:
            return True
        return any(
            record.entry.index == snapshot.last_index
            and record.entry.term == snapshot.last_term
            for record in self._records
        )

    def _check_contiguous(self, entries: list[LogEntry]) -> None:
        expected = entries[0].index if entries else 0
        if entries and expected > self._snapshot_index + 1:
            raise DamagedFileError(
                f'log starts at index {expected}, after a gap',
                where=str(self._log_path),
            )
        for entry in entries:
            if entry.index != expected:
                raise DamagedFileError(
                    f'expected log index {expected}, got {entry.index}',
                    where=str(self._log_path),
                )
            expected += 1

    async def _run_in_thread(
        self, function: Callable[..., None], *args: object
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
