"""Starts our programs for a measurement, and calls them."""

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

from tests.local_cell import free_ports

BIN = Path(sys.executable).parent


@contextmanager
def local_cell(workers: int = 2, servers: int = 3):
    """A whole cell in one process; gives its first port and its process."""
    port = free_ports(12 + workers + servers)
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
    """The processor time of a process so far."""
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf('SC_CLK_TCK')


def resident_mebibytes(pid: int) -> float:
    """The resident memory of a process."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS'):
            return int(line.split()[1]) / 1024
    return 0.0


class Client:
    """Calls one address with one token."""

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
        """Status, outcome, body and seconds of one call."""
        began = anyio.current_time()
        response = await self._pool.request(
            method,
            self._base + path,
            headers=self._headers + (headers or []),
            content=orjson.dumps(content) if content is not None else b'',
        )
        told = dict(response.headers)
        return (
            response.status,
            told.get(b'mulberryhitch-outcome', b'').decode(),
            response.content,
            anyio.current_time() - began,
        )


def quantile(values: list[float], part: float) -> float:
    """A part's quantile; zero of nothing."""
    ordered = sorted(values) or [0.0]
    return ordered[min(int(len(ordered) * part), len(ordered) - 1)]
