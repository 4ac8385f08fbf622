"""One scheduled job whose occurrences are all due when it is handed in."""

import asyncio
import signal
import time
from pathlib import Path

from cell import BOUNDS, Cell, new_id, run_case

FOLDER = Path(__file__).resolve().parent
MEMORY_MB = 296
RESTART_SECONDS = 1.0
OCCURRENCES = 20_000
TASKS = 48
INTERVAL_MS = 30_000
# A client waits for 3 s and retries four times.
ATTEMPTS = 5
STEP = {'count': 2, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 3000}


def resident_mb(program):
    if program.popen.poll() is not None:
        return 0
    try:
        text = Path(f'/proc/{program.popen.pid}/statm').read_text()
    except OSError:
        return 0
    return int(text.split()[1]) * 4096 / 1e6


async def keep_to_the_limit(cell, kills):
    """Kills what uses more than its memory, and starts what has ended."""
    ended_at = {}
    while True:
        await asyncio.sleep(0.1)
        for program in cell.schedulers:
            used = resident_mb(program)
            if used > MEMORY_MB:
                cell.record.say(
                    f'{program.name} uses {used:.0f} MB of {MEMORY_MB}: killed'
                )
                kills.append(program.name)
                program.signal(signal.SIGKILL)
                program.popen.wait()
            if program.popen.poll() is None:
                continue
            since = ended_at.setdefault(program.name, cell.record.now)
            if cell.record.now - since >= RESTART_SECONDS:
                ended_at.pop(program.name)
                program.start()


async def ask(cell, job_id):
    """Asks for a job as a client does; returns its state or the status."""
    status = None
    for _ in range(ATTEMPTS):
        status, content = await cell.request('GET', job_id)
        if status in {200, 410}:
            return content.get('state', f'unknown ({status})')
        await asyncio.sleep(0.5)
    return f'no answer ({status})'


async def case(record, trouble):
    cell = Cell(record)
    accepted = []
    kills = []
    try:
        await cell.start()
        platform = asyncio.create_task(keep_to_the_limit(cell, kills))
        for _ in range(10):
            job_id = new_id()
            if await cell.submit(job_id, {'spec': '3', 'steps': [STEP]}):
                accepted.append(job_id)
        week = OCCURRENCES * INTERVAL_MS
        now_ms = int(time.time() * 1000)
        large = new_id()
        taken = await cell.submit(large, {
            'spec': '1',
            'steps': [{
                'count': TASKS, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 1000,
            }],
            'repeat_count': OCCURRENCES, 'interval_ms': INTERVAL_MS,
            # Handed in a week late, or in time.
            'first_ms': now_ms - week if trouble else now_ms + 3_600_000,
        })
        record.say(f'{len(accepted)} jobs accepted, the scheduled one: {taken}')
        await asyncio.sleep(BOUNDS['finish_s'] + 10)
        states = await asyncio.gather(*(ask(cell, one) for one in accepted))
        unanswered = [
            state for state in states
            if state not in {'queued', 'running', 'completed'}
        ]
        record.say(f'states of the jobs accepted before: {sorted(set(states))}')
        record.say(
            f'{len(unanswered)} of {len(accepted)} unknown or unanswered; '
            f'processes killed for their memory: {len(kills)}; '
            f'MB now: {[round(resident_mb(one)) for one in cell.schedulers]}'
        )
        platform.cancel()
        return bool(unanswered)
    finally:
        await cell.stop()


run_case(FOLDER, case)
