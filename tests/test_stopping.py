"""A planned stop under load lets running requests finish."""

import signal
import subprocess
import sys
from pathlib import Path

import anyio

from tests.local_cell import ApiClient, find_free_ports, wait_ready

LOCAL_PROGRAM = Path(sys.executable).parent / 'mulberryhitch-local'
REQUESTS = 12


def test_a_stop_under_load_finishes_requests_in_flight(tmp_path) -> None:
    port = find_free_ports()
    process = subprocess.Popen(
        [
            LOCAL_PROGRAM,
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
        await wait_ready(ApiClient(port, 'demo-operator'), 1, 2)
        statuses: list[tuple[int, str]] = []

        async def send() -> None:
            client = ApiClient(port, 'demo-north')
            status, headers, _ = await client.call(
                'GET', '/v1/services/returns/x?sleep=1'
            )
            statuses.append((status, headers['mulberryhitch-outcome']))

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
