"""Starts and stops runs on workers, and handles lost answers."""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace

import anyio

from mulberryhitch.dispatch.permits.manager import PermitManager
from mulberryhitch.dispatch.placement.plans import Placement
from mulberryhitch.dispatch.ports import StartCommand, WorkerAnswer
from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun, TrackedWorker
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import MulberryhitchError, UnreachableError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import StepKey, TaskKey
from mulberryhitch.jobs.state import RunOutcome, Unit

_RETRY_PAUSE_SECONDS = 0.1
_STOP_RETRY_SECONDS = 0.25
_START_ATTEMPTS = 2
_ANSWERS_ABOUT_RUN = frozenset((WorkerAnswer.fenced, WorkerAnswer.stale))


class RunController:
    """Sends start and stop commands and handles their answers.

    Args:
        term: The leader's term.
        permit_manager: Discards permits that a worker did not accept.
        poll: Polls a worker without waiting for a run to end.
    """

    def __init__(
        self,
        term: Term,
        permit_manager: PermitManager,
        poll: Callable[[TrackedWorker], Awaitable[None]],
    ) -> None:
        """Initialises the controller."""
        self._term = term
        self._permit_manager = permit_manager
        self._poll = poll

    def start(self, placement: Placement) -> None:
        """Starts a run whose grant is committed."""
        task = placement.unit.task_key(placement.index)
        worker = self._term.tracked_workers.get(placement.worker_id)
        job = self._term.job_store.jobs.get(task.job_id)
        if worker is None or job is None:
            return
        now = anyio.current_time()
        execution = self._term.job_store.step_execution(placement.unit.step_key)
        estimate = execution.step.estimate_seconds if execution else 0
        tracked = TrackedRun(
            placement.unit.run,
            progressed_at=now,
            resumed=bool(placement.unit.checkpoint),
            estimate_seconds=estimate,
            execution=execution,
        )
        worker.tracked_runs[task] = tracked
        worker.wake_watcher()
        self._term.accounting.record_start(job.queue.name)
        self._term.histograms.record(
            'wait',
            job.queue.name,
            'start',
            self._term.wall_time() - job.accepted_at,
        )
        self._term.log_task(
            'task.granted',
            task,
            tracked.run,
            placement.worker_id,
            heard_ago=round(now - worker.last_contact_at, 3),
            speed=round(worker.speed, 2),
        )
        command = StartCommand(
            task,
            tracked.run,
            job.spec.argument,
            placement.unit.checkpoint,
            self._term.fence,
            0,
            placement.ticket,
        )
        self._term.start_soon(self._start, worker, tracked, command)

    async def withdraw(self, placements: Iterable[Placement]) -> None:
        """Voids granted runs of gangs of which another member was refused.

        They were not started: the gang could not begin without that member.
        """
        batch = []
        for placement in placements:
            task = placement.unit.task_key(placement.index)
            run = placement.unit.run
            self._term.log_task(
                'task.void',
                task,
                run,
                placement.worker_id,
                reason='a member was not granted',
            )
            batch.append(
                changes.end_run(
                    task,
                    run,
                    RunOutcome.void,
                    placement.unit.checkpoint,
                    self._term.wall_time(),
                )
            )
        await self._term.commit_or_log(batch)

    def stop(
        self,
        task: TaskKey,
        run: int,
        worker_id: str,
        reason: str,
        lost: float = 0,
    ) -> None:
        """Stops a run, unless it has ended or is already being stopped.

        Args:
            task: The task.
            run: Number of the run.
            worker_id: The worker that runs it.
            reason: Why it is stopped.
            lost: Core-seconds that a preemption loses.
        """
        worker = self._term.tracked_workers.get(worker_id)
        tracked = worker.tracked_runs.get(task) if worker else None
        if worker is None or tracked is None or tracked.run != run:
            return
        if tracked.stopping:
            return
        tracked.stopping_at = anyio.current_time()
        self._term.record_stop(task, run, worker_id, reason, lost)
        self._term.start_soon(
            self._stop_until_acknowledged, worker, tracked, task
        )

    def stop_unit(self, unit: Unit, reason: str) -> None:
        """Stops all tasks of a unit that may be running."""
        for index, worker_id in tuple(unit.holders.items()):
            self.stop(unit.task_key(index), unit.run, worker_id, reason)

    def stop_gang(self, task: TaskKey, run: int, reason: str) -> None:
        """Stops the rest of a gang that has lost a member."""
        unit = self._term.job_store.unit(task)
        if unit is not None and unit.task_count > 1 and unit.run == run:
            self.stop_unit(unit, reason)

    def stop_stray(
        self, worker: TrackedWorker, task: TaskKey, run: int
    ) -> None:
        """Stops a run that a worker lists but that was not granted to it."""
        self._term.log_task('task.stray', task, run, worker.record.worker_id)
        self._term.start_soon(self._try_stop, worker, task, run)

    async def _start(
        self, worker: TrackedWorker, tracked: TrackedRun, command: StartCommand
    ) -> None:
        answer = await self._send_start(worker, tracked, command)
        if tracked.confirmed and answer not in _ANSWERS_ABOUT_RUN:
            # A list has shown the run, so it started, whatever became of a
            # repeated start.
            answer = WorkerAnswer.started
        self._term.log_task(
            'task.ordered',
            command.task,
            tracked.run,
            worker.record.worker_id,
            answer=answer.value if answer else 'none',
            uncertain=tracked.uncertain,
        )
        if answer is WorkerAnswer.started:
            tracked.confirm(anyio.current_time())
            if self._term.is_unwanted(command.task, tracked.run):
                self.stop(
                    command.task,
                    tracked.run,
                    worker.record.worker_id,
                    'unwanted',
                )
            return
        await self._handle_failed_start(worker, tracked, command, answer)
        self.stop_gang(command.task, tracked.run, 'a member did not start')

    async def _send_start(
        self, worker: TrackedWorker, tracked: TrackedRun, command: StartCommand
    ) -> WorkerAnswer | None:
        for _ in range(_START_ATTEMPTS):
            if worker.removed or not self._term.may_act() or tracked.stopping:
                return None
            is_open = worker.tracked_runs.get(command.task) is tracked
            if tracked.confirmed or not is_open:
                return None
            answer = await self._try_start(worker, tracked, command)
            if answer is not None:
                return answer
            await anyio.sleep(_RETRY_PAUSE_SECONDS)
        return None

    async def _try_start(
        self, worker: TrackedWorker, tracked: TrackedRun, command: StartCommand
    ) -> WorkerAnswer | None:
        command = replace(
            command, lease_until=worker.extend_lease(anyio.current_time())
        )
        asked = worker.record.born
        try:
            answer, clock = await self._term.worker_client.start(
                worker.record, command
            )
        except UnreachableError:
            return None
        except MulberryhitchError as error:
            tracked.uncertain = True
            self._term.log.problem(
                'task.unanswered',
                error.problem,
                job=command.task.job_id,
                worker=worker.record.worker_id,
            )
            return None
        if worker.record.born == asked:
            worker.record_contact(clock, anyio.current_time())
        return answer

    async def _handle_failed_start(
        self,
        worker: TrackedWorker,
        tracked: TrackedRun,
        command: StartCommand,
        answer: WorkerAnswer | None,
    ) -> None:
        if answer is WorkerAnswer.fenced:
            self._term.step_down(worker)
        elif answer is WorkerAnswer.stale:
            tracked.confirm(anyio.current_time())
            await self._poll(worker)
        elif tracked.uncertain:
            self._term.record_stop(
                command.task, tracked.run, worker.record.worker_id, 'no answer'
            )
            tracked.stopping_at = anyio.current_time()
            # The stop may take until the worker's lease has expired.
            self.stop_gang(command.task, tracked.run, 'a member did not start')
            await self._stop_until_acknowledged(worker, tracked, command.task)
        else:
            if answer is WorkerAnswer.no_permit:
                self._permit_manager.discard_permit(
                    StepKey(*command.task[:3]), worker.record.worker_id
                )
            else:
                worker.record_refusal(anyio.current_time())
            await self._commit_void(worker, command.task, tracked, str(answer))

    async def _commit_void(
        self,
        worker: TrackedWorker,
        task: TaskKey,
        tracked: TrackedRun,
        reason: str,
    ) -> None:
        self._term.log_task(
            'task.void',
            task,
            tracked.run,
            worker.record.worker_id,
            reason=reason,
        )
        ended = changes.end_run(
            task,
            tracked.run,
            RunOutcome.void,
            tracked.checkpoint,
            self._term.wall_time(),
        )
        await self._term.commit_or_log([ended])

    async def _stop_until_acknowledged(
        self, worker: TrackedWorker, tracked: TrackedRun, task: TaskKey
    ) -> None:
        """Stops a run, or prevents an unanswered start from taking effect."""
        tracked.stopping_at = tracked.stopping_at or anyio.current_time()
        while not worker.removed and worker.tracked_runs.get(task) is tracked:
            answer = await self._try_stop(worker, task, tracked.run)
            if answer is WorkerAnswer.fenced:
                self._term.step_down(worker)
                return
            if answer is not None:
                tracked.stop_acknowledged_at = anyio.current_time()
                if not tracked.confirmed or tracked.uncertain:
                    await self._poll(worker)
                return
            await anyio.sleep(_STOP_RETRY_SECONDS)

    async def _try_stop(
        self, worker: TrackedWorker, task: TaskKey, run: int
    ) -> WorkerAnswer | None:
        if not self._term.may_act():
            return None
        try:
            return await self._term.worker_client.stop(
                worker.record, task, run, self._term.fence
            )
        except MulberryhitchError as error:
            self._term.log.problem(
                'stop.unanswered',
                error.problem,
                job=task.job_id,
                worker=worker.record.worker_id,
            )
        return None
