"""Worker sessions: renew leases, and start and stop tasks on one worker each.

A lease runs from the worker's clock reading in the last response that the
leader received. So a delayed message extends nothing: each lease ends at most
one lease time after the leader received that response.
"""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import anyio

from mulberryhitch.constants import (
    CLOCK_DRIFT_SECONDS,
    TASK_LEASE_RENEWAL_SECONDS,
    TASK_LEASE_SECONDS,
)
from mulberryhitch.errors import (
    DiskFullError,
    LostAuthorityError,
    MulberryhitchError,
    OverloadedError,
)
from mulberryhitch.scheduler.commands import AttemptEnd
from mulberryhitch.scheduler.state import DataCentreState
from mulberryhitch.workers.gateway import WorkerGateway
from mulberryhitch.workers.leases import Lease, TaskKey, Worker
from mulberryhitch.workers.protocol import (
    AttemptName,
    AttemptReport,
    AttemptState,
    LeaseMessage,
    LeaseResponse,
    SizeModel,
    StopMode,
    TaskStart,
    TaskStop,
    TaskThrottle,
)
from mulberryhitch.workloads.model import Size, TaskState, WorkloadSpec

_MIN_PAUSE_SECONDS = 0.02


@dataclass(frozen=True, slots=True)
class SessionCallbacks:
    """Callbacks from a session to the leader's term.

    Attributes:
        end_attempts: Commits ended attempts.
        set_reachable: Receives whether the worker responds.
        check_usage: Receives the usage of a running attempt.
        require_authority: Raises LostAuthorityError unless the leader's
            lease is valid.
    """

    end_attempts: Callable[[list[AttemptEnd]], Awaitable[None]]
    set_reachable: Callable[[str, bool], None]
    check_usage: Callable[[str, AttemptReport, Lease], None]
    require_authority: Callable[[], None]


def lost_attempt(spec: WorkloadSpec, lease: Lease, reason: str) -> AttemptEnd:
    """Returns the end of an attempt whose progress is unknown."""
    state = TaskState.queued if spec.preemptible else TaskState.unknown
    return AttemptEnd(lease.task, lease.attempt, state, reason)


