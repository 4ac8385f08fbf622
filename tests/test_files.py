"""Storage of a replica under file faults.

The faults are torn and corrupt files, a full disk, failed syncs, and a process
killed between the steps of a write.
"""

import errno
import os
from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.errors import (
    DamagedFileError,
    DiskFullError,
    StorageError,
)
from mulberryhitch.replication import file_storage
from mulberryhitch.replication.failpoints import FailPoints
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import LogEntry


class CrashError(Exception):
    """Simulates a process kill at a fail point."""


def crash() -> None:
    raise CrashError


def disk_full() -> None:
    raise OSError(errno.ENOSPC, 'no space left on device')


def refuse_writes(*arguments: Any) -> None:
    disk_full()


def open_files() -> set[str]:
    return {
        os.readlink(link)
        for link in Path('/proc/self/fd').iterdir()
        if link.is_symlink()
    }


def entries(first: int, last: int) -> list[LogEntry]:
    return [
        LogEntry(index, 1, 'put', f'value {index}'.encode())
        for index in range(first, last + 1)
    ]


def run(call: Any, *args: Any) -> Any:
    return anyio.run(call, *args)


def make_storage(
    folder: Path, points: FailPoints | None = None, last: int = 5
) -> FileStorage:
    """Returns storage with a saved vote and synced entries."""
    storage = FileStorage(folder, 'vm-1', points)
    storage.load()
    run(storage.save_vote, 1, 'vm-1#x')
    storage.write(entries(1, last))
    run(storage.sync)
    return storage


def load_indexes(folder: Path) -> list[int]:
    state = FileStorage(folder, 'vm-1').load()
    return [entry.index for entry in state.entries]


def test_synced_data_is_loaded_after_a_restart(tmp_path: Path) -> None:
    first = make_storage(tmp_path).load()
    again = FileStorage(tmp_path, 'vm-1').load()
    assert again.entries == entries(1, 5)
    assert (again.term, again.voted_for) == (1, 'vm-1#x')
    assert again.replica_id == first.replica_id


def test_a_torn_tail_is_truncated(tmp_path: Path) -> None:
    make_storage(tmp_path)
    log = tmp_path / 'log'
    intact = log.read_bytes()
    for missing in (1, 3, 20):
        log.write_bytes(intact[:-missing])
        assert load_indexes(tmp_path) == [1, 2, 3, 4]
        log.write_bytes(intact)


@pytest.mark.parametrize('name', ['log', 'identity', 'snapshot'])
def test_a_corrupt_byte_anywhere_is_detected(tmp_path: Path, name: str) -> None:
    storage = make_storage(tmp_path)
    snapshot = Snapshot(2, 1, Members(('vm-1#x',)), b'state')
    run(storage.save_snapshot, snapshot, entries(3, 5))
    path = tmp_path / name
    intact = path.read_bytes()
    for position in range(len(intact)):
        corrupt = bytearray(intact)
        corrupt[position] ^= 0x40
        path.write_bytes(bytes(corrupt))
        with pytest.raises(DamagedFileError):
            FileStorage(tmp_path, 'vm-1').load()
    path.write_bytes(intact)
    assert load_indexes(tmp_path) == [3, 4, 5]


def test_a_full_disk_leaves_the_log_as_it_was(tmp_path: Path) -> None:
    points = FailPoints()
    storage = make_storage(tmp_path, points)
    points.arm('write', disk_full)
    with pytest.raises(StorageError):
        storage.write(entries(6, 9))
    points.disarm('write')
    storage.write(entries(6, 6))
    run(storage.sync)
    assert load_indexes(tmp_path) == [1, 2, 3, 4, 5, 6]


def test_a_failed_sync_raises_an_error(tmp_path: Path) -> None:
    points = FailPoints()
    storage = make_storage(tmp_path, points)
    storage.write(entries(6, 6))
    points.arm('sync', disk_full)
    with pytest.raises(StorageError):
        run(storage.sync)


