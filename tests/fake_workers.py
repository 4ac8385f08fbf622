"""Fake workers that check every command, for tests of the dispatcher."""

from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio

from mulberryhitch.dispatch.dispatcher import Dispatcher
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.ports import (
    EndedRow,
    RunningRow,
    StartCommand,
    WorkerAnswer,
    WorkerView,
)
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import (
    DiskFullError,
    OutcomeUnknownError,
    UnreachableError,
)
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.clock import JobClock
from mulberryhitch.jobs.model import (
    JobSpec,
    PermitPolicy,
    Queue,
    QueueTable,
    Resources,
    Step,
    StepKey,
    TaskKey,
    Tenant,
    WorkerRecord,
)
from mulberryhitch.jobs.state import JobState, RunOutcome
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.messages import LogEntry

COMMIT_SECONDS = 0.01
STOP_SECONDS = 0.2
# Longer than a poll waits, so that a list shows the run first.
LOST_ANSWER_SECONDS = 1.2
START_WALL_TIME = 1_000_000.0


@dataclass
class FakeRun:
    """A run on a fake worker."""

    run: int
    resources: Resources
    ends_at: float
    outcome: RunOutcome
    began_at: float

    def percent(self) -> int:
        duration = max(self.ends_at - self.began_at, 0.01)
        elapsed = anyio.current_time() - self.began_at
        return int(100 * elapsed / duration)


class FakeWorker:
    """A worker that enforces its capacity, leases and fencing tokens.

    Attributes:
        highest_runs: Highest ended or stopped run of each task; a start with
            this number or a lower one is stale.
        unresponsive: Whether each call to the worker fails.
        silent: Whether calls reach the worker, which does nothing, without an
            answer.
        unanswered_starts: Number of starts left to delay by 3 s and to leave
            without an answer.
        lost_answers: Number of starts left to carry out and to leave without
            an answer; the start after the last of them can't be sent.
        answer_loss_seconds: After how long a start's lost answer is given up.
        unreadable_until: Until when its rows of running runs can't be read.
        refusal: Answer to the starts that otherwise could not be sent.
        delayed_starts: Commands to carry out later, with their due times.
        answer_seconds: Time from a start's arrival to its answer.
        clock_rate: Speed of its clock.
    """

    def __init__(self, fleet: 'FakeFleet', record: WorkerRecord) -> None:
        self.fleet = fleet
        self.record = record
        self.fence = 0
        self.lease_until = 0
        self.running: dict[TaskKey, FakeRun] = {}
        self.ended: list[EndedRow] = []
        self.highest_runs: dict[TaskKey, int] = {}
        self.last_end_number = 0
        self.changed = anyio.Event()
        self.unresponsive = False
        self.silent = False
        self.unanswered_starts = 0
        self.lost_answers = 0
        self.answer_loss_seconds = LOST_ANSWER_SECONDS
        self.unreadable_until = 0.0
        self.refuses_starts = False
        self.refusal: WorkerAnswer | None = None
        self.delayed_starts: list[tuple[float, StartCommand]] = []
        self.answer_seconds = 0.0
        self.clock_rate = 1.0
        self.clock_base = anyio.current_time() - 5

    @property
    def clock(self) -> int:
        passed = anyio.current_time() - self.clock_base
        return int(passed * self.clock_rate * 1000)

    def used_resources(self) -> Resources:
        used = Resources()
        for run in self.running.values():
            used = used.plus(run.resources)
        return used

    def end_run(self, task: TaskKey, outcome: RunOutcome) -> None:
        run = self.running.pop(task)
        self.last_end_number += 1
        self.highest_runs[task] = max(self.highest_runs.get(task, 0), run.run)
        self.ended.append(
            EndedRow(self.last_end_number, task, run.run, outcome, '')
        )
        self.fleet.record_end(task, run.run, outcome)
        self.changed.set()
        self.changed = anyio.Event()

    def crash(self) -> None:
        """Ends all runs without listing them, and answers no more calls."""
        self.unresponsive = True
        for task in tuple(self.running):
            self.running.pop(task)
            self.fleet.active_runs.pop(task)

    def end_expired_runs(self) -> None:
        if self.running and self.clock > self.lease_until:
            for task in tuple(self.running):
                self.end_run(task, RunOutcome.expired)

    def handle_start(self, command: StartCommand) -> WorkerAnswer:
        if command.fence < self.fence:
            return WorkerAnswer.fenced
        self.fence = command.fence
        if command.lease_until <= self.clock:
            return WorkerAnswer.expired
        self.lease_until = max(self.lease_until, command.lease_until)
        running = self.running.get(command.task)
        if running is not None and running.run == command.run:
            return WorkerAnswer.started
        if command.run <= self.highest_runs.get(command.task, 0):
            return WorkerAnswer.stale
        if self.fleet.permit_client is not None:
            assert command.ticket.endswith(self.record.worker_id)
        step = self.fleet.step_of(command.task)
        assert not step.label or step.label in self.record.labels
        resources = self.used_resources().plus(step.resources)
        assert resources.fits(self.record.capacity), 'over the capacity'
        self.fleet.record_start(command.task, command.run)
        outcome = self.fleet.outcome_of(command.task, command.run)
        self.running[command.task] = FakeRun(
            command.run,
            step.resources,
            anyio.current_time()
            + (
                1e6
                if self.fleet.runs_never_end
                else step.estimate_seconds * self.fleet.slowdown
            ),
            outcome,
            anyio.current_time(),
        )
        return WorkerAnswer.started


