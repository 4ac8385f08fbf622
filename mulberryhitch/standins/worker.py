"""Stand-in for a worker, which enforces its leases and simulates its tasks."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import orjson

from mulberryhitch.errors import InvariantError
from mulberryhitch.workers.leases import Worker
from mulberryhitch.workers.protocol import (
    AttemptName,
    AttemptReport,
    AttemptState,
    LeaseMessage,
    LeaseResponse,
    SizeModel,
    StopMode,
    TaskStart,
)
from mulberryhitch.workloads.model import Size

_TICK_SECONDS = 0.05


@dataclass(slots=True)
class _Attempt:
    start: TaskStart
    started_at: float
    ends_at: float
    lease_ends_at: float
    state: AttemptState = AttemptState.running
    reason: str = ''
    checkpointed: bool = False


class StandinWorker:
    """Implements the published protocol of a worker.

    A task's program is JSON: ``{"run_seconds": 2, "fail": "why",
    "use_millicores": 1500}``; every key is optional.

    Args:
        worker: The worker as it announces itself.
        on_change: Called when an attempt starts or ends on this worker.
    """

    def __init__(
        self,
        worker: Worker,
        on_change: Callable[[str, AttemptName, AttemptState], None]
        | None = None,
    ) -> None:
        """Initialises the worker with no attempts."""
        self.worker = worker
        self.fails_all_tasks = False
        self._on_change = on_change
        self._term = 0
        self._sequence = 0
        self._attempts: dict[AttemptName, _Attempt] = {}

    @property
    def running(self) -> list[AttemptName]:
        """Names of the running attempts."""
        return [
            name
            for name, attempt in self._attempts.items()
            if attempt.state is AttemptState.running
        ]

    async def run(self) -> None:
        """Calls ``tick`` periodically until cancelled."""
        while True:
            self.tick()
            await anyio.sleep(_TICK_SECONDS)

    def stop_all_tasks(self) -> None:
        """Stops all attempts, as when the worker's VM is lost."""
        for name in self.running:
            self._end(name, AttemptState.stopped, 'the worker stopped')
        self._attempts.clear()

    def tick(self) -> None:
        """Ends the attempts that are finished or whose lease has expired."""
        now = anyio.current_time()
        for name in self.running:
            attempt = self._attempts[name]
            if now >= attempt.lease_ends_at:
                self._end(name, AttemptState.stopped, 'the lease ran out')
            elif now >= attempt.ends_at:
                self._finish(name, attempt)

    def exchange(self, message: LeaseMessage) -> LeaseResponse:
        """Applies the leader's message unless outdated; returns a response.

        Raises:
            InvariantError: The running attempts exceed the worker's size.
        """
        self.tick()
        accepted = self._is_newest(message)
        if accepted:
            self._term = message.term
            self._sequence = message.sequence
            self._apply(message)
        return LeaseResponse(
            worker_id=self.worker.worker_id,
            incarnation=self.worker.incarnation,
            clock=anyio.current_time(),
            term=self._term,
            accepted=accepted,
            attempts=[
                self._report(name, attempt)
                for name, attempt in self._attempts.items()
            ],
        )

    def _is_newest(self, message: LeaseMessage) -> bool:
        return (message.term, message.sequence) > (self._term, self._sequence)

    def _apply(self, message: LeaseMessage) -> None:
        for ended in message.acknowledged:
            attempt = self._attempts.get(ended)
            if attempt and attempt.state is not AttemptState.running:
                self._attempts.pop(ended)
        if message.anchor is not None:
            lease_ends_at = message.anchor + message.lease_seconds
            self._renew(message, lease_ends_at)
            for start in message.start:
                self._start_attempt(start, lease_ends_at)
        for stop in message.stop:
            name = _attempt_name(stop)
            to_stop = self._attempts.get(name)
            if to_stop and to_stop.state is AttemptState.running:
                to_stop.checkpointed = stop.mode is StopMode.checkpoint
                self._end(name, AttemptState.stopped, 'stopped as asked')

    def _renew(self, message: LeaseMessage, lease_ends_at: float) -> None:
        for name in message.renew:
            attempt = self._attempts.get(name)
            if attempt is not None:
                attempt.lease_ends_at = max(
                    attempt.lease_ends_at, lease_ends_at
                )

    def _start_attempt(self, start: TaskStart, lease_ends_at: float) -> None:
        name = _attempt_name(start)
        now = anyio.current_time()
        if name in self._attempts or now >= lease_ends_at:
            return
        program = orjson.loads(start.program) if start.program else {}
        seconds = program.get('run_seconds', start.run_seconds)
        self._attempts[name] = _Attempt(
            start,
            now,
            now + seconds if seconds else float('inf'),
            lease_ends_at,
        )
        self._check_capacity()
        if self._on_change is not None:
            self._on_change(self.worker.worker_id, name, AttemptState.running)

    def _check_capacity(self) -> None:
        used = Size()
        for name in self.running:
            size = self._attempts[name].start.size
            used += Size(
                size.millicores, size.memory_mebibytes, size.accelerators
            )
        if not used.fits(self.worker.size):
            raise InvariantError(
                f'running attempts use {used}, more than the worker has',
                where=self.worker.worker_id,
            )

    def _finish(self, name: AttemptName, attempt: _Attempt) -> None:
        program = attempt.start.program
        options = orjson.loads(program) if program else {}
        failure = options.get('fail', '')
        if self.fails_all_tasks:
            failure = 'this worker fails everything'
        if failure:
            self._end(name, AttemptState.failed, failure)
        else:
            self._end(name, AttemptState.completed, '')

    def _end(self, name: AttemptName, state: AttemptState, reason: str) -> None:
        attempt = self._attempts[name]
        attempt.state = state
        attempt.reason = reason
        if self._on_change is not None:
            self._on_change(self.worker.worker_id, name, state)

    def _report(self, name: AttemptName, attempt: _Attempt) -> AttemptReport:
        program = attempt.start.program
        options = orjson.loads(program) if program else {}
        size = attempt.start.size
        return AttemptReport(
            **name.model_dump(),
            state=attempt.state,
            reason=attempt.reason,
            checkpointed=attempt.checkpointed,
            used=SizeModel(
                millicores=options.get('use_millicores', size.millicores),
                memory_mebibytes=size.memory_mebibytes,
                accelerators=size.accelerators,
            ),
            ran_seconds=anyio.current_time() - attempt.started_at,
        )


def _attempt_name(name: AttemptName) -> AttemptName:
    return AttemptName(
        workload_id=name.workload_id, task=name.task, attempt=name.attempt
    )
