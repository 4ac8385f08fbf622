"""Replicated store of accepted jobs, open runs and registered workers.

The state is derived from the log entries alone. An open run is one that may
still be executing. The store enforces the invariants: a task is granted only
while it has no open run, only after the steps that it depends on, and never
again once it is done.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from itertools import chain
from typing import Any, Protocol

import orjson

from mulberryhitch.errors import InvariantError
from mulberryhitch.jobs.changes import (
    CHANGES_KIND,
    Change,
    decode_changes,
    decode_queue_table,
    decode_spec,
    decode_worker,
)
from mulberryhitch.jobs.model import (
    Queue,
    QueueTable,
    Resources,
    StepKey,
    TaskKey,
    Tenant,
    WorkerRecord,
)
from mulberryhitch.jobs.open_occurrences import OpenOccurrences
from mulberryhitch.jobs.sizes import (
    checkpoint_bytes,
    checkpoint_growth_bytes,
    counted_occurrences,
    job_bytes,
    occurrence_bytes,
    table_bytes,
)
from mulberryhitch.jobs.snapshots import decode_job, encode_job
from mulberryhitch.jobs.state import (
    Job,
    JobState,
    RunOutcome,
    StepExecution,
    Unit,
    UnitState,
    is_over,
)
from mulberryhitch.rpc.messages import LogEntry

_ChangeHandler = Callable[..., Any]
_change_handlers: dict[str, _ChangeHandler] = {}

EMPTY_QUEUE_TABLE = QueueTable(-1, '', ())


def change_handler(kind: str) -> Callable[[_ChangeHandler], _ChangeHandler]:
    """Registers the method that applies a kind of change."""

    def register(handler: _ChangeHandler) -> _ChangeHandler:
        _change_handlers[kind] = handler
        return handler

    return register


class JobListener(Protocol):
    """Receives notifications about the effects of changes."""

    def step_ready(self, execution: StepExecution) -> None:
        """Called when units of a step may start."""

    def run_ended(self, task: TaskKey, run: int, worker_id: str) -> None:
        """Called when an open run has ended."""

    def occurrence_ended(self, executions: list[StepExecution]) -> None:
        """Called when all tasks of a scheduled job's occurrence are done."""

    def job_ended(self, job: Job) -> None:
        """Called when a job was cancelled, failed or completed."""


