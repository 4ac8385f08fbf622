"""The platform's programs as processes, with a proxy on each link between.

Every process has internal ports of its own, and reaches its peers at the
port next to its first. So each pair of processes has a port of its own at
the peer's address, where a proxy listens for just that direction.
"""

import itertools
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import orjson
from anyio.abc import SocketStream, TaskGroup

LEASE_LIMIT_MS = 6000
GRACE_SECONDS = 4
_CHUNK = 1 << 16
_PORTS = range(21_000, 32_000, 40)
_cells = itertools.count()


class Link:
    """A proxy that can hold bytes up, one way or both, and reset.

    Bytes that are held up arrive once the link is open again, as after a
    partition. A silenced connection stays silent; new ones work.
    """

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.host = host
        self.port = port
        self.target = target
        self.delay = 0.0
        self.held: set[str] = set()
        self.changed = anyio.Event()
        self.connections: list[dict[str, Any]] = []

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    def hold(self, *ways: str) -> None:
        self.held = set(ways)
        self.changed.set()
        self.changed = anyio.Event()

    def reset(self) -> None:
        for one in self.connections:
            one['scope'].cancel()

    def silence(self) -> None:
        for one in self.connections:
            one['silent'] = True

    async def run(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port, reuse_port=True
        )
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, near: SocketStream) -> None:
        await self._gate('out')
        try:
            far = await anyio.connect_tcp(*self.target)
        except OSError:
            await near.aclose()
            return
        state: dict[str, Any] = {'silent': False}
        with anyio.CancelScope() as state['scope']:
            self.connections.append(state)
            async with near, far, anyio.create_task_group() as tasks:
                tasks.start_soon(self._pump, near, far, 'out', state)
                tasks.start_soon(self._pump, far, near, 'back', state)
        self.connections.remove(state)

    async def _pump(
        self,
        source: SocketStream,
        sink: SocketStream,
        way: str,
        state: dict[str, Any],
    ) -> None:
        with suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            while True:
                data = await source.receive(_CHUNK)
                if self.delay:
                    await anyio.sleep(self.delay)
                await self._gate(way)
                if state['silent']:
                    await anyio.sleep_forever()
                await sink.send(data)
        state['scope'].cancel()

    async def _gate(self, way: str) -> None:
        while way in self.held:
            changed = self.changed
            await changed.wait()


class Program:
    """One process of ours: started, signalled and started again."""

    def __init__(self, cell: 'Cell', role: str, number: int) -> None:
        self.cell = cell
        self.role = role
        self.number = number
        first = 1 if role == 'entry' else 2
        self.vm = f'{cell.network}.{first}.{number + 1}'
        self.port = cell.port + 2 * number + (20 if role == 'entry' else 0)
        self.name = f'{role}-{number}'
        self.folder = cell.folder / self.name
        self.process: subprocess.Popen[bytes] | None = None
        self.disturbed = False

    @property
    def front(self) -> str:
        """Where others reach it, through a proxy."""
        return self.cell.fronts[self.name].address

    def write_settings(self, seeds: list[str], first: bool) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        listens = {'control': f'{self.vm}:{self.cell.port + 38}'}
        if self.role == 'entry':
            listens = {
                'frontend': f'{self.vm}:{self.cell.port + 38}',
                'readiness': f'{self.vm}:{self.cell.port + 39}',
            }
        data = self.folder / 'data'
        data.mkdir(exist_ok=True)
        settings = {
            'node_name': self.name,
            'ip': self.vm,
            'zone': 'abc'[self.number % 3],
            'listen_addrs': listens,
            'internal_ports': [self.port, self.port + 1],
            'seeds': seeds,
            'bootstrap': first,
            'data_dir': str(data) if self.role == 'scheduler' else None,
            'fault_tolerance': {'machines': 1, 'zones': 1},
            'bounds': {
                'hold_max_ms': LEASE_LIMIT_MS,
                'grace_s': GRACE_SECONDS,
                'status_s': 120,
            },
            'advice': self.cell.advice,
        }
        path = self.folder / 'settings.json'
        path.with_suffix('.new').write_bytes(orjson.dumps(settings))
        path.with_suffix('.new').rename(path)

    def start(self) -> None:
        with (self.folder / 'log').open('ab') as log:
            self.process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'mulberryhitch.platform', self.role],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'MULBERRYHITCH_BOOT': str(self.folder / 'settings.json'),
                },
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self, seconds: float) -> bool:
        with anyio.move_on_after(seconds):
            while self.process is not None and self.process.poll() is None:
                await anyio.sleep(0.02)
            return True
        return False

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.ended(5)

    def tear_log(self, garbage: bytes) -> None:
        """Leaves the beginning of a record that was never finished."""
        for path in (self.folder / 'data').glob('**/log*'):
            with path.open('ab') as log:
                log.write(garbage)

    def wipe(self) -> None:
        for path in sorted((self.folder / 'data').glob('**/*'), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()


class Cell:
    """Entries and schedulers as processes, and the links between them."""

    def __init__(self, folder: Path, entries: int, schedulers: int) -> None:
        self.folder = folder
        self.network, self.port = _free_network(os.getpid() + next(_cells))
        self.advice = f'{self.network}.4.1:{self.port + 38}'
        self.schedulers = [
            Program(self, 'scheduler', one) for one in range(schedulers)
        ]
        self.entries = [Program(self, 'entry', one) for one in range(entries)]
        self.fronts = {
            one.name: Link(one.vm, self.port + 37, (one.vm, self.port + 38))
            for one in self.programs
        }
        self.links = {
            (one.name, peer.name): Link(
                peer.vm, one.port + 1, (peer.vm, peer.port + 1)
            )
            for one in self.programs
            for peer in self.schedulers
            if one is not peer
        }

    @property
    def programs(self) -> list[Program]:
        return [*self.schedulers, *self.entries]

    def seeds(self) -> list[str]:
        return [one.front for one in self.schedulers[:3]]

    def links_of(self, program: Program) -> Iterator[Link]:
        """All links from and to a process."""
        yield self.fronts[program.name]
        for pair, link in self.links.items():
            if program.name in pair:
                yield link

    async def start(self, tasks: TaskGroup) -> None:
        for link in (*self.fronts.values(), *self.links.values()):
            await link.run(tasks)
        for one in self.programs:
            one.write_settings(self.seeds(), first=True)
            one.start()

    async def end(self) -> None:
        for one in self.programs:
            one.signal(signal.SIGCONT)
            one.signal(signal.SIGKILL)
        for one in self.programs:
            await one.ended(5)


def _free_network(number: int) -> tuple[str, int]:
    """A part of loopback, and a first port, that nobody uses."""
    for attempt in range(len(_PORTS)):
        network = f'127.{10 + (number + attempt) % 200}'
        port = _PORTS[(number + attempt) % len(_PORTS)]
        with socket.socket() as tried, suppress(OSError):
            tried.bind((f'{network}.1.1', port + 38))
            return network, port
    raise RuntimeError('no free ports')
