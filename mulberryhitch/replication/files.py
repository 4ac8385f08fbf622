"""A replica's files: a log of checksummed records, a vote, a snapshot.

A record is its length, a checksum of the length chained to the record
before, the payload, and the payload's checksum. Only a tail that is too
short for its record is the trace of a torn write and is cut off: it was never
acknowledged. Any other mismatch is damage, and the replica must come back
as a new one.
"""

import errno
import os
import secrets
import struct
import zlib
from collections.abc import Callable, Iterator
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
_FULL = frozenset((errno.ENOSPC, errno.EDQUOT))


@dataclass(frozen=True, slots=True)
class _Placed:
    """An entry with where its record ends and the chain's checksum there."""

    entry: LogEntry
    end: int
    chain: int


def encode_log_record(payload: bytes, chain: int) -> tuple[bytes, int]:
    """One record and the checksum that chains the next to it."""
    length = struct.pack('>I', len(payload))
    header = _HEADER.pack(len(payload), zlib.crc32(length, chain))
    checksum = zlib.crc32(payload, chain)
    return header + payload + _CHECKSUM.pack(checksum), checksum


def read_log_records(content: bytes, where: str) -> Iterator[_Placed]:
    """Reads all whole records; stops at a torn tail.

    Raises:
        DamagedFileError: A checksum does not match.
    """
    position = 0
    chain = 0
    while len(content) - position >= _HEADER.size:
        length, header_sum = _HEADER.unpack_from(content, position)
        expected = zlib.crc32(struct.pack('>I', length), chain)
        if header_sum != expected:
            raise DamagedFileError('bad header', where=f'{where}@{position}')
        start = position + _HEADER.size
        end = start + length + _CHECKSUM.size
        if end > len(content):
            return
        payload = content[start : start + length]
        chain = zlib.crc32(payload, chain)
        if _CHECKSUM.unpack_from(content, start + length) != (chain,):
            raise DamagedFileError('bad record', where=f'{where}@{position}')
        yield _Placed(decode_record(LogEntry, payload), end, chain)
        position = end


def write_aside(path: Path, content: bytes) -> None:
    """Replaces a file: written aside, synced, renamed, the folder synced."""
    aside = path.with_suffix('.aside')
    record = content + _CHECKSUM.pack(zlib.crc32(content))
    descriptor = os.open(aside, _CREATE_FLAGS | os.O_TRUNC, _FILE_MODE)
    try:
        _write_whole(descriptor, record)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    aside.rename(path)
    sync_folder(path.parent)


def read_checked(path: Path) -> bytes | None:
    """Reads a file of :func:`write_aside`, or nothing if there is none.

    Raises:
        DamagedFileError: Its checksum does not match.
    """
    if not path.exists():
        return None
    record = path.read_bytes()
    content = record[: -_CHECKSUM.size]
    if record[-_CHECKSUM.size :] != _CHECKSUM.pack(zlib.crc32(content)):
        raise DamagedFileError('bad checksum', where=str(path))
    return content


