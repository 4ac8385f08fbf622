"""A heartbeat of another writer names the address of a runner."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    TROUBLE,
    Runner,
    call,
    find_overlaps,
    make_cell,
    new_job_id,
    run_case,
)

RUNNERS = 6


async def play(folder):
    cell = make_cell(folder)
    cell.runners = [
        Runner(cell, number, ('a', 'r1-1'), zone='abcd'[number % 4])
        for number in range(RUNNERS)
    ]
    await cell.start()
    await cell.wait_until_serving()
    await asyncio.sleep(2)
    for _ in range(4):
        await cell.submit(
            new_job_id(),
            {'spec': '8000', 'steps': [{'count': 1, 'cpu': 600, 'mem_mb': 64,
                                        'estimate_ms': 8000}]},
        )  # fmt: skip
    await asyncio.sleep(2)
    holder = next(one for one in cell.runners if one.running)
    if TROUBLE:
        content = {
            'service': 'metrics-agent', 'address': holder.address,
            'zone': holder.zone, 'version': 'v9', 'slots': 1, 'state': 'ready',
            'cold_remaining_ms': 0, 'labels': [], 'clock_ms': 1, 'sequence': 1,
            'capacity': {'cpu': 1000, 'mem_mb': 64, 'gpu': 0},
            'born': int(time.time() * 1000),
        }  # fmt: skip
        status, _ = await call(
            cell.schedulers[0].address, 'PUT', '/instances/agent-1', content
        )
        cell.record('heartbeat of another writer with the address of',
                    holder.id, '->', status)  # fmt: skip
    await asyncio.sleep(12)
    return not find_overlaps(cell)


run_case(Path(__file__).resolve().parent, play)
