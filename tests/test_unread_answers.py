"""Processes of the platform beside clients that do not read their answers.

Guards against memory and descriptors that grow with what such clients send,
until a process ends or ordinary callers get no answer.
"""

import resource
import signal
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio
import orjson
import pytest

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.platform.client import PlatformClient
from tests.platform_harness import make_configuration
from tests.process_cell import DRAIN_SECONDS, ProcessCell, ProgramProcess
from tests.process_usage import ProcessUsage
from tests.raw_client import NoCompleteAnswer, RawConnection, request_bytes
from tests.unread_clients import (
    Address,
    Behaviour,
    Clients,
    leaving,
    pipelined,
    request,
    slow_and_odd,
)

CLIENTS = 250
HOLD_SECONDS = 2
START_SECONDS = 30
ANSWER_SECONDS = 5
# Beside the time that the settings allow for a stop.
EXIT_SECONDS = 4
DESCRIPTORS = 256
# Less than the descriptors, so that files and other connections still open.
MOST_DESCRIPTORS = 230
MEMORY_MEGABYTES = 120
MEGABYTE = 1_000_000
# Beside what a process has at rest. Large bodies and answers that are handled
# at the same time have limits of their own, 12 and 16 MiB.
MOST_HELD_BYTES = 40 * MEGABYTE
MOST_KEPT_BYTES = 24 * MEGABYTE
JOB_PATH = '/q/5c0e7a21d94b36f8'


@dataclass(frozen=True, slots=True)
class Target:
    """An address that clients can reach, and an ordinary request to it."""

    role: str
    port_offset: int
    path: str
    status: int


TARGETS = {
    'client': Target('entry', 38, JOB_PATH, 410),
    'readiness': Target('entry', 39, '/ready', 200),
    'control': Target('scheduler', 38, '/config', 200),
}


@dataclass(frozen=True, slots=True)
class Played:
    """What a process held beside one kind of client, and after it."""

    name: str
    answered_beside: bool
    answered_after: bool
    most_descriptors: int
    most_bytes: int
    kept_bytes: int

    def is_bounded(self, rest_bytes: int) -> bool:
        """Whether all bounds hold, for a process's memory at rest."""
        return (
            self.answered_beside
            and self.answered_after
            and self.most_descriptors <= MOST_DESCRIPTORS
            and self.most_bytes <= rest_bytes + MOST_HELD_BYTES
            and self.kept_bytes <= rest_bytes + MOST_KEPT_BYTES
        )

    def describe(self, rest_bytes: int) -> str:
        """Returns the figures as text; memory is beside that at rest."""
        held = (self.most_bytes - rest_bytes) / MEGABYTE
        kept = (self.kept_bytes - rest_bytes) / MEGABYTE
        return (
            f'{self.name}: held {held:.1f} MB, kept {kept:.1f} MB, '
            f'{self.most_descriptors} descriptors, answered beside '
            f'{self.answered_beside}, after {self.answered_after}'
        )


def behaviours(target: Target) -> list[Behaviour]:
    """Returns the kinds of clients."""
    job = orjson.dumps({'x': 'y' * 200}).decode()
    return [
        pipelined('no host', request('GET', target.path, host='')),
        pipelined('host only', request('GET', target.path, host='x')),
        pipelined('readiness path', request('GET', '/ready')),
        pipelined('no route', request('GET', '/nowhere/x')),
        pipelined(
            'posts without a route', request('POST', '/nowhere/x', body=job)
        ),
        pipelined('ordinary path', request('GET', target.path)),
        leaving('leave during an answer', request('GET', target.path)),
        *slow_and_odd('POST', target.path),
    ]


def _process(cell: ProcessCell, target: Target) -> ProgramProcess:
    return next(
        process for process in cell.processes if process.role == target.role
    )


def _lower_descriptors(process: ProgramProcess) -> None:
    """Lets a process that was just started open few descriptors.

    Only that process: this one may have many open, after other tests.
    """
    assert process.popen is not None
    limits = (DESCRIPTORS, DESCRIPTORS)
    resource.prlimit(process.popen.pid, resource.RLIMIT_NOFILE, limits)


def _lower_memory(process: ProgramProcess) -> None:
    path = process.folder / 'settings.json'
    settings = orjson.loads(path.read_bytes())
    settings['limits'] = {'memory_mb': MEMORY_MEGABYTES}
    path.write_bytes(orjson.dumps(settings))


