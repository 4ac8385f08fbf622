"""Renames that a kill leaves unsynced, and a loss of power afterwards."""

from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.replication import vote_file
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import LogEntry, VoteRecord
from tests.test_files import refuse_writes
from tests.unsynced_folder import KilledError, UnsyncedFolder
from tests.vote_files import write_former_vote

SNAPSHOT = Snapshot(2, 1, Members(('vm-1#x',)), b'state')


def _entry(index: int, term: int) -> LogEntry:
    return LogEntry(index, term, 'put', b'value')


def _run(function: Callable[..., Awaitable[Any]], *args: Any) -> None:
    anyio.run(lambda: function(*args))


def _storage_with_entries(folder: Path) -> FileStorage:
    storage = FileStorage(folder, 'vm-1')
    storage.load()
    _run(storage.save_vote, 1, '')
    storage.write([_entry(index, 1) for index in range(1, 6)])
    _run(storage.sync)
    return storage


def test_entries_written_after_a_kill_do_not_go_with_a_log_that_returns(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / 'jobs'
    unsynced = UnsyncedFolder(folder, tmp_path / 'synced', monkeypatch)
    storage = _storage_with_entries(folder)
    retained = [_entry(index, 1) for index in range(3, 6)]
    unsynced.kill_before_sync(2)
    with pytest.raises(KilledError):
        _run(storage.save_snapshot, SNAPSHOT, retained)
    restarted = FileStorage(folder, 'vm-1')
    restarted.load()
    restarted.write([_entry(6, 1)])
    _run(restarted.sync)
    unsynced.lose_power()
    entries = FileStorage(folder, 'vm-1').load().entries
    assert [entry.index for entry in entries] == [3, 4, 5, 6]


def test_a_vote_read_after_a_kill_is_not_older_than_the_log_after_a_power_loss(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / 'jobs'
    unsynced = UnsyncedFolder(folder, tmp_path / 'synced', monkeypatch)
    # A disk without room for slots: the vote is saved by a rename.
    monkeypatch.setattr(vote_file, 'replace_file', refuse_writes)
    storage = _storage_with_entries(folder)
    unsynced.kill_before_sync(1)
    with pytest.raises(KilledError):
        _run(storage.save_vote, 2, 'vm-2#x')
    restarted = FileStorage(folder, 'vm-1')
    assert restarted.load().term == 2
    restarted.write([_entry(6, 2)])
    _run(restarted.sync)
    unsynced.lose_power()
    stored = FileStorage(folder, 'vm-1').load()
    assert (stored.term, stored.voted_for) == (2, 'vm-2#x')


def test_a_vote_saved_after_a_killed_takeover_does_not_go_with_a_power_loss(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / 'jobs'
    unsynced = UnsyncedFolder(folder, tmp_path / 'synced', monkeypatch)
    _storage_with_entries(folder).close()
    write_former_vote(folder / 'vote', VoteRecord(1, ''))
    # The constructor syncs the folder first, then the takeover does.
    unsynced.kill_before_sync(2)
    with pytest.raises(KilledError):
        FileStorage(folder, 'vm-1').load()
    restarted = FileStorage(folder, 'vm-1')
    assert restarted.load().term == 1
    _run(restarted.save_vote, 2, 'vm-2#x')
    restarted.write([_entry(6, 2)])
    _run(restarted.sync)
    unsynced.lose_power()
    stored = FileStorage(folder, 'vm-1').load()
    assert (stored.term, stored.voted_for) == (2, 'vm-2#x')
