"""Processes of the platform beside few clients with costly bodies.

Guards against a body within the limits that takes so much memory to handle
that the process ends.
"""

import itertools
from collections.abc import Callable, Iterator
from pathlib import Path

import anyio
import pytest

from tests.costly_bodies import (
    CLIENT_BODY_BYTES,
    CONTROL_BODY_BYTES,
    HEARTBEAT_BODY_BYTES,
    MOST_STEPS,
    CostlyBody,
    configuration_of_many_routes,
    invalid_control_bodies,
    job_bodies,
    job_of_steps,
    unknown_control_bodies,
)
from tests.limited_cell import (
    TARGETS,
    ProcessLimits,
    Target,
    address_of,
    process_of,
    running_cell,
    wait_answered,
)
from tests.process_cell import ProcessCell
from tests.process_usage import ProcessUsage
from tests.raw_client import NoCompleteAnswer, RawConnection, request_head

# Those of the smallest VM.
LIMITS = ProcessLimits(memory_megabytes=160, descriptors=1024)
MOST_BYTES = 160_000_000
SENDERS = 4
# Clients that send at once, and the steps of their jobs.
CROWDS = {'few': (8, MOST_STEPS), 'many': (300, 1000)}
CONTROL_CLIENTS = 8
HOLD_SECONDS = 6
PAUSE_SECONDS = 0.05
ANSWER_SECONDS = 30
COSTLY_JOB_PATH = '/q/5c0e7a21d94b36f9'

BODIES = {
    'client': ('client', job_bodies(COSTLY_JOB_PATH), CLIENT_BODY_BYTES),
    'invalid': ('control', invalid_control_bodies(), CONTROL_BODY_BYTES),
    'unknown': ('control', unknown_control_bodies(), CONTROL_BODY_BYTES),
    'smaller, invalid': (
        'control',
        invalid_control_bodies(),
        HEARTBEAT_BODY_BYTES,
    ),
    'smaller, unknown': (
        'control',
        unknown_control_bodies(),
        HEARTBEAT_BODY_BYTES,
    ),
}


async def _send(
    cell: ProcessCell, target: Target, body: CostlyBody, content: bytes
) -> int:
    """Returns the status of the answer, zero if there is none."""
    connection = await RawConnection.open(*address_of(cell, target))
    try:
        await connection.send(
            request_head(body.method, body.path, len(content)) + content
        )
        status, _ = await connection.read_answer()
    except (OSError, NoCompleteAnswer):
        return 0
    finally:
        connection.close()
    return status


async def _play(
    cell: ProcessCell, target: Target, body: CostlyBody, content: bytes
) -> str:
    """Returns what was seen if the process did not stay within bounds."""
    process = process_of(cell, target)
    assert process.popen is not None
    usage = ProcessUsage(process.popen.pid)
    usage.clear_peak()
    with anyio.move_on_after(ANSWER_SECONDS):
        async with anyio.create_task_group() as senders:
            for _ in range(SENDERS):
                senders.start_soon(_send, cell, target, body, content)
    answered = await wait_answered(
        address_of(cell, target), target, ANSWER_SECONDS
    )
    peak_bytes = usage.peak_bytes
    print(f'{body.name}: peak {peak_bytes / 1e6:.1f} MB, answered {answered}')
    if answered and peak_bytes <= MOST_BYTES:
        return ''
    return f'{body.name}: {peak_bytes / 1e6:.1f} MB, answered {answered}'


@pytest.mark.parametrize('kind', sorted(BODIES))
def test_costly_bodies_stay_within_the_memory_of_the_smallest_vm(
    tmp_path: Path, kind: str
) -> None:
    name, bodies, size = BODIES[kind]
    target = TARGETS[name]

    async def main() -> None:
        async with running_cell(tmp_path, LIMITS) as cell:
            assert await wait_answered(address_of(cell, target), target)
            for body in bodies:
                failure = await _play(cell, target, body, body.make(size))
                assert not failure, failure

    anyio.run(main)


def _job(number: int) -> CostlyBody:
    return CostlyBody('', 'POST', f'/q/{number:016x}', job_of_steps)


def _configuration(number: int) -> CostlyBody:
    return CostlyBody('', 'PUT', '/config', configuration_of_many_routes)


async def _send_without_end(
    cell: ProcessCell,
    target: Target,
    make_body: Callable[[int], CostlyBody],
    content: bytes,
    numbers: Iterator[int],
) -> None:
    for number in numbers:
        await _send(cell, target, make_body(number), content)
        await anyio.sleep(PAUSE_SECONDS)


async def _stays_within_memory_beside(
    folder: Path,
    target: Target,
    client_count: int,
    make_body: Callable[[int], CostlyBody],
    content: bytes,
) -> None:
    """Checks one process while clients send one body again and again."""
    async with running_cell(folder, LIMITS) as cell:
        process = process_of(cell, target)
        address = address_of(cell, target)
        assert process.popen is not None
        assert await wait_answered(address, target)
        async with anyio.create_task_group() as clients:
            numbers = itertools.count()
            for _ in range(client_count):
                clients.start_soon(
                    _send_without_end, cell, target, make_body, content, numbers
                )
            await anyio.sleep(HOLD_SECONDS)
            answered = await wait_answered(address, target, ANSWER_SECONDS)
            clients.cancel_scope.cancel()
        assert process.popen.poll() is None
        peak_bytes = ProcessUsage(process.popen.pid).peak_bytes
    print(f'peak {peak_bytes / 1e6:.1f} MB, answered {answered}')
    assert answered
    assert peak_bytes <= MOST_BYTES


@pytest.mark.parametrize('name', sorted(CROWDS))
def test_costly_jobs_leave_others_served(tmp_path: Path, name: str) -> None:
    client_count, step_count = CROWDS[name]
    content = job_of_steps(step_count)
    anyio.run(
        _stays_within_memory_beside,
        tmp_path,
        TARGETS['client'],
        client_count,
        _job,
        content,
    )


def test_costly_configurations_leave_others_served(tmp_path: Path) -> None:
    content = configuration_of_many_routes(HEARTBEAT_BODY_BYTES)
    anyio.run(
        _stays_within_memory_beside,
        tmp_path,
        TARGETS['control'],
        CONTROL_CLIENTS,
        _configuration,
        content,
    )


@pytest.mark.parametrize('name', ['metrics', 'readiness'])
def test_an_address_without_bodies_reads_none(
    tmp_path: Path, name: str
) -> None:
    target = TARGETS[name]
    body = CostlyBody('large body', 'GET', '/', lambda size: b'x' * size)

    async def main() -> int:
        async with running_cell(tmp_path, LIMITS) as cell:
            content = body.make(CLIENT_BODY_BYTES)
            return await _send(cell, target, body, content)

    assert anyio.run(main) == 413
