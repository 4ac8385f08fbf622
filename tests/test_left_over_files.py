"""Files of earlier processes that would fill a disk."""

import time
from pathlib import Path

import pytest

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.state import ReplicaState
from tests.fakes import KeyValueStateMachine
from tests.test_files import load_indexes, make_storage, run


def _load(folder: Path) -> ReplicaState:
    return load_state(
        'group', folder, 'vm-1', KeyValueStateMachine(), Log('vm-1')
    )


def _damage(folder: Path) -> None:
    (folder / 'identity').write_bytes(b'damaged')


def test_files_that_a_killed_process_was_writing_are_removed(
    tmp_path: Path,
) -> None:
    make_storage(tmp_path).close()
    for name in ('vote', 'log', 'snapshot', 'identity'):
        (tmp_path / f'{name}.aside').write_bytes(b'unfinished')
    assert load_indexes(tmp_path) == [1, 2, 3, 4, 5]
    assert not list(tmp_path.glob('*.aside'))


def test_only_the_newest_damaged_folder_is_kept(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / 'group'
    ids = []
    for now in (9, 10, 11):
        monkeypatch.setattr(time, 'time', lambda now=now: now)
        ids.append(_load(folder).replica_id)
        _damage(folder)
    monkeypatch.setattr(time, 'time', lambda: 12)
    ids.append(_load(folder).replica_id)
    assert len(set(ids)) == 4
    assert [path.name for path in tmp_path.glob('group.*')] == [
        'group.damaged-12'
    ]
    assert _load(folder).replica_id == ids[-1]


def test_damaged_folders_of_earlier_releases_are_removed_before_a_start(
    tmp_path: Path,
) -> None:
    for name in ('jobs.damaged-9', 'jobs.damaged-10', 'jobs.damaged-8'):
        make_storage(tmp_path / name).close()
    others = ('jobs-2.damaged-1', 'jobs-2.damaged-2', 'jobs.damaged-copy')
    for name in others:
        make_storage(tmp_path / name).close()
    _load(tmp_path / 'jobs')
    left = {path.name for path in tmp_path.iterdir()}
    assert left == {'jobs', 'jobs.damaged-10', *others}


def test_a_damaged_folder_keeps_its_files_and_no_room(tmp_path: Path) -> None:
    folder = tmp_path / 'group'
    storage = make_storage(folder)
    run(storage.keep_room)
    _damage(folder)
    _load(folder)
    (aside,) = tmp_path.glob('group.damaged-*')
    assert not (aside / 'reserve').exists()
    (aside / 'identity').unlink()
    assert (aside / 'log').stat().st_size == storage.log_bytes
    assert FileStorage(folder, 'vm-1').load().entries == []
