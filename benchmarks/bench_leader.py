"""Processor time per task on the leader: ``python -m benchmarks.bench_leader``.

Runs one replica with a log on disk, a job store, a dispatcher, and workers in
this process, from the submission of the first job to the end of the last. The
figures leave out calls to workers and appends to other replicas.
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


class SimulatedWorkers:
    """Workers in this process, on which every task runs for 0.3 s."""

    def __init__(self) -> None:
        self._runs: dict[str, list[tuple[float, TaskKey, int]]] = {}
        self._last_end_numbers: dict[str, int] = {}

    async def start(
        self, worker: WorkerRecord, command: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        ends_at = anyio.current_time() + _TASK_SECONDS
        runs = self._runs.setdefault(worker.worker_id, [])
        runs.append((ends_at, command.task, command.run))
        return WorkerAnswer.started, self._clock()

    async def stop(self, *command: Any) -> WorkerAnswer:
        return WorkerAnswer.started

    async def poll(
        self,
        worker: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView:
        runs = self._runs.setdefault(worker.worker_id, [])
        now = anyio.current_time()
        if not any(ends_at <= now for ends_at, _, _ in runs):
            next_end_at = min(
                (ends_at for ends_at, _, _ in runs), default=now + 1
            )
            await anyio.sleep(min(wait_seconds, next_end_at - now))
        now = anyio.current_time()
        ended = []
        for run in [run for run in runs if run[0] <= now]:
            runs.remove(run)
            number = self._last_end_numbers.get(worker.worker_id, 0) + 1
            self._last_end_numbers[worker.worker_id] = number
            ended.append(EndedRow(number, run[1], run[2], RunOutcome.done, ''))
        return WorkerView(self._clock(), 1, (), tuple(ended))

    def _clock(self) -> int:
        return int(anyio.current_time() * 1000)


class EmptyPermitClient:
    """Permit client that returns no permits."""

    async def ask(self, *arguments: Any) -> dict[str, str]:
        return {}


async def _measure_leader(folder: Path, jobs: int, tasks_each: int) -> None:
    log = Log('bench')
    job_store = JobStore()
    peers = PeerConnectionPool('bench', 1, ())
    replica = Replica(
        load_state('jobs', folder, '127.0.0.1', job_store, log),
        peers,
        ('127.0.0.1',),
        ReplicationOptions(),
        log,
        random.Random(1),
    )
    service = JobsService(
        replica,
        job_store,
        SimulatedWorkers(),
        EmptyPermitClient(),
        peers,
        DispatchOptions(),
        log,
        Histograms(),
    )
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(service.run)
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
        cpu_seconds_before = time.process_time()
        started_at = anyio.current_time()
        spec = JobSpec('x' * 200, (Step(tasks_each, 1000, 100, 0, 0.3),))
        for number in range(jobs):
            await service.execute(SubmitJob('h', f'/q/{number:016x}', spec))
            await anyio.sleep(0.01)
        while any(job.active for job in job_store.jobs.values()):
            await anyio.sleep(0.05)
        cpu_seconds = time.process_time() - cpu_seconds_before
        elapsed = anyio.current_time() - started_at
        count = jobs * tasks_each
        print(f'tasks                 {count}')
        print(f'took                  {elapsed:.1f} s')
        print(f'processor             {cpu_seconds:.2f} s')
        print(f'processor for a task  {cpu_seconds / count * 1000:.3f} ms')
        task_group.cancel_scope.cancel()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--jobs', type=int, default=500)
    parser.add_argument('--tasks', type=int, default=3)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        anyio.run(
            _measure_leader,
            Path(folder) / 'jobs',
            arguments.jobs,
            arguments.tasks,
        )


if __name__ == '__main__':
    main()
