"""State shared by the parts of the dispatcher during a leader's term."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.ports import WorkerClient
from mulberryhitch.dispatch.reports.accounting import (
    MILLICORES_PER_CORE,
    RunAccounting,
)
from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun, TrackedWorker
from mulberryhitch.dispatch.runs.worker_speeds import WorkerSpeeds
from mulberryhitch.errors import MulberryhitchError, StorageError
from mulberryhitch.jobs.changes import Change
from mulberryhitch.jobs.model import StepKey, TaskKey
from mulberryhitch.jobs.state import RunOutcome, StepExecution, UnitState
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log

# Shorter than the time after which a leader with a full disk hands over.
_STORAGE_RETRY_SECONDS = 0.2

Commit = Callable[[list[Change]], Awaitable[list[Any]]]


@dataclass(slots=True)
class Term:
    """A leader's term.

    Attributes:
        job_store: The committed state.
        commit: Commits changes and returns their results.
        may_act: Returns whether the leader's lease is valid.
        fence: The term's number, used as a fencing token; higher than that of
            any earlier leader.
        worker_client: Client of the workers.
        options: Options of the dispatcher.
        log: Receives each decision.
        histograms: Receives waiting times.
        wall_time: Returns seconds since 1970.
        accounting: Collects ends and stops for the status report.
        completed_work: Learns how far estimates are off.
        speeds: Speeds of the workers.
        tracked_workers: State of the workers, by id.
        ended: Set when a worker has reported a newer leader.
        round_due: Set when another placement round is due.
        urgent_round_due: Set when a round of the most urgent steps is due.
        round_requests: Number of rounds that have been requested.
        writable_at: When changes may be committed again after a storage error,
            in seconds of the monotonic clock.
        task_group: Runs the term's tasks; None until the dispatcher runs.
    """

    job_store: JobStore
    commit: Commit
    may_act: Callable[[], bool]
    fence: int
    worker_client: WorkerClient
    options: DispatchOptions
    log: Log
    histograms: Histograms
    wall_time: Callable[[], float]
    accounting: RunAccounting = field(default_factory=RunAccounting)
    completed_work: CompletedWork = field(default_factory=CompletedWork)
    speeds: WorkerSpeeds = field(default_factory=WorkerSpeeds)
    tracked_workers: dict[str, TrackedWorker] = field(default_factory=dict)
    ended: anyio.Event = field(default_factory=anyio.Event)
    round_due: anyio.Event = field(default_factory=anyio.Event)
    urgent_round_due: anyio.Event = field(default_factory=anyio.Event)
    round_requests: int = 0
    writable_at: float = 0
    task_group: TaskGroup | None = None

    def request_round(self) -> None:
        """Requests another placement round."""
        self.round_requests += 1
        self.round_due.set()
        self.urgent_round_due.set()

    async def commit_unless_full(self, batch: list[Change]) -> list[Any]:
        """Commits changes; a storage error delays further ones.

        Raises:
            MulberryhitchError: The changes could not be committed.
        """
        try:
            outcomes = await self.commit(batch)
        except StorageError:
            self._delay_changes()
            raise
        self.writable_at = 0
        return outcomes

    async def wait_until_writable(self) -> None:
        """Waits while the disk has just refused a change."""
        while anyio.current_time() < self.writable_at:
            await anyio.sleep(self.writable_at - anyio.current_time())

    def start_soon(self, function: Callable[..., Any], *args: Any) -> None:
        """Starts a task that is cancelled at the end of the term."""
        if self.task_group is not None:
            self.task_group.start_soon(function, *args)

    def incarnation_of(self, worker_id: str) -> int:
        """Returns the known incarnation of a worker; zero if unknown."""
        worker = self.tracked_workers.get(worker_id)
        return worker.record.born if worker else 0

    def step_down(self, worker: TrackedWorker) -> None:
        """Ends the term, because a worker has seen a newer leader."""
        self.log.event(
            'dispatcher.deposed',
            worker=worker.record.worker_id,
            fence=self.fence,
        )
        self.ended.set()

    def log_task(
        self, event: str, task: TaskKey, run: int, worker_id: str, **more: Any
    ) -> None:
        """Logs a decision about a run."""
        self.log.event(
            event,
            job=task.job_id,
            task=list(task[1:]),
            run=run,
            worker=worker_id,
            **more,
        )

    def record_stop(
        self,
        task: TaskKey,
        run: int,
        worker_id: str,
        reason: str,
        lost: float = 0,
    ) -> None:
        """Logs and counts that a run is told to stop.

        Args:
            task: The task.
            run: Number of the run.
            worker_id: The worker that runs it.
            reason: Why it is stopped.
            lost: Core-seconds that a preemption loses.
        """
        self.log_task(
            'task.stopping',
            task,
            run,
            worker_id,
            reason=reason,
            lost=round(lost, 2),
        )
        self.log.count(f'task.stopping.{reason}')
        job = self.job_store.jobs.get(task.job_id)
        if job is not None:
            self.accounting.record_stop(job.queue.name, reason, lost)

    def record_end(
        self,
        task: TaskKey,
        outcome: RunOutcome,
        tracked: TrackedRun | None,
        checkpoint: str,
    ) -> None:
        """Counts the end of a run and the processor time that it took."""
        self.log.count(f'task.ended.{outcome.value}')
        job = self.job_store.jobs.get(task.job_id)
        execution = self.job_store.step_execution(StepKey(*task[:3]))
        if job is None or execution is None:
            return
        self.accounting.record_end(
            job.queue.name,
            outcome,
            execution.resources,
            tracked,
            checkpoint,
            anyio.current_time(),
        )
        if outcome is RunOutcome.done and tracked is not None:
            self._record_completed(job.queue.name, execution, tracked)

    def is_unwanted(self, task: TaskKey, run: int) -> bool:
        """Whether a run is no longer needed."""
        job = self.job_store.jobs.get(task.job_id)
        unit = self.job_store.unit(task)
        if job is None or unit is None or not job.active:
            return True
        return unit.run != run or unit.state is not UnitState.running

    async def commit_or_log(self, batch: list[Change]) -> bool:
        """Commits changes; logs errors, and retries after storage errors.

        Returns:
            Whether the changes are committed.
        """
        while True:
            await self.wait_until_writable()
            if self.writable_at:
                # The other callers wait for the outcome of this attempt.
                self._delay_changes()
            try:
                await self.commit_unless_full(batch)
            except StorageError as error:
                self.log.problem('changes.disk', error.problem)
            except MulberryhitchError as error:
                self.log.problem('changes.uncommitted', error.problem)
                return False
            else:
                return True

    def _delay_changes(self) -> None:
        self.writable_at = anyio.current_time() + _STORAGE_RETRY_SECONDS

    def _record_completed(
        self, queue_name: str, execution: StepExecution, tracked: TrackedRun
    ) -> None:
        """Learns from a run, if the whole of it was observed."""
        is_partial = tracked.inherited or tracked.resumed
        if is_partial or not tracked.confirmed or execution.step.long_running:
            return
        now = anyio.current_time()
        self.completed_work.record(
            queue_name,
            execution.resources.processors / MILLICORES_PER_CORE,
            execution.step.estimate_seconds,
            now - tracked.confirmed_at,
            now,
        )
