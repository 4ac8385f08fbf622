"""Summarises the backlog from the job store and the workers."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from mulberryhitch.dispatch.admission.backlog import Backlog, ServiceLoad
from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.admission.observed_waits import RECENT_SECONDS
from mulberryhitch.dispatch.admission.ports import (
    TenantShareSource,
    WorkerSpeedSource,
)
from mulberryhitch.dispatch.admission.startable_work import (
    CappedWork,
    StartableShapes,
    fits_cap,
)
from mulberryhitch.dispatch.admission.work import (
    Work,
    job_work,
    step_work,
    work_of,
)
from mulberryhitch.dispatch.placement.plans import (
    LATE_FACTOR,
    EstimateCache,
)
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Queue
from mulberryhitch.jobs.state import Job, StepExecution
from mulberryhitch.jobs.store import JobStore

# Longer than two heartbeats: a worker that misses a poll still counts, so that
# a short fault of a link does not look like a lack of room.
_CONTACT_SECONDS = 5.0
# Workers that are cut off never list their runs, so not all of them have to.
_LISTED_SHARE = 0.9
# By then the leases of an earlier leader's runs have expired.
_LONGEST_LISTING_SECONDS = 12.0


class BacklogSource(Protocol):
    """Provides summaries of the backlog."""

    def read(self, now: float) -> Backlog:
        """Returns a summary; `now` is in seconds on the local clock."""


@dataclass(frozen=True, slots=True)
class _WaitingStep:
    """A ready step, its queue as configured, and the age of its job."""

    execution: StepExecution
    job: Job
    queue: Queue
    age: float

    @property
    def work(self) -> Work:
        """The work left of it, and of steps not yet ready if it is the first.

        Each ready step counts its own work, and a job's first step is ready
        from the start, so all work of a job that has not begun counts once.
        """
        execution = self.execution
        units = len(execution.units)
        share = len(execution.waiting_units) / units if units else 0
        work = step_work(execution.step).times(share)
        if execution.key.step:
            return work
        for other in self.job.occurrences.get(execution.key.occurrence, ()):
            if not other.ready:
                work = work.plus(step_work(other.step))
        return work


class _JobWork:
    """Core-seconds of whole jobs, each summed up once in a summary.

    A job may have thousands of ready steps.
    """

    def __init__(self) -> None:
        self._core_seconds: dict[str, float] = {}

    def of(self, job: Job) -> float:
        core_seconds = self._core_seconds.get(job.job_id)
        if core_seconds is None:
            core_seconds = job_work(job.spec).processors
            self._core_seconds[job.job_id] = core_seconds
        return core_seconds


@dataclass(frozen=True, slots=True)
class _Summary:
    """A summary that is being made, and what it rests on."""

    backlog: Backlog
    shapes: StartableShapes
    capped: CappedWork
    job_work: _JobWork = field(default_factory=_JobWork)


class BacklogReader:
    """Reads the backlog from the state of a leader's term.

    Args:
        job_store: The committed state.
        workers: The workers, by id.
        estimates: Objectives and critical paths.
        completed: Ratios of actual to estimated work.
        sizes: Sizes of the submitted jobs, by queue name.
        speeds: Speeds of the workers.
        shares: Shares of the tenants.
        wall_time: Returns seconds since 1970.
    """

    def __init__(  # noqa: WPS211
        self,
        job_store: JobStore,
        workers: Mapping[str, TrackedWorker],
        estimates: EstimateCache,
        completed: CompletedWork,
        sizes: Mapping[str, JobSizes],
        speeds: WorkerSpeedSource,
        shares: TenantShareSource,
        wall_time: Callable[[], float],
    ) -> None:
        """Initialises the reader."""
        self._job_store = job_store
        self._workers = workers
        self._estimates = estimates
        self._completed = completed
        self._sizes = sizes
        self._speeds = speeds
        self._shares = shares
        self._wall_time = wall_time

    def read(self, now: float) -> Backlog:
        """Returns a summary; `now` is in seconds on the local clock."""
        backlog = Backlog(now, self._knows_workers(now))
        for tenant in self._job_store.queue_table.tenants:
            if any(tenant.cap):
                backlog.caps[tenant.name] = work_of(tenant.cap, 1)
        for worker in self._workers.values():
            self._add_worker(backlog, worker, now)
        summary = _Summary(
            backlog,
            StartableShapes(
                worker
                for worker in self._workers.values()
                if _is_in_use(worker, now)
            ),
            CappedWork(backlog.caps),
        )
        steps = self._job_store.ready_steps
        backlog.size = len(steps) + len(self._workers)
        wall_time = self._wall_time()
        for execution in steps.values():
            job = self._job_store.jobs[execution.key.job_id]
            age = wall_time - job.due_at(execution.key.occurrence)
            if age >= 0 and not execution.step.long_running:
                queue = self._job_store.current_queue(job)
                self._add_step(
                    summary, _WaitingStep(execution, job, queue, age)
                )
        return backlog

    def _knows_workers(self, now: float) -> bool:
        """Whether nearly all workers have listed their runs, or never will."""
        workers = self._workers.values()
        missing = sum(
            not worker.listed
            and now - worker.began_at < _LONGEST_LISTING_SECONDS
            for worker in workers
        )
        return missing <= len(workers) * (1 - _LISTED_SHARE)

    def _add_worker(
        self, backlog: Backlog, worker: TrackedWorker, now: float
    ) -> None:
        record = worker.record
        used = self._job_store.used_resources(record.worker_id)
        load = backlog.services.setdefault(record.service, ServiceLoad())
        if not _is_in_use(worker, now):
            return
        speed = self._speeds.speed_of(record.worker_id)
        load.rate = load.rate.plus(work_of(worker.capacity, speed))
        load.used = load.used.plus(work_of(used, speed))

    def _add_step(self, summary: _Summary, waiting: _WaitingStep) -> None:
        queue, job = waiting.queue, waiting.job
        objective, chain = self._estimates.objective_and_critical_path(
            job, waiting.execution, queue
        )
        if waiting.age > objective * LATE_FACTOR:
            # Placed after all others.
            return
        if not self._can_start(summary, waiting):
            return
        backlog = summary.backlog
        estimated = waiting.work
        work = estimated.times(self._completed.ratio(queue.name))
        late_for = waiting.age + chain - objective
        backlog.add_tenant_work(
            job.tenant, queue.urgency, work, is_late=late_for > 0
        )
        if not summary.capped.takes_room(job.tenant, work, objective):
            return
        core_seconds = summary.job_work.of(job)
        is_missed = 0 < late_for <= RECENT_SECONDS and not job.begun
        if is_missed and not waiting.execution.key.step:
            missed = backlog.missed.setdefault(queue.name, [])
            missed.append(core_seconds)
        backlog.waiting_of(queue.service, queue.urgency).add(
            work,
            is_late=late_for > 0,
            is_over_share=self._shares.is_over_share(job.tenant),
        )
        self._add_value(backlog, queue.name, core_seconds, estimated.processors)

    def _can_start(self, summary: _Summary, waiting: _WaitingStep) -> bool:
        """Whether a step could start if nothing else ran."""
        step = waiting.execution.step
        tenant = self._job_store.tenant(waiting.job.tenant)
        return fits_cap(step, tenant) and summary.shapes.suits(
            waiting.queue.service, step
        )

    def _add_value(
        self,
        backlog: Backlog,
        queue_name: str,
        total: float,
        core_seconds: float,
    ) -> None:
        """Adds the part of a job's value that falls on its waiting work.

        Args:
            backlog: The summary.
            queue_name: The job's queue.
            total: Work of the whole job, core-seconds.
            core_seconds: The part of it that waits.
        """
        sizes = self._sizes.get(queue_name)
        if sizes is None or not total:
            return
        value = sizes.value_of(total) * core_seconds / total
        backlog.add_value(queue_name, value, core_seconds)


def _is_in_use(worker: TrackedWorker, now: float) -> bool:
    """Whether a worker counts as capacity."""
    is_silent = now - worker.last_contact_at > _CONTACT_SECONDS
    return not (worker.removed or worker.record.draining or is_silent)
