"""The job book: every accepted job, every run that may go on, every worker.

It follows from its log's entries alone. The rules that must never break are
kept here: a task is granted only while no run of it may go on, only after the
steps that it depends on, and never again once it is done.
"""

from collections.abc import Callable
from itertools import chain
from typing import Any, Protocol

import orjson

from mulberryhitch.errors import InvariantError
from mulberryhitch.jobs.changes import (
    CHANGES_KIND,
    Change,
    decode_changes,
    spec_of,
    table_of,
    worker_of,
)
from mulberryhitch.jobs.model import (
    Queue,
    QueueTable,
    Room,
    StepKey,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.snapshots import job_of, job_row
from mulberryhitch.jobs.units import (
    Job,
    JobState,
    RunEnd,
    StepWork,
    Unit,
    UnitState,
    make_works,
)
from mulberryhitch.rpc.messages import LogEntry

_Handler = Callable[..., Any]
_handlers: dict[str, _Handler] = {}

NO_TABLE = QueueTable(-1, '', ())


def change(kind: str) -> Callable[[_Handler], _Handler]:
    """Registers what applies a kind of change."""

    def register(handler: _Handler) -> _Handler:
        _handlers[kind] = handler
        return handler

    return register


class BookListener(Protocol):
    """Is told of what a change brought about."""

    def step_ready(self, work: StepWork) -> None:
        """Units of a step may start."""

    def run_over(self, task: TaskKey, run: int, worker_id: str) -> None:
        """A run that was held open is over."""

    def job_ended(self, job: Job) -> None:
        """A job was cancelled, failed or completed."""


class JobBook:
    """All state of the group that the schedulers replicate."""

    def __init__(self) -> None:
        """Starts empty."""
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, WorkerRecord] = {}
        self.table: QueueTable = NO_TABLE
        self.ready: dict[StepKey, StepWork] = {}
        self.open_runs: dict[str, dict[TaskKey, int]] = {}
        self.listener: BookListener | None = None
        self._used: dict[str, Room] = {}
        self._queues: dict[str, Queue] = {}

    def apply(self, entry: LogEntry) -> list[Any]:
        """Applies an entry; the result has one item for each change.

        Raises:
            InvariantError: A rule would be broken.
        """
        if entry.kind != CHANGES_KIND:
            raise InvariantError('an unknown kind of entry', where=entry.kind)
        return [self._change(one) for one in decode_changes(entry.body)]

    def used(self, worker_id: str) -> Room:
        """What the runs that may go on take of a worker."""
        return self._used.get(worker_id, Room())

    def unit(self, task: TaskKey) -> Unit | None:
        """The unit of a task, if there is such a task."""
        work = self.work(StepKey(*task[:3]))
        return work.unit_of(task.number) if work else None

    def work(self, key: StepKey) -> StepWork | None:
        """A step of an occurrence that has come due."""
        job = self.jobs.get(key.job_id)
        works = job.occurrences.get(key.occurrence) if job else None
        if works is None or not 0 <= key.step < len(works):
            return None
        return works[key.step]

    def queue_now(self, job: Job) -> Queue:
        """A job's queue by the configuration in force, or as last known."""
        return self._queues.get(job.queue.name, job.queue)

    def pending(self, queue_name: str) -> int:
        """How many jobs of a queue wait for their first task."""
        return sum(
            job.queue.name == queue_name
            and job.state is JobState.queued
            and not job.spec.repeat_count
            for job in self.jobs.values()
        )

    def snapshot(self) -> bytes:
        """The whole state."""
        return orjson.dumps(
            {
                'jobs': [job_row(job) for job in self.jobs.values()],
                'workers': list(self.workers.values()),
                'table': self.table,
            },
        )

    def restore(self, state: bytes) -> None:
        """Takes over a whole state."""
        content = orjson.loads(state)
        listener = self.listener
        self.__init__()  # type: ignore[misc]  # noqa: WPS609
        self._configure(content['table'])
        for fields in content['workers']:
            record = worker_of(fields)
            self.workers[record.worker_id] = record
        for row in content['jobs']:
            job = job_of(row)
            self.jobs[job.job_id] = job
            self._take_over(job)
        self.listener = listener

    def _change(self, one: Change) -> Any:
        handler = _handlers.get(one[0])
        if handler is None:
            raise InvariantError('an unknown change', where=str(one[0]))
        return handler(self, *one[1:])

    @change('accept')
    def _accept(
        self, job_id: str, queue_name: str, fields: dict[str, Any], now: float
    ) -> bool:
        if job_id in self.jobs:
            return True
        queue = self._queues.get(queue_name)
        if queue is None:
            return False
        job = Job(job_id, queue, spec_of(fields), now)
        self.jobs[job_id] = job
        if not job.spec.repeat_count:
            self._begin(job, 0)
        return True

    @change('occur')
    def _occur(self, job_id: str, occurrence: int) -> None:
        job = self.jobs.get(job_id)
        if job is None or not job.active or occurrence in job.occurrences:
            return
        self._begin(job, occurrence)

    @change('cancel')
    def _cancel(self, job_id: str, now: float) -> bool:
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if job.active:
            job.cancelled = True
            self._end_job(job, now)
        return True

    @change('grant')
    def _grant(  # noqa: WPS211
        self,
        job_id: str,
        occurrence: int,
        step: int,
        index: int,
        run: int,
        worker_id: str,
    ) -> bool:
        task = TaskKey(job_id, occurrence, step, index)
        work = self.work(StepKey(job_id, occurrence, step))
        unit = work.unit_of(index) if work else None
        job = self.jobs.get(job_id)
        if work is None or unit is None or job is None or not job.active:
            return False
        if not work.ready or worker_id not in self.workers:
            return False
        again = unit.state is UnitState.running and unit.run == run
        if again and work.step.gang and index not in unit.holders:
            self._hold(unit, index, worker_id, work)
            return True
        if unit.state is not UnitState.waiting or run <= unit.run:
            return False
        if unit.holders:
            raise InvariantError('a second run at once', where=str(task))
        unit.run = run
        unit.state = UnitState.running
        work.waiting.pop(unit.first, None)
        if not work.waiting:
            self.ready.pop(work.key, None)
        job.begun = True
        self._hold(unit, index, worker_id, work)
        return True

    @change('end')
    def _end(  # noqa: WPS211
        self,
        job_id: str,
        occurrence: int,
        step: int,
        index: int,
        run: int,
        how: str,
        checkpoint: str,
        now: float,
    ) -> None:
        work = self.work(StepKey(job_id, occurrence, step))
        unit = work.unit_of(index) if work else None
        if work is None or unit is None:
            return
        if run == unit.run:
            self._release(unit, index, work)
        if unit.state in {UnitState.done, UnitState.failed}:
            return
        if checkpoint and work.step.checkpointing:
            unit.checkpoint = checkpoint
        self._settle(work, unit, run, RunEnd(how), now)

    @change('worker')
    def _worker(self, fields: dict[str, Any]) -> bool:
        record = worker_of(fields)
        known = self.workers.get(record.worker_id)
        if known is not None and known.born > record.born:
            return False
        self.workers[record.worker_id] = record
        return True

    @change('worker_gone')
    def _worker_gone(self, worker_id: str, born: int) -> bool:
        known = self.workers.get(worker_id)
        if known is None or known.born > born:
            return False
        if self.open_runs.get(worker_id):
            raise InvariantError('the worker holds runs', where=worker_id)
        self.workers.pop(worker_id)
        self._used.pop(worker_id, None)
        return True

    @change('configure')
    def _configure(self, fields: dict[str, Any]) -> int:
        if fields['version'] > self.table.version:
            self.table = table_of(fields)
            self._queues = {queue.name: queue for queue in self.table.queues}
        return self.table.version

    @change('forget')
    def _forget(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            job = self.jobs.get(job_id)
            if job is not None and not job.active and not _holders_of(job):
                self.jobs.pop(job_id)

    def _begin(self, job: Job, occurrence: int) -> None:
        job.occurrences[occurrence] = make_works(
            job.job_id, occurrence, job.spec
        )
        self._make_ready(job.occurrences[occurrence])

    def _make_ready(self, works: list[StepWork]) -> None:
        for work in works:
            waits = any(works[one].left for one in work.step.depends_on)
            if work.ready or waits:
                continue
            work.ready = True
            work.waiting = {unit.first: unit for unit in work.units}
            self._tell_ready(work)

    def _tell_ready(self, work: StepWork) -> None:
        self.ready[work.key] = work
        if self.listener is not None:
            self.listener.step_ready(work)

    def _hold(
        self, unit: Unit, index: int, worker_id: str, work: StepWork
    ) -> None:
        unit.holders[index] = worker_id
        runs = self.open_runs.setdefault(worker_id, {})
        runs[unit.task(index)] = unit.run
        used = self._used.get(worker_id, Room())
        self._used[worker_id] = used.plus(work.room)

    def _release(self, unit: Unit, index: int, work: StepWork) -> None:
        worker_id = unit.holders.pop(index, None)
        if worker_id is None:
            return
        self.open_runs[worker_id].pop(unit.task(index), None)
        self._used[worker_id] = self._used[worker_id].minus(work.room)
        if self.listener is not None:
            self.listener.run_over(unit.task(index), unit.run, worker_id)

    def _settle(
        self, work: StepWork, unit: Unit, run: int, how: RunEnd, now: float
    ) -> None:
        job = self.jobs[work.key.job_id]
        if how is RunEnd.done and not work.step.long_running:
            self._done(job, work, unit, now)
            return
        if how is RunEnd.failed and not work.step.long_running:
            unit.failed_runs.add(run)
            limit = self.queue_now(job).maximum_failures
            if len(unit.failed_runs) >= limit:
                unit.state = UnitState.failed
                if job.active:
                    job.failed = True
                    self._end_job(job, now)
                return
        if not unit.holders and unit.state is UnitState.running:
            unit.state = UnitState.waiting
            if job.active:
                work.waiting[unit.first] = unit
                self._tell_ready(work)

    def _done(self, job: Job, work: StepWork, unit: Unit, now: float) -> None:
        unit.state = UnitState.done
        work.waiting.pop(unit.first, None)
        if not work.waiting:
            self.ready.pop(work.key, None)
        work.left -= 1
        if work.left or not job.active:
            return
        works = job.occurrences[work.key.occurrence]
        if any(one.left for one in works):
            self._make_ready(works)
            return
        job.finished += 1
        if job.state is JobState.completed:
            self._end_job(job, now)

    def _end_job(self, job: Job, now: float) -> None:
        job.ended_at = now
        for works in job.occurrences.values():
            for work in works:
                work.waiting.clear()
                self.ready.pop(work.key, None)
        if self.listener is not None:
            self.listener.job_ended(job)

    def _take_over(self, job: Job) -> None:
        for work in chain.from_iterable(job.occurrences.values()):
            for unit in work.units:
                holders = tuple(unit.holders.items())
                for index, worker_id in holders:
                    self._hold(unit, index, worker_id, work)
            if work.waiting:
                self.ready[work.key] = work


def _holders_of(job: Job) -> bool:
    works = chain.from_iterable(job.occurrences.values())
    return any(unit.holders for work in works for unit in work.units)
