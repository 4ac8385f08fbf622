"""What a task costs its leader, from acceptance to its last end.

``python -m benchmarks.bench_leader``: one replica with a real log, a job book,
a dispatcher, and workers in this process: the calls to workers and the appends to
other replicas are not part of the figure.
"""

import argparse
import random
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio

from mulberryhitch.dispatch.operations import (
    ChangeTable,
    SubmitJob,
    WorkerHeartbeat,
)
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.ports import (
    EndedRow,
    StartCommand,
    WorkerAnswer,
    WorkerView,
)
from mulberryhitch.dispatch.service import JobsService
from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    QueueTable,
    Step,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.state import RunOutcome
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.membership.peers import PeerConnectionPool
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica

_TASK_SECONDS = 0.3


class InstantWorkers:
    """Workers in this process: every task takes the same time."""

    def __init__(self) -> None:
        self._ends: dict[str, list[tuple[float, TaskKey, int]]] = {}
        self._numbers: dict[str, int] = {}

    async def start(
        self, worker: WorkerRecord, order: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        at = anyio.current_time() + _TASK_SECONDS
        runs = self._ends.setdefault(worker.worker_id, [])
        runs.append((at, order.task, order.run))
        return WorkerAnswer.started, self._clock()

    async def stop(self, *order: Any) -> WorkerAnswer:
        return WorkerAnswer.started

    async def poll(
        self,
        worker: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView:
        runs = self._ends.setdefault(worker.worker_id, [])
        now = anyio.current_time()
        if not any(at <= now for at, _, _ in runs):
            soonest = min((at for at, _, _ in runs), default=now + 1)
            await anyio.sleep(min(wait_seconds, soonest - now))
        now = anyio.current_time()
        ended = []
        for one in [each for each in runs if each[0] <= now]:
            runs.remove(one)
            number = self._numbers.get(worker.worker_id, 0) + 1
            self._numbers[worker.worker_id] = number
            ended.append(EndedRow(number, one[1], one[2], RunOutcome.done, ''))
        return WorkerView(self._clock(), 1, (), tuple(ended))

    def _clock(self) -> int:
        return int(anyio.current_time() * 1000)


class NoPermits:
    """A permit service that nobody asks."""

    async def ask(self, *question: Any) -> dict[str, str]:
        return {}


async def _run(folder: Path, jobs: int, tasks_each: int) -> None:
    log = Log('bench')
    book = JobStore()
    peers = PeerConnectionPool('bench', 1, ())
    replica = Replica(
        load_state('jobs', folder, '127.0.0.1', book, log),
        peers,
        ('127.0.0.1',),
        ReplicationOptions(),
        log,
        random.Random(1),
    )
    service = JobsService(
        replica,
        book,
        InstantWorkers(),
        NoPermits(),
        peers,
        DispatchOptions(),
        log,
        Histograms(),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service.run)
        while service._dispatcher is None:
            await anyio.sleep(0.05)
        queue = Queue('q', 'h', '/q/', 's', 0, 2, 2, 1)
        await service.execute(ChangeTable(QueueTable(1, '{}', (queue,))))
        for number in range(24):
            record = WorkerRecord(
                f'w{number}',
                f'a:{number}',
                's',
                'a',
                '',
                (),
                32000,
                999999,
                0,
                1,
            )
            await service.execute(WorkerHeartbeat(record, 1))
        began = time.process_time()
        started = anyio.current_time()
        spec = JobSpec('x' * 200, (Step(tasks_each, 1000, 100, 0, 0.3),))
        for number in range(jobs):
            await service.execute(SubmitJob('h', f'/q/{number:016x}', spec))
            await anyio.sleep(0.01)
        while any(job.active for job in book.jobs.values()):
            await anyio.sleep(0.05)
        spent = time.process_time() - began
        took = anyio.current_time() - started
        count = jobs * tasks_each
        print(f'tasks                 {count}')
        print(f'took                  {took:.1f} s')
        print(f'processor             {spent:.2f} s')
        print(f'processor for a task  {spent / count * 1000:.3f} ms')
        tasks.cancel_scope.cancel()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--jobs', type=int, default=500)
    parser.add_argument('--tasks', type=int, default=3)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(_run, Path(folder) / 'jobs', given.jobs, given.tasks)


if __name__ == '__main__':
    main()
