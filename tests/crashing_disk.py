"""Disks of a limited size that lose unsynced writes and cut calls short.

The system calls of the ``os`` module that change files are replaced, so that
the storage under test runs unchanged, in whichever modules it is written.
"""

import contextvars
import errno
import inspect
import os
import random
import sys
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager, suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.storage import StoredState
from tests.bounded_disks import SYNC_SECONDS, BoundedDisk

_STALL_POLL_SECONDS = 0.01
_MOST_CALLS_AFTER_KILL = 8


class KilledError(BaseException):
    """The process is killed at this system call."""


@dataclass(frozen=True)
class _Change:
    """A change of a file that is not synced."""

    offset: int
    old_bytes: bytes
    old_size: int
    new_bytes: bytes

    def undo(self, descriptor: int) -> None:
        _REAL['pwrite'](descriptor, self.old_bytes, self.offset)
        _REAL['ftruncate'](descriptor, self.old_size)

    def tear(self, descriptor: int, rng: random.Random) -> None:
        """Brings back a part of a change that was undone."""
        part = self.new_bytes[: rng.randint(0, len(self.new_bytes))]
        _REAL['pwrite'](descriptor, part, self.offset)
        if part and rng.random() < 0.3:
            zeros = bytes(len(self.new_bytes) - len(part))
            _REAL['pwrite'](descriptor, zeros, self.offset + len(part))