class JobStore:
    """State machine replicated by the group of schedulers.

    Attributes:
        latest_time: The latest time of a change, seconds since 1970.
    """

    def __init__(self) -> None:
        """Initialises an empty store."""
        self.jobs: dict[str, Job] = {}
        self.workers: dict[str, WorkerRecord] = {}
        self.queue_table: QueueTable = EMPTY_QUEUE_TABLE
        self.ready_steps: dict[StepKey, StepExecution] = {}
        self.open_runs: dict[str, dict[TaskKey, int]] = {}
        self.listener: JobListener | None = None
        self.latest_time: float = 0
        self._used_resources: dict[str, Resources] = {}
        self._tenant_usage: dict[str, Resources] = {}
        self._lasting_usage: dict[str, Resources] = {}
        self._tenants: dict[str, Tenant] = {}
        self._queues: dict[str, Queue] = {}
        self._services: frozenset[str] = frozenset()
        self._queued_jobs: Counter[str] = Counter()
        self._jobs_bytes = 0
        self._open_occurrences = OpenOccurrences()
        self._table_bytes = 0

    def apply(self, entry: LogEntry) -> list[Any]:
        """Applies an entry and returns one result for each change.

        Raises:
            InvariantError: A change would violate an invariant.
        """
        if entry.kind != CHANGES_KIND:
            raise InvariantError('unknown kind of log entry', where=entry.kind)
        return [
            self._apply_change(change) for change in decode_changes(entry.body)
        ]

    @property
    def stored_bytes(self) -> int:
        """Returns about how many bytes the jobs and queues take as stored."""
        return self._jobs_bytes + self._table_bytes

    @property
    def scheduled_jobs(self) -> Mapping[str, Job]:
        """The active jobs whose occurrences have times, by id."""
        return self._open_occurrences.jobs

    def used_resources(self, worker_id: str) -> Resources:
        """Returns the resources taken by the open runs on a worker."""
        return self._used_resources.get(worker_id, Resources())

    def tenant(self, name: str) -> Tenant | None:
        """Returns a client account as currently configured."""
        return self._tenants.get(name)

    def tenant_usage(self, name: str) -> Resources:
        """Returns the resources taken by the open runs of a client account."""
        return self._tenant_usage.get(name, Resources())

    def lasting_usage(self, name: str) -> Resources:
        """Returns the part of a client account's usage that does not end.

        It is that of long-running steps.
        """
        return self._lasting_usage.get(name, Resources())

    def unit(self, task: TaskKey) -> Unit | None:
        """Returns the unit that contains a task, if the task exists."""
        execution = self.step_execution(StepKey(*task[:3]))
        return execution.unit_of(task.number) if execution else None

    def step_execution(self, key: StepKey) -> StepExecution | None:
        """Returns a step of an open occurrence."""
        job = self.jobs.get(key.job_id)
        executions = job.occurrences.get(key.occurrence) if job else None
        if executions is None or not 0 <= key.step < len(executions):
            return None
        return executions[key.step]

    def current_queue(self, job: Job) -> Queue:
        """Returns a job's queue as currently configured.

        If the queue was removed, returns it as stored with the job.
        """
        return self._queues.get(job.queue.name, job.queue)

    def names_service(self, service: str) -> bool:
        """Whether the configuration or an active job names a service."""
        return service in self._services or any(
            job.active and job.queue.service == service
            for job in self.jobs.values()
        )

    def count_queued_jobs(self, queue_name: str) -> int:
        """Counts the one-off jobs of a queue with no task started yet."""
        return self._queued_jobs[queue_name]

    def snapshot(self) -> bytes:
        """Serialises the whole state."""
        return orjson.dumps(
            {
                'jobs': [encode_job(job) for job in self.jobs.values()],
                'workers': list(self.workers.values()),
                'table': self.queue_table,
            },
        )

    def restore(self, state: bytes) -> None:
        """Replaces the whole state with that of a snapshot."""
        content = orjson.loads(state)
        listener = self.listener
        self.__init__()  # type: ignore[misc]  # noqa: WPS609
        self._configure(content['table'])
        for fields in content['workers']:
            record = decode_worker(fields)
            self.workers[record.worker_id] = record
        for row in content['jobs']:
            job = decode_job(row)
            self.jobs[job.job_id] = job
            self._open_occurrences.add(job)
            self._jobs_bytes += job_bytes(job)
            self._record_time(max(job.accepted_at, job.ended_at))
            self._index_job(job)
        self.listener = listener

    def _apply_change(self, change: Change) -> Any:
        handler = _change_handlers.get(change[0])
        if handler is None:
            raise InvariantError('unknown kind of change', where=str(change[0]))
        return handler(self, *change[1:])

    @change_handler('accept')
    def _accept_job(  # noqa: WPS211
        self,
        job_id: str,
        queue_name: str,
        fields: dict[str, Any],
        now: float,
        tenant: str = '',
    ) -> bool:
        if job_id in self.jobs:
            return True
        queue = self._queues.get(queue_name)
        if queue is None:
            return False
        self._record_time(now)
        job = Job(job_id, queue, decode_spec(fields), now, tenant=tenant)
        self.jobs[job_id] = job
        self._jobs_bytes += job_bytes(job)
        self._adjust_queued_jobs(job, 1)
        self._open_occurrences.add(job)
        if not job.is_scheduled:
            self._open_occurrence(job, 0)
        return True

    @change_handler('occur')
    def _start_occurrence(self, job_id: str, occurrence: int) -> None:
        job = self.jobs.get(job_id)
        if job is None or not job.active:
            return
        if self._open_occurrences.record_due(job, occurrence):
            self._open_occurrence(job, occurrence)

    @change_handler('cancel')
    def _cancel_job(self, job_id: str, now: float) -> bool:
        job = self.jobs.get(job_id)
        if job is None:
            return False
        if job.active:
            job.cancelled = True
            self._end_job(job, now)
        return True

    @change_handler('grant')
    def _grant_task(  # noqa: WPS211
        self,
        job_id: str,
        occurrence: int,
        step: int,
        index: int,
        run: int,
        worker_id: str,
    ) -> bool:
        task = TaskKey(job_id, occurrence, step, index)
        job = self.jobs.get(job_id)
        if job is not None and job.active and occurrence in job.postponed:
            # A leader of a former version opens all that are due.
            self._open_occurrence(job, occurrence)
        execution = self.step_execution(StepKey(job_id, occurrence, step))
        unit = execution.unit_of(index) if execution else None
        if execution is None or unit is None or job is None or not job.active:
            return False
        if not execution.ready or worker_id not in self.workers:
            return False
        is_same_run = unit.state is UnitState.running and unit.run == run
        if is_same_run and execution.step.gang and index not in unit.holders:
            self._add_run(unit, index, worker_id, execution)
            return True
        if unit.state is not UnitState.waiting or run <= unit.run:
            return False
        if unit.holders:
            raise InvariantError(
                f'run {run} granted while run {unit.run} is open',
                where=str(task),
            )
        unit.run = run
        unit.state = UnitState.running
        execution.waiting_units.pop(unit.first_index, None)
        if not execution.waiting_units:
            self.ready_steps.pop(execution.key, None)
        if not job.begun:
            self._adjust_queued_jobs(job, -1)
            job.begun = True
        self._add_run(unit, index, worker_id, execution)
        return True

    @change_handler('end')
    def _end_run(  # noqa: WPS211
        self,
        job_id: str,
        occurrence: int,
        step: int,
        index: int,
        run: int,
        outcome: str,
        checkpoint: str,
        now: float,
    ) -> None:
        self._record_time(now)
        execution = self.step_execution(StepKey(job_id, occurrence, step))
        unit = execution.unit_of(index) if execution else None
        if execution is None or unit is None:
            return
        if run == unit.run:
            self._remove_run(unit, index, execution)
        if unit.state in {UnitState.done, UnitState.failed}:
            self._close_if_over(execution)
            return
        if checkpoint and execution.step.checkpointing:
            self._jobs_bytes += checkpoint_growth_bytes(
                unit.checkpoint, checkpoint
            )
            unit.checkpoint = checkpoint
        self._record_outcome(execution, unit, run, RunOutcome(outcome), now)
        self._close_if_over(execution)

    @change_handler('worker')
    def _register_worker(self, fields: dict[str, Any]) -> bool:
        record = decode_worker(fields)
        current = self.workers.get(record.worker_id)
        if current is not None and current.born > record.born:
            return False
        self.workers[record.worker_id] = record
        return True

    @change_handler('worker_gone')
    def _remove_worker(self, worker_id: str, born: int) -> bool:
        current = self.workers.get(worker_id)
        if current is None or current.born > born:
            return False
        if self.open_runs.get(worker_id):
            raise InvariantError(
                'cannot remove a worker with open runs', where=worker_id
            )
        self.workers.pop(worker_id)
        self._used_resources.pop(worker_id, None)
        return True

    @change_handler('configure')
    def _configure(self, fields: dict[str, Any]) -> int:
        if fields['version'] > self.queue_table.version:
            self.queue_table = decode_queue_table(fields)
            self._queues = {
                queue.name: queue for queue in self.queue_table.queues
            }
            self._tenants = {
                tenant.name: tenant for tenant in self.queue_table.tenants
            }
            self._services = self.queue_table.named_services()
            self._table_bytes = table_bytes(self.queue_table)
        return self.queue_table.version

    @change_handler('forget')
    def _delete_jobs(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            job = self.jobs.get(job_id)
            if job is not None and not job.active and not job.has_open_runs:
                self.jobs.pop(job_id)
                self._jobs_bytes -= job_bytes(job)

    @change_handler('shrink')
    def _shrink_jobs(self, job_ids: list[str]) -> None:
        for job_id in job_ids:
            job = self.jobs.get(job_id)
            if job is not None and job.is_shrinkable:
                self._jobs_bytes -= job_bytes(job)
                job.shrink()
                self._jobs_bytes += job_bytes(job)

    def _record_time(self, now: float) -> None:
        self.latest_time = max(self.latest_time, now)

    def _open_occurrence(self, job: Job, occurrence: int) -> None:
        counted = counted_occurrences(job)
        executions = self._open_occurrences.open(job, occurrence)
        self._adjust_counted(job, counted)
        self._mark_ready_steps(executions)

    def _close_if_over(self, execution: StepExecution) -> None:
        """Forgets an occurrence of a scheduled job once it is over."""
        job = self.jobs[execution.key.job_id]
        if execution.unfinished_units or not job.is_scheduled or not job.active:
            return
        executions = job.occurrences[execution.key.occurrence]
        if not is_over(executions):
            return
        counted = counted_occurrences(job)
        self._open_occurrences.close(job, execution.key.occurrence)
        self._jobs_bytes -= checkpoint_bytes(executions)
        self._adjust_counted(job, counted)
        if self.listener is not None:
            self.listener.occurrence_ended(executions)

    def _adjust_counted(self, job: Job, before: int) -> None:
        """Adjusts the size after the number of occurrences has changed."""
        change = counted_occurrences(job) - before
        self._jobs_bytes += change * occurrence_bytes(job.spec)

    def _mark_ready_steps(self, executions: list[StepExecution]) -> None:
        for execution in executions:
            is_blocked = any(
                executions[dependency].unfinished_units
                for dependency in execution.step.depends_on
            )
            if execution.ready or is_blocked:
                continue
            execution.ready = True
            execution.waiting_units = {
                unit.first_index: unit for unit in execution.units
            }
            self._add_ready_step(execution)

    def _add_ready_step(self, execution: StepExecution) -> None:
        self.ready_steps[execution.key] = execution
        if self.listener is not None:
            self.listener.step_ready(execution)

    def _add_run(
        self, unit: Unit, index: int, worker_id: str, execution: StepExecution
    ) -> None:
        unit.holders[index] = worker_id
        runs = self.open_runs.setdefault(worker_id, {})
        runs[unit.task_key(index)] = unit.run
        used = self._used_resources.get(worker_id, Resources())
        self._used_resources[worker_id] = used.plus(execution.resources)
        self._adjust_tenant_usage(execution, 1)

    def _remove_run(
        self, unit: Unit, index: int, execution: StepExecution
    ) -> None:
        worker_id = unit.holders.pop(index, None)
        if worker_id is None:
            return
        self.open_runs[worker_id].pop(unit.task_key(index), None)
        self._used_resources[worker_id] = self._used_resources[worker_id].minus(
            execution.resources
        )
        self._adjust_tenant_usage(execution, -1)
        if self.listener is not None:
            self.listener.run_ended(unit.task_key(index), unit.run, worker_id)

    def _adjust_tenant_usage(
        self, execution: StepExecution, copies: int
    ) -> None:
        tenant = self.jobs[execution.key.job_id].tenant
        if not tenant:
            return
        change = execution.resources.times(copies)
        _add_resources(self._tenant_usage, tenant, change)
        if execution.step.long_running:
            _add_resources(self._lasting_usage, tenant, change)

    def _record_outcome(
        self,
        execution: StepExecution,
        unit: Unit,
        run: int,
        outcome: RunOutcome,
        now: float,
    ) -> None:
        job = self.jobs[execution.key.job_id]
        if outcome is RunOutcome.done and not execution.step.long_running:
            self._complete_unit(job, execution, unit, now)
            return
        if outcome is RunOutcome.failed and not execution.step.long_running:
            unit.failed_runs.add(run)
            limit = self.current_queue(job).maximum_failures
            if len(unit.failed_runs) >= limit:
                unit.state = UnitState.failed
                if job.active:
                    job.failed = True
                    self._end_job(job, now)
                return
        if not unit.holders and unit.state is UnitState.running:
            unit.state = UnitState.waiting
            if job.active:
                execution.waiting_units[unit.first_index] = unit
                self._add_ready_step(execution)

    def _complete_unit(
        self, job: Job, execution: StepExecution, unit: Unit, now: float
    ) -> None:
        unit.state = UnitState.done
        execution.waiting_units.pop(unit.first_index, None)
        if not execution.waiting_units:
            self.ready_steps.pop(execution.key, None)
        execution.unfinished_units -= 1
        if execution.unfinished_units or not job.active:
            return
        executions = job.occurrences[execution.key.occurrence]
        if any(one.unfinished_units for one in executions):
            self._mark_ready_steps(executions)
            return
        job.finished += 1
        if job.state is JobState.completed:
            self._end_job(job, now)

    def _end_job(self, job: Job, now: float) -> None:
        counted = counted_occurrences(job)
        job.ended_at = now
        self._adjust_counted(job, counted)
        self._open_occurrences.remove(job)
        if not job.begun:
            self._adjust_queued_jobs(job, -1)
        for executions in job.occurrences.values():
            for execution in executions:
                execution.waiting_units.clear()
                self.ready_steps.pop(execution.key, None)
        if self.listener is not None:
            self.listener.job_ended(job)

    def _adjust_queued_jobs(self, job: Job, change: int) -> None:
        if not job.is_scheduled:
            self._queued_jobs[job.queue.name] += change

    def _index_job(self, job: Job) -> None:
        if job.state is JobState.queued:
            self._adjust_queued_jobs(job, 1)
        for execution in chain.from_iterable(job.occurrences.values()):
            for unit in execution.units:
                holders = tuple(unit.holders.items())
                for index, worker_id in holders:
                    self._add_run(unit, index, worker_id, execution)
            if execution.waiting_units:
                self.ready_steps[execution.key] = execution


def _add_resources(
    amounts: dict[str, Resources], name: str, change: Resources
) -> None:
    """Adds to an amount, and removes it if nothing is left."""
    amount = amounts.get(name, Resources()).plus(change)
    if any(amount):
        amounts[name] = amount
    else:
        amounts.pop(name, None)