@pytest.mark.parametrize('point', ['vote', 'snapshot', 'compact', 'sync'])
def test_a_kill_at_any_step_leaves_a_log_that_loads(
    tmp_path: Path, point: str
) -> None:
    points = FailPoints()
    storage = make_storage(tmp_path, points)
    points.arm(point, crash)
    snapshot = Snapshot(2, 1, Members(('vm-1#x',)), b'state')
    with pytest.raises(CrashError):
        run(storage.save_vote, 2, '')
        run(storage.save_snapshot, snapshot, entries(3, 5))
        storage.write(entries(6, 6))
        run(storage.sync)
    state = FileStorage(tmp_path, 'vm-1').load()
    last = state.snapshot.last_index if state.snapshot else 0
    indexes = [entry.index for entry in state.entries]
    assert indexes[:1] == [last + 1]
    assert set(range(last + 1, 6)) <= set(indexes)


def test_a_missing_identity_is_damage_not_a_new_replica(
    tmp_path: Path,
) -> None:
    make_storage(tmp_path)
    (tmp_path / 'identity').unlink()
    with pytest.raises(DamagedFileError):
        FileStorage(tmp_path, 'vm-1').load()


def test_truncation_is_durable(tmp_path: Path) -> None:
    storage = make_storage(tmp_path)
    run(storage.truncate, 4)
    storage.write([LogEntry(4, 2, 'put', b'other')])
    run(storage.save_vote, 2, '')
    run(storage.sync)
    assert load_indexes(tmp_path) == [1, 2, 3, 4]


def test_a_log_that_could_not_be_rewritten_leaves_no_file_behind(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    points = FailPoints()
    storage = make_storage(tmp_path, points)
    points.arm(
        'compact', lambda: monkeypatch.setattr(os, 'write', refuse_writes)
    )
    snapshot = Snapshot(2, 1, Members(('vm-1#x',)), b'state')
    with pytest.raises(DiskFullError):
        run(storage.save_snapshot, snapshot, entries(3, 5))
    monkeypatch.undo()
    aside = tmp_path / 'log.aside'
    assert not aside.exists()
    assert not [name for name in open_files() if name.startswith(str(aside))]
    storage.write(entries(6, 6))
    run(storage.sync)
    assert load_indexes(tmp_path) == [3, 4, 5, 6]


def test_a_renamed_log_whose_folder_is_not_synced_stops_the_replica(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    points = FailPoints()
    storage = make_storage(tmp_path, points)
    points.arm(
        'compact',
        lambda: monkeypatch.setattr(file_storage, 'sync_folder', refuse_writes),
    )
    snapshot = Snapshot(2, 1, Members(('vm-1#x',)), b'state')
    with pytest.raises(StorageError) as raised:
        run(storage.save_snapshot, snapshot, entries(3, 5))
    monkeypatch.undo()
    storage.write(entries(6, 6))
    run(storage.sync)
    assert load_indexes(tmp_path) == [3, 4, 5, 6]
    assert not isinstance(raised.value, DiskFullError)


@pytest.mark.parametrize(('last_index', 'last_term'), [(9, 1), (4, 2), (5, 2)])
def test_a_log_that_a_stored_snapshot_does_not_match_is_dropped(
    tmp_path: Path, last_index: int, last_term: int
) -> None:
    """The leader's snapshot was stored, and the log was not rewritten."""
    points = FailPoints()
    storage = make_storage(tmp_path, points)
    run(storage.save_vote, 2, 'vm-1#x')
    points.arm('compact', crash)
    snapshot = Snapshot(last_index, last_term, Members(('vm-1#x',)), b'state')
    with pytest.raises(CrashError):
        run(storage.save_snapshot, snapshot, [])
    restarted = FileStorage(tmp_path, 'vm-1')
    assert restarted.load().entries == []
    following = LogEntry(last_index + 1, 2, 'put', b'value')
    restarted.write([following])
    run(restarted.sync)
    assert FileStorage(tmp_path, 'vm-1').load().entries == [following]
