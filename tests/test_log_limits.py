"""A log that nears its limit refuses entries, and recovers with room."""

from dataclasses import replace
from pathlib import Path

import anyio
import orjson
import pytest

from mulberryhitch.errors import (
    MulberryhitchError,
    OverloadedError,
    StorageError,
    TooLargeError,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.outcomes import Outcome
from mulberryhitch.replication.compaction import Compaction
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.follower import Follower
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.proposals import Proposal, ProposalQueue
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.storage import Storage
from mulberryhitch.rpc.messages import AppendRequest, LogEntry
from tests.fakes import FakeDisk, KeyValueStateMachine
from tests.replica_group import QUICK_OPTIONS, ReplicaGroup, run_with_mock_clock

KIBIBYTE = 1024
VALUE_BYTES = 2 * KIBIBYTE
LIMIT_BYTES = 128 * KIBIBYTE
# A heartbeat to each of two followers, each 0.1 s, and some membership checks.
MOST_CALLS_A_SECOND = 25
OPTIONS = replace(
    QUICK_OPTIONS,
    compact_entries=1000,
    compact_bytes=LIMIT_BYTES // 4,
    max_log_bytes=LIMIT_BYTES,
    batch_bytes=16 * KIBIBYTE,
    repair_seconds=1000,
)


async def _put(
    leader: Replica, number: int, failures: list[MulberryhitchError]
) -> None:
    body = orjson.dumps(['x' * VALUE_BYTES, number])
    try:
        await leader.propose('put', body)
    except MulberryhitchError as error:
        failures.append(error)


async def _put_many(leader: Replica, count: int) -> list[MulberryhitchError]:
    """Proposes a few entries at a time; returns the failures."""
    failures: list[MulberryhitchError] = []
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(_put, leader, number, failures)
            await anyio.sleep(0.003)
    return failures


def _refused(failures: list[MulberryhitchError]) -> list[MulberryhitchError]:
    refused = [one for one in failures if isinstance(one, OverloadedError)]
    assert all(one.outcome is Outcome.not_run for one in refused)
    assert all(one.retry_after_seconds > 0 for one in refused)
    return refused


def _follower(group: ReplicaGroup, leader: Replica) -> str:
    return next(vm for vm in group.vms if vm != group.vm_of(leader))


@pytest.mark.parametrize('seed', range(3))
def test_a_log_without_a_majority_is_bounded_and_committed_later(
    seed: int,
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed, options=OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            vm = group.vm_of(leader)
            await _put_many(leader, 10)
            group.network.isolate(vm)
            assert _refused(await _put_many(leader, 200))
            assert group.disks[vm].log_bytes <= LIMIT_BYTES
            for other in set(group.vms) - {vm}:
                group.kill(other)
            group.network.heal()
            for other in set(group.vms) - {vm}:
                group.start(other)
            assert await group.put('key', 1)
            await group.wait_until_converged()

    run_with_mock_clock(main)


@pytest.mark.parametrize('seed', range(3))
def test_a_log_beyond_its_snapshots_refuses_entries_and_keeps_its_leader(
    seed: int,
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed, options=OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            disk = group.disks[group.vm_of(leader)]
            disk.fill_after_a_snapshot()
            assert _refused(await _put_many(leader, 200))
            assert disk.log_bytes <= LIMIT_BYTES
            term = leader.term
            await leader.read_barrier()
            disk.free()
            await anyio.sleep(5)
            assert not await _put_many(leader, 30)
            assert leader.term == term

    run_with_mock_clock(main)


@pytest.mark.parametrize('seed', range(3))
def test_a_follower_whose_log_is_at_its_limit_follows_and_catches_up(
    seed: int,
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed, options=OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            vm = _follower(group, leader)
            disk = group.disks[vm]
            disk.fill_after_a_snapshot()
            for _ in range(4):
                assert not await _put_many(leader, 50)
            assert disk.log_bytes <= OPTIONS.max_follower_log_bytes
            assert vm in group.network.nodes
            term = leader.term
            disk.free()
            await group.wait_until_converged()
            assert leader.term == term

    run_with_mock_clock(main)


def test_a_follower_without_room_is_sent_entries_once_a_heartbeat() -> None:
    async def main() -> None:
        group = ReplicaGroup(3, 1, options=OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            vm = _follower(group, leader)
            group.kill(vm)
            group.options = replace(OPTIONS, max_log_bytes=4 * VALUE_BYTES)
            group.disks[vm].fill_after_a_snapshot()
            group.start(vm)
            assert not await _put_many(leader, 10)
            await anyio.sleep(1)
            state = group.replicas[vm].state
            assert 0 < state.last_index < leader.state.last_index
            calls = group.network.calls
            await anyio.sleep(1)
            assert group.network.calls - calls < MOST_CALLS_A_SECOND
            group.disks[vm].free()
            await group.wait_until_converged()

    run_with_mock_clock(main)


def _compaction(state: ReplicaState) -> Compaction:
    return Compaction(state, OPTIONS, FailStop(_raise), Log('vm-1'))


async def _run_for_a_while(compaction: Compaction) -> None:
    with anyio.move_on_after(OPTIONS.election_seconds * 2.5):
        await compaction.run()


def _raise(error: StorageError) -> None:
    raise error


def _entries(first_index: int, size: int) -> list[LogEntry]:
    body = orjson.dumps(['x' * VALUE_BYTES, 1])
    last_index = first_index + size // VALUE_BYTES
    return [
        LogEntry(index, 1, 'put', body)
        for index in range(first_index, last_index)
    ]


async def _bootstrapped(storage: Storage) -> ReplicaState:
    state = ReplicaState('group', storage, KeyValueStateMachine())
    await state.save_term(1, 'vm-1#0')
    await state.bootstrap(Members(('vm-1#0',)))
    return state


def test_truncated_entries_leave_the_file_of_a_long_log(tmp_path: Path) -> None:
    async def main() -> None:
        state = await _bootstrapped(FileStorage(tmp_path, 'vm-1'))
        state.write(_entries(2, LIMIT_BYTES))
        await state.sync()
        await state.truncate(3)
        assert state.storage.log_bytes > LIMIT_BYTES
        await _run_for_a_while(_compaction(state))
        assert state.storage.log_bytes < LIMIT_BYTES // 4
        assert state.last_index == 2

    anyio.run(main)


def test_entries_that_a_snapshot_left_uncommitted_are_dropped_later() -> None:
    async def main() -> None:
        state = await _bootstrapped(FakeDisk('vm-1'))
        state.write(_entries(2, LIMIT_BYTES))
        await state.sync()
        compaction = _compaction(state)
        state.commit(2)
        await _run_for_a_while(compaction)
        assert state.snapshot_index == 2
        state.commit(state.last_index)
        await _run_for_a_while(compaction)
        assert state.storage.log_bytes < LIMIT_BYTES // 4

    run_with_mock_clock(main)


def test_a_follower_takes_a_leader_s_whole_log_beside_covered_entries() -> None:
    async def main() -> None:
        state = await _bootstrapped(FakeDisk('vm-2'))
        follower = Follower(state, OPTIONS)
        covered = _entries(2, LIMIT_BYTES // 2)
        state.write(covered)
        await state.sync()
        state.commit(state.last_index)
        await state.compact(len(covered), LIMIT_BYTES // 4)
        entries = _entries(state.last_index + 1, LIMIT_BYTES)
        previous = entries[0].index - 1
        request = AppendRequest(
            'group', 'vm-2#0', 1, 'vm-1#0', previous, 1, previous, entries, 1, 0
        )
        reply = await follower.append(request, 1)
        assert reply.success
        assert reply.last_index == entries[-1].index

    run_with_mock_clock(main)


def test_an_entry_too_large_for_the_log_is_refused_from_the_start() -> None:
    async def main() -> None:
        async with ReplicaGroup(1, 1, options=OPTIONS).running() as group:
            leader = await group.wait_leader()
            with pytest.raises(TooLargeError) as raised:
                await leader.propose('put', b'x' * (LIMIT_BYTES // 2))
            assert raised.value.outcome is Outcome.not_run
            assert await group.put('key', 1)

    run_with_mock_clock(main)


def test_queued_proposals_are_bounded_in_bytes_and_written_in_batches() -> None:
    queue = ProposalQueue(FakeDisk('vm-1'), OPTIONS)
    proposal = Proposal('put', b'x' * VALUE_BYTES)
    added = 0
    with pytest.raises(OverloadedError):
        while added < 1000:
            queue.add(proposal)
            added += 1
    assert added * VALUE_BYTES <= OPTIONS.max_queued_bytes
    batches = []
    while len(queue):
        batches.append(queue.take_batch())
    assert sum(map(len, batches)) == added
    for batch in batches:
        size = sum(one.stored_bytes for one in batch)
        assert size <= OPTIONS.batch_bytes
    queue.add(proposal)


def test_an_entry_of_the_group_itself_is_written_alone() -> None:
    queue = ProposalQueue(FakeDisk('vm-1'), OPTIONS)
    for kind in ('put', 'members', 'put', 'put'):
        queue.add(Proposal(kind, b'x'))
    queue.add_first(Proposal('noop', b''))
    batches = []
    while len(queue):
        batches.append([proposal.kind for proposal in queue.take_batch()])
    assert batches == [['noop'], ['put'], ['members'], ['put', 'put']]
