"""A follower that lags a little needs no snapshot of its leader."""

from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import LogEntry
from tests.fakes import KeyValueStateMachine
from tests.replica_group import ReplicaGroup, run_with_mock_clock

LAG_ENTRIES = 8


async def _entries_until_a_snapshot(
    group: ReplicaGroup, leader: Replica
) -> int:
    """Returns after how many entries the leader takes a snapshot."""
    former_index = leader.state.snapshot_index
    while leader.state.snapshot_index == former_index:
        assert await group.put('key', 0)
        await anyio.sleep(1)
    return leader.state.snapshot_index - former_index


async def _lag_behind_a_snapshot(group: ReplicaGroup) -> tuple[str, list[Any]]:
    """Returns a follower, and the snapshot chunks that it will receive."""
    leader = await group.wait_leader()
    vm = next(vm for vm in group.vms if vm != group.vm_of(leader))
    entries = await _entries_until_a_snapshot(group, leader)
    for number in range(entries - LAG_ENTRIES):
        assert await group.put('key', number)
    await anyio.sleep(1)
    chunks: list[Any] = []
    receive = group.replicas[vm].install_snapshot

    async def record(request: Any) -> Any:
        chunks.append(request)
        return await receive(request)

    group.replicas[vm].install_snapshot = record  # type: ignore[method-assign]
    group.network.isolate(vm)
    for number in range(LAG_ENTRIES):
        assert await group.put('key', number)
    await anyio.sleep(1)
    assert leader.state.snapshot_index > group.replicas[vm].state.last_index
    group.network.heal()
    return vm, chunks


@pytest.mark.parametrize('seed', range(3))
def test_a_follower_that_lags_a_little_behind_a_snapshot_gets_entries(
    seed: int,
) -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed).running() as group:
            vm, chunks = await _lag_behind_a_snapshot(group)
            await group.wait_until_converged()
            assert vm in group.replicas
            assert not chunks

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    ('max_entries', 'max_bytes', 'first_index'),
    [(0, 10_000, 9), (3, 10_000, 6), (10, 400, 7), (10, 10_000, 2)],
)
def test_entries_kept_behind_a_snapshot_are_bounded_and_loaded_as_covered(
    tmp_path: Path, max_entries: int, max_bytes: int, first_index: int
) -> None:
    async def main() -> None:
        storage = FileStorage(tmp_path, 'vm-1')
        state = ReplicaState('group', storage, KeyValueStateMachine())
        await state.save_term(1, 'vm-1#0')
        await state.bootstrap(Members(('vm-1#0',)))
        body = b'["%s", 1]' % (b'x' * 100)
        state.write([LogEntry(index, 1, 'put', body) for index in range(2, 12)])
        await state.sync()
        state.commit(8)
        await state.compact(max_entries, max_bytes)
        assert state.term_at(first_index) == 1
        assert first_index == 9 or state.term_at(first_index - 1) is None
        storage.close()
        machine = KeyValueStateMachine()
        loaded = ReplicaState('group', FileStorage(tmp_path, 'vm-1'), machine)
        loaded.commit(11)
        assert len(machine.applied) == 10
        assert state.last_index == loaded.last_index

    anyio.run(main)


def test_the_default_options_keep_entries_for_peers_that_lag() -> None:
    options = ReplicationOptions()
    assert 0 < options.retained_bytes < options.compact_bytes
    assert 0 < options.retained_entries < options.compact_entries