class WorkerSession:
    """A leader's message exchange with one worker during one term.

    Args:
        worker: The worker as announced.
        term: The leader's term.
        leader: The leader's replica id.
        state: The data centre's state.
        gateway: Sends messages to the worker.
        callbacks: Called on ended attempts, reachability and usage.
    """

    def __init__(
        self,
        worker: Worker,
        term: int,
        leader: str,
        state: DataCentreState,
        gateway: WorkerGateway,
        callbacks: SessionCallbacks,
    ) -> None:
        """Initialises a session without any report from the worker."""
        self.worker = worker
        self._term = term
        self._leader = leader
        self._state = state
        self._gateway = gateway
        self._callbacks = callbacks
        self._sequence = 0
        self._anchor: float | None = None
        self._anchor_received_at = float()
        self._has_renewed = False
        # An earlier leader may have renewed the leases until now.
        self._leases_expire_at = (
            anyio.current_time() + TASK_LEASE_SECONDS + CLOCK_DRIFT_SECONDS
        )
        self._running: dict[AttemptName, AttemptReport] = {}
        self._stop_modes: dict[AttemptName, StopMode] = {}
        self._throttled: set[TaskKey] = set()
        self._acknowledged: list[AttemptName] = []
        self._wake_event = anyio.Event()

    @property
    def confirmed(self) -> bool:
        """Whether the worker's list of attempts has been received."""
        return self._anchor is not None

    def wake(self) -> None:
        """Schedules the next message after the minimum pause."""
        self._wake_event.set()

    def stop_task(self, task: TaskKey, mode: StopMode) -> None:
        """Requests that the worker stop a task's current attempt."""
        lease = self._state.leases.get(task)
        if lease is not None:
            self._stop_modes[_lease_attempt_name(lease)] = mode
        self.wake()

    def throttle_task(self, task: TaskKey) -> None:
        """Requests that the worker limit a task to its declared size."""
        self._throttled.add(task)

    async def run(self) -> None:
        """Exchanges messages until cancelled.

        Raises:
            LostAuthorityError: The leader's lease has expired, or the worker
                has accepted a newer term.
        """
        while True:
            self._callbacks.require_authority()
            self._wake_event = anyio.Event()
            try:
                await self._exchange()
            except LostAuthorityError:
                raise
            except MulberryhitchError:
                self._callbacks.set_reachable(self.worker.worker_id, False)
                # They are ended later if they can't be recorded now.
                with suppress(DiskFullError, OverloadedError):
                    await self._expire_leases()
                await anyio.sleep(TASK_LEASE_RENEWAL_SECONDS)
                continue
            with anyio.move_on_after(self._pause_seconds()):
                await self._wake_event.wait()
                await anyio.sleep(_MIN_PAUSE_SECONDS)

    def _pause_seconds(self) -> float:
        is_incomplete = len(self._running) < len(self._leases())
        if self._acknowledged or is_incomplete or not self._has_renewed:
            return _MIN_PAUSE_SECONDS
        return TASK_LEASE_RENEWAL_SECONDS

    def _leases(self) -> tuple[Lease, ...]:
        return self._state.leases.of_worker(self.worker.worker_id)

    async def _exchange(self) -> None:
        message = self._build_message()
        if self._anchor is not None:
            self._leases_expire_at = max(
                self._leases_expire_at,
                self._anchor_received_at
                + TASK_LEASE_SECONDS
                + CLOCK_DRIFT_SECONDS,
            )
        response = await self._gateway.exchange(
            self.worker.address, message, TASK_LEASE_RENEWAL_SECONDS
        )
        if response.term > self._term:
            raise LostAuthorityError(
                f'the worker has accepted term {response.term}',
                where=str(self._term),
            )
        received_at = anyio.current_time()
        if not response.accepted:
            return
        await self._process_response(message, response)
        self._has_renewed = message.anchor is not None
        self._anchor = response.clock
        self._anchor_received_at = received_at
        self._callbacks.set_reachable(self.worker.worker_id, True)

    def _build_message(self) -> LeaseMessage:
        self._sequence += 1
        leases = {_lease_attempt_name(lease): lease for lease in self._leases()}
        self._stop_modes = {
            name: mode
            for name, mode in self._stop_modes.items()
            if name in leases
        }
        renew: list[AttemptName] = []
        start: list[TaskStart] = []
        if self._anchor is not None:
            renew = [name for name in leases if name in self._running]
            start = [
                self._build_start(lease)
                for name, lease in leases.items()
                if name not in self._running
                and lease.incarnation == self.worker.incarnation
                and name not in self._stop_modes
            ]
        acknowledged = self._acknowledged
        self._acknowledged = []
        return LeaseMessage(
            term=self._term,
            sequence=self._sequence,
            leader=self._leader,
            lease_seconds=TASK_LEASE_SECONDS,
            anchor=self._anchor,
            renew=renew,
            start=start,
            stop=self._build_stops(leases),
            throttle=[
                TaskThrottle(**name.model_dump())
                for name, lease in leases.items()
                if lease.task in self._throttled
            ],
            acknowledged=acknowledged,
        )

    def _build_stops(self, leases: dict[AttemptName, Lease]) -> list[TaskStop]:
        stops = []
        for name in self._running:
            lease = leases.get(name)
            if lease is None:
                stops.append(TaskStop(**name.model_dump()))
            elif name in self._stop_modes:
                mode = self._stop_modes[name]
                stops.append(TaskStop(**name.model_dump(), mode=mode))
        return stops

    def _build_start(self, lease: Lease) -> TaskStart:
        spec = self._state.workload(lease.task.workload_id).spec
        return TaskStart(
            workload_id=lease.task.workload_id,
            task=lease.task.number,
            attempt=lease.attempt,
            size=_size_model(lease.size),
            run_seconds=spec.run_seconds,
            program=spec.program,
        )

    async def _process_response(
        self, message: LeaseMessage, response: LeaseResponse
    ) -> None:
        leases = {_lease_attempt_name(lease): lease for lease in self._leases()}
        reports = {
            _bare_attempt_name(report): report for report in response.attempts
        }
        self._running = {
            name: report
            for name, report in reports.items()
            if report.state is AttemptState.running
        }
        ends = [
            self._attempt_end(lease, reports[name])
            for name, lease in leases.items()
            if name in reports
            and reports[name].state is not AttemptState.running
        ]
        ends.extend(self._lost_attempts(message, leases, reports, response))
        if ends:
            await self._callbacks.end_attempts(ends)
        self._acknowledged = [
            name
            for name, report in reports.items()
            if report.state is not AttemptState.running
        ]
        for name, running in self._running.items():
            if name in leases:
                self._callbacks.check_usage(
                    self.worker.worker_id, running, leases[name]
                )

    def _lost_attempts(
        self,
        message: LeaseMessage,
        leases: dict[AttemptName, Lease],
        reports: dict[AttemptName, AttemptReport],
        response: LeaseResponse,
    ) -> list[AttemptEnd]:
        """Returns the ends of leased attempts that the worker will not run."""
        renewed = set(message.renew)
        started = {_bare_attempt_name(start) for start in message.start}
        ends = []
        for name, lease in leases.items():
            if name in reports or name in started:
                continue
            spec = self._state.workload(lease.task.workload_id).spec
            if lease.incarnation != response.incarnation or name in renewed:
                ends.append(lost_attempt(spec, lease, 'the worker lost it'))
            elif name in self._stop_modes:
                ends.append(
                    AttemptEnd(
                        lease.task,
                        lease.attempt,
                        TaskState.queued,
                        'stopped before it began',
                    ),
                )
        return ends

    def _attempt_end(self, lease: Lease, report: AttemptReport) -> AttemptEnd:
        workload = self._state.workload(lease.task.workload_id)
        self._throttled.discard(lease.task)
        if report.state is AttemptState.completed:
            state = TaskState.completed
        elif workload.cancelled:
            state = TaskState.cancelled
        elif report.state is AttemptState.failed:
            return AttemptEnd(
                lease.task,
                lease.attempt,
                TaskState.failed,
                report.reason or 'failed',
                blames_worker=True,
            )
        else:
            return lost_attempt(workload.spec, lease, report.reason)
        return AttemptEnd(lease.task, lease.attempt, state, report.reason)

    async def _expire_leases(self) -> None:
        """Ends the worker's leases after they have expired."""
        leases = self._leases()
        if not leases or anyio.current_time() <= self._leases_expire_at:
            return
        self._callbacks.require_authority()
        self._anchor = None
        self._running = {}
        ends = []
        for lease in leases:
            workload = self._state.workload(lease.task.workload_id)
            end = lost_attempt(workload.spec, lease, 'the worker fell silent')
            ends.append(end)
        await self._callbacks.end_attempts(ends)


def _lease_attempt_name(lease: Lease) -> AttemptName:
    return AttemptName(
        workload_id=lease.task.workload_id,
        task=lease.task.number,
        attempt=lease.attempt,
    )


def _bare_attempt_name(name: AttemptName) -> AttemptName:
    return AttemptName(
        workload_id=name.workload_id, task=name.task, attempt=name.attempt
    )


def _size_model(size: Size) -> SizeModel:
    return SizeModel(
        millicores=size.millicores,
        memory_mebibytes=size.memory_mebibytes,
        accelerators=size.accelerators,
    )
