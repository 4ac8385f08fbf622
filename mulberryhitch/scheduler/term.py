"""The work of a data centre's leader in one term: placement and leases."""

import heapq
import time
from collections.abc import Callable
from typing import Any, TypeAlias

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import (
    LostAuthorityError,
    MulberryhitchError,
    NotLeaderError,
    OutcomeUnknownError,
)
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.placement.engine import PlacementEngine
from mulberryhitch.placement.model import Decision, Placed
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.records import encode, kind_of
from mulberryhitch.scheduler import commands
from mulberryhitch.scheduler.sessions import SessionCallbacks, WorkerSession
from mulberryhitch.scheduler.state import DataCentreState
from mulberryhitch.scheduler.usage import UsageMonitor
from mulberryhitch.workers.gateway import WorkerGateway
from mulberryhitch.workers.health import WorkerHealth, is_task_at_fault
from mulberryhitch.workers.leases import Lease, TaskKey, Worker
from mulberryhitch.workers.protocol import AttemptReport, StopMode
from mulberryhitch.workloads.model import (
    Kind,
    Task,
    TaskState,
    Workload,
    WorkloadSpec,
)

_PLACED_TASKS_PER_ROUND = 128
_TICK_SECONDS = 0.25
_HISTORY_RETENTION_SECONDS = 86_400.0
_PRUNE_INTERVAL_SECONDS = 600.0
_TERM_ENDED_ERRORS = (LostAuthorityError, NotLeaderError, OutcomeUnknownError)


_CommandHandler: TypeAlias = Callable[[Any, Any], None]
_command_handlers: dict[type, _CommandHandler] = {}


def _handles_command(
    command_type: type,
) -> Callable[[_CommandHandler], _CommandHandler]:
    """Registers the handler of an applied command's type."""

    def register(function: _CommandHandler) -> _CommandHandler:
        _command_handlers[command_type] = function
        return function

    return register


