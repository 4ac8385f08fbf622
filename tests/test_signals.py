"""Signals sent to the programs while they hold requests."""

import signal
from contextlib import asynccontextmanager
from pathlib import Path

import anyio
import orjson

from mulberryhitch.exit_status import ExitStatus
from tests.process_cell import DRAIN_SECONDS, ProcessCell, ProgramProcess
from tests.raw_client import RawConnection, request_bytes

REQUESTS = 6
EXIT_SECONDS = 6
JOB_ID = '5c0e7a21d94b36f8'


@asynccontextmanager
async def lone_entry(folder: Path):
    """Runs an entry that no scheduler answers; its requests take 1.5 s."""
    cell = ProcessCell(folder, entries=1, schedulers=1)
    process = cell.entries[0]
    process.write_settings(cell.seeds(), bootstrap=True)
    process.start()
    try:
        yield process
    finally:
        await process.kill()


async def send_until_closed(process: ProgramProcess) -> list[RawConnection]:
    """Sends a request on a new connection each 50 ms while any is accepted."""
    connections = []
    while True:
        try:
            connection = await RawConnection.open(
                process.vm, process.cell.port + 38
            )
            await connection.send(request_bytes('DELETE', f'/q/{JOB_ID}'))
        except OSError:
            return connections
        connections.append(connection)
        await anyio.sleep(0.05)


async def send_requests(process: ProgramProcess) -> list[RawConnection]:
    """Sends each request in full, and waits until all have been read.

    The answer to a later, invalid request shows that they have. A fixed wait
    was too short on a busy machine: the entry had nothing to cut off yet.
    """
    connections = []
    with anyio.fail_after(20):
        while len(connections) < REQUESTS:
            try:
                connection = await RawConnection.open(
                    process.vm, process.cell.port + 38
                )
            except OSError:
                await anyio.sleep(0.02)
                continue
            connections.append(connection)
    for connection in connections:
        await connection.send(request_bytes('DELETE', f'/q/{JOB_ID}'))
    later = await RawConnection.open(process.vm, process.cell.port + 38)
    await later.send(request_bytes('PATCH', f'/q/{JOB_ID}'))
    with anyio.fail_after(20):
        assert (await later.read_answer())[0] == 400
    later.close()
    return connections


def test_a_repeated_sigterm_does_not_cut_off_requests(tmp_path: Path) -> None:
    async def main() -> None:
        async with lone_entry(tmp_path) as process:
            connections = await send_requests(process)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                process.signal(number)
                await anyio.sleep(0.2)
            for connection in connections:
                status, _ = await connection.read_answer()
                assert status == 503
            process.signal(signal.SIGTERM)
            assert await process.wait_exit(EXIT_SECONDS)
            assert process.popen is not None
            assert process.popen.returncode == 0

    anyio.run(main)


def test_an_entry_that_stops_under_load_ends_before_it_is_killed(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with lone_entry(tmp_path) as process:
            await send_requests(process)
            began = anyio.current_time()
            process.signal(signal.SIGTERM)
            connections = await send_until_closed(process)
            remaining = began + DRAIN_SECONDS - anyio.current_time()
            assert await process.wait_exit(remaining)
            assert process.popen is not None
            assert process.popen.returncode == 0
            for connection in connections[:-1]:
                assert (await connection.read_answer())[0] == 503

    anyio.run(main)


def test_a_second_sigint_logs_what_it_cuts_off(tmp_path: Path) -> None:
    async def main() -> None:
        async with lone_entry(tmp_path) as process:
            await send_requests(process)
            process.signal(signal.SIGINT)
            await anyio.sleep(0.2)
            process.signal(signal.SIGINT)
            assert await process.wait_exit(1)
            assert process.popen is not None
            assert process.popen.returncode == ExitStatus.cut_off

    anyio.run(main)
    log_lines = (tmp_path / 'entry-0' / 'log').read_bytes().splitlines()
    cut_off = [
        orjson.loads(line) for line in log_lines if b'entry.cut_off' in line
    ]
    assert [line['requests'] for line in cut_off] == [REQUESTS]
