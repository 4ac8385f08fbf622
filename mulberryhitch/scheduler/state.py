"""Replicated state of a data centre: workloads, leases and request ledger."""

import functools
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from mulberryhitch.constants import (
    LEDGER_MAX_ENTRIES,
    LEDGER_RETENTION_SECONDS,
)
from mulberryhitch.errors import ConflictError, NotFoundError
from mulberryhitch.requests.ledger import Ledger, LedgerEntry
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.rpc.records import decode, decode_as, encode
from mulberryhitch.scheduler import commands
from mulberryhitch.workers.leases import Lease, LeaseTable, Worker
from mulberryhitch.workloads.model import TaskState, Workload


@dataclass(frozen=True, slots=True)
class _Snapshot:
    """The complete state in its stored form."""

    workloads: list[Workload]
    workers: list[Worker]
    leases: list[Lease]
    requests: list[LedgerEntry]


class DataCentreState:
    """The state machine of a data centre's log."""

    def __init__(self) -> None:
        """Initialises an empty state."""
        self.workloads: dict[str, Workload] = {}
        self.leases = LeaseTable()
        self.ledger = self._new_ledger()
        self._ids_by_key: dict[tuple[str, str], str] = {}
        self._listeners: list[Callable[[Any], None]] = []

    def add_listener(
        self, listener: Callable[[Any], None]
    ) -> Callable[[], None]:
        """Adds a listener called after each applied command.

        Returns:
            A function that removes the listener.
        """
        self._listeners.append(listener)
        return functools.partial(self._listeners.remove, listener)

    def workload(self, workload_id: str) -> Workload:
        """Returns a workload.

        Raises:
            NotFoundError: It is unknown or has been removed.
        """
        found = self.workloads.get(workload_id)
        if found is None:
            raise NotFoundError('no such workload', where=workload_id)
        return found

    def workloads_of_tenant(self, tenant: str) -> Iterator[Workload]:
        """Returns a tenant's workloads, oldest first."""
        return (
            workload
            for workload in self.workloads.values()
            if workload.spec.tenant == tenant
        )

    def apply(self, entry: LogEntry) -> Any:
        """Applies a committed command.

        Raises:
            MulberryhitchError: The command was rejected; nothing changed.
        """
        command = decode(entry.kind, entry.body)
        result = _apply(command, self, entry.term)
        for listener in tuple(self._listeners):
            listener(command)
        return result

    def snapshot(self) -> bytes:
        """Returns the complete state as JSON."""
        return encode(
            _Snapshot(
                list(self.workloads.values()),
                list(self.leases.workers.values()),
                list(self.leases),
                list(self.ledger),
            ),
        )

    def restore(self, state: bytes) -> None:
        """Replaces the state with a snapshot."""
        snapshot = decode_as(_Snapshot, state)
        self.workloads = {
            workload.spec.workload_id: workload
            for workload in snapshot.workloads
        }
        self._ids_by_key = {
            (workload.spec.tenant, workload.spec.key): workload.spec.workload_id
            for workload in snapshot.workloads
            if workload.spec.key
        }
        self.leases = LeaseTable()
        for worker in snapshot.workers:
            self.leases.register(worker)
        for lease in snapshot.leases:
            self.leases.grant(lease)
        self.ledger = self._new_ledger()
        for request in snapshot.requests:
            self.ledger.begin(request)

    def add_workload(self, workload: Workload) -> str:
        """Adds a workload and returns its id.

        A resend with the same idempotency key returns the id of the first.

        Raises:
            ConflictError: The key was used for a different workload.
        """
        spec = workload.spec
        if spec.workload_id in self.workloads:
            return spec.workload_id
        if spec.key:
            first_id = self._ids_by_key.setdefault(
                (spec.tenant, spec.key), spec.workload_id
            )
            if first_id != spec.workload_id:
                return self._existing_workload_id(first_id, workload)
        self.workloads[spec.workload_id] = workload
        return spec.workload_id

    def remove_workload(self, workload: Workload) -> None:
        """Removes an ended workload."""
        spec = workload.spec
        self.workloads.pop(spec.workload_id)
        self._ids_by_key.pop((spec.tenant, spec.key), None)

    def _existing_workload_id(self, first_id: str, workload: Workload) -> str:
        first = self.workload(first_id).spec
        resent = workload.spec
        if (first.kind, first.task_count, first.size, first.program) != (
            resent.kind,
            resent.task_count,
            resent.size,
            resent.program,
        ):
            raise ConflictError(
                'the idempotency key was used for another workload',
                where='Idempotency-Key',
            )
        return first_id

    def _new_ledger(self) -> Ledger:
        return Ledger(LEDGER_RETENTION_SECONDS, LEDGER_MAX_ENTRIES)


