"""Schedulers as processes whose links are slow when their power returns.

Guards against elections that give up votes and appends that are still on
their way, so that no scheduler can answer a read of the configuration.
"""

from collections.abc import Sequence
from pathlib import Path

import anyio
import pytest

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.platform.client import PlatformClient
from tests.platform_harness import make_configuration
from tests.process_cell import ProcessCell, ProgramProcess

SCHEDULERS = 3
VERSION = 1
START_SECONDS = 30
# The platform's bound for a recovery.
RECOVERY_SECONDS = 12
# Callers of the control interface call the next scheduler after this time.
PATIENCE_SECONDS = 1


class Operator:
    """Sends and reads the configuration as callers of the platform do."""

    def __init__(self) -> None:
        self._client = PlatformClient()

    async def configure(self, process: ProgramProcess) -> None:
        with anyio.fail_after(START_SECONDS):
            while await self._status(process, 'PUT') != 200:
                await anyio.sleep(0.2)

    async def wait_readable(self, process: ProgramProcess) -> None:
        while await self._status(process, 'GET') != 200:
            await anyio.sleep(0.2)

    async def _status(self, process: ProgramProcess, method: str) -> int:
        content = make_configuration(VERSION) if method == 'PUT' else {}
        try:
            response = await self._client.send(
                process.frontend_address,
                method,
                '/config',
                content,
                PATIENCE_SECONDS,
            )
        except MulberryhitchError:
            return 0
        return response.status


async def _restart_on_slow_links(
    cell: ProcessCell, present: Sequence[ProgramProcess], delay_seconds: float
) -> None:
    for link in cell.links.values():
        link.delay = delay_seconds
    for process in cell.schedulers:
        await process.kill()
    for process in present:
        process.write_settings(cell.seeds(), bootstrap=False)
        process.start()


async def _unreadable(
    operator: Operator, present: Sequence[ProgramProcess]
) -> list[str]:
    """Returns the schedulers that give no configuration in time."""
    unreadable = {process.name for process in present}

    async def read(process: ProgramProcess) -> None:
        await operator.wait_readable(process)
        unreadable.discard(process.name)

    with anyio.move_on_after(RECOVERY_SECONDS):
        async with anyio.create_task_group() as tasks:
            for process in present:
                tasks.start_soon(read, process)
    return sorted(unreadable)


@pytest.mark.parametrize('away', [0, 1])
@pytest.mark.parametrize('delay_seconds', [0, 0.1, 0.15])
def test_the_configuration_is_read_after_a_return_of_power_on_slow_links(
    tmp_path: Path, delay_seconds: float, away: int
) -> None:
    async def main() -> list[str]:
        cell = ProcessCell(tmp_path, entries=0, schedulers=SCHEDULERS)
        operator = Operator()
        present = cell.schedulers[away:]
        try:
            async with anyio.create_task_group() as tasks:
                await cell.start(tasks)
                await operator.configure(cell.schedulers[0])
                await _restart_on_slow_links(cell, present, delay_seconds)
                unreadable = await _unreadable(operator, present)
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await cell.stop()
        return unreadable

    unreadable = anyio.run(main)
    assert not unreadable, f'no configuration from {", ".join(unreadable)}'
