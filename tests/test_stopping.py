"""A planned stop lets running requests finish, and ends in time."""

import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest
import uvicorn

from mulberryhitch.http.server import HttpServer
from mulberryhitch.platform_composition import SchedulerProgram
from tests.local_cell import ApiClient, find_free_ports, wait_ready
from tests.platform_harness import make_settings
from tests.replica_group import run_with_mock_clock

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


def test_a_scheduler_ends_in_time_though_no_voter_takes_over(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    settings = make_settings('127.0.0.1', 1, tmp_path, 'scheduler')
    server = HttpServer(uvicorn.Config(lambda *_: None))

    async def main() -> None:
        stop = anyio.Event()
        program = SchedulerProgram(settings, stop)
        monkeypatch.setattr(program._host, 'retire', anyio.sleep_forever)
        stop.set()
        with anyio.fail_after(settings.drain_seconds):
            await program._shut_down(server)

    run_with_mock_clock(main)
    assert server.should_exit
