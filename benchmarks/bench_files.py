"""Committing to files: ``python -m benchmarks.bench_files``.

Our checksummed log against SQLite, one and fifty entries a commit, in turn;
then what each says of a flipped byte among synced entries.
"""

import shutil
import sqlite3
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import anyio

from benchmarks.program import quantile
from mulberryhitch.errors import DamagedFileError
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.rpc.messages import LogEntry

COMMITS = 300
BODY = b'x' * 200


def open_sqlite(path: Path, journal: str) -> sqlite3.Connection:
    """A database as a replica would use it, without shared memory."""
    connection = sqlite3.connect(path, isolation_level=None)
    connection.execute('PRAGMA locking_mode=EXCLUSIVE')
    connection.execute(f'PRAGMA journal_mode={journal}')
    connection.execute('PRAGMA synchronous=FULL')
    connection.execute('PRAGMA wal_autocheckpoint=0')
    connection.execute('CREATE TABLE log (idx INTEGER PRIMARY KEY, body BLOB)')
    return connection


def sqlite_commit(connection: sqlite3.Connection) -> Callable[[int], None]:
    """Commits so many rows."""
    index = 0

    def commit(count: int) -> None:
        nonlocal index
        connection.execute('BEGIN')
        rows = [(index + place, BODY) for place in range(count)]
        connection.executemany('INSERT INTO log VALUES (?, ?)', rows)
        connection.execute('COMMIT')
        index += count

    return commit


def log_commit(storage: FileStorage) -> Callable[[int], None]:
    """Commits so many entries."""
    index = 0

    def commit(count: int) -> None:
        nonlocal index
        storage.write(
            [
                LogEntry(index + place + 1, 1, 'put', BODY)
                for place in range(count)
            ]
        )
        storage._sync()  # noqa: SLF001
        index += count

    return commit


def flipped(path: Path) -> None:
    """Flips a byte in the middle of a file."""
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 0x40
    path.write_bytes(bytes(content))


def flips(folder: Path) -> None:
    """Prints what is found after a flip."""
    connection = open_sqlite(folder / 'flip.db', 'WAL')
    commit = sqlite_commit(connection)
    for _ in range(100):
        commit(1)
    shutil.copy(folder / 'flip.db', folder / 'copy.db')
    shutil.copy(folder / 'flip.db-wal', folder / 'copy.db-wal')
    flipped(folder / 'copy.db-wal')
    copy = sqlite3.connect(folder / 'copy.db')
    copy.execute('PRAGMA locking_mode=EXCLUSIVE')
    try:
        found = copy.execute('SELECT count(*) FROM log').fetchone()[0]
        check = copy.execute('PRAGMA integrity_check').fetchone()[0]
    except sqlite3.Error as error:
        found, check = 0, repr(error)
    print(
        f'sqlite WAL: {found} of 100 synced rows left, its check says {check}'
    )
    storage = FileStorage(folder / 'flip', 'vm')
    storage.load()
    anyio.run(storage.save_vote, 1, '')
    log = log_commit(storage)
    for _ in range(100):
        log(1)
    flipped(folder / 'flip' / 'log')
    try:
        left = len(FileStorage(folder / 'flip', 'vm').load().entries)
        print(f'records: {left} of 100 left')
    except DamagedFileError as error:
        print(f'records: {error.code}, {error.what}')


def main() -> int:
    """Runs all of it."""
    with tempfile.TemporaryDirectory(dir='.') as name:
        folder = Path(name)
        storage = FileStorage(folder / 'log', 'vm')
        storage.load()
        ways = {
            'records': log_commit(storage),
            'sqlite WAL': sqlite_commit(open_sqlite(folder / 'wal.db', 'WAL')),
            'sqlite rollback': sqlite_commit(
                open_sqlite(folder / 'roll.db', 'TRUNCATE')
            ),
        }
        for count in (1, 50):
            times: dict[str, list[float]] = {way: [] for way in ways}
            for _ in range(COMMITS):
                for way, commit in ways.items():
                    began = time.perf_counter()
                    commit(count)
                    times[way].append(time.perf_counter() - began)
            base = quantile(times['records'], 0.5)
            for way, taken in times.items():
                median = quantile(taken, 0.5)
                print(
                    f'{way:16} {count:3} a commit: median '
                    f'{median * 1000:.3f} ms ({median / base:.2f} times)'
                )
        flips(folder)
    return 0


if __name__ == '__main__':
    sys.exit(main())