class CrashingDisk(BoundedDisk):
    """The disk of one VM, with what its processes have not synced.

    Attributes:
        stalls: Reasons why it answers no call at present.
        overfilled: What the replica's files held when they alone filled it.
    """

    def __init__(
        self,
        folder: Path,
        vm: str,
        capacity_bytes: int,
        reserve_bytes: int,
        rng: random.Random,
    ) -> None:
        super().__init__(folder, vm, capacity_bytes)
        self.reserve_bytes = reserve_bytes
        self.stalls = 0
        self.sync_seconds = SYNC_SECONDS
        self.overfilled: dict[str, int] = {}
        self._rng = rng
        self._unsynced: dict[int, list[_Change]] = defaultdict(list)
        self._calls_left: int | None = None
        self._process: ProcessStorage | None = None

    def file_sizes(self) -> dict[str, int]:
        return {
            str(path.relative_to(self.folder)): path.stat().st_size
            for path in sorted(self.folder.rglob('*'))
            if path.is_file()
        }

    def new_process(self) -> 'ProcessStorage':
        self._process = ProcessStorage(self)
        return self._process

    def crash(self) -> None:
        """Kills the process, maybe within the calls that it waits for."""
        if self._process is None or self._process.is_dead:
            return
        self._calls_left = self._rng.randint(0, _MOST_CALLS_AFTER_KILL)
        self._process.kill()
        self._calls_left = None

    def lose_unsynced(self) -> None:
        """Keeps some unsynced writes, as a loss of power does."""
        for path in self.folder.rglob('*'):
            changes = self._unsynced.pop(path.stat().st_ino, [])
            if changes:
                self._lose_some(path, changes)
        self._unsynced.clear()

    def wipe(self) -> None:
        """Removes the replica's files."""
        self.crash()
        for path in sorted(self.folder.rglob('*'), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()
        self._unsynced.clear()

    def reach_call(self) -> None:
        """Ends a killed process once it has made its last call."""
        if self._calls_left is None:
            return
        if self._calls_left <= 0:
            raise KilledError
        self._calls_left -= 1

    def write_at(self, descriptor: int, content: bytes, offset: int) -> int:
        """Writes what fits; returns its size, in bytes."""
        size = os.fstat(descriptor).st_size
        excess = offset + len(content) - size - max(0, self.free_bytes)
        fitting = content[: len(content) - max(0, excess)]
        if excess > 0:
            self._note_overfilled()
        if content and not fitting:
            raise OSError(errno.ENOSPC, 'No space left on device')
        if self._calls_left == 0:
            fitting = fitting[: self._rng.randint(0, len(fitting))]
        old_bytes = _REAL['pread'](descriptor, len(fitting), offset)
        change = _Change(offset, old_bytes, size, bytes(fitting))
        self._unsynced[os.fstat(descriptor).st_ino].append(change)
        _REAL['pwrite'](descriptor, fitting, offset)
        self.most_used_bytes = max(self.most_used_bytes, self.own_bytes)
        return len(fitting)

    def truncate_at(self, descriptor: int, size: int) -> None:
        old_size = os.fstat(descriptor).st_size
        if size < old_size:
            tail = _REAL['pread'](descriptor, old_size - size, size)
            change = _Change(size, tail, old_size, b'')
            self._unsynced[os.fstat(descriptor).st_ino].append(change)
        _REAL['ftruncate'](descriptor, size)

    def record_synced(self, descriptor: int) -> None:
        self._unsynced.pop(os.fstat(descriptor).st_ino, None)

    def _note_overfilled(self) -> None:
        if not self.foreign_bytes and not self.overfilled:
            self.overfilled = self.file_sizes()

    def _lose_some(self, path: Path, changes: list[_Change]) -> None:
        kept = self._rng.randint(0, len(changes))
        # Nobody gets the room of a truncation that may still be undone.
        while any(
            len(change.old_bytes) > self.free_bytes for change in changes[kept:]
        ):
            kept += 1
        descriptor = os.open(path, os.O_RDWR)
        for change in reversed(changes[kept:]):
            change.undo(descriptor)
        for torn in changes[kept : kept + 1]:
            torn.tear(descriptor, self._rng)
        os.close(descriptor)


class ProcessStorage:
    """The storage of one process, of which nothing runs after its end."""

    def __init__(self, disk: CrashingDisk) -> None:
        self.is_dead = False
        self._disk = disk
        self._storage: FileStorage | None = None
        self._waiting: list[Callable[[], Any]] = []

    def __getattr__(self, name: str) -> Any:
        attribute = getattr(self._storage, name)
        if inspect.iscoroutinefunction(attribute):
            return self._while_alive(attribute)
        if inspect.ismethod(attribute) and self.is_dead:
            return _ignore
        return attribute

    def load(self) -> StoredState:
        self._storage = FileStorage(
            self._disk.folder,
            self._disk.vm,
            reserve_bytes=self._disk.reserve_bytes,
        )
        try:
            return self._storage.load()
        except BaseException:
            self.kill()
            raise

    def kill(self) -> None:
        """Makes some of the calls that the process waits for, then ends it."""
        self.is_dead = True
        for function in self._waiting[:1]:
            with suppress(OSError, MulberryhitchError, KilledError):
                function()
        if self._storage is not None:
            with suppress(OSError):
                self._storage.close()

    async def run(self, operation: Callable[[], Any]) -> Any:
        """Runs a disk operation on the simulated clock instead of a thread."""
        self._waiting.append(operation)
        try:
            await anyio.sleep(self._disk.sync_seconds)
            while self._disk.stalls and not self.is_dead:
                await anyio.sleep(_STALL_POLL_SECONDS)
        finally:
            self._waiting.remove(operation)
        return None if self.is_dead else operation()

    def _while_alive(self, method: Callable[..., Any]) -> Callable[..., Any]:
        async def call(*arguments: Any) -> Any:
            if self.is_dead:
                return None
            token = _PROCESS.set(self)
            try:
                return await method(*arguments)
            finally:
                _PROCESS.reset(token)

        return call


_PROCESS: contextvars.ContextVar[ProcessStorage] = contextvars.ContextVar(
    'process'
)
_REPLACED_CALLS = (
    'write',
    'pwrite',
    'ftruncate',
    'truncate',
    'fsync',
    'statvfs',
)
_REAL: dict[str, Callable[..., Any]] = {
    name: getattr(os, name) for name in (*_REPLACED_CALLS, 'pread')
}


class _SystemCalls:
    """The calls that change files; those of other files go through."""

    def __init__(self, disks: Mapping[str, CrashingDisk]) -> None:
        self._disks = disks

    def write(self, descriptor: int, content: Any) -> int:
        disk = self._disk_of(descriptor)
        if disk is None:
            return int(_REAL['write'](descriptor, content))
        offset = os.lseek(descriptor, 0, os.SEEK_CUR)
        written = self.pwrite(descriptor, content, offset)
        os.lseek(descriptor, offset + written, os.SEEK_SET)
        return written

    def pwrite(self, descriptor: int, content: Any, offset: int) -> int:
        disk = self._disk_of(descriptor)
        if disk is None:
            return int(_REAL['pwrite'](descriptor, content, offset))
        disk.reach_call()
        return disk.write_at(descriptor, content, offset)

    def ftruncate(self, descriptor: int, size: int) -> None:
        disk = self._disk_of(descriptor)
        if disk is None:
            _REAL['ftruncate'](descriptor, size)
            return
        disk.reach_call()
        disk.truncate_at(descriptor, size)

    def truncate(self, path: Any, size: int) -> None:
        descriptor = os.open(path, os.O_RDWR)
        try:
            self.ftruncate(descriptor, size)
        finally:
            os.close(descriptor)

    def statvfs(self, path: Any) -> Any:
        disk = self._disk_at(os.fspath(path))
        if disk is None:
            return _REAL['statvfs'](path)
        return SimpleNamespace(
            f_blocks=disk.capacity_bytes,
            f_bavail=max(0, disk.free_bytes),
            f_frsize=1,
        )

    def fsync(self, descriptor: int) -> None:
        disk = self._disk_of(descriptor)
        if disk is not None:
            disk.reach_call()
            disk.record_synced(descriptor)

    def wrapped(self, call: Callable[..., Any]) -> Callable[..., Any]:
        """Returns a call on a path that a killed process may not reach."""

        def run(path: Any, *arguments: Any, **options: Any) -> Any:
            disk = self._disk_at(os.fspath(path))
            if disk is not None:
                disk.reach_call()
            return call(path, *arguments, **options)

        return run

    def _disk_of(self, descriptor: int) -> CrashingDisk | None:
        return self._disk_at(os.readlink(f'/proc/self/fd/{descriptor}'))

    def _disk_at(self, path: str) -> CrashingDisk | None:
        for disk in self._disks.values():
            if path.startswith(f'{disk.folder}/') or path == str(disk.folder):
                return disk
        return None


@contextmanager
def crashing_disks(disks: Mapping[str, CrashingDisk]) -> Iterator[None]:
    """Runs the storage on these disks and on the simulated clock."""
    calls = _SystemCalls(disks)
    with pytest.MonkeyPatch.context() as patch:
        for name in _REPLACED_CALLS:
            patch.setattr(os, name, getattr(calls, name))
        for name in ('rename', 'replace', 'unlink'):
            patch.setattr(os, name, calls.wrapped(getattr(os, name)))
        for module_name, module in tuple(sys.modules.items()):
            is_storage = module_name.startswith('mulberryhitch.replication')
            if is_storage and hasattr(module, 'run_sync'):
                patch.setattr(module, 'run_sync', _run_in_process)
        yield


async def _run_in_process(
    function: Callable[..., Any],
    *arguments: Any,
    abandon_on_cancel: bool = False,
) -> Any:
    return await _PROCESS.get().run(partial(function, *arguments))


def _ignore(*arguments: Any) -> None:
    """What a process does that has ended."""
