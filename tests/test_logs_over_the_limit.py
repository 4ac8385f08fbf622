"""Groups whose logs exceed the limit that a follower keeps to."""

from pathlib import Path

import anyio
import pytest

from mulberryhitch.replication.options import ReplicationOptions
from tests.bounded_disks import MEBIBYTE, BoundedDiskGroup
from tests.filled_disks import fill_with_own_log, make_room
from tests.replica_group import run_with_mock_clock

DISK_BYTES = 32 * MEBIBYTE
RECOVERY_SECONDS = 30


def test_a_log_over_the_limit_of_followers_still_gets_a_leader_that_serves(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    options = ReplicationOptions(max_log_bytes=8 * MEBIBYTE, repair_seconds=300)
    group = BoundedDiskGroup(tmp_path, monkeypatch, DISK_BYTES, options)
    values = fill_with_own_log(group, monkeypatch)
    for disk in group.disks.values():
        make_room(disk, DISK_BYTES)

    async def main() -> None:
        async with group.running():
            leader = await group.wait_leader(RECOVERY_SECONDS)
            await leader.read_barrier()
            assert group.state_machines[group.vm_of(leader)].values == values
            await anyio.sleep(RECOVERY_SECONDS)
            leader = await group.wait_leader(RECOVERY_SECONDS)
            await leader.propose('put', b'after=the recovery')

    run_with_mock_clock(main)
