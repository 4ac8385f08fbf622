"""The slots of one service at one owner, and the queue for them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mulberryhitch.errors import (
    DeadlinePassedError,
    NoBackendServerError,
    OverloadedError,
)
from mulberryhitch.requests.queues import Waiter, make_request_queue
from mulberryhitch.requests.server_slots import ServerSlots

_SMOOTHING_FACTOR = 0.1
_INITIAL_MEAN_HELD_SECONDS = 0.05
_MAX_RETRY_AFTER_SECONDS = 60.0
_SLOTS_PER_RESERVED_SLOT = 16


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """Maximum number of waiting requests, and the name of their order."""

    queue_limit: int = 2_000
    order: str = 'fair'


class ServiceSlots:
    """Assigns the slots of a service's owned servers to requests.

    Args:
        service: Name of the service.
        limits: Limit and order of the queue.
        weight_of: Returns a tenant's weight.
    """

    def __init__(
        self,
        service: str,
        limits: ServiceLimits,
        weight_of: Callable[[str], float],
    ) -> None:
        """Initialises the slots of a service without servers."""
        self.service = service
        self._limits = limits
        self._weight_of = weight_of
        self._servers: dict[str, ServerSlots] = {}
        self._queue = make_request_queue(limits.order, weight_of)
        self._held_slots: Counter[str] = Counter()
        self._mean_held_seconds = _INITIAL_MEAN_HELD_SECONDS

    @property
    def servers(self) -> dict[str, ServerSlots]:
        """The owned servers by identifier."""
        return self._servers

    @property
    def free_slots(self) -> int:
        """The number of free slots."""
        return sum(server.free_slots for server in self._servers.values())

    @property
    def usable_slots(self) -> int:
        """The number of slots, free or not, of currently usable servers."""
        now = anyio.current_time()
        return sum(
            server.slots
            for server in self._servers.values()
            if server.ready and now < server.owned_until
        )

    @property
    def queued(self) -> int:
        """The number of waiting requests."""
        return len(self._queue)

    def update_limits(self, limits: ServiceLimits) -> None:
        """Applies new limits; waiting requests stay queued."""
        if limits.order != self._limits.order:
            queue = make_request_queue(limits.order, self._weight_of)
            for waiter in self._queue.drain():
                queue.push(waiter)
            self._queue = queue
        self._limits = limits

    def expected_wait_seconds(self, tenant: str) -> float:
        """Returns the expected wait of a tenant's next request."""
        slots = max(self.usable_slots, 1)
        ahead = self._queue.requests_ahead_of(tenant)
        return ahead * self._mean_held_seconds / slots

    async def acquire(
        self, tenant: str, timeout_seconds: float, avoid: frozenset[str]
    ) -> ServerSlots:
        """Waits for a slot and acquires it.

        A server in ``avoid`` is used only if no other has a free slot, or if
        the request had to wait in the queue.

        Raises:
            NoBackendServerError: No owned server is usable.
            OverloadedError: The queue is full, or the expected wait exceeds
                the timeout.
            DeadlinePassedError: No slot became free in time.
        """
        if not self.usable_slots:
            raise NoBackendServerError(
                'no owned backend server is usable',
                where=self.service,
                retry_after_seconds=1,
            )
        server = self._pick_server(avoid)
        if server and not len(self._queue) and self._may_take_slot(tenant):
            return self._take_slot(server, tenant)
        self._check_admission(tenant, timeout_seconds)
        return await self._wait_for_slot(tenant, timeout_seconds)

    def release(
        self,
        server: ServerSlots,
        tenant: str,
        held_seconds: float,
        *,
        abandoned: bool,
    ) -> None:
        """Releases a slot; ``abandoned`` if its request may still run."""
        if abandoned:
            server.abandon()
        else:
            server.release()
        self._held_slots[tenant] -= 1
        self._queue.record_finished(tenant, held_seconds)
        deviation = held_seconds - self._mean_held_seconds
        self._mean_held_seconds += _SMOOTHING_FACTOR * deviation
        self.assign_free_slots()

    def assign_free_slots(self) -> None:
        """Assigns free slots to waiting requests in queue order."""
        while len(self._queue):
            server = self._pick_server(frozenset())
            if server is None:
                return
            waiter = self._queue.pop(self._may_take_slot)
            if waiter is None:
                return
            waiter.assign(self._take_slot(server, waiter.tenant))

    def _take_slot(self, server: ServerSlots, tenant: str) -> ServerSlots:
        server.acquire()
        self._held_slots[tenant] += 1
        return server

    def _pick_server(self, avoid: frozenset[str]) -> ServerSlots | None:
        best = max(
            self._servers.values(),
            key=lambda candidate: (
                candidate.free_slots > 0,
                candidate.backend_server_id not in avoid,
                candidate.free_slots,
            ),
            default=None,
        )
        if best is None or best.free_slots <= 0:
            return None
        return best

    def _may_take_slot(self, tenant: str) -> bool:
        """Whether a tenant may take a slot not reserved for others."""
        slots = self.usable_slots
        reserved = slots // _SLOTS_PER_RESERVED_SLOT
        return self._held_slots[tenant] < max(slots - reserved, 1)

    def _check_admission(self, tenant: str, timeout_seconds: float) -> None:
        wait_seconds = self.expected_wait_seconds(tenant)
        is_full = self._queue.is_over_share(tenant, self._limits.queue_limit)
        if is_full or wait_seconds > timeout_seconds:
            raise OverloadedError(
                f'{len(self._queue)} requests are waiting, '
                f'expected wait {wait_seconds:.2f} s',
                where=self.service,
                retry_after_seconds=min(
                    max(wait_seconds, 1), _MAX_RETRY_AFTER_SECONDS
                ),
            )

    async def _wait_for_slot(
        self, tenant: str, timeout_seconds: float
    ) -> ServerSlots:
        waiter = Waiter(tenant)
        self._queue.push(waiter)
        try:
            with anyio.move_on_after(timeout_seconds):
                await waiter.assigned.wait()
        except BaseException:
            self._withdraw(waiter)
            raise
        if waiter.server is None:
            self._queue.discard(waiter)
            raise DeadlinePassedError(
                f'no slot became free within {timeout_seconds:.2f} s',
                where=self.service,
            )
        return waiter.server

    def _withdraw(self, waiter: Waiter) -> None:
        if waiter.server is None:
            self._queue.discard(waiter)
        else:
            waiter.server.release()
            self._held_slots[waiter.tenant] -= 1
            self.assign_free_slots()
