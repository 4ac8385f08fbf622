"""Replicas that store real files on disks of a limited size."""

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.replication import (
    durable_files,
    file_storage,
    reserve,
    vote_file,
)
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.storage import StoredState
from mulberryhitch.rpc.messages import LogEntry
from tests.replica_group import OPTIONS, ReplicaGroup

MEBIBYTE = 1024 * 1024
SYNC_SECONDS = 0.009


class LatestValues:
    """A state machine that keeps the latest value of each key."""

    def __init__(self) -> None:
        self.values: dict[str, str] = {}

    def apply(self, entry: LogEntry) -> None:
        key, _, value = entry.body.decode().partition('=')
        self.values[key] = value

    def snapshot(self) -> bytes:
        return '\n'.join(
            f'{key}={value}' for key, value in self.values.items()
        ).encode()

    def restore(self, state: bytes) -> None:
        lines = state.decode().splitlines()
        self.values = dict(line.split('=', 1) for line in lines)


class KillableStorage(FileStorage):
    """Stores files for a process that may be killed at any moment.

    An operation that a killed process waits for never takes place: another
    process may have opened a file with the same descriptor since.
    """

    def __init__(self, folder: Path, vm: str) -> None:
        super().__init__(folder, vm)
        self._is_killed = False

    def kill(self) -> None:
        """Closes the files, as the end of a process does."""
        self._is_killed = True
        self.close()

    async def _run_in_thread(
        self, function: Callable[..., object], *args: object
    ) -> None:
        await super()._run_in_thread(self._run_unless_killed, function, *args)
        if self._is_killed:
            await anyio.sleep_forever()

    def _run_unless_killed(
        self, function: Callable[..., object], *args: object
    ) -> None:
        if not self._is_killed:
            function(*args)


class BoundedDisk:
    """The disk of one VM: a folder of real files whose bytes are limited.

    Attributes:
        foreign_bytes: Taken by files that are not the replica's.
    """

    def __init__(self, folder: Path, vm: str, capacity_bytes: int) -> None:
        self.folder = folder
        self.vm = vm
        self.capacity_bytes = capacity_bytes
        self.foreign_bytes = 0
        self.most_used_bytes = 0
        self._storage: KillableStorage | None = None

    def __getattr__(self, name: str) -> Any:
        return getattr(self._storage, name)

    @property
    def free_bytes(self) -> int:
        return self.capacity_bytes - self.foreign_bytes - self.own_bytes

    @property
    def own_bytes(self) -> int:
        return sum(
            path.stat().st_size
            for path in self.folder.rglob('*')
            if path.is_file()
        )

    def fill(self) -> None:
        """Leaves no room for another byte."""
        self.foreign_bytes += max(0, self.free_bytes)

    def load(self) -> StoredState:
        self._storage = KillableStorage(self.folder, self.vm)
        return self._storage.load()

    def crash(self) -> None:
        """Closes the files of a process that was killed."""
        if self._storage is not None:
            self._storage.kill()

    def write_file(self, descriptor: int, content: bytes) -> None:
        """Writes what fits, and refuses the rest as a full disk does."""
        position = os.lseek(descriptor, 0, os.SEEK_CUR)
        growth = position + len(content) - os.fstat(descriptor).st_size
        excess = max(0, growth - max(0, self.free_bytes))
        os.write(descriptor, content[: len(content) - excess])
        self.most_used_bytes = max(self.most_used_bytes, self.own_bytes)
        if excess:
            raise OSError(errno.ENOSPC, 'No space left on device')


class BoundedDiskGroup(ReplicaGroup):
    """A group of replicas that store files on disks of a limited size."""

    def __init__(
        self,
        folder: Path,
        monkeypatch: pytest.MonkeyPatch,
        capacity_bytes: int,
        options: ReplicationOptions = OPTIONS,
        spares: int = 0,
    ) -> None:
        super().__init__(3, 1, spares, options)
        self.disks = {
            vm: BoundedDisk(folder / vm, vm, capacity_bytes)
            for vm in self.disks
        }
        bound_writes(monkeypatch, list(self.disks.values()))
        monkeypatch.setattr(file_storage, 'run_sync', _run_inline)
        monkeypatch.setattr(os, 'fsync', lambda descriptor: None)

    def new_state_machine(self) -> LatestValues:
        return LatestValues()


def bound_writes(
    monkeypatch: pytest.MonkeyPatch, disks: list[BoundedDisk]
) -> None:
    """Lets a storage write to these disks what fits on them."""

    def write(descriptor: int, content: bytes) -> None:
        path = Path(f'/proc/self/fd/{descriptor}').resolve()
        disk = next(one for one in disks if one.folder in path.parents)
        disk.write_file(descriptor, content)

    for module in (durable_files, file_storage, reserve, vote_file):
        monkeypatch.setattr(module, 'write_all', write)


async def _run_inline(
    function: Callable[..., Any],
    *arguments: Any,
    abandon_on_cancel: bool = False,
) -> Any:
    """Runs a disk operation on the simulated clock instead of a thread."""
    await anyio.sleep(SYNC_SECONDS)
    return function(*arguments)
