"""Entries near the largest size fit the disks of their group."""

from pathlib import Path

import anyio
import pytest

from mulberryhitch.errors import OverloadedError
from mulberryhitch.replication.options import ReplicationOptions
from tests.bounded_disks import MEBIBYTE, BoundedDiskGroup
from tests.replica_group import run_with_mock_clock

DISK_BYTES = 128 * MEBIBYTE
VALUE = 'x' * (7 * MEBIBYTE)
OPTIONS = ReplicationOptions(repair_seconds=1000)


async def _put(group: BoundedDiskGroup, number: int) -> None:
    """Changes one key, and tries again while the log has no room."""
    for _ in range(20):
        leader = await group.wait_leader(5)
        try:
            await leader.propose('put', f'large={number}{VALUE}'.encode())
        except OverloadedError as error:
            await anyio.sleep(error.retry_after_seconds)
        else:
            return
    raise AssertionError('no room in the log')


def test_entries_of_the_largest_configurations_never_fill_the_disks(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        group = BoundedDiskGroup(tmp_path, monkeypatch, DISK_BYTES, OPTIONS)
        async with group.running():
            await group.wait_leader()
            for number in range(30):
                if number == 10:
                    leader = await group.wait_leader()
                    vm = group.vm_of(leader)
                    lost = next(one for one in group.vms if one != vm)
                    group.kill(lost)
                if number == 20:
                    group.start(lost)
                await _put(group, number)
            await anyio.sleep(5)
            values = [one.values for one in group.state_machines.values()]
            assert values == [{'large': f'29{VALUE}'}] * len(group.vms)
            for disk in group.disks.values():
                assert disk.most_used_bytes <= DISK_BYTES

    run_with_mock_clock(main)
