"""A follower receives a leader's snapshot in chunks."""

from dataclasses import replace

import anyio
import pytest

from mulberryhitch.replication.follower import Follower
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import SnapshotRequest
from tests.fakes import FakeDisk, KeyValueStateMachine
from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

OLDER = (7, 1)
NEWER = (9, 1)
BEGINNING = b'[{"a":1},'
END = b'[1]]'


def _chunk(
    snapshot: tuple[int, int], content: bytes, offset: int, *, done: bool
) -> SnapshotRequest:
    return SnapshotRequest(
        'group', 'vm-1#0', 1, 'vm-2#0', *snapshot, [], [], content, offset, done
    )


@pytest.mark.parametrize(
    ('begun', 'late'), [(NEWER, OLDER), (OLDER, NEWER), ((7, 2), (7, 1))]
)
def test_chunks_of_two_snapshots_are_never_joined(
    begun: tuple[int, int], late: tuple[int, int]
) -> None:
    async def main() -> None:
        disk = FakeDisk('vm-1')
        follower = Follower(ReplicaState('group', disk, KeyValueStateMachine()))
        await follower.receive_chunk(_chunk(begun, BEGINNING, 0, done=False))
        late_end = _chunk(late, END, len(BEGINNING), done=True)
        reply = await follower.receive_chunk(late_end)
        assert reply.next_offset == 0
        assert disk.load().snapshot is None
        await follower.receive_chunk(_chunk(begun, BEGINNING, 0, done=False))
        end = _chunk(begun, END, len(BEGINNING), done=True)
        await follower.receive_chunk(end)
        stored = disk.load().snapshot
        assert stored is not None
        assert stored.state == BEGINNING + END

    anyio.run(main)


def test_a_lost_chunk_does_not_begin_the_snapshot_anew() -> None:
    async def main() -> None:
        options = replace(QUICK_OPTIONS, chunk_bytes=16)
        group = ReplicaGroup(3, seed=1, options=options)
        async with group.running():
            for number in range(60):
                assert await group.put('key', number)
            leader = await group.wait_leader()
            follower = min({*group.vms} - {group.vm_of(leader)})
            group.kill(follower)
            group.disks[follower].wipe()
            group.start(follower)
            group.network.loss_rate = 0.2
            with anyio.fail_after(120):
                while not group.state_machines[follower].applied:
                    await anyio.sleep(0.1)

    run_with_mock_clock(main)