class LeaderTerm:
    """The work of a data centre's leader during one term.

    Args:
        replica: The leading replica.
        state: The data centre's state.
        placement: An empty engine; ``run`` loads the state into it.
        gateway: Sends messages to the workers.
        log: Receives log events.
        metrics: Receives counts and times.
        histograms: Records task wait times.
    """

    def __init__(
        self,
        replica: Replica,
        state: DataCentreState,
        placement: PlacementEngine,
        gateway: WorkerGateway,
        log: Log,
        metrics: Metrics,
        histograms: Histograms,
    ) -> None:
        """Initialises the term; ``run`` loads the state."""
        self.placement = placement
        self._replica = replica
        self._state = state
        self._gateway = gateway
        self._log = log
        self._metrics = metrics
        self._histograms = histograms
        self._health = WorkerHealth()
        self._usage = UsageMonitor()
        self._sessions: dict[str, WorkerSession] = {}
        self._reachable: dict[str, bool] = {}
        self._leaving: set[str] = set()
        self._wake_event = anyio.Event()
        self._task_group: TaskGroup | None = None
        self._term = replica.term
        self._deadlines: list[tuple[float, str]] = []

    async def run(self) -> None:
        """Leads until the replica loses its authority."""
        remove_listener = self._state.add_listener(self._on_command_applied)
        try:
            async with anyio.create_task_group() as task_group:
                self._task_group = task_group
                self._load_state()
                task_group.start_soon(self._place_forever)
                task_group.start_soon(self._prune_forever)
                task_group.start_soon(self._cancel_late_tasks_forever)
                await self._wait_for_lost_authority()
                task_group.cancel_scope.cancel()
        except* _TERM_ENDED_ERRORS:
            self._log.event('term.lost_authority', term=self._term)
        finally:
            remove_listener()

    def update_leaving(self, worker_id: str, leaving: bool) -> None:
        """Sets whether a worker is leaving and so gets no new tasks."""
        if leaving:
            self._leaving.add(worker_id)
        else:
            self._leaving.discard(worker_id)
        self._refresh_worker(worker_id)

    def waiting_reason(self, workload: Workload) -> str:
        """Returns why tasks of a workload are queued, or ``''``."""
        if not self.placement.is_waiting(workload.spec.workload_id):
            return ''
        if not self._sessions:
            return 'no worker has announced itself'
        if not any(self._reachable.values()):
            return 'no worker answers'
        spec = workload.spec
        if not self.placement.pool.could_fit(spec.size):
            return 'no worker known now is large enough'
        return self.placement.explain(spec)

    async def _wait_for_lost_authority(self) -> None:
        while self._replica.has_authority and self._replica.term == self._term:
            await anyio.sleep(_TICK_SECONDS / 2)

    def _load_state(self) -> None:
        for worker in self._state.leases.workers.values():
            self._add_worker(worker)
        for lease in self._state.leases:
            spec = self._state.workload(lease.task.workload_id).spec
            self.placement.add_running_task(lease.task, lease.worker_id, spec)
        for workload in self._state.workloads.values():
            if workload.ended:
                continue
            is_gang = workload.spec.kind is Kind.gang
            if is_gang and any(workload.leased()) and any(workload.queued()):
                self._stop_leased(workload, _stop_mode(workload.spec))
            else:
                self._enqueue(workload)

    def _enqueue(self, workload: Workload) -> None:
        queued = [task.number for task in workload.queued()]
        if queued:
            self._add_deadline(workload.spec)
            self.placement.enqueue(workload.spec, queued, anyio.current_time())

    def _add_worker(self, worker: Worker) -> None:
        self.placement.add_worker(worker.worker_id, worker.rack, worker.size)
        session = self._sessions.get(worker.worker_id)
        if session is not None:
            session.worker = worker
            session.wake()
            return
        session = WorkerSession(
            worker,
            self._term,
            self._replica.replica_id,
            self._state,
            self._gateway,
            SessionCallbacks(
                self._end_attempts,
                self._set_reachable,
                self._check_usage,
                self._replica.require_authority,
            ),
        )
        self._sessions[worker.worker_id] = session
        self.placement.set_schedulable(worker.worker_id, is_schedulable=False)
        if self._task_group is not None:
            self._task_group.start_soon(session.run)

    def _set_reachable(self, worker_id: str, reachable: bool) -> None:
        if self._reachable.get(worker_id) != reachable:
            self._reachable[worker_id] = reachable
            self._log.event(
                'worker.reachable', worker=worker_id, reachable=reachable
            )
        self._refresh_worker(worker_id)

    def _refresh_worker(self, worker_id: str) -> None:
        session = self._sessions.get(worker_id)
        if session is None:
            return
        now = anyio.current_time()
        usable = (
            self._reachable.get(worker_id, False)
            and session.confirmed
            and worker_id not in self._leaving
            and not self._health.is_quarantined(worker_id, now)
            and not self._health.is_probing(worker_id)
        )
        self.placement.set_schedulable(worker_id, usable)
        self._wake_event.set()

    async def _end_attempts(self, ends: list[commands.AttemptEnd]) -> None:
        decided = [self._decide_retry(end) for end in ends]
        await self._propose(commands.AttemptsEnded(tuple(decided), time.time()))

    def _decide_retry(self, end: commands.AttemptEnd) -> commands.AttemptEnd:
        """Returns the end, changed to queued if the task is to be retried."""
        workload = self._state.workload(end.task.workload_id)
        task = workload.task(end.task.number)
        if end.state is TaskState.completed:
            self._health.record_success(task.worker_id)
        if not end.blames_worker:
            return end
        now = anyio.current_time()
        if self._health.record_failure(
            task.worker_id, end.task.workload_id, now
        ):
            self._log.event('worker.quarantined', worker=task.worker_id)
        failed_workers = [*task.failed_workers, task.worker_id]
        exhausted = is_task_at_fault(failed_workers, len(self._sessions))
        if exhausted or not workload.spec.preemptible:
            return end
        return commands.AttemptEnd(
            end.task, end.attempt, TaskState.queued, end.reason, True
        )

    def _check_usage(
        self, worker_id: str, report: AttemptReport, lease: Lease
    ) -> None:
        workload = self._state.workload(lease.task.workload_id)
        spec = workload.spec
        session = self._sessions[worker_id]
        now = anyio.current_time()
        action = self._usage.check(lease, spec, report, now)
        if action.throttle:
            session.throttle_task(lease.task)
        if action.stop:
            session.stop_task(lease.task, _stop_mode(spec))
        if workload.cancelled:
            session.stop_task(lease.task, StopMode.stop)

    async def _place_forever(self) -> None:
        while True:
            with anyio.move_on_after(_TICK_SECONDS):
                await self._wake_event.wait()
            self._wake_event = anyio.Event()
            self._probe_quarantined()
            while await self._place_round():
                self._replica.require_authority()

    def _probe_quarantined(self) -> None:
        now = anyio.current_time()
        for worker_id in self._sessions:
            if self._health.may_probe(worker_id, now):
                self._refresh_worker(worker_id)

    async def _place_round(self) -> bool:
        self._replica.require_authority()
        started = time.perf_counter()
        decisions = self.placement.decide(
            _PLACED_TASKS_PER_ROUND, anyio.current_time()
        )
        if not decisions:
            return False
        self._metrics.timing('placement.round', time.perf_counter() - started)
        placed = [item for item in decisions if isinstance(item, Placed)]
        for decision in decisions:
            self._preempt(decision)
        return bool(placed) and await self._grant(placed)

    def _preempt(self, decision: Decision) -> None:
        if isinstance(decision, Placed):
            return
        running = self.placement.running[decision.task]
        session = self._sessions[decision.worker_id]
        session.stop_task(decision.task, _stop_mode(running.spec))

    async def _grant(self, placed: list[Placed]) -> bool:
        """Grants leases; returns whether they were not refused."""
        grants = tuple(
            self._make_grant(task, worker_id)
            for item in placed
            for task, worker_id in item.tasks
        )
        if not await self._try_propose(commands.LeasesGranted(grants)):
            self._roll_back_grants(grants)
            return False
        for grant in grants:
            spec = self._state.workload(grant.task.workload_id).spec
            self._histograms.record(
                'task_wait',
                spec.tenant,
                spec.urgency.value,
                time.time() - spec.accepted_at,
            )
            if self._health.may_probe(grant.worker_id, anyio.current_time()):
                self._health.begin_probe(grant.worker_id)
                self._refresh_worker(grant.worker_id)
            self._sessions[grant.worker_id].wake()
        return True

    def _make_grant(self, task: TaskKey, worker_id: str) -> commands.Grant:
        workload = self._state.workloads.get(task.workload_id)
        attempt = workload.task(task.number).attempt + 1 if workload else 0
        worker = self._sessions[worker_id].worker
        return commands.Grant(task, attempt, worker_id, worker.incarnation)

    def _roll_back_grants(self, grants: tuple[commands.Grant, ...]) -> None:
        for grant in grants:
            self.placement.release(grant.task)
            workload = self._state.workloads.get(grant.task.workload_id)
            if workload is None:
                continue
            if workload.task(grant.task.number).state is TaskState.queued:
                self.placement.enqueue(
                    workload.spec, [grant.task.number], anyio.current_time()
                )

    def _on_command_applied(self, command: Any) -> None:
        handler = _command_handlers.get(command.__class__)
        if handler is not None:
            handler(self, command)
        self._wake_event.set()

    @_handles_command(commands.WorkloadAccepted)
    def _on_accepted(self, command: commands.WorkloadAccepted) -> None:
        workload = self._state.workloads.get(command.spec.workload_id)
        not_queued = not self.placement.is_waiting(command.spec.workload_id)
        if workload is not None and not_queued:
            self._enqueue_unstarted(workload)

    def _enqueue_unstarted(self, workload: Workload) -> None:
        if not any(task.attempt for task in workload.tasks):
            self._enqueue(workload)

    @_handles_command(commands.WorkloadCancelled)
    def _on_cancelled(self, command: commands.WorkloadCancelled) -> None:
        self.placement.remove_waiting(command.workload_id)
        workload = self._state.workload(command.workload_id)
        self._stop_leased(workload, StopMode.stop)

    @_handles_command(commands.WorkerRegistered)
    def _on_registered(self, command: commands.WorkerRegistered) -> None:
        self._add_worker(command.worker)

    @_handles_command(commands.WorkerRemoved)
    def _on_removed(self, command: commands.WorkerRemoved) -> None:
        self.placement.remove_worker(command.worker_id)
        self._sessions.pop(command.worker_id, None)

    @_handles_command(commands.AttemptsEnded)
    def _on_ended(self, command: commands.AttemptsEnded) -> None:
        stopped: dict[str, list[Task]] = {}
        for end in command.ends:
            if end.task not in self.placement.running:
                continue
            if self._state.leases.get(end.task) is not None:
                continue
            self.placement.release(end.task)
            self._usage.remove(end.task)
            workload = self._state.workload(end.task.workload_id)
            task = workload.task(end.task.number)
            if task.state is TaskState.queued:
                stopped.setdefault(end.task.workload_id, []).append(task)
            elif workload.spec.kind is Kind.gang:
                stopped.setdefault(end.task.workload_id, [])
        for workload_id, tasks in stopped.items():
            self._requeue(self._state.workload(workload_id), tasks)

    def _requeue(self, workload: Workload, tasks: list[Task]) -> None:
        """Queues stopped tasks again; a gang only as a whole."""
        if workload.spec.kind is Kind.gang:
            if any(workload.leased()):
                if tasks and workload.spec.preemptible:
                    self._stop_leased(workload, _stop_mode(workload.spec))
                return
            tasks = list(workload.queued())
        if tasks:
            self.placement.enqueue(
                workload.spec,
                [task.number for task in tasks],
                anyio.current_time(),
                {name for task in tasks for name in task.failed_workers},
            )

    def _stop_leased(self, workload: Workload, mode: StopMode) -> None:
        """Requests that the workers stop a workload's leased tasks."""
        for task in workload.leased():
            session = self._sessions.get(task.worker_id)
            if session is not None:
                key = TaskKey(workload.spec.workload_id, task.number)
                session.stop_task(key, mode)

    @_handles_command(commands.TasksGivenUp)
    def _on_given_up(self, command: commands.TasksGivenUp) -> None:
        for task in command.tasks:
            self.placement.remove_waiting(task.workload_id)

    async def _prune_forever(self) -> None:
        while True:
            await anyio.sleep(_PRUNE_INTERVAL_SECONDS)
            before = time.time() - _HISTORY_RETENTION_SECONDS
            await self._try_propose(commands.HistoryPruned(before))

    async def _cancel_late_tasks_forever(self) -> None:
        while True:
            await anyio.sleep(_TICK_SECONDS)
            passed = self._pop_passed_deadlines()
            late = self._late_tasks(passed)
            if late and not await self._give_up(late):
                for deadline in passed:
                    heapq.heappush(self._deadlines, deadline)

    async def _give_up(self, late: tuple[TaskKey, ...]) -> bool:
        """Cancels tasks that are late; returns whether it was not refused."""
        return await self._try_propose(
            commands.TasksGivenUp(
                late, 'not started before its deadline', time.time()
            ),
        )

    def _add_deadline(self, spec: WorkloadSpec) -> None:
        if spec.start_within_seconds:
            remaining = (
                spec.accepted_at + spec.start_within_seconds - time.time()
            )
            due_at = anyio.current_time() + remaining
            heapq.heappush(self._deadlines, (due_at, spec.workload_id))

    def _pop_passed_deadlines(self) -> list[tuple[float, str]]:
        passed: list[tuple[float, str]] = []
        now = anyio.current_time()
        while self._deadlines and self._deadlines[0][0] <= now:
            passed.append(heapq.heappop(self._deadlines))
        return passed

    def _late_tasks(
        self, passed: list[tuple[float, str]]
    ) -> tuple[TaskKey, ...]:
        late: list[TaskKey] = []
        for _, workload_id in passed:
            workload = self._state.workloads.get(workload_id)
            queued = workload.queued() if workload else ()
            late.extend(TaskKey(workload_id, task.number) for task in queued)
        return tuple(late)

    async def _try_propose(self, command: Any) -> bool:
        """Proposes a command; logs a refusal, such as that of a full disk.

        Returns:
            Whether it was not refused.

        Raises:
            MulberryhitchError: The term has ended.
        """
        try:
            await self._propose(command)
        except _TERM_ENDED_ERRORS:
            raise
        except MulberryhitchError as error:
            self._log.problem('term.refused', error.problem)
            return False
        return True

    async def _propose(self, command: Any) -> Any:
        self._replica.require_authority()
        return await self._replica.propose(kind_of(command), encode(command))


def _stop_mode(spec: WorkloadSpec) -> StopMode:
    return StopMode.checkpoint if spec.checkpointable else StopMode.stop
