"""A stand-in fleet that checks every order, for tests of the dispatcher."""

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
from mulberryhitch.errors import OutcomeUnknownError, UnreachableError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.jobs.model import (
    JobSpec,
    PermitPolicy,
    Queue,
    QueueTable,
    Resources,
    Step,
    StepKey,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.state import JobState, RunOutcome
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.messages import LogEntry

COMMIT_SECONDS = 0.01
STOP_SECONDS = 0.2
START_WALL = 1_000_000.0


@dataclass
class Running:
    """A run on a stand-in worker."""

    run: int
    room: Resources
    ends_at: float
    how: RunOutcome
    began_at: float

    def percent(self) -> int:
        length = max(self.ends_at - self.began_at, 0.01)
        passed = anyio.current_time() - self.began_at
        return int(100 * passed / length)


class StandinWorker:
    """One worker: keeps capacity, fences, leases and its list of ends."""

    def __init__(self, fleet: 'Fleet', record: WorkerRecord) -> None:
        self.fleet = fleet
        self.record = record
        self.fence = 0
        self.lease_until = 0
        self.running: dict[TaskKey, Running] = {}
        self.ended: list[EndedRow] = []
        self.highest: dict[TaskKey, int] = {}
        self.number = 0
        self.changed = anyio.Event()
        self.silent = False
        self.unanswered = 0
        self.late_starts: list[tuple[float, StartCommand]] = []
        self.clock_base = anyio.current_time() - 5

    @property
    def clock(self) -> int:
        return int((anyio.current_time() - self.clock_base) * 1000)

    def room_used(self) -> Resources:
        used = Resources()
        for one in self.running.values():
            used = used.plus(one.room)
        return used

    def end(self, task: TaskKey, how: RunOutcome) -> None:
        one = self.running.pop(task)
        self.number += 1
        self.highest[task] = max(self.highest.get(task, 0), one.run)
        self.ended.append(EndedRow(self.number, task, one.run, how, ''))
        self.fleet.over(task, one.run, how)
        self.changed.set()
        self.changed = anyio.Event()

    def expire(self) -> None:
        if self.running and self.clock > self.lease_until:
            for task in tuple(self.running):
                self.end(task, RunOutcome.expired)

    def carry_out(self, order: StartCommand) -> WorkerAnswer:
        if order.fence < self.fence:
            return WorkerAnswer.fenced
        self.fence = order.fence
        if order.lease_until <= self.clock:
            return WorkerAnswer.expired
        self.lease_until = max(self.lease_until, order.lease_until)
        running = self.running.get(order.task)
        if running is not None and running.run == order.run:
            return WorkerAnswer.started
        if order.run <= self.highest.get(order.task, 0):
            return WorkerAnswer.stale
        if self.fleet.permits is not None:
            assert order.permit.endswith(self.record.worker_id)
        step = self.fleet.step_of(order.task)
        assert not step.label or step.label in self.record.labels
        room = self.room_used().plus(step.resources)
        assert room.fits(self.record.capacity), 'over the capacity'
        self.fleet.started(order.task, order.run)
        how = self.fleet.fate(order.task, order.run)
        self.running[order.task] = Running(
            order.run,
            step.resources,
            anyio.current_time()
            + (1e6 if self.fleet.stands_still else step.estimate_seconds),
            how,
            anyio.current_time(),
        )
        return WorkerAnswer.started


class Fleet:
    """All stand-in workers, and the orders to them."""

    def __init__(self) -> None:
        self.workers: dict[str, StandinWorker] = {}
        self.permits: StandinPermits | None = None
        self.book = JobStore()
        self.starts: list[tuple[TaskKey, int, float]] = []
        self.dones: set[TaskKey] = set()
        self.at_work: dict[TaskKey, int] = {}
        self.fates: dict[tuple[TaskKey, int], RunOutcome] = {}
        self.stands_still = False

    def step_of(self, task: TaskKey) -> Step:
        return self.book.jobs[task.job_id].spec.steps[task.step]

    def fate(self, task: TaskKey, run: int) -> RunOutcome:
        return self.fates.get((task, run), RunOutcome.done)

    def started(self, task: TaskKey, run: int) -> None:
        assert task not in self.at_work, f'twice at once: {task}'
        assert task not in self.dones, f'again after its end: {task}'
        self.at_work[task] = run
        self.starts.append((task, run, anyio.current_time()))

    def over(self, task: TaskKey, run: int, how: RunOutcome) -> None:
        self.at_work.pop(task, None)
        if how is RunOutcome.done:
            self.dones.add(task)

    def add(self, name: str, processors: int = 8000, **more: Any) -> None:
        record = WorkerRecord(
            name,
            f'{name}:1',
            more.get('service', 'svc'),
            'a',
            more.get('rack', 'r1'),
            more.get('labels', ('k', 'r1')),
            processors,
            64_000,
            0,
            more.get('born', 1),
        )
        self.workers[name] = StandinWorker(self, record)

    async def run(self) -> None:
        while True:
            now = anyio.current_time()
            for worker in self.workers.values():
                worker.expire()
                for at, order in tuple(worker.late_starts):
                    if at <= now:
                        worker.late_starts.remove((at, order))
                        worker.carry_out(order)
                for task, one in tuple(worker.running.items()):
                    if one.ends_at <= now:
                        worker.end(task, one.how)
            await anyio.sleep(0.01)

    def _reach(self, record: WorkerRecord) -> StandinWorker:
        worker = self.workers.get(record.worker_id)
        if worker is None or worker.silent:
            raise UnreachableError('silent', where=record.worker_id)
        return worker

    async def start(
        self, record: WorkerRecord, order: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        worker = self._reach(record)
        await anyio.sleep(0.002)
        if worker.unanswered:
            worker.unanswered -= 1
            worker.late_starts.append((anyio.current_time() + 3, order))
            raise OutcomeUnknownError('no answer')
        return worker.carry_out(order), worker.clock

    async def stop(
        self, record: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        worker = self._reach(record)
        await anyio.sleep(0.002)
        if fence < worker.fence:
            return WorkerAnswer.fenced
        worker.fence = fence
        worker.highest[task] = max(worker.highest.get(task, 0), run)
        running = worker.running.get(task)
        if running is not None and running.run <= run:
            running.ends_at = anyio.current_time() + STOP_SECONDS
            running.how = RunOutcome.stopped
        return WorkerAnswer.started

    async def poll(
        self,
        record: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        worker = self._reach(record)
        await anyio.sleep(0.002)
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
        self._reach(record)
        return WorkerView(
            worker.clock,
            worker.record.born,
            tuple(
                RunningRow(task, one.run, '', one.percent())
                for task, one in worker.running.items()
            ),
            tuple(worker.ended),
        )


class StandinPermits:
    """A permit service that is asked one question at a time."""

    def __init__(self, allowed: Sequence[str], seconds: float = 0.05) -> None:
        self.allowed = set(allowed)
        self.seconds = seconds
        self.asked: list[tuple[str, ...]] = []

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        self.asked.append(tuple(worker_ids))
        await anyio.sleep(self.seconds)
        return {
            one: f'{step.job_id}-{one}'
            for one in worker_ids
            if one in self.allowed
        }


class World:
    """A leader's term over a book whose log is one list."""

    def __init__(self, policy: PermitPolicy | None = None, **queue: Any):
        self.fleet = Fleet()
        self.book = self.fleet.book
        self.index = 0
        self.leads = True
        self.tasks: Any = None
        self.queue = Queue(
            'q',
            'h',
            '/q/',
            'svc',
            **{'maximum_failures': 2, 'permits': policy, **queue},
        )
        self.apply([changes.configure(QueueTable(1, '{}', (self.queue,)))])

    def wall(self) -> float:
        return START_WALL + anyio.current_time()

    def apply(self, batch: list[changes.Change]) -> list[Any]:
        self.index += 1
        body = changes.encode_changes(batch)
        return self.book.apply(
            LogEntry(self.index, 1, changes.CHANGES_KIND, body)
        )

    async def commit(self, batch: list[changes.Change]) -> list[Any]:
        await anyio.sleep(COMMIT_SECONDS)
        return self.apply(batch)

    @asynccontextmanager
    async def running(self, fence: int = 1):
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            tasks.start_soon(self.fleet.run)
            self.dispatcher = self.make_dispatcher(fence)
            tasks.start_soon(self.dispatcher.run)
            await anyio.sleep(0.1)
            for worker in tuple(self.fleet.workers.values()):
                await self.dispatcher.handle_heartbeat(
                    worker.record, worker.clock
                )
            yield self
            tasks.cancel_scope.cancel()

    def make_dispatcher(self, fence: int) -> Dispatcher:
        dispatcher = Dispatcher(
            Term(
                self.book,
                self.commit,
                lambda: self.leads,
                fence,
                self.fleet,
                DispatchOptions(),
                Log('test'),
                Histograms(),
                self.wall,
            ),
        )
        if self.fleet.permits is not None:
            dispatcher.permit_manager.add_client(
                'own', self.fleet.permits, local=True
            )
        return dispatcher

    async def submit(self, job_id: str, *steps: Step, **more: Any) -> None:
        spec = JobSpec('argument', steps, **more)
        spec.validate()
        await self.commit([changes.accept(job_id, 'q', spec, self.wall())])

    async def cancel(self, job_id: str) -> None:
        await self.commit([changes.cancel(job_id, self.wall())])

    async def wait(
        self, job_id: str, state: JobState, seconds: float = 30
    ) -> float:
        began = anyio.current_time()
        with anyio.fail_after(seconds):
            while self.book.jobs[job_id].state is not state:
                await anyio.sleep(0.01)
        return anyio.current_time() - began

    def runs_of(self, job_id: str) -> int:
        return sum(task.job_id == job_id for task, _, _ in self.fleet.starts)
