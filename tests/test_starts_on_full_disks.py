"""Starts of a replica on a disk that is full."""

import errno
import os
import time
from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.errors import DiskFullError, StorageError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication import (
    durable_files,
    file_storage,
    reserve,
    vote_file,
)
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import LogEntry
from tests.fakes import KeyValueStateMachine
from tests.test_files import make_storage, open_files, refuse_writes

WAITS = 3


class FullDisk:
    """Refuses writes and new names until the loading has waited a few times."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.waits = 0
        self._monkeypatch = monkeypatch
        for module in (durable_files, file_storage, reserve, vote_file):
            monkeypatch.setattr(module, 'write_all', refuse_writes)
        for name in ('truncate', 'ftruncate', 'rename', 'mkdir'):
            monkeypatch.setattr(os, name, refuse_writes)
        monkeypatch.setattr(Path, 'rename', refuse_writes)
        monkeypatch.setattr(time, 'sleep', self._wait)

    def _wait(self, seconds: float) -> None:
        self.waits += 1
        if self.waits == WAITS:
            self._monkeypatch.undo()


def _load(folder: Path) -> ReplicaState:
    return load_state(
        'group', folder, 'vm-1', KeyValueStateMachine(), Log('vm-1')
    )


def _fail_to_write(*arguments: Any) -> None:
    raise OSError(errno.EIO, 'input/output error')


def test_a_new_replica_waits_until_its_full_disk_has_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk = FullDisk(monkeypatch)
    state = _load(tmp_path / 'group')
    assert disk.waits == WAITS
    assert state.replica_id.startswith('vm-1#')
    assert _load(tmp_path / 'group').replica_id == state.replica_id


def test_waiting_for_room_leaves_no_file_open(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / 'group'
    folder.mkdir()
    log = str(folder / 'log')
    FullDisk(monkeypatch)
    state = _load(folder)
    assert open_files() >= {log}
    state.storage.close()  # type: ignore[attr-defined]
    assert log not in open_files()


def test_a_stored_log_is_loaded_and_served_from_a_full_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    make_storage(tmp_path)
    disk = FullDisk(monkeypatch)
    state = _load(tmp_path)
    assert state.last_index == 5
    assert not disk.waits
    with pytest.raises(DiskFullError):
        state.write([LogEntry(6, 1, 'put', b'["key", 1]')])
    monkeypatch.undo()
    state.write([LogEntry(6, 1, 'put', b'["key", 1]')])
    anyio.run(state.sync)
    assert _load(tmp_path).last_index == 6


def test_a_torn_tail_is_cut_off_once_a_full_disk_allows_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    make_storage(tmp_path)
    log = tmp_path / 'log'
    log.write_bytes(log.read_bytes()[:-3])
    disk = FullDisk(monkeypatch)
    assert _load(tmp_path).last_index == 4
    assert disk.waits == WAITS


def test_a_damaged_folder_is_set_aside_once_a_full_disk_allows_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / 'group'
    former_id = make_storage(folder).load().replica_id
    (folder / 'vote').write_bytes(b'damaged')
    disk = FullDisk(monkeypatch)
    state = _load(folder)
    assert disk.waits == WAITS
    assert state.replica_id != former_id
    assert list(tmp_path.glob('group.damaged-*'))


def test_a_start_on_a_broken_disk_ends_with_a_typed_error(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(durable_files, 'write_all', _fail_to_write)
    with pytest.raises(StorageError) as raised:
        _load(tmp_path)
    assert not isinstance(raised.value, DiskFullError)
