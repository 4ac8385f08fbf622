"""A gang that waits for services to end keeps the idle runners from others."""

import asyncio
from pathlib import Path

from cell import BOUNDS, Cell, new_id, run_case

FOLDER = Path(__file__).resolve().parent
RUNNERS = 6
RUNNER_CPU = 8000
SERVICE_TASKS = 3
SMALL_JOBS = 5
STARTUP_SECONDS = 0.5
WATCHED_SECONDS = 10
# RULES.md, "LOST": nothing of a job runs for 3 s.
IDLE_SECONDS = 3.0
GANG_PREFIX = '/q-rollup/'
SMALL_PREFIX = '/q-return/'
LASTING = {
    'spec': '100000',
    'steps': [{
        'count': SERVICE_TASKS, 'cpu': 7500, 'mem_mb': 1000,
        'anti_affinity': 1, 'long_running': True,
    }],
}
GANG = {
    'spec': '12',
    'steps': [{
        'count': RUNNERS, 'cpu': 7500, 'mem_mb': 1000, 'estimate_ms': 12000,
        'gang': True,
    }],
}
SMALL = {
    'spec': '1',
    'steps': [{'count': 2, 'cpu': 1000, 'mem_mb': 500, 'estimate_ms': 1000}],
}


class TwoQueues(Cell):
    """Two queues as in the site file: the rollups go before the returns."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.cpu_of = {}
        self.lasting = ''

    def routes(self):
        return [
            self.route(
                'r-rollup', GANG_PREFIX, priority=1, stretch=2.2,
                target_duration_ms=1000, max_attempts=2,
            ),
            self.route(
                'r-return', SMALL_PREFIX, priority=2, stretch=4.0,
                target_duration_ms=3000, max_attempts=4,
            ),
        ]

    def percent_of(self, task, row, seconds):
        # "Such a task is at work when its percent is 100."
        if task.startswith(self.lasting):
            return 100 if seconds >= STARTUP_SECONDS else 0
        return super().percent_of(task, row, seconds)

    async def hand_in(self, content, prefix):
        job_id = new_id()
        self.cpu_of[job_id] = content['steps'][0]['cpu']
        if content is LASTING:
            self.lasting = job_id
        taken = await self.submit(job_id, content, prefix=prefix)
        self.record.say(f'job {job_id} on {prefix} accepted: {taken}')
        return job_id

    def in_use(self):
        """Thousandths of a core that the runners' tasks use."""
        return sum(
            self.cpu_of[task.split('.')[0]]
            for runner in self.runners for task, _ in runner.running
        )


async def case(record, trouble):
    cell = TwoQueues(record, runners=RUNNERS, cpu=RUNNER_CPU)
    try:
        await cell.start()
        await cell.hand_in(LASTING, SMALL_PREFIX)
        await asyncio.sleep(2)
        if trouble:
            await cell.hand_in(GANG, GANG_PREFIX)
        await asyncio.sleep(2)
        small = [
            await cell.hand_in(SMALL, SMALL_PREFIX) for _ in range(SMALL_JOBS)
        ]
        record.say('end of the traffic')
        await asyncio.sleep(BOUNDS['finish_s'])
        since = record.now
        most = 0
        while record.now < since + WATCHED_SECONDS:
            most = max(most, cell.in_use())
            await asyncio.sleep(0.05)
        broken = False
        for job_id in small:
            _, content = await cell.request('GET', job_id, prefix=SMALL_PREFIX)
            state = content.get('state')
            starts = sum(row[1].startswith(job_id) for row in cell.starts)
            record.say(f'job {job_id}: {state}, {starts} starts')
            broken |= state != 'completed' and not starts
        free = RUNNERS * RUNNER_CPU - most
        record.say(
            f'in {WATCHED_SECONDS} s after finish_s at most {most} of '
            f'{RUNNERS * RUNNER_CPU} thousandths of a core were in use, '
            f'{free} free'
        )
        return broken and 2 * most < RUNNERS * RUNNER_CPU
    finally:
        await cell.stop()


run_case(FOLDER, case)