@asynccontextmanager
async def _running_cell(folder: Path):
    """Runs an entry and a scheduler with lowered limits."""
    cell = ProcessCell(folder, entries=1, schedulers=1)
    try:
        async with anyio.create_task_group() as tasks:
            for link in (*cell.frontend_links.values(), *cell.links.values()):
                await link.run(tasks)
            for process in cell.processes:
                process.write_settings(cell.seeds(), bootstrap=True)
                _lower_memory(process)
                process.start()
                _lower_descriptors(process)
            await _configure(cell.schedulers[0])
            yield cell
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await cell.stop()


async def _configure(scheduler: ProgramProcess) -> None:
    client = PlatformClient()
    address = f'{scheduler.vm}:{scheduler.cell.port + 38}'
    status = 0
    with anyio.fail_after(START_SECONDS):
        while status != 200:
            await anyio.sleep(0.2)
            try:
                response = await client.send(
                    address, 'PUT', '/config', make_configuration(1), 1
                )
            except MulberryhitchError:
                continue
            status = response.status


async def _answered_status(address: Address, path: str) -> int:
    """Returns the status of one ordinary request, zero if there is none."""
    try:
        connection = await RawConnection.open(*address)
        await connection.send(request_bytes('GET', path))
        status, _ = await connection.read_answer()
    except (OSError, NoCompleteAnswer):
        return 0
    connection.close()
    return status


async def _wait_answered(address: Address, target: Target) -> bool:
    with anyio.move_on_after(ANSWER_SECONDS):
        while await _answered_status(address, target.path) != target.status:
            await anyio.sleep(0.2)
        return True
    return False


async def _play(
    cell: ProcessCell, target: Target, behaviour: Behaviour
) -> Played:
    """Plays one behaviour and returns what the process held."""
    process = _process(cell, target)
    address = (process.vm, cell.port + target.port_offset)
    usage = ProcessUsage(process.popen.pid) if process.popen else None
    assert usage is not None
    async with anyio.create_task_group() as sampling:
        sampling.start_soon(usage.run)
        async with Clients(behaviour, address, CLIENTS):
            await anyio.sleep(HOLD_SECONDS)
            answered_beside = await _wait_answered(address, target)
        answered_after = await _wait_answered(address, target)
        sampling.cancel_scope.cancel()
    return Played(
        behaviour.name,
        answered_beside,
        answered_after,
        usage.most_descriptors,
        usage.most_bytes,
        usage.resident_bytes,
    )


async def _play_all(folder: Path, target: Target) -> tuple[int, list[Played]]:
    """Returns the memory at rest, and what each behaviour led to."""
    async with _running_cell(folder) as cell:
        process = _process(cell, target)
        assert process.popen is not None
        address = (process.vm, cell.port + target.port_offset)
        assert await _wait_answered(address, target)
        rest_bytes = ProcessUsage(process.popen.pid).resident_bytes
        played = [
            await _play(cell, target, behaviour)
            for behaviour in behaviours(target)
        ]
        assert process.popen.poll() is None
    return rest_bytes, played


@pytest.mark.parametrize('target', sorted(TARGETS))
def test_clients_that_do_not_read_leave_the_process_serving(
    tmp_path: Path, target: str
) -> None:
    rest_bytes, played = anyio.run(_play_all, tmp_path, TARGETS[target])
    for play in played:
        print(play.describe(rest_bytes))
    failures = [
        play.describe(rest_bytes)
        for play in played
        if not play.is_bounded(rest_bytes)
    ]
    assert not failures, '\n'.join(failures)


@pytest.mark.parametrize('target', ['client', 'control'])
def test_a_process_ends_in_time_beside_clients_that_do_not_read(
    tmp_path: Path, target: str
) -> None:
    """An answer that waits for its client must not keep a process running."""

    async def main() -> int | None:
        place = TARGETS[target]
        async with _running_cell(tmp_path) as cell:
            process = _process(cell, place)
            assert process.popen is not None
            address = (process.vm, cell.port + place.port_offset)
            assert await _wait_answered(address, place)
            ahead = pipelined('ordinary path', request('GET', place.path))
            async with Clients(ahead, address, CLIENTS):
                await anyio.sleep(1)
                process.signal(signal.SIGTERM)
                assert await process.wait_exit(DRAIN_SECONDS + EXIT_SECONDS)
            return process.popen.poll()

    assert anyio.run(main) == 0
