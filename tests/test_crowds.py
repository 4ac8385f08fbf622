"""Processes of the platform beside crowds that connect again when closed.

Guards against memory, bytes in the kernel's buffers, descriptors and time of
the event loop that grow with the number of clients.
"""

from dataclasses import dataclass
from pathlib import Path

import anyio
import pytest

from tests.crowd import http_kinds, internal_kinds, running_crowd
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
from tests.socket_buffers import buffered_bytes
from tests.unread_clients import Behaviour

CLIENTS = 900
HOLD_SECONDS = 3
SAMPLE_SECONDS = 0.1
ANSWER_SECONDS = 30
# Those of the smallest VM, but for the descriptors.
LIMITS = ProcessLimits(memory_megabytes=160, descriptors=1024)
MOST_BYTES = 160_000_000
# Less than the descriptors, so that files and other connections still open.
MOST_DESCRIPTORS = 922


@dataclass(slots=True)
class Held:
    """The most that a process held at any time.

    Attributes:
        resident_bytes: Its resident memory.
        kernel_bytes: What the kernel held for its connections.
        total_bytes: Both at the same time.
        descriptors: Its open descriptors.
    """

    resident_bytes: int = 0
    kernel_bytes: int = 0
    total_bytes: int = 0
    descriptors: int = 0

    async def run(self, usage: ProcessUsage, host: str) -> None:
        """Samples a process until cancelled."""
        while True:
            usage.sample()
            resident_bytes = usage.resident_bytes
            kernel_bytes = buffered_bytes(host)
            self.resident_bytes = max(self.resident_bytes, resident_bytes)
            self.kernel_bytes = max(self.kernel_bytes, kernel_bytes)
            self.total_bytes = max(
                self.total_bytes, resident_bytes + kernel_bytes
            )
            self.descriptors = usage.most_descriptors
            await anyio.sleep(SAMPLE_SECONDS)

    def __str__(self) -> str:
        return (
            f'{self.total_bytes / 1e6:.1f} MB, of which at most '
            f'{self.resident_bytes / 1e6:.1f} resident and '
            f'{self.kernel_bytes / 1e6:.1f} in the kernel, '
            f'{self.descriptors} descriptors'
        )


def _kinds(target: Target) -> list[Behaviour]:
    if target.address_kind == 'internal':
        return internal_kinds()
    return http_kinds(target.path)


async def _play(cell: ProcessCell, target: Target, kind: str) -> str:
    """Returns what was seen if the process did not stay within bounds."""
    process = process_of(cell, target)
    assert process.popen is not None
    ordinary = (process.vm, cell.port + target.port_offset)
    held = Held()
    async with anyio.create_task_group() as sampling:
        usage = ProcessUsage(process.popen.pid)
        sampling.start_soon(held.run, usage, process.vm)
        address = address_of(cell, target)
        with running_crowd(kind, address, target.path, CLIENTS):
            await anyio.sleep(HOLD_SECONDS)
            beside = await wait_answered(ordinary, target, ANSWER_SECONDS)
        after = await wait_answered(ordinary, target, ANSWER_SECONDS)
        sampling.cancel_scope.cancel()
    seen = f'{kind}: {held}, answered beside {beside}, after {after}'
    print(seen)
    is_within = (
        held.total_bytes <= MOST_BYTES and held.descriptors <= MOST_DESCRIPTORS
    )
    return '' if is_within and beside and after else seen


@pytest.mark.parametrize('name', sorted(TARGETS))
@pytest.mark.timeout(300)
def test_crowds_leave_a_process_within_its_limits(
    tmp_path: Path, name: str
) -> None:
    target = TARGETS[name]

    async def main() -> list[str]:
        async with running_cell(tmp_path, LIMITS) as cell:
            ordinary = (
                process_of(cell, target).vm,
                cell.port + target.port_offset,
            )
            assert await wait_answered(ordinary, target)
            return [
                await _play(cell, target, kind.name) for kind in _kinds(target)
            ]

    failures = [failure for failure in anyio.run(main) if failure]
    assert not failures, '\n'.join(failures)
