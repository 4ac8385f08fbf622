"""Memory that a start takes beside the entries of a large log."""

import tracemalloc
from pathlib import Path

from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.rpc.messages import LogEntry
from tests.log_files import former_log
from tests.test_files import make_storage, run

ENTRY_BYTES = 1_048_576
ENTRIES = 32
# A few copies of one entry, and of one chunk.
ALLOWED_BYTES = 6 * ENTRY_BYTES


def _large_entry(index: int) -> LogEntry:
    return LogEntry(index, 1, 'put', bytes([index]) * ENTRY_BYTES)


def _peak_of_a_start(folder: Path) -> int:
    tracemalloc.start()
    storage = FileStorage(folder, 'vm-1')
    state = storage.load()
    storage.write([LogEntry(ENTRIES + 1, 1, 'put', b'value')])
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(state.entries) == ENTRIES
    assert state.entries[-1] == _large_entry(ENTRIES)
    return peak


def test_a_large_log_is_loaded_without_a_second_copy_of_it(
    tmp_path: Path,
) -> None:
    storage = make_storage(tmp_path, last=0)
    for index in range(1, ENTRIES + 1):
        storage.write([_large_entry(index)])
    run(storage.sync)
    storage.close()
    peak = _peak_of_a_start(tmp_path)
    assert peak < ENTRIES * ENTRY_BYTES + ALLOWED_BYTES


def test_a_large_log_of_the_former_format_is_rewritten_without_a_second_copy(
    tmp_path: Path,
) -> None:
    make_storage(tmp_path, last=0).close()
    entries = [_large_entry(index) for index in range(1, ENTRIES + 1)]
    (tmp_path / 'log').write_bytes(former_log(entries))
    entries.clear()
    peak = _peak_of_a_start(tmp_path)
    assert peak < ENTRIES * ENTRY_BYTES + ALLOWED_BYTES
    assert FileStorage(tmp_path, 'vm-1').load().entries
