"""One heartbeat of another writer; then jobs are asked for."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import TROUBLE, Runner, call, make_cell, new_job_id, run_case

RUNNERS = 6
RESTART_SECONDS = 0.5
WATCH_SECONDS = 45
ODD_ADDRESS = '::1%' + '5c0e7a21d94b36f8' * 4 + ':9100'


async def supervise(cell, exits):
    """Starts programs again that have ended by themselves."""
    while True:
        await asyncio.sleep(0.1)
        for program in cell.programs:
            if program.process.poll() is not None:
                exits[program.name] = exits.get(program.name, 0) + 1
                cell.record(program.name, 'ended by itself, status',
                            program.process.returncode)  # fmt: skip
                await asyncio.sleep(RESTART_SECONDS)
                program.start(first_start=False)


async def play(folder):
    cell = make_cell(folder)
    cell.runners = [
        Runner(cell, number, ('a', 'r1-1'), zone='abcd'[number % 4])
        for number in range(RUNNERS)
    ]
    await cell.start()
    await cell.wait_until_serving()
    exits = {}
    watcher = asyncio.create_task(supervise(cell, exits))
    await asyncio.sleep(2)
    jobs = [new_job_id() for _ in range(10)]
    for job_id in jobs:
        await cell.submit(
            job_id,
            {'spec': '3000', 'steps': [{'count': 2, 'cpu': 200, 'mem_mb': 64,
                                        'estimate_ms': 3000}]},
        )  # fmt: skip
    if TROUBLE:
        content = {
            'service': 'metrics-agent', 'address': ODD_ADDRESS, 'zone': 'a',
            'version': 'v9', 'slots': 1, 'state': 'ready',
            'cold_remaining_ms': 0, 'labels': [], 'clock_ms': 1, 'sequence': 1,
            'capacity': {'cpu': 1000, 'mem_mb': 64, 'gpu': 0},
            'born': int(time.time() * 1000),
        }  # fmt: skip
        status, _ = await call(
            cell.schedulers[0].address, 'PUT', '/instances/agent-1', content
        )
        cell.record('heartbeat of another writer ->', status)
    await asyncio.sleep(WATCH_SECONDS - cell.bounds['finish_s'])
    cell.record('the traffic has ended; jobs are asked for')
    deadline = cell.record.now() + cell.bounds['finish_s']
    answered = set()
    while cell.record.now() < deadline and len(answered) < len(jobs):
        for job_id in jobs:
            if job_id not in answered:
                status, _ = await cell.request('GET', '/q/' + job_id, timeout=1)
                if status == 200:
                    answered.add(job_id)
        await asyncio.sleep(0.3)
    watcher.cancel()
    silent = len(jobs) - len(answered)
    often = [
        program.name
        for program in cell.schedulers
        if exits.get(program.name, 0) >= 3
    ]
    cell.record('jobs without an answer:', silent, 'of', len(jobs))
    cell.record('schedulers that ended by themselves three times:', *often)
    return not silent and len(often) < len(cell.schedulers) / 2


run_case(Path(__file__).resolve().parent, play)
