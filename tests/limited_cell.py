"""A cell of one entry and one scheduler, whose processes have low limits."""

import resource
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

import anyio
import orjson

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.platform.client import PlatformClient
from mulberryhitch.platform.settings import METRICS_PORT
from tests.platform_harness import make_configuration
from tests.process_cell import ProcessCell, ProgramProcess
from tests.raw_client import NoCompleteAnswer, RawConnection, request_bytes
from tests.unread_clients import Address

JOB_PATH = '/q/5c0e7a21d94b36f8'
START_SECONDS = 30
ANSWER_SECONDS = 5
FRONTEND_OFFSET = 38
READINESS_OFFSET = 39


@dataclass(frozen=True, slots=True)
class Target:
    """An address that clients can reach, and an ordinary request.

    Attributes:
        role: Role of the process.
        port_offset: Port of the ordinary request, counted from the cell's.
        path: Path of the ordinary request.
        status: Status that it is answered with.
        address_kind: The address that the clients connect to, if it is not
            the one of the ordinary request: ``metrics`` or ``internal``.
    """

    role: str
    port_offset: int
    path: str
    status: int
    address_kind: str = ''


TARGETS = {
    'client': Target('entry', FRONTEND_OFFSET, JOB_PATH, 410),
    'readiness': Target('entry', READINESS_OFFSET, '/ready', 200),
    'control': Target('scheduler', FRONTEND_OFFSET, '/config', 200),
    'metrics': Target('entry', FRONTEND_OFFSET, JOB_PATH, 410, 'metrics'),
    'entry internal': Target(
        'entry', FRONTEND_OFFSET, JOB_PATH, 410, 'internal'
    ),
    'scheduler internal': Target(
        'scheduler', FRONTEND_OFFSET, '/config', 200, 'internal'
    ),
}


@dataclass(frozen=True, slots=True)
class ProcessLimits:
    """Limits of each process.

    Attributes:
        memory_megabytes: Memory that its settings give, MB.
        descriptors: Descriptors that it may open.
    """

    memory_megabytes: int
    descriptors: int


def process_of(cell: ProcessCell, target: Target) -> ProgramProcess:
    """Returns the process that serves an address."""
    return next(
        process for process in cell.processes if process.role == target.role
    )


def address_of(cell: ProcessCell, target: Target) -> Address:
    """Returns the address that the clients connect to."""
    process = process_of(cell, target)
    if target.address_kind == 'metrics':
        return process.vm, METRICS_PORT
    if target.address_kind == 'internal':
        is_scheduler = process.role == 'scheduler'
        return process.vm, process.port + int(is_scheduler)
    return process.vm, cell.port + target.port_offset


@asynccontextmanager
async def running_cell(
    folder: Path, limits: ProcessLimits
) -> AsyncIterator[ProcessCell]:
    """Runs an entry and a scheduler with low limits and a configuration."""
    cell = ProcessCell(folder, entries=1, schedulers=1)
    try:
        async with anyio.create_task_group() as tasks:
            for link in (*cell.frontend_links.values(), *cell.links.values()):
                await link.run(tasks)
            for process in cell.processes:
                process.write_settings(cell.seeds(), bootstrap=True)
                _lower_memory(process, limits)
                process.start()
                _lower_descriptors(process, limits)
            await _configure(cell.schedulers[0])
            yield cell
            tasks.cancel_scope.cancel()
    finally:
        with anyio.CancelScope(shield=True):
            await cell.stop()


async def wait_answered(
    address: Address, target: Target, seconds: float = ANSWER_SECONDS
) -> bool:
    """Returns whether the ordinary request is answered within a time."""
    with anyio.move_on_after(seconds):
        while await _answered_status(address, target.path) != target.status:
            await anyio.sleep(0.2)
        return True
    return False


def _lower_descriptors(process: ProgramProcess, limits: ProcessLimits) -> None:
    """Lets a process that was just started open few descriptors.

    Only that process: this one may have many open, after other tests.
    """
    assert process.popen is not None
    resource.prlimit(
        process.popen.pid,
        resource.RLIMIT_NOFILE,
        (limits.descriptors, limits.descriptors),
    )


def _lower_memory(process: ProgramProcess, limits: ProcessLimits) -> None:
    path = process.folder / 'settings.json'
    settings = orjson.loads(path.read_bytes())
    settings['limits'] = {'memory_mb': limits.memory_megabytes}
    path.write_bytes(orjson.dumps(settings))


async def _configure(scheduler: ProgramProcess) -> None:
    client = PlatformClient()
    address = f'{scheduler.vm}:{scheduler.cell.port + FRONTEND_OFFSET}'
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
