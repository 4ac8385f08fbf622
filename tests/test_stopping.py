"""A planned stop under load cuts off no request."""

import signal
import subprocess
import sys
from pathlib import Path

import anyio

from tests.program import Caller, free_ports, wait_ready

PROGRAM = Path(sys.executable).parent / 'mulberryhitch-local'
REQUESTS = 12


def test_a_stop_under_load_finishes_what_is_in_flight(tmp_path) -> None:
    port = free_ports()
    process = subprocess.Popen(
        [
            PROGRAM,
            '--port',
            str(port),
            '--data',
            str(tmp_path),
            '--workers',
            '1',
            '--servers',
            '2',
        ],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )

    async def main() -> None:
        await wait_ready(Caller(port, 'demo-operator'), 1, 2)
        statuses: list[tuple[int, str]] = []

        async def send() -> None:
            caller = Caller(port, 'demo-north')
            status, told, _ = await caller.call(
                'GET', '/v1/services/returns/x?sleep=1'
            )
            statuses.append((status, told['mulberryhitch-outcome']))

        async with anyio.create_task_group() as tasks:
            for _ in range(REQUESTS):
                tasks.start_soon(send)
            await anyio.sleep(0.5)
            process.send_signal(signal.SIGTERM)
        assert statuses == [(200, 'completed')] * REQUESTS

    try:
        anyio.run(main)
        assert process.wait(30) == 0
    finally:
        process.kill()
