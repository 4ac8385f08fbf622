"""What a group stores is bounded, and elections need no room of their own."""

from contextlib import suppress
from pathlib import Path

import anyio
import pytest

from mulberryhitch.errors import MulberryhitchError, NotLeaderError
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from tests.bounded_disks import MEBIBYTE, BoundedDiskGroup
from tests.replica_group import run_with_mock_clock

DISK_BYTES = 128 * MEBIBYTE
LARGE_VALUE = 'x' * MEBIBYTE
RECOVERY_SECONDS = 12


async def _leader(group: BoundedDiskGroup) -> Replica:
    try:
        return await group.wait_leader(RECOVERY_SECONDS)
    except TimeoutError:
        raise AssertionError(f'no leader in {RECOVERY_SECONDS} s') from None


async def _put(group: BoundedDiskGroup, key: str, value: str) -> None:
    leader = await _leader(group)
    await leader.propose('put', f'{key}={value}'.encode())


@pytest.fixture
def group(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> BoundedDiskGroup:
    options = ReplicationOptions(repair_seconds=20)
    return BoundedDiskGroup(tmp_path, monkeypatch, DISK_BYTES, options)


def test_large_changes_never_fill_the_disks_of_their_group(
    group: BoundedDiskGroup,
) -> None:
    async def main() -> None:
        async with group.running():
            for number in range(200):
                await _put(group, 'large', f'{number}{LARGE_VALUE}')
            group.kill(group.vm_of(await _leader(group)))
            await _put(group, 'after', 'the leader was lost')

    run_with_mock_clock(main)


def test_a_group_elects_a_leader_and_reads_while_its_disks_are_full(
    group: BoundedDiskGroup,
) -> None:
    async def main() -> None:
        async with group.running():
            await _put(group, 'key', 'before')
            await anyio.sleep(2)
            for disk in group.disks.values():
                disk.fill()
            group.kill(group.vm_of(await _leader(group)))
            leader = await _leader(group)
            await leader.read_barrier()
            machine = group.state_machines[group.vm_of(leader)]
            assert machine.values == {'key': 'before'}
            with pytest.raises(MulberryhitchError) as raised:
                await leader.propose('put', f'key={LARGE_VALUE}'.encode())
            assert raised.value.outcome.value == 'not_run'

    run_with_mock_clock(main)


def test_a_leader_is_not_replaced_again_and_again_while_all_disks_are_full(
    group: BoundedDiskGroup,
) -> None:
    async def main() -> None:
        async with group.running():
            await _put(group, 'key', 'before')
            await anyio.sleep(2)
            for disk in group.disks.values():
                disk.fill()
            terms = set()
            for _ in range(100):
                leader = await _leader(group)
                terms.add(leader.term)
                with suppress(NotLeaderError):
                    await leader.read_barrier()
                with pytest.raises(MulberryhitchError):
                    await leader.propose('put', f'key={LARGE_VALUE}'.encode())
                await anyio.sleep(0.2)
            assert len(terms) <= 3

    run_with_mock_clock(main)


def test_replicas_do_not_all_take_their_snapshots_at_the_same_entry(
    group: BoundedDiskGroup,
) -> None:
    # The ids of the replicas are random, and they decide when a snapshot is due:
    # with entries of a mebibyte, three were due at the same one in a tenth of
    # the runs.
    small_value = LARGE_VALUE[: MEBIBYTE // 16]

    async def main() -> None:
        async with group.running():
            for number in range(160):
                await _put(group, 'large', f'{number}{small_value}')
            await anyio.sleep(2)
            indexes = {
                replica.state.snapshot_index
                for replica in group.replicas.values()
            }
            assert len(indexes) > 1

    run_with_mock_clock(main)
