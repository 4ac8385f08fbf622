"""Simulated workers and a permit service for the load player.

Unlike the fakes of the dispatcher's tests they have no loop that looks at every
run, so that hundreds of workers play in less time than they take.
"""

import hashlib
import heapq
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from itertools import count

import anyio

from mulberryhitch.dispatch.ports import (
    EndedRow,
    RunningRow,
    StartCommand,
    WorkerAnswer,
    WorkerView,
)
from mulberryhitch.errors import UnreachableError
from mulberryhitch.jobs.model import Resources, StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.state import RunOutcome
from tests.load_jobs import GeneratedJob, Load

STOP_SECONDS = 0.2
GANG_SECONDS = 5.0
COMMAND_SECONDS = 0.005


class Timeline:
    """Calls functions at given times."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._woken = anyio.Event()

    def call_at(self, at: float, function: Callable[[], None]) -> None:
        heapq.heappush(self._due, (at, next(self._numbers), function))
        if self._due[0][0] >= at:
            self._woken.set()
            self._woken = anyio.Event()

    async def run(self) -> None:
        while True:
            woken = self._woken
            now = anyio.current_time()
            while self._due and self._due[0][0] <= now:
                heapq.heappop(self._due)[2]()
            pause = self._due[0][0] - now if self._due else 1.0
            with anyio.move_on_after(pause):
                await woken.wait()


@dataclass(slots=True)
class LoadRun:
    """A run on a simulated worker.

    Attributes:
        saved: Seconds of work that its checkpoint holds.
        began_at: When it began to work; negative while a gang is incomplete.
        seconds: How long it works at its speed, with the time to resume.
        restoring: Seconds of these that it takes to resume.
        speed: Work done in a second; that of a gang's slowest member.
    """

    task: TaskKey
    run: int
    worker: 'LoadWorker'
    resources: Resources
    saved: float
    seconds: float
    outcome: RunOutcome
    checkpoint_seconds: float
    restoring: float
    speed: float
    began_at: float = -1

    def passed(self) -> float:
        """Returns for how many seconds it has taken its processors."""
        if self.began_at < 0:
            return 0
        passed = anyio.current_time() - self.began_at
        return max(0, min(passed, self.seconds))

    def worked(self) -> float:
        """Returns how many seconds of its work it has done since it began."""
        return max(0, self.passed() - self.restoring) * self.speed

    def slow_down(self, speed: float) -> None:
        """Lets it work at the lower speed of another member of its gang."""
        working = self.seconds - self.restoring
        self.seconds = self.restoring + working * self.speed / speed
        self.speed = speed

    def percent(self) -> int:
        return int(100 * self.passed() / max(self.seconds, 0.001))

    def checkpoint(self, whole: bool) -> str:
        """Returns the newest checkpoint; at a stop, one of all its work."""
        if not self.checkpoint_seconds:
            return ''
        worked = self.worked()
        if not whole:
            worked -= worked % self.checkpoint_seconds
        return f'{self.saved + worked:.3f}' if self.saved + worked else ''


class LoadWorker:
    """A worker that lists its runs and their ends."""

    def __init__(self, record: WorkerRecord, speed: float = 1) -> None:
        self.record = record
        self.speed = speed
        self.gone = False
        self.running: dict[TaskKey, LoadRun] = {}
        self.ended: list[EndedRow] = []
        self.highest_runs: dict[TaskKey, int] = {}
        self.last_end_number = 0
        self.changed = anyio.Event()

    @property
    def clock(self) -> int:
        return int(anyio.current_time() * 1000) + 1

    def free(self) -> Resources:
        free = self.record.capacity
        for run in self.running.values():
            free = free.minus(run.resources)
        return free

    def add_end(self, run: LoadRun, outcome: RunOutcome, saved: str) -> None:
        self.running.pop(run.task)
        self.last_end_number += 1
        self.highest_runs[run.task] = run.run
        self.ended.append(
            EndedRow(self.last_end_number, run.task, run.run, outcome, saved)
        )
        self.changed.set()
        self.changed = anyio.Event()


class LoadFleet:
    """Client of all simulated workers; counts what they did.

    Attributes:
        lost: Core-seconds of runs that ended otherwise than done and were not
            saved, by how they ended, and those taken to resume.
        first_starts: When the first task of each job began.
        class_starts: Starts by queue name and speed of the worker.
        on_exchange: Called for each exchange with a worker.
    """

    def __init__(
        self, timeline: Timeline, jobs: dict[str, GeneratedJob], load: Load
    ) -> None:
        self._load = load
        self.workers: dict[str, LoadWorker] = {}
        self.lost: Counter[str] = Counter()
        self.ended: Counter[str] = Counter()
        self.worked_core_seconds: float = 0
        self.starts = 0
        self.first_starts: dict[str, float] = {}
        self.class_starts: Counter[tuple[str, float]] = Counter()
        self.on_exchange: Callable[[], None] = lambda: None
        self._timeline = timeline
        self._jobs = jobs
        self._gangs: dict[tuple[StepKey, int], list[LoadRun]] = {}

    async def start(
        self, record: WorkerRecord, command: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        worker = await self._reach(record)
        assert command.task not in worker.running
        if command.run <= worker.highest_runs.get(command.task, 0):
            return WorkerAnswer.stale, worker.clock
        issued_until = command.ticket.partition('@')[2]
        if command.ticket and float(issued_until) < anyio.current_time():
            return WorkerAnswer.no_permit, worker.clock
        run = self._make_run(worker, command)
        assert run.resources.fits(worker.free()), 'over the capacity'
        worker.running[command.task] = run
        self.starts += 1
        load_class = self._jobs[command.task.job_id].load_class
        self.class_starts[load_class.queue.name, worker.speed] += 1
        self.first_starts.setdefault(command.task.job_id, anyio.current_time())
        step = self._jobs[command.task.job_id].spec.steps[command.task.step]
        if step.gang:
            self._join_gang(run, step.count)
        else:
            self._begin(run)
        return WorkerAnswer.started, worker.clock

    async def stop(
        self, record: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        worker = await self._reach(record)
        running = worker.running.get(task)
        if running is None:
            worker.highest_runs[task] = max(
                run, worker.highest_runs.get(task, 0)
            )
        elif running.run == run:
            self._timeline.call_at(
                anyio.current_time() + STOP_SECONDS,
                lambda: self._end(running, RunOutcome.stopped),
            )
        return WorkerAnswer.started

    async def poll(
        self,
        record: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        worker = await self._reach(record)
        worker.ended = [
            row for row in worker.ended if row.number > acknowledged_end
        ]
        if not worker.ended and wait_seconds:
            changed = worker.changed
            with anyio.move_on_after(wait_seconds):
                await changed.wait()
        running = tuple(
            RunningRow(
                task, run.run, run.checkpoint(whole=False), run.percent()
            )
            for task, run in worker.running.items()
        )
        return WorkerView(
            worker.clock, worker.record.born, running, tuple(worker.ended)
        )

    def remove(self, worker_id: str) -> None:
        """Takes a worker away; everything that it runs is gone."""
        worker = self.workers.pop(worker_id)
        worker.gone = True
        for run in tuple(worker.running.values()):
            self._end(run, RunOutcome.void)

    async def _reach(self, record: WorkerRecord) -> LoadWorker:
        self.on_exchange()
        await anyio.sleep(COMMAND_SECONDS)
        worker = self.workers.get(record.worker_id)
        if worker is None:
            raise UnreachableError('no response', where=record.worker_id)
        return worker

    def _make_run(self, worker: LoadWorker, command: StartCommand) -> LoadRun:
        job = self._jobs[command.task.job_id]
        step = job.spec.steps[command.task.step]
        saved = float(command.checkpoint or 0)
        seconds = job.run_seconds[command.task.step][command.task.number]
        restoring = self._load.restore_seconds if saved else 0
        seconds = max(0, seconds - saved) / worker.speed
        draw = _share_of(f'{command.task}-{command.run}')
        failing = draw < job.load_class.failing
        return LoadRun(
            command.task,
            command.run,
            worker,
            step.resources,
            saved,
            restoring + (seconds / 2 if failing else seconds),
            RunOutcome.failed if failing else RunOutcome.done,
            self._load.checkpoint_seconds if step.checkpointing else 0,
            restoring,
            worker.speed,
        )

    def _begin(self, run: LoadRun) -> None:
        run.began_at = anyio.current_time()
        self._timeline.call_at(
            run.began_at + run.seconds,
            lambda: self._end(run, run.outcome),
        )

    def _join_gang(self, run: LoadRun, size: int) -> None:
        key = (StepKey(*run.task[:3]), run.run)
        members = self._gangs.setdefault(key, [])
        members.append(run)
        if len(members) == size:
            slowest = min(member.speed for member in members)
            for member in members:
                member.slow_down(slowest)
                self._begin(member)
        self._timeline.call_at(
            anyio.current_time() + GANG_SECONDS,
            lambda: self._end_incomplete(run),
        )

    def _end_incomplete(self, run: LoadRun) -> None:
        if run.began_at < 0:
            self._end(run, RunOutcome.incomplete)

    def _end(self, run: LoadRun, outcome: RunOutcome) -> None:
        if run.worker.running.get(run.task) is not run:
            return
        cores = run.resources.processors / 1000
        saved = run.checkpoint(whole=outcome is RunOutcome.stopped)
        if outcome is RunOutcome.done:
            self.worked_core_seconds += cores * run.passed()
        else:
            kept = (float(saved) - run.saved) / run.speed if saved else 0
            working = run.passed() - min(run.passed(), run.restoring)
            self.lost[outcome.value] += cores * max(0, working - kept)
        self.lost['resume'] += cores * min(run.passed(), run.restoring)
        self.ended[outcome.value] += 1
        run.worker.add_end(run, outcome, saved)
        key = (StepKey(*run.task[:3]), run.run)
        broken = RunOutcome.broken
        for member in self._gangs.pop(key, ()):
            self._end(member, outcome if outcome is RunOutcome.done else broken)


class LoadPermitClient:
    """Requests permits from a service that serves one request at a time."""

    def __init__(self, jobs: dict[str, GeneratedJob]) -> None:
        self._jobs = jobs
        self._lock = anyio.Lock()

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        load_class = self._jobs[step.job_id].load_class
        policy = load_class.queue.permits
        assert policy is not None
        async with self._lock:
            await anyio.sleep(
                COMMAND_SECONDS
                + policy.decide_seconds
                + policy.each_seconds * len(worker_ids)
            )
        until = anyio.current_time() + policy.valid_seconds
        return {
            worker_id: f'ticket@{until}'
            for worker_id in worker_ids
            if _share_of(f'{step}-{worker_id}') < load_class.permitted
        }


def _share_of(text: str) -> float:
    """Returns a number from 0 to 1 that is drawn by the text."""
    digest = hashlib.blake2b(text.encode(), digest_size=4).digest()
    return int.from_bytes(digest, 'big') / 2**32
