"""Permits: which workers may run a step, and until when.

The permit service answers one question at a time for each machine that asks,
and a long one holds up those behind it. So every machine of ours that is
alive asks at most one question, and the most urgent one goes first.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.dispatch.ports import PermitClient
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs.model import PermitPolicy, StepKey
from mulberryhitch.observability.log import Log

MAXIMUM_WORKERS_PER_REQUEST = 100
_EXTRA_TIMEOUT_SECONDS = 1.0
_FAILED_PAUSE_SECONDS = 0.5
_NETWORK_DELAY_SECONDS = 0.02
_INITIAL_SHARE = 0.5
_SHARE_SMOOTHING = 0.2


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to start a step's tasks on one life of a worker."""

    ticket: str
    incarnation: int
    valid_until: float


@dataclass(slots=True)
class StepPermits:
    """What is known of one step.

    Attributes:
        allowed: Workers that may run it, in the order of the answers; this
            does not change.
        denied: Workers that may not.
    """

    allowed: dict[str, None] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    permits: dict[str, Permit] = field(default_factory=dict)
    request_pending: bool = False

    def valid_permit(
        self, worker_id: str, incarnation: int, until: float
    ) -> Permit | None:
        """The permit of a worker's life, if it holds until then."""
        permit = self.permits.get(worker_id)
        if (
            permit is None
            or permit.incarnation != incarnation
            or permit.valid_until < until
        ):
            return None
        return permit


@dataclass(slots=True)
class PermitRequest:
    """A step and the workers to ask for."""

    step: StepKey
    worker_ids: tuple[str, ...]
    policy: PermitPolicy
    sort_key: tuple[float, ...]
    queue_name: str = ''


@dataclass(slots=True)
class _Client:
    permit_client: PermitClient
    local: bool
    last_contact_at: float = 0
    busy: bool = False
    failed_at: float = -_FAILED_PAUSE_SECONDS


