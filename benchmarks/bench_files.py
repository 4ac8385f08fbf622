"""Commit latency of file storage: ``python -m benchmarks.bench_files``.

Compares the checksummed log with SQLite, alternating commits of one entry and
then of fifty; then prints what each reports after a byte of its synced entries
was flipped.
"""

import shutil
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from benchmarks.helpers import quantile
from mulberryhitch.errors import DamagedFileError
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.rpc.messages import LogEntry

COMMIT_COUNT = 300
BODY = b'x' * 200


def open_sqlite(path: Path, journal_mode: str) -> sqlite3.Connection:
    """Opens a database as a replica would use it, without shared memory."""
    connection = sqlite3.connect(path, isolation_level=None)
    connection.execute('PRAGMA locking_mode=EXCLUSIVE')
    connection.execute(f'PRAGMA journal_mode={journal_mode}')
    connection.execute('PRAGMA synchronous=FULL')
    connection.execute('PRAGMA wal_autocheckpoint=0')
    connection.execute('CREATE TABLE log (idx INTEGER PRIMARY KEY, body BLOB)')
    return connection


def make_sqlite_commit(connection: sqlite3.Connection) -> Callable[[int], None]:
    """Returns a function that commits a number of rows."""
    index = 0

    def commit(count: int) -> None:
        nonlocal index
        connection.execute('BEGIN')
        rows = [(index + offset, BODY) for offset in range(count)]
        connection.executemany('INSERT INTO log VALUES (?, ?)', rows)
        connection.execute('COMMIT')
        index += count

    return commit


def make_log_commit(storage: FileStorage) -> Callable[[int], None]:
    """Returns a function that commits a number of entries."""
    index = 0

    def commit(count: int) -> None:
        nonlocal index
        storage.write(
            [
                LogEntry(index + offset + 1, 1, 'put', BODY)
                for offset in range(count)
            ]
        )
        storage._sync()  # noqa: SLF001
        index += count

    return commit


def flip_byte(path: Path) -> None:
    """Flips a byte in the middle of a file."""
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 0x40
    path.write_bytes(bytes(content))


def print_corruption_results(folder: Path) -> None:
    """Prints what each storage reports after a flipped byte."""
    connection = open_sqlite(folder / 'flip.db', 'WAL')
    commit_rows = make_sqlite_commit(connection)
    for _ in range(100):
        commit_rows(1)
    shutil.copy(folder / 'flip.db', folder / 'copy.db')
    shutil.copy(folder / 'flip.db-wal', folder / 'copy.db-wal')
    flip_byte(folder / 'copy.db-wal')
    copy = sqlite3.connect(folder / 'copy.db')
    copy.execute('PRAGMA locking_mode=EXCLUSIVE')
    try:
        row_count = copy.execute('SELECT count(*) FROM log').fetchone()[0]
        integrity = copy.execute('PRAGMA integrity_check').fetchone()[0]
    except sqlite3.Error as error:
        row_count, integrity = 0, repr(error)
    print(
        f'sqlite WAL: {row_count} of 100 synced rows left, '
        f'its check says {integrity}'
    )
    storage = FileStorage(folder / 'flip', 'vm')
    storage.load()
    anyio.run(storage.save_vote, 1, '')
    commit_entries = make_log_commit(storage)
    for _ in range(100):
        commit_entries(1)
    flip_byte(folder / 'flip' / 'log')
    try:
        entry_count = len(FileStorage(folder / 'flip', 'vm').load().entries)
        print(f'records: {entry_count} of 100 left')
    except DamagedFileError as error:
        print(f'records: {error.code}, {error.what}')


def main() -> int:
    """Runs the benchmark."""
    with tempfile.TemporaryDirectory(dir='.') as folder_name:
        folder = Path(folder_name)
        storage = FileStorage(folder / 'log', 'vm')
        storage.load()
        commits = {
            'records': make_log_commit(storage),
            'sqlite WAL': make_sqlite_commit(
                open_sqlite(folder / 'wal.db', 'WAL')
            ),
            'sqlite rollback': make_sqlite_commit(
                open_sqlite(folder / 'roll.db', 'TRUNCATE')
            ),
        }
        for count in (1, 50):
            durations_by_name: dict[str, list[float]] = {
                name: [] for name in commits
            }
            for _ in range(COMMIT_COUNT):
                for name, commit in commits.items():
                    started_at = time.perf_counter()
                    commit(count)
                    durations_by_name[name].append(
                        time.perf_counter() - started_at
                    )
            base = quantile(durations_by_name['records'], 0.5)
            for name, durations in durations_by_name.items():
                median = quantile(durations, 0.5)
                print(
                    f'{name:16} {count:3} a commit: median '
                    f'{median * 1000:.3f} ms ({median / base:.2f} times)'
                )
        print_corruption_results(folder)
    return 0


if __name__ == '__main__':
    sys.exit(main())
