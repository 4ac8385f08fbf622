"""What a loss of power leaves of the log, with a write in progress."""

from collections.abc import Sequence
from pathlib import Path

import anyio
import pytest

from mulberryhitch.errors import DamagedFileError, DiskFullError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication import file_storage
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.messages import LogEntry
from tests.fakes import KeyValueStateMachine
from tests.log_files import former_log, torn_writes
from tests.test_files import refuse_writes

REPLICAS = ('vm-1', 'vm-2', 'vm-3')
SYNCED_INDEX = 6


def _entries(first: int, last: int, term: int = 1) -> list[LogEntry]:
    return [
        LogEntry(index, term, 'put', b'["key", %d]' % index)
        for index in range(first, last + 1)
    ]


async def _write(storage: FileStorage, entries: Sequence[LogEntry]) -> None:
    storage.write(list(entries))
    await storage.sync()


async def _storage_with_writes(folder: Path, vm: str) -> FileStorage:
    """Returns storage with a snapshot and synced writes behind it."""
    storage = FileStorage(folder, vm)
    storage.load()
    await storage.save_vote(1, '')
    snapshot = Snapshot(1, 0, Members(REPLICAS), b'[{}, []]')
    await storage.save_snapshot(snapshot, [])
    await _write(storage, _entries(2, 3))
    await _write(storage, _entries(4, SYNCED_INDEX))
    return storage


def _load(folder: Path, vm: str) -> ReplicaState:
    return load_state('group', folder, vm, KeyValueStateMachine(), Log(vm))


def _indexes(folder: Path) -> list[int]:
    return [entry.index for entry in FileStorage(folder, 'vm-1').load().entries]


def test_a_torn_write_on_all_replicas_loses_nothing_that_was_synced(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        logs = {}
        ids = {}
        for vm in REPLICAS:
            storage = await _storage_with_writes(tmp_path / vm, vm)
            log = tmp_path / vm / 'log'
            start = log.stat().st_size
            old_bytes = log.read_bytes()
            storage.write(_entries(SYNCED_INDEX + 1, 10))
            storage.close()
            logs[vm] = list(torn_writes(log.read_bytes(), start, old_bytes))
            ids[vm] = FileStorage(tmp_path / vm, vm).load().replica_id
        for torn in zip(*logs.values(), strict=True):
            for vm, (damage, content) in zip(REPLICAS, torn, strict=True):
                (tmp_path / vm / 'log').write_bytes(content)
                state = _load(tmp_path / vm, vm)
                assert state.last_index >= SYNCED_INDEX, damage
                assert state.replica_id == ids[vm], damage
                state.write(_entries(state.last_index + 1, 12))
                await state.sync()
                assert _load(tmp_path / vm, vm).last_index == 12, damage

    anyio.run(main)


@pytest.mark.parametrize('behind', ['write', 'truncation', 'torn write'])
def test_damage_that_a_later_write_follows_is_not_taken_for_a_torn_write(
    tmp_path: Path, behind: str
) -> None:
    async def main() -> None:
        storage = await _storage_with_writes(tmp_path, 'vm-1')
        log = tmp_path / 'log'
        synced = log.stat().st_size
        if behind == 'truncation':
            await storage.truncate(SYNCED_INDEX)
        else:
            storage.write(_entries(SYNCED_INDEX + 1, 9))
        content = log.read_bytes()
        if behind == 'torn write':
            content = content[:-1]
        for position in range(synced):
            damaged = bytearray(content)
            damaged[position] ^= 0x40
            log.write_bytes(bytes(damaged))
            with pytest.raises(DamagedFileError):
                FileStorage(tmp_path, 'vm-1').load()

    anyio.run(main)


def test_records_that_were_truncated_do_not_count_as_a_later_write(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        storage = await _storage_with_writes(tmp_path, 'vm-1')
        log = tmp_path / 'log'
        await _write(storage, _entries(7, 9))
        await _write(storage, _entries(10, 12))
        old_bytes = log.read_bytes()
        await storage.save_vote(2, '')
        await storage.truncate(7)
        start = log.stat().st_size
        storage.write(_entries(7, 14, term=2))
        for damage, content in torn_writes(log.read_bytes(), start, old_bytes):
            log.write_bytes(content)
            restarted = FileStorage(tmp_path, 'vm-1')
            entries = restarted.load().entries
            restarted.close()
            assert entries[:5] == _entries(2, SYNCED_INDEX), damage
            assert {entry.term for entry in entries[5:]} <= {2}, damage

    anyio.run(main)


async def _folder_of_former_format(folder: Path) -> bytes:
    storage = await _storage_with_writes(folder, 'vm-1')
    storage.close()
    content = former_log(_entries(2, SYNCED_INDEX))
    (folder / 'log').write_bytes(content)
    return content


def test_a_log_of_the_former_format_is_read_and_continued(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        await _folder_of_former_format(tmp_path)
        storage = FileStorage(tmp_path, 'vm-1')
        assert storage.load().entries == _entries(2, SYNCED_INDEX)
        await _write(storage, _entries(7, 8))
        assert _indexes(tmp_path) == [2, 3, 4, 5, 6, 7, 8]

    anyio.run(main)


def test_damage_to_a_log_of_the_former_format_is_detected(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        content = await _folder_of_former_format(tmp_path)
        for position in range(len(content)):
            damaged = bytearray(content)
            damaged[position] ^= 0x40
            (tmp_path / 'log').write_bytes(bytes(damaged))
            with pytest.raises(DamagedFileError):
                FileStorage(tmp_path, 'vm-1').load()
        (tmp_path / 'log').write_bytes(content[:-1])
        assert _indexes(tmp_path) == [2, 3, 4, 5]

    anyio.run(main)


def test_a_log_of_the_former_format_is_read_from_a_full_disk(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        await _folder_of_former_format(tmp_path)
        monkeypatch.setattr(file_storage, 'write_all', refuse_writes)
        storage = FileStorage(tmp_path, 'vm-1')
        assert storage.load().entries == _entries(2, SYNCED_INDEX)
        with pytest.raises(DiskFullError):
            storage.write(_entries(7, 7))
        with pytest.raises(DiskFullError):
            await storage.truncate(6)
        monkeypatch.undo()
        await storage.truncate(6)
        await _write(storage, _entries(6, 7))
        assert _indexes(tmp_path) == [2, 3, 4, 5, 6, 7]

    anyio.run(main)
