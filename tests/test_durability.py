"""What a replica confirms, and what a loss of power leaves of its log."""

import errno
import os
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.errors import (
    DiskFullError,
    InvariantError,
    OutcomeUnknownError,
)
from mulberryhitch.replication.failpoints import FailPoints
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import AppendReply, AppendRequest, LogEntry
from tests.fakes import SYNC_SECONDS, FakeDisk, KeyValueStateMachine
from tests.replica_group import ReplicaGroup, run_with_mock_clock

STALL_SECONDS = 3
HANG_SECONDS = 20


def _put(index: int, term: int = 0) -> LogEntry:
    return LogEntry(index, term, 'put', b'["key", 1]')


async def _depose_during_a_sync(
    group: ReplicaGroup, new_entries: int
) -> tuple[Replica, AppendReply]:
    """A leader's disk stalls after a write; another leader sends an append."""
    former = await group.wait_leader()
    group.network.isolate(group.vm_of(former))
    group.disks[group.vm_of(former)].sync_seconds = STALL_SECONDS
    group.task_group.start_soon(group.put, 'key', 1, 1)
    await anyio.sleep(0.01)
    last, term = former.state.last_index, former.state.last_term
    successor = next(
        voter for voter in former.members.voters if voter != former.replica_id
    )
    request = AppendRequest(
        former.group,
        former.replica_id,
        former.term + 1,
        successor,
        last,
        term,
        0,
        [_put(last + 1 + each, term + 1) for each in range(new_entries)],
    )
    return former, await former.append(request)


@pytest.mark.parametrize('new_entries', [0, 1])
def test_a_former_leader_confirms_no_entry_that_it_has_not_synced(
    new_entries: int,
) -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=1).running() as group:
            former, reply = await _depose_during_a_sync(group, new_entries)
            disk = group.disks[group.vm_of(former)]
            assert reply.success
            assert reply.last_index <= disk.synced_index

    run_with_mock_clock(main)


def _load(folder: Path, points: FailPoints | None = None) -> ReplicaState:
    storage = FileStorage(folder, 'vm-1', points)
    return ReplicaState('group', storage, KeyValueStateMachine())


async def _state_with_entries(
    folder: Path, last: int, points: FailPoints | None = None
) -> ReplicaState:
    state = _load(folder, points)
    state.write([_put(index) for index in range(1, last + 1)])
    await state.storage.sync()
    return state


def _lose_write(path: Path, start: int, end: int) -> None:
    """Removes a write from a file; a later one leaves a gap before it."""
    content = path.read_bytes()
    gap = bytes(end - start) if len(content) > end else b''
    path.write_bytes(content[:start] + gap + content[end:])


def test_synced_entries_survive_the_loss_of_an_unsynced_write(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        log = tmp_path / 'log'
        state = await _state_with_entries(tmp_path, last=5)
        start = log.stat().st_size
        state.write([_put(6)])
        end = log.stat().st_size
        with suppress(InvariantError):
            state.write([_put(7)])
        _lose_write(log, start, end)
        assert _load(tmp_path).last_index == 5

    anyio.run(main)


def test_what_a_failed_write_left_is_removed_durably_before_the_next_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    points = FailPoints()
    syncs: list[str] = []
    points.arm('sync', lambda: syncs.append('sync'))
    write = os.write

    def write_half(descriptor: int, content: bytes) -> int:
        monkeypatch.setattr(os, 'write', _refuse)
        return write(descriptor, content[: len(content) // 2])

    async def main() -> None:
        state = await _state_with_entries(tmp_path, 5, points)
        syncs.clear()
        monkeypatch.setattr(os, 'write', write_half)
        with pytest.raises(DiskFullError):
            state.write([_put(6)])
        monkeypatch.undo()
        with pytest.raises(InvariantError):
            state.write([_put(6)])
        await state.sync()
        assert syncs == ['sync']
        state.write([_put(6)])
        await state.sync()
        assert _load(tmp_path).last_index == 6

    anyio.run(main)


def _refuse(*arguments: Any) -> int:
    raise OSError(errno.ENOSPC, 'no space left on device')


def test_a_proposal_is_refused_once_what_its_write_left_is_removed_durably() -> (
    None
):
    async def main() -> None:
        async with ReplicaGroup(3, seed=1).running() as group:
            leader = await group.wait_leader()
            await anyio.sleep(1)
            disk = group.disks[group.vm_of(leader)]
            stored = list(disk._written)

            def write_half(entries: list[LogEntry]) -> None:
                disk._written.append(_put(0))
                raise DiskFullError('no space left')

            async def remove_the_rest() -> None:
                await anyio.sleep(disk.sync_seconds)
                disk._written = stored

            disk.write, disk.sync = write_half, remove_the_rest
            with pytest.raises(DiskFullError):
                await leader.propose('put', b'["key", 1]')
            assert disk.is_synced

    run_with_mock_clock(main)


def test_a_proposal_ends_with_the_leadership_and_not_with_a_disk_that_hangs() -> (
    None
):
    async def main() -> None:
        async with ReplicaGroup(3, seed=1).running() as group:
            leader = await group.wait_leader()
            disk = group.disks[group.vm_of(leader)]
            sync = disk.sync

            async def hang() -> None:
                with anyio.CancelScope(shield=True):
                    await anyio.sleep(HANG_SECONDS)
                    await sync()

            disk.sync = hang
            group.network.isolate(group.vm_of(leader))
            with anyio.fail_after(3 * group.options.election_seconds):
                with pytest.raises(OutcomeUnknownError):
                    await leader.propose('put', b'["key", 1]')

    run_with_mock_clock(main)


def test_a_snapshot_holds_no_entry_that_is_committed_while_it_waits_for_a_sync() -> (
    None
):
    async def main() -> None:
        disk = FakeDisk('vm-1')
        machine = KeyValueStateMachine()
        state = ReplicaState('group', disk, machine)
        await state.bootstrap(Members(('vm-1#0',)))
        state.write([_put(2)])
        await state.sync()
        state.commit(2)
        state.write([_put(3)])

        async def commit_after_sync() -> None:
            await state.sync()
            state.commit(3)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(commit_after_sync)
            await anyio.sleep(SYNC_SECONDS / 2)
            await state.compact()
        loaded_machine = KeyValueStateMachine()
        loaded = ReplicaState('group', disk, loaded_machine)
        loaded.commit(3)
        assert loaded_machine.applied == machine.applied

    run_with_mock_clock(main)
