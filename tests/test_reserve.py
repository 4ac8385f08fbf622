"""Room that is kept on a disk for elections, membership changes, snapshots."""

import os
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from mulberryhitch.errors import DiskFullError, StorageError
from mulberryhitch.replication import reserve
from mulberryhitch.replication.failpoints import FailPoints
from mulberryhitch.replication.file_storage import RESERVE_BYTES, FileStorage
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.reserve import Reserve
from mulberryhitch.replication.room_keeper import RoomKeeper
from mulberryhitch.replication.state import NOOP_KIND
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import LogEntry
from tests.bounded_disks import MEBIBYTE, BoundedDisk, bound_writes
from tests.replica_group import RecordingLog, run_with_mock_clock
from tests.test_files import CrashError, crash, run
from tests.unsynced_folder import KilledError

DISK_BYTES = 32 * MEBIBYTE
STATE = b'x' * MEBIBYTE
MEMBERS = Members(('vm-1#x',))
_FULL = SimpleNamespace(f_blocks=1, f_bavail=0, f_frsize=1)


@pytest.fixture
def disk(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> BoundedDisk:
    bounded = BoundedDisk(tmp_path / 'vm-1', 'vm-1', DISK_BYTES)
    bound_writes(monkeypatch, [bounded])
    bounded.load()
    run(bounded.save_vote, 1, '')
    run(bounded.keep_room)
    return bounded


def _entry(index: int, kind: str = 'put', body: bytes = b'value') -> LogEntry:
    return LogEntry(index, 1, kind, body)


def _write(disk: BoundedDisk, entry: LogEntry) -> None:
    disk.write([entry])
    run(disk.sync)


def _fill_by_own_log(disk: BoundedDisk) -> int:
    """Writes entries of 1 MiB until one is refused; returns its index."""
    index = 1
    while True:
        try:
            _write(disk, _entry(index, body=STATE))
        except DiskFullError:
            return index
        index += 1


def _reserve_bytes(disk: BoundedDisk) -> int:
    return (disk.folder / 'reserve').stat().st_size


def _last_index(disk: BoundedDisk) -> int:
    return FileStorage(disk.folder, 'vm-1').load().entries[-1].index


def test_kept_room_is_taken_on_the_disk(disk: BoundedDisk) -> None:
    path = disk.folder / 'reserve'
    assert path.read_bytes() == bytes(RESERVE_BYTES)
    assert path.stat().st_blocks * 512 >= RESERVE_BYTES
    assert disk.keeps_room
    assert disk.is_room_kept


@pytest.mark.parametrize('kind', [NOOP_KIND, MEMBERS_KIND])
def test_a_full_disk_takes_entries_of_elections_and_membership_only(
    disk: BoundedDisk, kind: str
) -> None:
    _write(disk, _entry(1))
    disk.fill()
    with pytest.raises(DiskFullError):
        disk.write([_entry(2)])
    for index in range(2, 200):
        _write(disk, _entry(index, kind, MEMBERS.encode()))
        # The rest of the room that was given back is for these as well.
        with pytest.raises(DiskFullError):
            disk.write([_entry(index + 1)])
    assert _last_index(disk) == 199
    assert _reserve_bytes(disk) > RESERVE_BYTES * 0.9


def test_others_that_take_all_free_room_leave_room_for_elections(
    disk: BoundedDisk,
) -> None:
    _write(disk, _entry(1))
    disk.fill()
    run(disk.save_snapshot, Snapshot(1, 1, MEMBERS, STATE), [])
    disk.fill()
    with pytest.raises(DiskFullError):
        run(disk.save_snapshot, Snapshot(1, 1, MEMBERS, STATE * 8), [])
    for index in range(2, 200):
        disk.fill()
        _write(disk, _entry(index, NOOP_KIND))
    assert _last_index(disk) == 199


def test_a_full_disk_takes_the_entries_before_an_election_with_it(
    disk: BoundedDisk,
) -> None:
    disk.fill()
    disk.write([_entry(1, body=STATE), _entry(2, NOOP_KIND, b'')])
    run(disk.sync)
    assert _last_index(disk) == 2


def test_a_start_that_shortens_the_log_leaves_room_for_elections(
    disk: BoundedDisk,
) -> None:
    entries = [_entry(1), _entry(2, body=STATE * 6)]
    disk.write(entries)
    run(disk.sync)
    run(disk.save_snapshot, Snapshot(1, 1, MEMBERS, b''), entries)
    disk.crash()
    disk.fill()
    disk.load()
    for index in range(3, 20):
        disk.fill()
        _write(disk, _entry(index, NOOP_KIND))
    assert _last_index(disk) == 19


def test_a_write_that_finds_no_room_even_so_gives_no_kept_room_back(
    disk: BoundedDisk, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(os, 'statvfs', lambda path: _FULL)
    _write(disk, _entry(1))
    disk.fill()
    too_long = [_entry(2, body=STATE * 9), _entry(3, NOOP_KIND)]
    with pytest.raises(DiskFullError):
        disk.write(too_long)
    with pytest.raises(DiskFullError):
        run(disk.save_snapshot, Snapshot(1, 1, MEMBERS, STATE * 9), [])
    assert _reserve_bytes(disk) == RESERVE_BYTES


def test_a_full_disk_removes_the_entries_of_a_former_leader(
    disk: BoundedDisk,
) -> None:
    for index in range(1, 5):
        _write(disk, _entry(index))
    disk.fill()
    run(disk.truncate, 3)
    assert _last_index(disk) == 2


def test_an_entry_larger_than_the_kept_room_leaves_the_log_as_it_was(
    disk: BoundedDisk,
) -> None:
    _write(disk, _entry(1))
    size = disk.log_bytes
    disk.fill()
    with pytest.raises(DiskFullError):
        disk.write([_entry(2, NOOP_KIND, bytes(RESERVE_BYTES + 1))])
    assert (disk.folder / 'log').stat().st_size == size
    _write(disk, _entry(2, NOOP_KIND))
    assert _last_index(disk) == 2


def test_a_log_that_filled_its_disk_is_compacted_and_the_room_is_kept_again(
    disk: BoundedDisk,
) -> None:
    refused = _fill_by_own_log(disk)
    assert refused * MEBIBYTE > DISK_BYTES - RESERVE_BYTES - 2 * MEBIBYTE
    snapshot = Snapshot(refused - 1, 1, MEMBERS, STATE)
    run(disk.save_snapshot, snapshot, [])
    run(disk.keep_room)
    assert disk.is_room_kept
    assert _reserve_bytes(disk) == RESERVE_BYTES + disk.snapshot_bytes
    _write(disk, _entry(refused, body=STATE))
    assert _last_index(disk) == refused


def test_a_snapshot_is_stored_on_a_disk_that_other_files_have_filled(
    disk: BoundedDisk,
) -> None:
    _write(disk, _entry(1))
    disk.fill()
    run(disk.save_snapshot, Snapshot(1, 1, MEMBERS, STATE), [])
    with pytest.raises(DiskFullError):
        run(disk.keep_room)
    with pytest.raises(DiskFullError):
        disk.write([_entry(2)])
    _write(disk, _entry(2, NOOP_KIND))
    disk.foreign_bytes = 0
    run(disk.keep_room)
    _write(disk, _entry(3))
    assert _reserve_bytes(disk) == RESERVE_BYTES + disk.snapshot_bytes
    assert _last_index(disk) == 3


def test_the_next_snapshot_of_twice_the_size_still_has_room(
    disk: BoundedDisk,
) -> None:
    state = STATE * 6
    run(disk.save_snapshot, Snapshot(1, 1, MEMBERS, state), [])
    run(disk.keep_room)
    disk.fill()
    run(disk.save_snapshot, Snapshot(2, 1, MEMBERS, state + state), [])
    stored = FileStorage(disk.folder, 'vm-1').load()
    assert stored.snapshot is not None
    assert stored.snapshot.last_index == 2


def test_room_that_is_too_small_is_left_to_elections(
    disk: BoundedDisk,
) -> None:
    _write(disk, _entry(1))
    disk.fill()
    _write(disk, _entry(2, NOOP_KIND))
    kept, free = _reserve_bytes(disk), disk.free_bytes
    with pytest.raises(DiskFullError):
        run(disk.keep_room)
    assert (_reserve_bytes(disk), disk.free_bytes) == (kept, free)


def test_a_kill_while_room_is_written_leaves_a_folder_that_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_all = reserve.write_all
    chunks: list[bytes] = []

    def write_half_of_the_third(descriptor: int, content: bytes) -> None:
        chunks.append(content)
        if len(chunks) == 3:
            write_all(descriptor, content[: len(content) // 2])
            raise KilledError
        write_all(descriptor, content)

    storage = FileStorage(tmp_path, 'vm-1')
    storage.load()
    with monkeypatch.context() as patches, pytest.raises(KilledError):
        patches.setattr(reserve, 'write_all', write_half_of_the_third)
        run(storage.keep_room)
    restarted = FileStorage(tmp_path, 'vm-1')
    restarted.load()
    assert not restarted.is_room_kept
    restarted.write([_entry(1)])
    run(restarted.keep_room)
    assert (tmp_path / 'reserve').read_bytes() == bytes(RESERVE_BYTES)


def test_a_kill_with_the_room_given_back_loses_nothing(
    disk: BoundedDisk,
) -> None:
    refused = _fill_by_own_log(disk)
    points = FailPoints()
    points.arm('compact', crash)
    disk.crash()
    storage = FileStorage(disk.folder, 'vm-1', points)
    storage.load()
    with pytest.raises(CrashError):
        run(
            storage.save_snapshot,
            Snapshot(refused - 1, 1, MEMBERS, STATE * 2),
            [],
        )
    assert _reserve_bytes(disk) < RESERVE_BYTES
    stored = disk.load()
    assert stored.snapshot is not None
    assert stored.snapshot.last_index == refused - 1
    assert not disk.is_room_kept
    # The start has removed the entries that the snapshot covers.
    run(disk.keep_room)
    assert disk.is_room_kept
    _write(disk, _entry(refused, body=STATE))
    assert _last_index(disk) == refused


def test_room_given_back_while_it_is_restored_is_not_taken_at_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    kept = Reserve(tmp_path / 'reserve', RESERVE_BYTES)
    kept.restore()
    kept.release(4 * MEBIBYTE)
    append = kept._append

    def append_one(size: int) -> None:
        append(size)
        kept._lock.release()
        kept.release(3 * MEBIBYTE)
        kept._lock.acquire()

    monkeypatch.setattr(kept, '_append', append_one)
    kept.restore()
    assert (tmp_path / 'reserve').stat().st_size == 2 * MEBIBYTE
    assert kept.is_short
    monkeypatch.undo()
    kept.restore()
    assert not kept.is_short


def test_a_disk_that_fails_while_room_is_written_is_no_full_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*arguments: Any) -> None:
        raise OSError(5, 'input/output error')

    storage = FileStorage(tmp_path, 'vm-1')
    storage.load()
    monkeypatch.setattr(reserve, 'write_all', fail)
    with pytest.raises(StorageError) as raised:
        run(storage.keep_room)
    assert not isinstance(raised.value, DiskFullError)


@pytest.mark.parametrize('tells_size', [True, False])
def test_room_that_is_not_there_is_not_tried_for(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, *, tells_size: bool
) -> None:
    class Disk:
        f_bavail = RESERVE_BYTES // 4096 - 1
        f_frsize = 4096
        f_blocks = 10_000 if tells_size else 0

    storage = FileStorage(tmp_path, 'vm-1')
    storage.load()
    with monkeypatch.context() as patches:
        patches.setattr(os, 'statvfs', lambda path: Disk)
        if tells_size:
            patches.setattr(reserve, 'write_all', _refuse_to_be_called)
            with pytest.raises(DiskFullError):
                run(storage.keep_room)
            assert storage.is_room_short
        else:
            run(storage.keep_room)
    run(storage.keep_room)
    assert storage.is_room_kept


def _refuse_to_be_called(*arguments: Any) -> None:
    raise AssertionError('a write to a disk without room')


def test_a_storage_without_kept_room_writes_until_its_disk_is_full(
    tmp_path: Path,
) -> None:
    storage = FileStorage(tmp_path, 'vm-1', reserve_bytes=0)
    storage.load()
    run(storage.save_snapshot, Snapshot(1, 0, MEMBERS, STATE), [])
    assert not storage.keeps_room
    assert storage.is_room_kept
    assert not (tmp_path / 'reserve').exists()


class _ShortRoom:
    """A storage whose disk has no room at first."""

    def __init__(self) -> None:
        self.is_room_kept = False
        self.has_room = False

    async def keep_room(self) -> None:
        if not self.has_room:
            raise DiskFullError('no space left', where='vm-1')
        self.is_room_kept = True


def test_short_room_is_reported_once_and_restored_when_there_is_room() -> None:
    async def main() -> None:
        events: list[tuple[str, dict[str, Any]]] = []
        storage: Any = _ShortRoom()
        log = RecordingLog('vm-1', events)
        problems: list[str] = []
        log.problem = (  # type: ignore[method-assign]
            lambda name, problem, **fields: problems.append(name)
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(RoomKeeper('group', storage, log).run)
            await anyio.sleep(5)
            storage.has_room = True
            await anyio.sleep(2)
            tasks.cancel_scope.cancel()
        assert problems == ['replica.room_short']
        assert [name for name, _ in events] == ['replica.room_kept']
        assert storage.is_room_kept

    run_with_mock_clock(main)
