"""Runs the platform's programs as processes, with a proxy on each link.

Each process has its own pair of internal ports. It listens on the second port
at its own address, and connects to the same port number at a peer's address.
So each ordered pair of processes has its own address and port, on which the
link's proxy listens.
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
DRAIN_SECONDS = 4
_CHUNK_BYTES = 1 << 16
_FIRST_PORTS = range(21_000, 32_000, 40)
_cell_numbers = itertools.count()


class LinkProxy:
    """A TCP proxy that can delay, block, stall and reset connections.

    Blocked bytes are delivered once the direction is unblocked, as after a
    partition. A stalled connection never recovers; new ones work.

    Attributes:
        delay: Delay of each chunk, seconds.
        blocked: Blocked directions: ``out`` (to the target) or ``back``.
    """

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.host = host
        self.port = port
        self.target = target
        self.delay = 0.0
        self.blocked: set[str] = set()
        self.changed = anyio.Event()
        self.connections: list[dict[str, Any]] = []

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    def block(self, *directions: str) -> None:
        self.blocked = set(directions)
        self.changed.set()
        self.changed = anyio.Event()

    def reset_connections(self) -> None:
        for connection in self.connections:
            connection['scope'].cancel()

    def stall_connections(self) -> None:
        for connection in self.connections:
            connection['stalled'] = True

    async def run(self, tasks: TaskGroup) -> None:
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.port, reuse_port=True
        )
        tasks.start_soon(listener.serve, self._serve)

    async def _serve(self, downstream: SocketStream) -> None:
        await self._wait_unblocked('out')
        try:
            upstream = await anyio.connect_tcp(*self.target)
        except OSError:
            await downstream.aclose()
            return
        state: dict[str, Any] = {'stalled': False}
        with anyio.CancelScope() as state['scope']:
            self.connections.append(state)
            async with downstream, upstream, anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward, downstream, upstream, 'out', state
                )
                tasks.start_soon(
                    self._forward, upstream, downstream, 'back', state
                )
        self.connections.remove(state)

    async def _forward(
        self,
        source: SocketStream,
        sink: SocketStream,
        direction: str,
        state: dict[str, Any],
    ) -> None:
        with suppress(OSError, anyio.BrokenResourceError, anyio.EndOfStream):
            while True:
                data = await source.receive(_CHUNK_BYTES)
                if self.delay:
                    await anyio.sleep(self.delay)
                await self._wait_unblocked(direction)
                if state['stalled']:
                    await anyio.sleep_forever()
                await sink.send(data)
        state['scope'].cancel()

    async def _wait_unblocked(self, direction: str) -> None:
        while direction in self.blocked:
            changed = self.changed
            await changed.wait()


class ProgramProcess:
    """A process of one program, which can be signalled and restarted.

    Attributes:
        faulted: Whether a fault is in progress during which the process may
            exit and no other fault may select it.
    """

    def __init__(self, cell: 'ProcessCell', role: str, number: int) -> None:
        self.cell = cell
        self.role = role
        self.number = number
        subnet = 1 if role == 'entry' else 2
        self.vm = f'{cell.network}.{subnet}.{number + 1}'
        self.port = cell.port + 2 * number + (20 if role == 'entry' else 0)
        self.name = f'{role}-{number}'
        self.folder = cell.folder / self.name
        self.popen: subprocess.Popen[bytes] | None = None
        self.faulted = False

    @property
    def frontend_address(self) -> str:
        """Address of the frontend or control port, through a proxy."""
        return self.cell.frontend_links[self.name].address

    def write_settings(self, seeds: list[str], bootstrap: bool) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        listen_addresses = {'control': f'{self.vm}:{self.cell.port + 38}'}
        if self.role == 'entry':
            listen_addresses = {
                'frontend': f'{self.vm}:{self.cell.port + 38}',
                'readiness': f'{self.vm}:{self.cell.port + 39}',
            }
        data = self.folder / 'data'
        data.mkdir(exist_ok=True)
        settings = {
            'node_name': self.name,
            'ip': self.vm,
            'zone': 'abc'[self.number % 3],
            'listen_addrs': listen_addresses,
            'internal_ports': [self.port, self.port + 1],
            'seeds': seeds,
            'bootstrap': bootstrap,
            'data_dir': str(data) if self.role == 'scheduler' else None,
            'fault_tolerance': {'machines': 1, 'zones': 1},
            'bounds': {
                'hold_max_ms': LEASE_LIMIT_MS,
                'grace_s': DRAIN_SECONDS,
                'status_s': 120,
            },
            'advice': self.cell.permit_address,
        }
        path = self.folder / 'settings.json'
        path.with_suffix('.new').write_bytes(orjson.dumps(settings))
        path.with_suffix('.new').rename(path)

    def start(self) -> None:
        with (self.folder / 'log').open('ab') as log:
            self.popen = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'mulberryhitch.platform', self.role],
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    'MULBERRYHITCH_BOOT': str(self.folder / 'settings.json'),
                },
            )

    def signal(self, signal_number: int) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal_number)

    async def wait_exit(self, seconds: float) -> bool:
        with anyio.move_on_after(seconds):
            while self.popen is not None and self.popen.poll() is None:
                await anyio.sleep(0.02)
            return True
        return False

    async def kill(self) -> None:
        self.signal(signal.SIGKILL)
        await self.wait_exit(5)

    def append_torn_record(self, data: bytes) -> None:
        """Appends an incomplete record to each log, as a crash may leave it."""
        for path in (self.folder / 'data').glob('**/log*'):
            with path.open('ab') as log:
                log.write(data)

    def wipe(self) -> None:
        for path in sorted((self.folder / 'data').glob('**/*'), reverse=True):
            path.rmdir() if path.is_dir() else path.unlink()


class ProcessCell:
    """Entries and schedulers as processes, and the links between them."""

    def __init__(self, folder: Path, entries: int, schedulers: int) -> None:
        self.folder = folder
        self.network, self.port = _free_network(
            os.getpid() + next(_cell_numbers)
        )
        self.permit_address = f'{self.network}.4.1:{self.port + 38}'
        self.schedulers = [
            ProgramProcess(self, 'scheduler', number)
            for number in range(schedulers)
        ]
        self.entries = [
            ProgramProcess(self, 'entry', number) for number in range(entries)
        ]
        self.frontend_links = {
            process.name: LinkProxy(
                process.vm, self.port + 37, (process.vm, self.port + 38)
            )
            for process in self.processes
        }
        self.links = {
            (process.name, peer.name): LinkProxy(
                peer.vm, process.port + 1, (peer.vm, peer.port + 1)
            )
            for process in self.processes
            for peer in self.schedulers
            if process is not peer
        }

    @property
    def processes(self) -> list[ProgramProcess]:
        return [*self.schedulers, *self.entries]

    def seeds(self) -> list[str]:
        return [process.frontend_address for process in self.schedulers[:3]]

    def links_of(self, process: ProgramProcess) -> Iterator[LinkProxy]:
        """Yields all links from and to a process."""
        yield self.frontend_links[process.name]
        for names, link in self.links.items():
            if process.name in names:
                yield link

    async def start(self, tasks: TaskGroup) -> None:
        for link in (*self.frontend_links.values(), *self.links.values()):
            await link.run(tasks)
        for process in self.processes:
            process.write_settings(self.seeds(), bootstrap=True)
            process.start()

    async def stop(self) -> None:
        for process in self.processes:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.processes:
            await process.wait_exit(5)


def _free_network(number: int) -> tuple[str, int]:
    """Returns the prefix of an unused loopback network and its first port."""
    for attempt in range(len(_FIRST_PORTS)):
        network = f'127.{10 + (number + attempt) % 200}'
        port = _FIRST_PORTS[(number + attempt) % len(_FIRST_PORTS)]
        # A cell may have no entries.
        hosts = (f'{network}.1.1', f'{network}.2.1')
        if all(_is_free(host, port + 38) for host in hosts):
            return network, port
    raise RuntimeError('no unused loopback network and port')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe, suppress(OSError):
        probe.bind((host, port))
        return True
    return False
