"""Processes of the platform beside clients that do not read their answers.

Guards against memory and descriptors that grow with what such clients send,
until a process ends or ordinary callers get no answer.
"""

import signal
from dataclasses import dataclass
from pathlib import Path

import anyio
import orjson
import pytest

from tests.limited_cell import (
    TARGETS,
    ProcessLimits,
    Target,
    process_of,
    running_cell,
    wait_answered,
)
from tests.process_cell import DRAIN_SECONDS, ProcessCell
from tests.process_usage import ProcessUsage
from tests.unread_clients import (
    Behaviour,
    Clients,
    leaving,
    pipelined,
    request,
    slow_and_odd,
)

CLIENTS = 250
HOLD_SECONDS = 2
# Beside the time that the settings allow for a stop.
EXIT_SECONDS = 4
LIMITS = ProcessLimits(memory_megabytes=120, descriptors=256)
# Less than the descriptors, so that files and other connections still open.
MOST_DESCRIPTORS = 230
MEGABYTE = 1_000_000
# Beside what a process has at rest. Large bodies and answers that are handled
# at the same time have limits of their own, 12 and 16 MiB.
MOST_HELD_BYTES = 40 * MEGABYTE
MOST_KEPT_BYTES = 24 * MEGABYTE


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


async def _play(
    cell: ProcessCell, target: Target, behaviour: Behaviour
) -> Played:
    """Plays one behaviour and returns what the process held."""
    process = process_of(cell, target)
    address = (process.vm, cell.port + target.port_offset)
    usage = ProcessUsage(process.popen.pid) if process.popen else None
    assert usage is not None
    async with anyio.create_task_group() as sampling:
        sampling.start_soon(usage.run)
        async with Clients(behaviour, address, CLIENTS):
            await anyio.sleep(HOLD_SECONDS)
            answered_beside = await wait_answered(address, target)
        answered_after = await wait_answered(address, target)
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
    async with running_cell(folder, LIMITS) as cell:
        process = process_of(cell, target)
        assert process.popen is not None
        address = (process.vm, cell.port + target.port_offset)
        assert await wait_answered(address, target)
        rest_bytes = ProcessUsage(process.popen.pid).resident_bytes
        played = [
            await _play(cell, target, behaviour)
            for behaviour in behaviours(target)
        ]
        assert process.popen.poll() is None
    return rest_bytes, played


@pytest.mark.parametrize('target', ['client', 'control', 'readiness'])
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
        async with running_cell(tmp_path, LIMITS) as cell:
            process = process_of(cell, place)
            assert process.popen is not None
            address = (process.vm, cell.port + place.port_offset)
            assert await wait_answered(address, place)
            ahead = pipelined('ordinary path', request('GET', place.path))
            async with Clients(ahead, address, CLIENTS):
                await anyio.sleep(1)
                process.signal(signal.SIGTERM)
                assert await process.wait_exit(DRAIN_SECONDS + EXIT_SECONDS)
            return process.popen.poll()

    assert anyio.run(main) == 0
