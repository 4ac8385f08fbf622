"""Folders that a group's own log has filled, as the code before wrote them."""

import anyio
import pytest

from mulberryhitch.errors import DiskFullError
from mulberryhitch.replication import vote_file
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import LogEntry
from tests.bounded_disks import MEBIBYTE, BoundedDisk, BoundedDiskGroup
from tests.test_files import refuse_writes

# From large configurations down to the shortest entry that fits.
_VALUE_BYTES = (MEBIBYTE, 65_536, 4096, 256, 1)


def fill_with_own_log(
    group: BoundedDiskGroup, monkeypatch: pytest.MonkeyPatch
) -> dict[str, str]:
    """Fills all disks of a group with one log of acknowledged entries.

    Votes have the former format, and no room is kept.

    Returns:
        The latest value of each key, all of them acknowledged.
    """
    with monkeypatch.context() as patches:
        patches.setattr(vote_file, 'replace_file', refuse_writes)
        storages = {
            disk: FileStorage(disk.folder, disk.vm, reserve_bytes=0)
            for disk in group.disks.values()
        }
        ids = tuple(storage.load().replica_id for storage in storages.values())
        values: dict[str, str] = {}
        for disk, storage in storages.items():
            values = anyio.run(_fill, storage, Members(ids))
            storage.close()
            assert disk.free_bytes < 100
            disk.fill()
    return values


async def _fill(storage: FileStorage, members: Members) -> dict[str, str]:
    await storage.save_vote(1, members.voters[0])
    await storage.save_snapshot(Snapshot(1, 0, members, b''), [])
    values: dict[str, str] = {}
    index = 2
    for size in _VALUE_BYTES:
        while True:
            value = f'{index}{"x" * size}'
            entry = LogEntry(index, 1, 'put', f'key-{size}={value}'.encode())
            try:
                storage.write([entry])
            except DiskFullError:
                break
            await storage.sync()
            values[f'key-{size}'] = value
            index += 1
    return values


def make_room(disk: BoundedDisk, size: int) -> None:
    """Enlarges a disk, as an operator does who removes other files."""
    disk.capacity_bytes += size
