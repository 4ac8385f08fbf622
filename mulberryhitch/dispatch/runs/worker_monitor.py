"""Polls the workers for their runs and commits the ends of runs."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio

from mulberryhitch.dispatch.ports import WorkerAnswer, WorkerView
from mulberryhitch.dispatch.runs.run_controller import RunController
from mulberryhitch.dispatch.runs.run_times import RunTimes
from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun, TrackedWorker
from mulberryhitch.dispatch.runs.worker_speeds import MeasuredRun
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.state import RunOutcome

_NO_LEASE_PAUSE_SECONDS = 0.1
# Speeds change slowly, and an update looks at all workers.
_SPEEDS_SECONDS = 1.0
_MISSED_POLL_PAUSE_SECONDS = 0.25
# A list with this many ends may be truncated, so omissions prove nothing.
_MAX_LISTED_ENDS = 500


class WorkerMonitor:
    """Polls each worker in a task of its own.

    Args:
        term: The leader's term.
        remove_worker: Removes a worker that can no longer run anything, and
            voids its runs.

    Attributes:
        run_controller: Stops runs; set after construction, because the
            controller itself needs the monitor.
    """

    def __init__(
        self,
        term: Term,
        remove_worker: Callable[[str, str], Awaitable[None]],
    ) -> None:
        """Initialises the monitor."""
        self._term = term
        self._remove_worker = remove_worker
        self.run_controller: RunController | None = None
        self._run_times = RunTimes()
        self._speeds_due: float = 0

    def remove_step(self, key: StepKey, completed: bool) -> None:
        """Discards what is known of a step that has ended.

        Args:
            key: The step.
            completed: Whether all of its tasks are done.
        """
        self._run_times.remove_step(key)
        if completed:
            self._term.speeds.finish_step(key, anyio.current_time())
        else:
            self._term.speeds.discard_step(key)

    def update_speeds(self) -> None:
        """Recomputes the speeds of the workers, once a second."""
        now = anyio.current_time()
        if now < self._speeds_due:
            return
        self._speeds_due = now + _SPEEDS_SECONDS
        self._term.speeds.update(now)
        for worker_id, worker in self._term.tracked_workers.items():
            worker.speed = self._term.speeds.speed_of(worker_id)

    def start_watching(self, record: WorkerRecord) -> TrackedWorker:
        """Starts polling a worker and returns its state."""
        now = anyio.current_time()
        worker = TrackedWorker(record, self._term.options, now)
        self._term.tracked_workers[record.worker_id] = worker
        open_runs = self._term.job_store.open_runs.get(record.worker_id, {})
        for task, run in open_runs.items():
            step_key = StepKey(*task[:3])
            execution = self._term.job_store.step_execution(step_key)
            worker.tracked_runs[task] = TrackedRun(
                run,
                confirmed=True,
                progressed_at=now,
                inherited=True,
                estimate_seconds=(
                    execution.step.estimate_seconds if execution else 0
                ),
                execution=execution,
            )
        self._term.start_soon(self._watch, worker)
        return worker

    async def poll_now(self, worker: TrackedWorker) -> None:
        """Polls a worker without waiting for a run to end."""
        await self._poll(worker, 0)

    def check_soon(self, worker: TrackedWorker) -> None:
        """Polls a worker at once, because another one claims its address.

        Nothing is placed on it until it answers. If the other one does, the
        worker is removed.
        """
        self._record_missed_poll(worker)
        worker.wake_watcher()
        self._term.start_soon(self._poll, worker, 0)

    async def try_remove_worker(
        self, worker: TrackedWorker, reason: str
    ) -> None:
        """Removes a worker, or logs why that could not be committed."""
        try:
            await self._remove_worker(worker.record.worker_id, reason)
        except MulberryhitchError as error:
            self._term.log.problem('worker.not_buried', error.problem)

    async def _watch(self, worker: TrackedWorker) -> None:
        while not worker.removed and not self._term.ended.is_set():
            woken = worker.wake_event
            pause = worker.seconds_until_poll(anyio.current_time())
            if not pause:
                pause = await self._poll_once(worker)
            if pause:
                with anyio.move_on_after(pause):
                    await woken.wait()

    async def _poll_once(self, worker: TrackedWorker) -> float:
        if not self._term.may_act():
            return _NO_LEASE_PAUSE_SECONDS
        answers = worker.listed and not worker.missed_polls
        waits = answers and worker.tracked_runs
        wait = self._term.options.poll_wait_seconds
        await self._poll(worker, wait if waits else 0)
        return _MISSED_POLL_PAUSE_SECONDS if worker.missed_polls else 0

    async def _poll(self, worker: TrackedWorker, wait_seconds: float) -> None:
        """Polls a worker; an unexpected error counts as a missed poll.

        What one worker answers must not end the leader's work on the others.
        """
        try:
            await self._poll_or_raise(worker, wait_seconds)
        except Exception as error:  # noqa: BLE001
            self._record_missed_poll(worker)
            self._term.log.unexpected_error(
                'worker.defect', error, worker=worker.record.worker_id
            )

    async def _poll_or_raise(
        self, worker: TrackedWorker, wait_seconds: float
    ) -> None:
        now = anyio.current_time()
        asked = worker.record
        acknowledged_end = (
            0 if worker.numbering_uncertain else worker.acknowledged_end
        )
        # Leases of an unresponsive worker are left to expire: a renewal that
        # is delayed in the network would keep its tasks from starting
        # elsewhere.
        lease_until = 0 if worker.missed_polls else worker.extend_lease(now)
        try:
            view = await self._term.worker_client.poll(
                asked,
                self._term.fence,
                acknowledged_end,
                lease_until,
                wait_seconds,
            )
        except MulberryhitchError as error:
            self._handle_missed_poll(worker, error)
            return
        if isinstance(view, WorkerAnswer):
            await self._handle_refusal(worker, asked, view)
        elif not worker.removed:
            # A list that names no incarnation is from the one that was asked.
            view = replace(view, incarnation=view.incarnation or asked.born)
            if view.incarnation < worker.record.born:
                self._record_missed_poll(worker)
                return
            worker.missed_polls = 0
            worker.last_contact_at = anyio.current_time()
            worker.reported_end = acknowledged_end
            await self._apply_view(worker, view, now)

    def _handle_missed_poll(
        self, worker: TrackedWorker, error: MulberryhitchError
    ) -> None:
        self._record_missed_poll(worker)
        if worker.missed_polls == 1:
            self._term.log.problem(
                'worker.silent',
                error.problem,
                worker=worker.record.worker_id,
                runs=len(worker.tracked_runs),
            )

    def _record_missed_poll(self, worker: TrackedWorker) -> None:
        worker.missed_polls += 1
        worker.missed_at = anyio.current_time()
        worker.numbering_uncertain = True

    async def _handle_refusal(
        self, worker: TrackedWorker, asked: WorkerRecord, answer: WorkerAnswer
    ) -> None:
        self._record_missed_poll(worker)
        if answer is WorkerAnswer.fenced:
            self._term.step_down(worker)
        elif answer is WorkerAnswer.replaced and worker.record == asked:
            await self.try_remove_worker(worker, 'replaced')

    async def _apply_view(
        self, worker: TrackedWorker, view: WorkerView, sent_at: float
    ) -> None:
        if not await self._check_incarnation(worker, view):
            return
        first = not worker.listed
        worker.record_contact(view.clock, anyio.current_time())
        if first:
            worker.record_first_listing(view.clock)
            self._term.log.event(
                'worker.listed',
                worker=worker.record.worker_id,
                born=worker.record.born,
                running=len(view.running),
                ended=len(view.ended),
                fence=self._term.fence,
            )
            self._term.request_round()
        batch = self._new_ends(worker, view)
        batch.extend(self._unlisted_ends(worker, view, sent_at))
        self._update_running(worker, view)
        born = worker.record.born
        if batch and not await self._term.commit_or_log(batch):
            return
        if worker.record.born != born:
            # Its numbers of ends have started anew meanwhile.
            return
        worker.numbering_uncertain = False
        newest = max((row.number for row in view.ended), default=0)
        worker.acknowledge_end(newest, anyio.current_time())

    async def _check_incarnation(
        self, worker: TrackedWorker, view: WorkerView
    ) -> bool:
        """Whether a list is from the current incarnation; records a restart."""
        if view.incarnation == worker.record.born:
            return True
        record = worker.record.restarted(view.incarnation)
        if not await self._term.commit_or_log(
            [changes.register_worker(record)]
        ):
            return False
        worker.record_restart(record, anyio.current_time())
        self._term.speeds.forget(record.worker_id)
        worker.is_record_current = False
        return True

    def _new_ends(
        self, worker: TrackedWorker, view: WorkerView
    ) -> list[changes.Change]:
        batch = []
        wall_time = self._term.wall_time()
        now = anyio.current_time()
        for row in view.ended:
            if row.number <= worker.acknowledged_end:
                continue
            if row.outcome in {RunOutcome.done, RunOutcome.failed}:
                worker.record_end(row.outcome is RunOutcome.failed, now)
            tracked = worker.tracked_runs.get(row.task)
            if tracked is not None and tracked.run == row.run:
                self._term.record_end(
                    row.task, row.outcome, tracked, row.checkpoint
                )
                if row.outcome is RunOutcome.done and view.complete:
                    self._measure(worker, row.task, tracked, now)
            batch.append(
                changes.end_run(
                    row.task, row.run, row.outcome, row.checkpoint, wall_time
                )
            )
            self._term.log_task(
                'task.ended',
                row.task,
                row.run,
                worker.record.worker_id,
                how=row.outcome.value,
                number=row.number,
            )
        return batch

    def _measure(
        self,
        worker: TrackedWorker,
        task: TaskKey,
        tracked: TrackedRun,
        now: float,
    ) -> None:
        """Records how long a run took that is done, unless that is uncertain.

        Members of a gang end together, whatever the speeds of their workers. A
        worker that missed a poll may have been frozen.
        """
        if tracked.execution is None or worker.missed_at > tracked.confirmed_at:
            return
        step = tracked.execution.step
        seconds = tracked.measured_seconds(now)
        if step.gang or step.long_running or not seconds:
            return
        near_data = step.data_rack in {'', worker.record.rack}
        self._term.speeds.record(
            task,
            worker.record.service,
            MeasuredRun(
                worker.record.worker_id, near_data, seconds, step.count
            ),
            now,
        )

    def _unlisted_ends(
        self, worker: TrackedWorker, view: WorkerView, sent_at: float
    ) -> list[changes.Change]:
        """Returns changes for runs not listed that can no longer start."""
        if not view.complete or len(view.ended) >= _MAX_LISTED_ENDS:
            return []
        listed = {(row.task, row.run) for row in view.running}
        listed |= {(row.task, row.run) for row in view.ended}
        batch = []
        wall_time = self._term.wall_time()
        open_runs = self._term.job_store.open_runs.get(
            worker.record.worker_id, {}
        )
        for task, run in open_runs.items():
            tracked = worker.tracked_runs.get(task)
            if (task, run) in listed or tracked is None or tracked.run != run:
                continue
            if not tracked.ended_if_unlisted(sent_at):
                continue
            self._term.record_end(
                task, RunOutcome.void, tracked, tracked.checkpoint
            )
            batch.append(
                changes.end_run(
                    task, run, RunOutcome.void, tracked.checkpoint, wall_time
                )
            )
            self._term.log_task(
                'task.void',
                task,
                run,
                worker.record.worker_id,
                reason='not listed',
                inherited=tracked.inherited,
            )
        return batch

    def _update_running(self, worker: TrackedWorker, view: WorkerView) -> None:
        now = anyio.current_time()
        runs: dict[StepKey, list[TrackedRun]] = {}
        for row in view.running:
            tracked = worker.tracked_runs.get(row.task)
            if tracked is None or tracked.run != row.run:
                self._check_stray(worker, row.task, row.run)
                continue
            tracked.update_progress(row.percent, row.checkpoint, now)
            runs.setdefault(StepKey(*row.task[:3]), []).append(tracked)
            self._stop_if_unneeded(worker, row.task, tracked, now)
        ratios = self._run_times.slowdowns(worker.record.worker_id, runs, now)
        if worker.record_slowdowns(ratios, now):
            self._term.log.event(
                'worker.slow',
                worker=worker.record.worker_id,
                ratios=[round(ratio, 1) for ratio in ratios],
            )

    def _stop_if_unneeded(
        self,
        worker: TrackedWorker,
        task: TaskKey,
        tracked: TrackedRun,
        now: float,
    ) -> None:
        """Stops a run that is no longer needed or makes no progress."""
        reason = ''
        if self._term.is_unwanted(task, tracked.run):
            reason = 'unwanted'
        elif tracked.stalled(now) and self._can_stall(task):
            reason = 'stalled'
        if reason and self.run_controller is not None:
            self.run_controller.stop(
                task, tracked.run, worker.record.worker_id, reason
            )

    def _can_stall(self, task: TaskKey) -> bool:
        execution = self._term.job_store.step_execution(StepKey(*task[:3]))
        return execution is not None and not execution.step.long_running

    def _check_stray(
        self, worker: TrackedWorker, task: TaskKey, run: int
    ) -> None:
        open_runs = self._term.job_store.open_runs.get(
            worker.record.worker_id, {}
        )
        if open_runs.get(task) != run and self.run_controller is not None:
            self.run_controller.stop_stray(worker, task, run)
