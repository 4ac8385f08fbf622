"""A group whose disks the code before has filled with the group's own log."""

from pathlib import Path

import anyio
import pytest

from mulberryhitch.replication.options import ReplicationOptions
from tests.bounded_disks import MEBIBYTE, BoundedDiskGroup
from tests.filled_disks import fill_with_own_log, make_room
from tests.replica_group import run_with_mock_clock

DISK_BYTES = 32 * MEBIBYTE
# Records of an election, the file of the vote, and the rewritten log.
BESIDE_SNAPSHOT_BYTES = 16_384
RECOVERY_SECONDS = 30


@pytest.fixture
def group(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> BoundedDiskGroup:
    options = ReplicationOptions(compact_entries=20, repair_seconds=300)
    return BoundedDiskGroup(tmp_path, monkeypatch, DISK_BYTES, options)


def _snapshot_bytes(values: dict[str, str]) -> int:
    return sum(len(key) + len(value) + 2 for key, value in values.items())


async def _check_recovery(
    group: BoundedDiskGroup, values: dict[str, str]
) -> None:
    """Checks reads of all that was acknowledged, then a change, and room."""
    leader = await group.wait_leader(RECOVERY_SECONDS)
    await leader.read_barrier()
    assert group.state_machines[group.vm_of(leader)].values == values
    await anyio.sleep(RECOVERY_SECONDS)
    leader = await group.wait_leader(RECOVERY_SECONDS)
    await leader.propose('put', b'after=the recovery')
    values['after'] = 'the recovery'
    assert group.state_machines[group.vm_of(leader)].values == values
    for vm in group.replicas:
        assert group.disks[vm].free_bytes > 8 * MEBIBYTE


def test_filled_disks_recover_with_room_for_one_snapshot(
    group: BoundedDiskGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    values = fill_with_own_log(group, monkeypatch)
    for disk in group.disks.values():
        make_room(disk, _snapshot_bytes(values) + BESIDE_SNAPSHOT_BYTES)

    async def main() -> None:
        async with group.running():
            await _check_recovery(group, values)

    run_with_mock_clock(main)


def test_filled_disks_recover_while_running_once_there_is_room(
    group: BoundedDiskGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    values = fill_with_own_log(group, monkeypatch)

    async def main() -> None:
        async with group.running():
            with pytest.raises(TimeoutError):
                await group.wait_leader(RECOVERY_SECONDS)
            for disk in group.disks.values():
                make_room(disk, _snapshot_bytes(values) + BESIDE_SNAPSHOT_BYTES)
            await _check_recovery(group, values)

    run_with_mock_clock(main)


def test_a_majority_with_room_recovers_beside_a_disk_that_stays_full(
    group: BoundedDiskGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    values = fill_with_own_log(group, monkeypatch)
    full, *others = group.disks.values()
    for disk in others:
        make_room(disk, _snapshot_bytes(values) + BESIDE_SNAPSHOT_BYTES)

    async def main() -> None:
        async with group.running():
            await group.wait_leader(RECOVERY_SECONDS)
            group.kill(full.vm)
            await _check_recovery(group, values)
            make_room(full, 2 * _snapshot_bytes(values))
            group.start(full.vm)
            await anyio.sleep(RECOVERY_SECONDS)
            assert group.state_machines[full.vm].values == values

    run_with_mock_clock(main)


def test_filled_disks_recover_with_the_room_of_unfinished_files(
    group: BoundedDiskGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    for disk in group.disks.values():
        disk.folder.mkdir(parents=True)
    unfinished = bytes(2 * MEBIBYTE)
    with monkeypatch.context() as patches:
        for disk in group.disks.values():
            disk.capacity_bytes -= len(unfinished)
        values = fill_with_own_log(group, patches)
    for disk in group.disks.values():
        disk.capacity_bytes += len(unfinished)
        (disk.folder / 'log.aside').write_bytes(unfinished)
        assert not disk.free_bytes

    async def main() -> None:
        async with group.running():
            await _check_recovery(group, values)

    run_with_mock_clock(main)


def test_filled_disks_without_any_room_lose_nothing(
    group: BoundedDiskGroup, monkeypatch: pytest.MonkeyPatch
) -> None:
    values = fill_with_own_log(group, monkeypatch)

    async def main() -> None:
        async with group.running():
            with pytest.raises(TimeoutError):
                await group.wait_leader(RECOVERY_SECONDS)
        for disk in group.disks.values():
            entries = disk.load().entries
            loaded = dict(
                entry.body.decode().split('=', 1) for entry in entries
            )
            assert loaded == values

    run_with_mock_clock(main)
