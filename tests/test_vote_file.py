"""A vote that is stored in place: damage, torn saves, takeover, full disks."""

import os
from pathlib import Path
from typing import Any

import pytest

from mulberryhitch.errors import DamagedFileError, DiskFullError, StorageError
from mulberryhitch.replication import durable_files, vote_file
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.inspection import read_folder
from mulberryhitch.replication.vote_file import (
    BLOCK_BYTES,
    SLOT_OFFSETS,
    VoteFile,
)
from mulberryhitch.rpc.messages import VoteRecord
from tests.test_files import disk_full, make_storage, refuse_writes, run
from tests.unsynced_folder import KilledError, UnsyncedFolder
from tests.vote_files import flipped, slots_of, torn_saves, write_former_vote

FORMER = VoteRecord(6, 'vm-1#x', 1.5)
VOTE = VoteRecord(7, 'vm-2#y', 2.5)


@pytest.mark.parametrize('slot', SLOT_OFFSETS)
def test_a_damaged_slot_is_repaired_from_the_other_to_the_same_vote(
    tmp_path: Path, slot: int
) -> None:
    path = tmp_path / 'vote'
    intact = slots_of(path, VOTE)
    for position in range(slot, slot + BLOCK_BYTES):
        path.write_bytes(flipped(intact, position))
        assert VoteFile(path).load() == VOTE, position
        assert path.read_bytes() == intact, position


def test_damage_to_both_slots_is_detected(tmp_path: Path) -> None:
    make_storage(tmp_path).close()
    path = tmp_path / 'vote'
    intact = path.read_bytes()
    first, second = SLOT_OFFSETS
    for position in range(BLOCK_BYTES):
        other = second + (position * 7) % BLOCK_BYTES
        path.write_bytes(flipped(intact, first + position, other))
        with pytest.raises(DamagedFileError):
            FileStorage(tmp_path, 'vm-1').load()
    path.write_bytes(intact)
    assert FileStorage(tmp_path, 'vm-1').load().voted_for == 'vm-1#x'


@pytest.mark.parametrize('size', [0, 3, BLOCK_BYTES - 1])
def test_a_vote_file_that_is_cut_short_is_detected(
    tmp_path: Path, size: int
) -> None:
    path = tmp_path / 'vote'
    path.write_bytes(slots_of(path, VOTE)[:size])
    with pytest.raises(DamagedFileError):
        VoteFile(path).load()


def test_a_flipped_bit_in_a_vote_of_the_former_format_is_detected(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'vote'
    write_former_vote(path, VOTE)
    intact = path.read_bytes()
    for position in range(len(intact)):
        path.write_bytes(flipped(intact, position))
        with pytest.raises(DamagedFileError):
            VoteFile(path).load()


def test_a_torn_save_leaves_the_former_vote_or_the_new_one(
    tmp_path: Path,
) -> None:
    path = tmp_path / 'vote'
    before = slots_of(path, FORMER)
    after = slots_of(path, VOTE)
    for content, has_new_vote in torn_saves(before, after):
        path.write_bytes(content)
        loaded = VoteFile(path).load()
        assert loaded == (VOTE if has_new_vote else FORMER)
        assert path.read_bytes() == (after if has_new_vote else before)


def test_a_save_syncs_each_slot_before_it_goes_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / 'vote'
    after = slots_of(path, VOTE)
    before = slots_of(path, FORMER)
    synced: list[bytes] = []
    monkeypatch.setattr(
        os, 'fsync', lambda descriptor: synced.append(path.read_bytes())
    )
    stored = VoteFile(path)
    stored.load()
    synced.clear()
    stored.save(VOTE)
    second = SLOT_OFFSETS[1]
    assert synced == [after[:second] + before[second:], after]


def test_a_vote_is_saved_without_a_new_name_or_block(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = make_storage(tmp_path)
    path = tmp_path / 'vote'
    before = path.stat()
    for name in ('rename', 'unlink'):
        monkeypatch.setattr(Path, name, refuse_writes)
    run(storage.save_vote, VOTE.term, VOTE.voted_for)
    after = path.stat()
    for name in ('st_ino', 'st_size', 'st_blocks'):
        assert getattr(after, name) == getattr(before, name)
    assert FileStorage(tmp_path, 'vm-1').load().voted_for == VOTE.voted_for


def test_a_vote_that_does_not_fit_a_slot_is_refused(tmp_path: Path) -> None:
    storage = make_storage(tmp_path)
    with pytest.raises(StorageError):
        run(storage.save_vote, 8, 'x' * BLOCK_BYTES)
    state = FileStorage(tmp_path, 'vm-1').load()
    assert (state.term, state.voted_for) == (1, 'vm-1#x')


class _Killing:
    """Kills the process at the n-th step that changes a disk."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, step: int) -> None:
        self.steps_left = step
        for owner, name in (
            (durable_files, 'write_all'),
            (os, 'fsync'),
            (Path, 'rename'),
        ):
            monkeypatch.setattr(
                owner, name, self._counting(getattr(owner, name))
            )

    def _counting(self, function: Any) -> Any:
        def counted(*args: Any) -> Any:
            self.steps_left -= 1
            if not self.steps_left:
                raise KilledError
            return function(*args)

        return counted


@pytest.mark.parametrize('loses_power', [False, True])
@pytest.mark.parametrize('step', [1, 2, 3, 4])
def test_a_kill_at_any_step_of_a_takeover_keeps_the_stored_vote(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    step: int,
    *,
    loses_power: bool,
) -> None:
    folder = tmp_path / 'jobs'
    unsynced = UnsyncedFolder(folder, tmp_path / 'synced', monkeypatch)
    make_storage(folder).close()
    write_former_vote(folder / 'vote', VOTE)
    storage = VoteFile(folder / 'vote')
    loaded = storage.load()
    if step == 4:
        unsynced.kill_before_sync(1)
    with monkeypatch.context() as patches, pytest.raises(KilledError):
        _Killing(patches, step)
        storage.take_over(loaded)
    if loses_power:
        unsynced.lose_power()
    state = FileStorage(folder, 'vm-1').load()
    assert (state.term, state.voted_for) == (VOTE.term, VOTE.voted_for)
    assert state.promised_seconds == VOTE.promised_seconds
    assert len((folder / 'vote').read_bytes()) > BLOCK_BYTES


def test_a_full_disk_keeps_the_former_vote_until_it_has_room(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    make_storage(tmp_path).close()
    path = tmp_path / 'vote'
    write_former_vote(path, FORMER)
    with monkeypatch.context() as patches:
        patches.setattr(vote_file, 'replace_file', refuse_writes)
        storage = FileStorage(tmp_path, 'vm-1')
        assert storage.load().term == FORMER.term
        run(storage.save_vote, 7, 'vm-3#z')
        assert len(path.read_bytes()) < BLOCK_BYTES
        assert read_folder(tmp_path).voted_for == 'vm-3#z'
        patches.setattr(vote_file, 'write_atomically', refuse_writes)
        with pytest.raises(DiskFullError):
            run(storage.save_vote, 8, 'vm-3#z')
    assert FileStorage(tmp_path, 'vm-1').load().term == 7
    run(storage.save_vote, 8, 'vm-3#z')
    assert len(path.read_bytes()) > BLOCK_BYTES
    assert read_folder(tmp_path).term == 8


def test_a_full_disk_is_a_typed_error_of_a_save(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = make_storage(tmp_path)
    monkeypatch.setattr(os, 'fsync', lambda descriptor: disk_full())
    with pytest.raises(DiskFullError):
        run(storage.save_vote, 8, 'vm-3#z')