class PermitManager:
    """Asks for permits and keeps the answers.

    Args:
        born_of: Which life of a worker is known.
        answered: Called after each answer.
        log: Where failed questions are written.
    """

    def __init__(
        self,
        incarnation_of: Callable[[str], int],
        on_answer: Callable[[], None],
        log: Log,
    ) -> None:
        """Knows nothing."""
        self._incarnation_of = incarnation_of
        self._on_answer = on_answer
        self._log = log
        self._steps: dict[StepKey, StepPermits] = {}
        self._requests: dict[StepKey, PermitRequest] = {}
        self._clients: dict[str, _Client] = {}
        self._allowed_shares: dict[str, float] = {}
        self._woken = anyio.Event()

    def add_client(
        self, name: str, permit_client: PermitClient, *, local: bool = False
    ) -> None:
        """A machine that can ask is there, still or again."""
        client = self._clients.get(name)
        if client is None:
            client = _Client(permit_client, local)
            self._clients[name] = client
            self._wake()
        client.last_contact_at = anyio.current_time()

    def remove_silent_clients(self, silence_seconds: float) -> None:
        """Forgets machines that were not heard of for so long."""
        now = anyio.current_time()
        for name, client in tuple(self._clients.items()):
            silent = now - client.last_contact_at > silence_seconds
            if silent and not client.local and not client.busy:
                self._clients.pop(name)

    def of_step(self, step: StepKey) -> StepPermits:
        """What is known of a step."""
        return self._steps.setdefault(step, StepPermits())

    def forget(self, step: StepKey) -> None:
        """Drops what is known of a step."""
        self._steps.pop(step, None)
        self._requests.pop(step, None)

    def allowed_share(self, queue_name: str) -> float:
        """Which part of the workers a queue's steps are allowed, as learned."""
        return self._allowed_shares.get(queue_name, _INITIAL_SHARE)

    def idle_clients(self) -> int:
        """How many machines could ask a question now."""
        now = anyio.current_time()
        return sum(
            not client.busy and self._is_available(client, now)
            for client in self._clients.values()
        )

    def discard_permit(self, step: StepKey, worker_id: str) -> None:
        """Drops a permit that its worker did not accept."""
        self.of_step(step).permits.pop(worker_id, None)

    def replace_requests(self, requests: Iterable[PermitRequest]) -> None:
        """Replaces the questions that were not yet asked."""
        self._requests = {
            request.step: request
            for request in requests
            if not self.of_step(request.step).request_pending
        }
        if self._requests:
            self._wake()

    async def run(self) -> None:
        """Asks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._assign_requests(tasks)
                woken = self._woken
                with anyio.move_on_after(_FAILED_PAUSE_SECONDS):
                    await woken.wait()

    def _assign_requests(self, tasks: TaskGroup) -> None:
        waiting = sorted(
            self._requests.values(), key=lambda request: request.sort_key
        )
        for request in waiting:
            client = self._idle_client()
            if client is None:
                return
            self._requests.pop(request.step)
            client.busy = True
            self.of_step(request.step).request_pending = True
            tasks.start_soon(self._request, client, request)

    def _idle_client(self) -> _Client | None:
        now = anyio.current_time()
        free = [
            client
            for client in self._clients.values()
            if not client.busy and self._is_available(client, now)
        ]
        return min(free, key=lambda client: client.local) if free else None

    def _is_available(self, client: _Client, now: float) -> bool:
        """Whether a machine that failed is worth another question.

        One that is not this machine must have been heard of since.
        """
        if now - client.failed_at < _FAILED_PAUSE_SECONDS:
            return False
        return client.local or client.last_contact_at > client.failed_at

    async def _request(self, client: _Client, request: PermitRequest) -> None:
        ids = request.worker_ids[:MAXIMUM_WORKERS_PER_REQUEST]
        policy = request.policy
        expected = policy.decide_seconds + policy.each_seconds * len(ids)
        try:
            granted = await client.permit_client.ask(
                request.step, ids, expected * 2 + _EXTRA_TIMEOUT_SECONDS
            )
        except MulberryhitchError as error:
            client.failed_at = anyio.current_time()
            self._log.problem(
                'permits.unanswered',
                error.problem,
                job=request.step.job_id,
                step=request.step.step,
            )
        else:
            self._store_answer(request, ids, granted)
        finally:
            self._finish_request(client, request.step)
        self._on_answer()

    def _finish_request(self, client: _Client, step: StepKey) -> None:
        client.busy = False
        self.of_step(step).request_pending = False
        self._wake()

    def _store_answer(
        self,
        request: PermitRequest,
        ids: Sequence[str],
        granted: dict[str, str],
    ) -> None:
        step_permits = self.of_step(request.step)
        until = anyio.current_time() + request.policy.valid_seconds
        self._update_allowed_share(
            request.queue_name, step_permits, ids, granted
        )
        for worker_id in ids:
            ticket = granted.get(worker_id)
            if ticket is None:
                step_permits.denied.add(worker_id)
                continue
            step_permits.allowed[worker_id] = None
            step_permits.permits[worker_id] = Permit(
                ticket,
                self._incarnation_of(worker_id),
                until - _NETWORK_DELAY_SECONDS,
            )

    def _update_allowed_share(
        self,
        queue_name: str,
        step_permits: StepPermits,
        ids: Sequence[str],
        granted: dict[str, str],
    ) -> None:
        """Counts the workers that were asked for the first time."""
        new = [
            worker_id
            for worker_id in ids
            if worker_id not in step_permits.allowed
        ]
        if new:
            allowed = sum(worker_id in granted for worker_id in new) / len(new)
            before = self.allowed_share(queue_name)
            self._allowed_shares[queue_name] = (
                before + (allowed - before) * _SHARE_SMOOTHING
            )

    def _wake(self) -> None:
        self._woken.set()
        self._woken = anyio.Event()
