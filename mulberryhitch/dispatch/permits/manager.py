"""Permits: which workers may run a step, and until when.

The permit service processes one request at a time for each client machine, and
a long request delays those queued behind it. So each machine of the cluster
that is alive sends at most one request at a time, and the most urgent request
goes first. A long request is split among machines that would be idle.
"""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.dispatch.ports import PermitClient
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs.model import PermitPolicy, StepKey
from mulberryhitch.observability.log import Log

MAX_WORKERS_PER_REQUEST = 100
_EXTRA_TIMEOUT_SECONDS = 1.0
# A client reports each 0.5 s, so two reports are missing by then.
_OVERDUE_SECONDS = 1.2
_FAILED_PAUSE_SECONDS = 0.5
_NETWORK_DELAY_SECONDS = 0.02
_INITIAL_SHARE = 0.5
_SHARE_SMOOTHING = 0.2


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to start a step's tasks on one incarnation of a worker.

    Attributes:
        ticket: Proves the permit to the worker in the start command.
        valid_until: Seconds on the local clock.
    """

    ticket: str
    incarnation: int
    valid_until: float


@dataclass(slots=True)
class StepPermits:
    """The permits of a step.

    Attributes:
        allowed: Workers that may run it, in the order of the first grants; a
            worker stays allowed when its permit expires.
        denied: Workers that may not run it.
        permits: The newest permit of each allowed worker.
        requested: Workers named in the requests in progress; empty if there
            are none.
    """

    allowed: dict[str, None] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    permits: dict[str, Permit] = field(default_factory=dict)
    requested: dict[str, None] = field(default_factory=dict)

    def in_use(self, now: float) -> bool:
        """Whether a request is in progress or a permit is valid."""
        return self.request_pending or any(
            permit.valid_until > now for permit in self.permits.values()
        )

    @property
    def request_pending(self) -> bool:
        """Whether a request for the step is in progress."""
        return bool(self.requested)

    def covers(self, worker_id: str, incarnation: int, until: float) -> bool:
        """Whether a permit is valid until then, or has been requested."""
        if worker_id in self.requested:
            return True
        return self.valid_permit(worker_id, incarnation, until) is not None

    def valid_permit(
        self, worker_id: str, incarnation: int, until: float
    ) -> Permit | None:
        """Returns an incarnation's permit if it is valid until then."""
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
    """A request for permits to run a step on some workers.

    Attributes:
        sort_key: Requests with lower keys are sent first.
        ahead: Whether the step can't use the permits yet; such a request takes
            one client only, after all others.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    policy: PermitPolicy
    sort_key: tuple[float, ...]
    queue_name: str = ''
    ahead: bool = False

    def split(self, maximum_parts: int) -> list['PermitRequest']:
        """Splits the request into parts that are sent side by side.

        Naming the workers of a part takes about as long as deciding, or less,
        if that many parts are allowed. Workers that do not fit into them are
        left out.
        """
        if self.ahead:
            return [self]
        named = len(self.worker_ids)
        naming_seconds = named * self.policy.each_seconds
        decide_seconds = self.policy.decide_seconds or naming_seconds or 1
        wanted = max(
            naming_seconds / decide_seconds, named / MAX_WORKERS_PER_REQUEST
        )
        parts = max(1, min(maximum_parts, math.ceil(wanted)))
        size = min(MAX_WORKERS_PER_REQUEST, math.ceil(named / parts))
        return [
            replace(self, worker_ids=self.worker_ids[start : start + size])
            for start in range(0, size * parts, max(1, size))
            if start < named
        ]


@dataclass(slots=True)
class _Client:
    permit_client: PermitClient
    local: bool
    last_contact_at: float = 0
    request: PermitRequest | None = None
    overdue: bool = False
    failed_at: float = -_FAILED_PAUSE_SECONDS

    @property
    def busy(self) -> bool:
        """Whether a request sent through it is in progress."""
        return self.request is not None

    def is_silent(self, seconds: float, now: float) -> bool:
        """Whether it is remote and has not reported for this long."""
        return not self.local and now - self.last_contact_at > seconds


class PermitManager:
    """Requests permits and stores them.

    Args:
        incarnation_of: Returns the known incarnation of a worker.
        on_request_done: Called after each request, also after one that failed.
        log: Receives failed requests.
    """

    def __init__(
        self,
        incarnation_of: Callable[[str], int],
        on_request_done: Callable[[], None],
        log: Log,
    ) -> None:
        """Initialises the manager without clients or permits."""
        self._incarnation_of = incarnation_of
        self._on_request_done = on_request_done
        self._log = log
        self._steps: dict[StepKey, StepPermits] = {}
        self._requests: dict[StepKey, PermitRequest] = {}
        self._clients: dict[str, _Client] = {}
        self._allowed_shares: dict[str, float] = {}
        self._client_seconds: dict[str, float] = {}
        self._woken = anyio.Event()

    def add_client(
        self, name: str, permit_client: PermitClient, *, local: bool = False
    ) -> None:
        """Adds a client, or records that a known one is still alive."""
        client = self._clients.get(name)
        if client is None:
            client = _Client(permit_client, local)
            self._clients[name] = client
            self._wake()
        client.last_contact_at = anyio.current_time()

    def remove_silent_clients(self, silence_seconds: float) -> None:
        """Removes idle remote clients that have not reported for this long."""
        now = anyio.current_time()
        for name, client in tuple(self._clients.items()):
            if not client.busy and client.is_silent(silence_seconds, now):
                self._clients.pop(name)

    def release_overdue_requests(self) -> None:
        """Lets a step ask again if the client of its request fell silent.

        The answer is still used if it comes.
        """
        now = anyio.current_time()
        for client in self._clients.values():
            request = client.request
            if request is None or client.overdue:
                continue
            if client.is_silent(_OVERDUE_SECONDS, now):
                client.overdue = True
                self._log.event(
                    'permits.overdue',
                    job=request.step.job_id,
                    step=request.step.step,
                )
                self._remove_requested(request)
                self._on_request_done()

    def of_step(self, step: StepKey) -> StepPermits:
        """Returns the permits of a step."""
        return self._steps.setdefault(step, StepPermits())

    def remove_step(self, step: StepKey) -> None:
        """Removes the permits of a step and its request."""
        self._steps.pop(step, None)
        self._requests.pop(step, None)

    def allowed_share(self, queue_name: str) -> float:
        """Returns the observed share of workers allowed to a queue's steps."""
        return self._allowed_shares.get(queue_name, _INITIAL_SHARE)

    @property
    def client_count(self) -> int:
        """Number of clients that requests may be sent through."""
        return len(self._clients)

    def take_client_seconds(self) -> dict[str, float]:
        """Returns the time that requests took since the last call, by queue."""
        taken = self._client_seconds
        self._client_seconds = {}
        return taken

    def idle_clients(self) -> int:
        """Returns how many clients could send a request now."""
        return len(self._sorted_idle_clients())

    def discard_permit(self, step: StepKey, worker_id: str) -> None:
        """Removes a permit that its worker did not accept."""
        self.of_step(step).permits.pop(worker_id, None)

    def replace_requests(self, requests: Iterable[PermitRequest]) -> None:
        """Replaces the requests that have not been sent yet."""
        self._requests = {}
        self.add_requests(requests)

    def add_requests(self, requests: Iterable[PermitRequest]) -> None:
        """Adds requests; one for the same step is replaced."""
        for request in requests:
            if not self.of_step(request.step).request_pending:
                self._requests[request.step] = request
        if self._requests:
            self._wake()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._assign_requests(tasks)
                woken = self._woken
                with anyio.move_on_after(_FAILED_PAUSE_SECONDS):
                    await woken.wait()

    def _assign_requests(self, tasks: TaskGroup) -> None:
        waiting = sorted(
            self._requests.values(),
            key=lambda request: (request.ahead, request.sort_key),
        )
        idle = self._sorted_idle_clients()
        for position, request in enumerate(waiting):
            if not idle:
                return
            self._requests.pop(request.step)
            spare = len(idle) - (len(waiting) - position)
            for part in request.split(1 + max(0, spare)):
                self._send(idle.pop(0), part, tasks)

    def _send(
        self, client: _Client, request: PermitRequest, tasks: TaskGroup
    ) -> None:
        client.request = request
        client.overdue = False
        requested = dict.fromkeys(request.worker_ids)
        self.of_step(request.step).requested.update(requested)
        tasks.start_soon(self._request, client, request)

    def _sorted_idle_clients(self) -> list[_Client]:
        """Returns the clients that could send a request now, local ones last."""
        now = anyio.current_time()
        idle = [
            client
            for client in self._clients.values()
            if not client.busy and self._is_available(client, now)
        ]
        return sorted(idle, key=lambda client: client.local)

    def _is_available(self, client: _Client, now: float) -> bool:
        """Whether a client may be used, also after a failed request.

        A remote client must have reported lately, and since the failure.
        """
        if now - client.failed_at < _FAILED_PAUSE_SECONDS:
            return False
        if client.is_silent(_OVERDUE_SECONDS, now):
            return False
        return client.local or client.last_contact_at > client.failed_at

    async def _request(self, client: _Client, request: PermitRequest) -> None:
        worker_ids = request.worker_ids
        policy = request.policy
        began = anyio.current_time()
        expected = policy.decide_seconds + policy.each_seconds * len(worker_ids)
        timeout = expected * 2 + _EXTRA_TIMEOUT_SECONDS
        try:
            granted = await client.permit_client.ask(
                request.step, worker_ids, timeout
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
            self._store_permits(request, worker_ids, granted)
        finally:
            self._record_client_seconds(request.queue_name, began)
            self._finish_request(client, request)
        self._on_request_done()

    def _record_client_seconds(self, queue_name: str, began: float) -> None:
        taken = self._client_seconds.get(queue_name, 0)
        taken += anyio.current_time() - began
        self._client_seconds[queue_name] = taken

    def _finish_request(self, client: _Client, request: PermitRequest) -> None:
        client.request = None
        if not client.overdue:
            self._remove_requested(request)
        self._wake()

    def _remove_requested(self, request: PermitRequest) -> None:
        requested = self.of_step(request.step).requested
        for worker_id in request.worker_ids:
            requested.pop(worker_id, None)

    def _store_permits(
        self,
        request: PermitRequest,
        worker_ids: Sequence[str],
        granted: dict[str, str],
    ) -> None:
        step_permits = self.of_step(request.step)
        until = anyio.current_time() + request.policy.valid_seconds
        self._update_allowed_share(
            request.queue_name, step_permits, worker_ids, granted
        )
        for worker_id in worker_ids:
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
        worker_ids: Sequence[str],
        granted: dict[str, str],
    ) -> None:
        """Updates the observed share with the workers not allowed so far."""
        new = [
            worker_id
            for worker_id in worker_ids
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