@functools.singledispatch
def _apply(command: Any, state: DataCentreState, term: int) -> Any:
    raise NotFoundError('unknown command', where=repr(command))


@_apply.register
def _accept_workload(
    command: commands.WorkloadAccepted, state: DataCentreState, term: int
) -> str:
    return state.add_workload(Workload.create(command.spec))


@_apply.register
def _cancel_workload(
    command: commands.WorkloadCancelled, state: DataCentreState, term: int
) -> None:
    workload = state.workload(command.workload_id)
    workload.cancelled = True
    for task in tuple(workload.queued()):
        workload.end(task.number, TaskState.cancelled, 'cancelled', command.at)


@_apply.register
def _register_worker(
    command: commands.WorkerRegistered, state: DataCentreState, term: int
) -> None:
    state.leases.register(command.worker)


@_apply.register
def _remove_worker(
    command: commands.WorkerRemoved, state: DataCentreState, term: int
) -> None:
    state.leases.unregister(command.worker_id)


@_apply.register
def _grant_leases(
    command: commands.LeasesGranted, state: DataCentreState, term: int
) -> None:
    granted: list[commands.Grant] = []
    try:
        for grant in command.grants:
            workload = state.workload(grant.task.workload_id)
            _grant_lease(state, workload, grant, term)
            granted.append(grant)
    except Exception:
        _undo_grants(state, granted)
        raise


def _grant_lease(
    state: DataCentreState, workload: Workload, grant: commands.Grant, term: int
) -> None:
    lease = Lease(
        grant.task,
        grant.attempt,
        grant.worker_id,
        grant.incarnation,
        term,
        workload.spec.size,
    )
    state.leases.grant(lease)
    try:
        workload.lease(grant.task.number, grant.attempt, grant.worker_id)
    except Exception:
        state.leases.close(grant.task, grant.attempt)
        raise


def _undo_grants(state: DataCentreState, granted: list[commands.Grant]) -> None:
    for grant in granted:
        state.leases.close(grant.task, grant.attempt)
        task = state.workload(grant.task.workload_id).task(grant.task.number)
        task.state = TaskState.queued
        task.attempt -= 1


@_apply.register
def _end_attempts(
    command: commands.AttemptsEnded, state: DataCentreState, term: int
) -> None:
    for end in command.ends:
        lease = state.leases.get(end.task)
        if lease is not None and lease.attempt == end.attempt:
            state.leases.close(end.task, end.attempt)
            _end_attempt(state, end, command.at)


def _end_attempt(
    state: DataCentreState, end: commands.AttemptEnd, at: float
) -> None:
    workload = state.workload(end.task.workload_id)
    task = workload.task(end.task.number)
    if end.blames_worker:
        task.failures += 1
        task.failed_workers.append(task.worker_id)
    if end.state is not TaskState.queued:
        workload.end(end.task.number, end.state, end.reason, at)
    elif workload.cancelled:
        workload.end(end.task.number, TaskState.cancelled, end.reason, at)
    else:
        workload.requeue(end.task.number, end.reason)


@_apply.register
def _cancel_late_tasks(
    command: commands.TasksGivenUp, state: DataCentreState, term: int
) -> None:
    for key in command.tasks:
        workload = state.workload(key.workload_id)
        if workload.task(key.number).state is TaskState.queued:
            workload.end(
                key.number, TaskState.cancelled, command.reason, command.at
            )


@_apply.register
def _begin_request(
    command: commands.RequestBegun, state: DataCentreState, term: int
) -> LedgerEntry:
    return state.ledger.begin(command.entry)


@_apply.register
def _finish_request(
    command: commands.RequestFinished, state: DataCentreState, term: int
) -> None:
    state.ledger.finish(
        command.tenant, command.key, command.request_id, command.answer
    )


@_apply.register
def _release_request(
    command: commands.RequestReleased, state: DataCentreState, term: int
) -> None:
    state.ledger.release(command.tenant, command.key, command.request_id)


@_apply.register
def _give_up_request(
    command: commands.RequestGivenUp, state: DataCentreState, term: int
) -> None:
    state.ledger.mark_unknown(command.tenant, command.key, command.request_id)


@_apply.register
def _prune_history(
    command: commands.HistoryPruned, state: DataCentreState, term: int
) -> None:
    expired = [
        workload
        for workload in state.workloads.values()
        if workload.ended and workload.ended_at < command.ended_before
    ]
    for workload in expired:
        state.remove_workload(workload)
