"""A slow runner is cut off and runs on; its task is started elsewhere."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import TROUBLE, Runner, find_overlaps, make_cell, new_job_id, run_case

RUNNERS = 54
SLOW = 9
SLOW_FACTOR = 6
SLOW_SECONDS = 7.0
CUT_SECONDS = 5.5
# The steady clock of a runner "may be 2% slow".
CLOCK_RATE = 0.98


async def play(folder):
    cell = make_cell(folder)
    # The first 18 are of kind b; half of these turn slow.
    cell.runners = [
        Runner(cell, number, ('b' if number < 2 * SLOW else 'a', 'r1-1'),
               rate=CLOCK_RATE, zone='abcd'[number % 4])
        for number in range(RUNNERS)
    ]  # fmt: skip
    await cell.start()
    await cell.wait_until_serving()
    await asyncio.sleep(2)

    slow = cell.runners[:SLOW]
    slow_until = cell.record.now() + SLOW_SECONDS
    if TROUBLE:
        for runner in slow:
            runner.slow = SLOW_FACTOR
        cell.record('slow:', *(runner.id for runner in slow))
    # Each task is as large as a runner, so each of the 18 gets one.
    for number in range(2 * SLOW):
        await cell.submit(
            new_job_id(),
            {'spec': '3600', 'steps': [{'count': 1, 'cpu': 1000, 'mem_mb': 64,
                                        'estimate_ms': 3600,
                                        'requires': 'b'}]},
        )  # fmt: skip
        await asyncio.sleep(0.06)
    await asyncio.sleep(1.0)
    if TROUBLE and os.environ.get('CUT') != '0':
        for runner in slow:
            runner.is_cut = True
        cell.record('cut off:', *(runner.id for runner in slow))
    cut_until = cell.record.now() + CUT_SECONDS
    await asyncio.sleep(slow_until - cell.record.now())
    for runner in slow:
        runner.slow = 1.0
    cell.record('no runner is slow')
    await asyncio.sleep(cut_until - cell.record.now())
    for runner in slow:
        runner.is_cut = False
    cell.record('the cut has healed')
    await asyncio.sleep(4)

    return not find_overlaps(cell)


run_case(Path(__file__).resolve().parent, play)
