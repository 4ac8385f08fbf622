"""A leader keeps its lease while its only follower receives a snapshot."""

from dataclasses import replace

import anyio
import orjson
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

CHUNKS = 30
CHUNK_BYTES = 64
OPTIONS = replace(
    QUICK_OPTIONS,
    compact_entries=20,
    chunk_bytes=CHUNK_BYTES,
    repair_seconds=1000,
)


async def _make_snapshot(group: ReplicaGroup) -> None:
    leader = await group.wait_leader()
    key = 'x' * CHUNKS * CHUNK_BYTES
    await leader.propose('put', orjson.dumps([key, 1]))
    for number in range(3 * OPTIONS.compact_entries):
        assert await group.put('key', number)
    await anyio.sleep(2)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize(
    ('delay_seconds', 'loss_rate', 'limit_seconds'),
    [(0.2, 0, 30), (0.002, 0.05, 30), (0.1, 0.05, 40)],
)
def test_a_leader_keeps_its_term_while_it_sends_a_snapshot_slowly(
    seed: int, delay_seconds: float, loss_rate: float, limit_seconds: float
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed, options=OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            others = [vm for vm in group.vms if vm != group.vm_of(leader)]
            group.kill(others[0])
            await _make_snapshot(group)
            group.network.delay_seconds = delay_seconds
            await anyio.sleep(10)
            group.network.loss_rate = loss_rate
            term = leader.term
            group.kill(others[1])
            group.start(others[0])
            assert await group.put('late', 1, limit_seconds)
            assert leader.term == term

    run_with_mock_clock(main)


def _chunk(content: bytes, offset: int, term: int = 1) -> SnapshotRequest:
    return SnapshotRequest(
        'group', 'vm-1#0', term, 'vm-2#0', 7, 1, [], [], content, offset, False
    )


@pytest.mark.parametrize(('term', 'next_offset'), [(1, 4), (2, 2)])
def test_a_repeated_chunk_of_the_same_leader_discards_no_other(
    term: int, next_offset: int
) -> None:
    async def main() -> None:
        state = ReplicaState('group', FakeDisk('vm-1'), KeyValueStateMachine())
        follower = Follower(state)
        await follower.receive_chunk(_chunk(b'ab', 0))
        await follower.receive_chunk(_chunk(b'cd', 2))
        reply = await follower.receive_chunk(_chunk(b'ab', 0, term))
        assert reply.next_offset == next_offset

    anyio.run(main)