class FakeFleet:
    """Client of all fake workers.

    Asserts that no task runs twice at once, or again after it was done.

    Attributes:
        starts: Each started run, as task, run and time.
        outcomes: Outcomes of runs that do not end as done.
        answering: Id of the worker that answers at an address, where it is
            not the one that was asked.
    """

    def __init__(self) -> None:
        self.workers: dict[str, FakeWorker] = {}
        self.permit_client: FakePermitClient | None = None
        self.job_store = JobStore()
        self.starts: list[tuple[TaskKey, int, float]] = []
        self.done_tasks: set[TaskKey] = set()
        self.active_runs: dict[TaskKey, int] = {}
        self.outcomes: dict[tuple[TaskKey, int], RunOutcome] = {}
        self.runs_never_end = False
        self.slowdown = 1.0
        self.answering: dict[str, str] = {}

    def is_replaced(self, record: WorkerRecord) -> bool:
        answering = self.answering.get(record.address, record.worker_id)
        return answering != record.worker_id

    def step_of(self, task: TaskKey) -> Step:
        return self.job_store.jobs[task.job_id].spec.steps[task.step]

    def outcome_of(self, task: TaskKey, run: int) -> RunOutcome:
        return self.outcomes.get((task, run), RunOutcome.done)

    def record_start(self, task: TaskKey, run: int) -> None:
        assert task not in self.active_runs, f'already running: {task}'
        assert task not in self.done_tasks, f'started after it was done: {task}'
        self.active_runs[task] = run
        self.starts.append((task, run, anyio.current_time()))

    def record_end(self, task: TaskKey, run: int, outcome: RunOutcome) -> None:
        self.active_runs.pop(task, None)
        if outcome is RunOutcome.done:
            self.done_tasks.add(task)

    def add_worker(
        self, name: str, processors: int = 8000, **fields: Any
    ) -> None:
        record = WorkerRecord(
            name,
            f'{name}:1',
            fields.get('service', 'svc'),
            'a',
            fields.get('rack', 'r1'),
            fields.get('labels', ('k', 'r1')),
            processors,
            64_000,
            0,
            fields.get('born', 1),
        )
        self.workers[name] = FakeWorker(self, record)

    async def run(self) -> None:
        while True:
            now = anyio.current_time()
            for worker in self.workers.values():
                worker.end_expired_runs()
                for due_at, command in tuple(worker.delayed_starts):
                    if due_at <= now:
                        worker.delayed_starts.remove((due_at, command))
                        worker.handle_start(command)
                for task, run in tuple(worker.running.items()):
                    if run.ends_at <= now:
                        worker.end_run(task, run.outcome)
            await anyio.sleep(0.01)

    def _responsive_worker(self, record: WorkerRecord) -> FakeWorker:
        worker = self.workers.get(record.worker_id)
        if worker is None or worker.unresponsive:
            raise UnreachableError('no response', where=record.worker_id)
        return worker

    async def start(
        self, record: WorkerRecord, command: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        if self.is_replaced(record):
            return WorkerAnswer.replaced, 0
        worker = self._responsive_worker(record)
        await anyio.sleep(0.002)
        if worker.silent:
            raise OutcomeUnknownError('no answer')
        if worker.refuses_starts and worker.refusal is not None:
            return worker.refusal, worker.clock
        if worker.refuses_starts:
            raise UnreachableError('no connection', where=record.worker_id)
        if worker.lost_answers:
            worker.lost_answers -= 1
            worker.refuses_starts = not worker.lost_answers
            worker.handle_start(command)
            await anyio.sleep(worker.answer_loss_seconds)
            raise OutcomeUnknownError('no answer')
        if worker.unanswered_starts:
            worker.unanswered_starts -= 1
            worker.delayed_starts.append((anyio.current_time() + 3, command))
            raise OutcomeUnknownError('no answer')
        answer = worker.handle_start(command)
        await anyio.sleep(worker.answer_seconds)
        return answer, worker.clock

    async def stop(
        self, record: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        if self.is_replaced(record):
            return WorkerAnswer.replaced
        worker = self._responsive_worker(record)
        await anyio.sleep(0.002)
        if worker.silent:
            raise OutcomeUnknownError('no answer')
        if fence < worker.fence:
            return WorkerAnswer.fenced
        worker.fence = fence
        worker.highest_runs[task] = max(worker.highest_runs.get(task, 0), run)
        running = worker.running.get(task)
        if running is not None and running.run <= run:
            running.ends_at = anyio.current_time() + STOP_SECONDS
            running.outcome = RunOutcome.stopped
        return WorkerAnswer.started

    async def poll(
        self,
        record: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        if self.is_replaced(record):
            return WorkerAnswer.replaced
        worker = self._responsive_worker(record)
        await anyio.sleep(0.002)
        if worker.silent:
            raise OutcomeUnknownError('no answer')
        if fence < worker.fence:
            return WorkerAnswer.fenced
        worker.fence = fence
        worker.lease_until = max(worker.lease_until, lease_until)
        worker.ended = [
            row for row in worker.ended if row.number > acknowledged_end
        ]
        if not worker.ended and wait_seconds:
            changed = worker.changed
            with anyio.move_on_after(wait_seconds):
                await changed.wait()
        self._responsive_worker(record)
        readable = anyio.current_time() >= worker.unreadable_until
        return WorkerView(
            worker.clock,
            worker.record.born,
            tuple(
                RunningRow(task, run.run, '', run.percent())
                for task, run in worker.running.items()
                if readable
            ),
            tuple(worker.ended),
            complete=readable or not worker.running,
        )


class FakePermitClient:
    """Grants permits to some workers and records the requests.

    Args:
        allowed: The workers that may run every step.
        latency_seconds: Time that each request takes.
        each_seconds: Additional time for each worker in the request.
    """

    def __init__(
        self,
        allowed: Sequence[str],
        latency_seconds: float = 0.05,
        each_seconds: float = 0,
    ) -> None:
        self.allowed = set(allowed)
        self.latency_seconds = latency_seconds
        self.each_seconds = each_seconds
        self.requests: list[tuple[str, ...]] = []

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        self.requests.append(tuple(worker_ids))
        await anyio.sleep(
            self.latency_seconds + self.each_seconds * len(worker_ids)
        )
        return {
            worker_id: f'{step.job_id}-{worker_id}'
            for worker_id in worker_ids
            if worker_id in self.allowed
        }


class SilentPermitClient(FakePermitClient):
    """Leaves each request without an answer until it times out."""

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        self.requests.append(tuple(worker_ids))
        await anyio.sleep(timeout_seconds)
        raise OutcomeUnknownError('no answer')


class DispatcherHarness:
    """Runs a dispatcher over a job store that applies changes directly.

    Attributes:
        refused_ends: Number of commits of ends left to refuse for a full disk.
    """

    def __init__(self, policy: PermitPolicy | None = None, **queue: Any):
        self.fleet = FakeFleet()
        self.job_store = self.fleet.job_store
        self.index = 0
        self.is_leader = True
        self.time_of_day_step: float = 0
        self.refused_ends = 0
        self.clock = JobClock(self.time_of_day, anyio.current_time)
        self.task_group: Any = None
        self.is_disk_full = False
        self.refused_commits = 0
        self.queue = Queue(
            'q',
            'h',
            '/q/',
            'svc',
            **{'maximum_failures': 2, 'permits': policy, **queue},
        )
        self.queues = (self.queue,)
        self.apply(
            [
                changes.configure(
                    QueueTable(1, '{}', self.queues, services=('svc', 'other'))
                )
            ]
        )

    def add_queue(self, name: str, **fields: Any) -> None:
        queue = Queue(name, 'h', f'/{name}/', 'svc', **fields)
        self.queues = (*self.queues, queue)
        version = self.job_store.queue_table.version + 1
        self.apply([changes.configure(QueueTable(version, '{}', self.queues))])

    def set_tenants(self, *tenants: Tenant) -> None:
        version = self.job_store.queue_table.version + 1
        table = QueueTable(version, '{}', self.queues, tenants=tenants)
        self.apply([changes.configure(table)])

    def time_of_day(self) -> float:
        return START_WALL_TIME + self.time_of_day_step + anyio.current_time()

    def wall_time(self) -> float:
        return self.clock.now()

    def apply(self, batch: list[changes.Change]) -> list[Any]:
        self.index += 1
        body = changes.encode_changes(batch)
        return self.job_store.apply(
            LogEntry(self.index, 1, changes.CHANGES_KIND, body)
        )

    async def commit(self, batch: list[changes.Change]) -> list[Any]:
        if self.is_disk_full:
            self.refused_commits += 1
            raise DiskFullError('no space left')
        await anyio.sleep(COMMIT_SECONDS)
        if self.refused_ends and batch[0][0] == 'end':
            self.refused_ends -= 1
            raise DiskFullError('no space left')
        return self.apply(batch)

    @asynccontextmanager
    async def running(self, fence: int = 1):
        async with anyio.create_task_group() as tasks:
            self.task_group = tasks
            tasks.start_soon(self.fleet.run)
            self.dispatcher = self.make_dispatcher(fence)
            tasks.start_soon(self.dispatcher.run)
            tasks.start_soon(self._check_clocks)
            await anyio.sleep(0.1)
            for worker in tuple(self.fleet.workers.values()):
                await self.dispatcher.workers.handle_heartbeat(
                    worker.record, worker.clock
                )
            yield self
            tasks.cancel_scope.cancel()

    async def _check_clocks(self) -> None:
        """Asserts that the leader's bound of no worker's clock is too high."""
        while True:
            for worker_id, tracked in self.dispatcher.tracked_workers.items():
                worker = self.fleet.workers.get(worker_id)
                if worker is None or worker.record.born != tracked.record.born:
                    continue
                bound = tracked.earliest_clock(anyio.current_time())
                assert not tracked.clock or bound <= worker.clock + 1
            await anyio.sleep(0.01)

    def make_dispatcher(self, fence: int) -> Dispatcher:
        dispatcher = Dispatcher(
            Term(
                self.job_store,
                self.commit,
                lambda: self.is_leader,
                fence,
                self.fleet,
                DispatchOptions(),
                Log('test'),
                Histograms(),
                self.wall_time,
            ),
        )
        if self.fleet.permit_client is not None:
            dispatcher.permit_manager.add_client(
                'own', self.fleet.permit_client, local=True
            )
        return dispatcher

    async def submit(
        self,
        job_id: str,
        *steps: Step,
        queue: str = 'q',
        tenant: str = '',
        **fields: Any,
    ) -> None:
        spec = JobSpec('argument', steps, **fields)
        spec.validate()
        now = self.wall_time()
        await self.commit([changes.accept(job_id, queue, spec, now, tenant)])

    async def cancel(self, job_id: str) -> None:
        await self.commit([changes.cancel(job_id, self.wall_time())])

    async def wait(
        self, job_id: str, state: JobState, timeout_seconds: float = 30
    ) -> float:
        started_at = anyio.current_time()
        with anyio.fail_after(timeout_seconds):
            while self.job_store.jobs[job_id].state is not state:
                await anyio.sleep(0.01)
        return anyio.current_time() - started_at

    def busy_worker(self) -> FakeWorker:
        """Returns the first worker that runs something."""
        return next(
            worker for worker in self.fleet.workers.values() if worker.running
        )

    def start_count(self, job_id: str) -> int:
        return sum(task.job_id == job_id for task, _, _ in self.fleet.starts)

    async def wait_for_starts(
        self, job_id: str, count: int, timeout_seconds: float = 30
    ) -> None:
        with anyio.fail_after(timeout_seconds):
            while self.start_count(job_id) < count:
                await anyio.sleep(0.01)
