"""Starts a local cell, calls it over HTTP and reads process statistics."""

import os
import signal
import subprocess
import sys
import tempfile
import time
from contextlib import contextmanager
from pathlib import Path

import anyio
import httpcore
import orjson

from tests.local_cell import find_free_ports

BIN = Path(sys.executable).parent


@contextmanager
def local_cell(workers: int = 2, servers: int = 3):
    """Runs a cell in one process; yields its first port and the process."""
    port = find_free_ports(12 + workers + servers)
    with tempfile.TemporaryDirectory() as folder:
        process = subprocess.Popen(
            [
                BIN / 'mulberryhitch-local',
                '--port',
                str(port),
                '--workers',
                str(workers),
                '--servers',
                str(servers),
                '--data',
                folder,
            ],
            stdout=subprocess.DEVNULL,
        )
        try:
            time.sleep(9)
            yield port, process
        finally:
            process.send_signal(signal.SIGTERM)
            process.wait(30)


def cpu_seconds(pid: int) -> float:
    """Returns the processor time that a process has used."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mebibytes(pid: int) -> float:
    """Returns the resident memory of a process; zero if it is not listed."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


class Client:
    """HTTP client of one port on 127.0.0.1, with one token."""

    def __init__(self, port: int, token: str, connections: int = 512) -> None:
        self._base = f'http://127.0.0.1:{port}'
        self._headers = [('Authorization', f'Bearer {token}')]
        self._pool = httpcore.AsyncConnectionPool(max_connections=connections)

    async def call(
        self,
        method: str,
        path: str,
        content: object = None,
        headers: list[tuple[str, str]] | None = None,
    ) -> tuple[int, str, bytes, float]:
        """Returns the status, outcome, body and duration in seconds."""
        started_at = anyio.current_time()
        response = await self._pool.request(
            method,
            self._base + path,
            headers=self._headers + (headers or []),
            content=orjson.dumps(content) if content is not None else b'',
        )
        response_headers = dict(response.headers)
        return (
            response.status,
            response_headers.get(b'mulberryhitch-outcome', b'').decode(),
            response.content,
            anyio.current_time() - started_at,
        )


def quantile(values: list[float], fraction: float) -> float:
    """Returns a quantile of the values; zero if there are none."""
    ordered = sorted(values) or [0.0]
    return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]