def sync_folder(folder: Path) -> None:
    """Makes a folder's names last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _write_whole(descriptor: int, content: bytes) -> None:
    written = 0
    while written < len(content):
        written += os.write(descriptor, content[written:])


class FileStorage:
    """A replica's files under one folder.

    Args:
        folder: Made if there is none.
        vm: The VM's name, part of a new replica's id.
        points: Where a test may make it fail.
    """

    def __init__(
        self, folder: Path, vm: str, points: FailPoints | None = None
    ) -> None:
        """Opens the log's file."""
        self._folder = folder
        self._vm = vm
        self._points = points or FailPoints()
        folder.mkdir(parents=True, exist_ok=True)
        sync_folder(folder.parent)
        self._log_path = folder / 'log'
        self._descriptor = self._open_log()
        self._placed: list[_Placed] = []
        self._floor = 0
        self._disk = anyio.Lock()

    def close(self) -> None:
        """Closes the log's file."""
        os.close(self._descriptor)

    def load(self) -> StoredState:
        """Reads everything and cuts a torn tail off.

        Raises:
            DamagedFileError: A checksum does not match.
        """
        vote = self._read_vote()
        snapshot = self._read_snapshot()
        self._floor = snapshot.last_index if snapshot else 0
        self._placed = list(
            read_log_records(self._log_path.read_bytes(), str(self._log_path))
        )
        os.ftruncate(self._descriptor, self._end)
        os.fsync(self._descriptor)
        entries = [placed.entry for placed in self._placed]
        self._check_order(entries)
        if entries and entries[-1].term > vote.term:
            raise DamagedFileError('the vote is older', where='vote')
        return StoredState(
            self._identity(),
            vote.term,
            vote.voted_for,
            snapshot,
            [entry for entry in entries if entry.index > self._floor],
        )

    def write(self, entries: list[LogEntry]) -> None:
        """Adds entries to the log, not yet synced.

        Raises:
            StorageError: The disk is full or broken; nothing was added.
        """
        end = self._end
        chain = self._placed[-1].chain if self._placed else 0
        placed = []
        records = []
        position = end
        for entry in entries:
            record, chain = encode_log_record(encode_record(entry), chain)
            position += len(record)
            placed.append(_Placed(entry, position, chain))
            records.append(record)
        try:
            self._points.reach('write')
            os.lseek(self._descriptor, end, os.SEEK_SET)
            _write_whole(self._descriptor, b''.join(records))
        except OSError as error:
            os.ftruncate(self._descriptor, end)
            raise DiskFullError(
                str(error), where=str(self._log_path)
            ) from error
        self._placed.extend(placed)

    async def sync(self) -> None:
        """Makes the entries last.

        Raises:
            StorageError: It can't be known what lasts.
        """
        try:
            await self._in_thread(self._sync)
        except DiskFullError as error:
            raise StorageError(error.what, where=error.where) from error

    async def truncate(self, index: int) -> None:
        """Removes all entries from an index on, and syncs."""
        while self._placed and self._placed[-1].entry.index >= index:
            self._placed.pop()
        os.ftruncate(self._descriptor, self._end)
        await self.sync()

    async def save_vote(self, term: int, voted_for: str) -> None:
        """Keeps term and vote, synced."""
        self._points.reach('vote')
        content = encode_record(VoteRecord(term, voted_for))
        await self._in_thread(write_aside, self._folder / 'vote', content)

    async def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        """Keeps a snapshot, then a new log with only these entries."""
        self._points.reach('snapshot')
        content = encode_record(
            SnapshotRecord(
                snapshot.last_index,
                snapshot.last_term,
                list(snapshot.members.voters),
                list(snapshot.members.learners),
                snapshot.state,
            ),
        )
        await self._in_thread(write_aside, self._folder / 'snapshot', content)
        self._points.reach('compact')
        self._floor = snapshot.last_index
        await self._in_thread(self._rewrite_log, entries)

    @property
    def _end(self) -> int:
        return self._placed[-1].end if self._placed else 0

    def _open_log(self) -> int:
        return os.open(self._log_path, _CREATE_FLAGS, _FILE_MODE)

    def _sync(self) -> None:
        self._points.reach('sync')
        os.fsync(self._descriptor)

    def _rewrite_log(self, entries: list[LogEntry]) -> None:
        aside = self._folder / 'log.aside'
        descriptor = os.open(aside, _CREATE_FLAGS | os.O_TRUNC, _FILE_MODE)
        placed: list[_Placed] = []
        chain = 0
        position = 0
        for entry in entries:
            record, chain = encode_log_record(encode_record(entry), chain)
            _write_whole(descriptor, record)
            position += len(record)
            placed.append(_Placed(entry, position, chain))
        os.fsync(descriptor)
        aside.rename(self._log_path)
        sync_folder(self._folder)
        os.close(self._descriptor)
        self._descriptor = descriptor
        self._placed = placed

    def _identity(self) -> str:
        path = self._folder / 'identity'
        content = read_checked(path)
        if content is not None:
            return decode_record(IdentityRecord, content).replica_id
        if self._placed or self._floor:
            raise DamagedFileError('identity is missing', where=str(path))
        replica_id = f'{self._vm}#{secrets.token_hex(4)}'
        write_aside(path, encode_record(IdentityRecord(replica_id)))
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

    def _check_order(self, entries: list[LogEntry]) -> None:
        expected = entries[0].index if entries else 0
        if entries and expected > self._floor + 1:
            raise DamagedFileError('a gap', where=str(self._log_path))
        for entry in entries:
            if entry.index != expected:
                raise DamagedFileError('a gap', where=str(self._log_path))
            expected += 1

    async def _in_thread(
        self, function: Callable[..., None], *args: object
    ) -> None:
        try:
            with anyio.CancelScope(shield=True):
                async with self._disk:
                    await run_sync(function, *args)
        except OSError as error:
            kind = DiskFullError if error.errno in _FULL else StorageError
            raise kind(str(error), where=str(self._folder)) from error
        except ProtocolError as error:
            raise StorageError(str(error), where=str(self._folder)) from error
