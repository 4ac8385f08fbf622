"""The requests of one service at one owner: slots, and the queue for them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from mulberryhitch.errors import (
    DeadlinePassedError,
    NoBackendServerError,
    OverloadedError,
)
from mulberryhitch.requests.queues import Waiter, make_request_order
from mulberryhitch.requests.slots import ServerSlots

_LEARNING_RATE = 0.1
_FIRST_SERVICE_SECONDS = 0.05
_LONGEST_RETRY_AFTER_SECONDS = 60.0
_SLOTS_FOR_ONE_KEPT_FREE = 16


@dataclass(frozen=True, slots=True)
class ServiceLimits:
    """How much may wait, and in which order."""

    queue_limit: int = 2_000
    order: str = 'fair'


class ServiceSlots:
    """Hands the slots of a service's owned servers to waiting requests.

    Args:
        service: The service's name.
        limits: How much may wait.
        weight_of: A tenant's weight.
    """

    def __init__(
        self,
        service: str,
        limits: ServiceLimits,
        weight_of: Callable[[str], float],
    ) -> None:
        """Owns no server."""
        self.service = service
        self._limits = limits
        self._weight_of = weight_of
        self._servers: dict[str, ServerSlots] = {}
        self._queue = make_request_order(limits.order, weight_of)
        self._held: Counter[str] = Counter()
        self._service_seconds = _FIRST_SERVICE_SECONDS

    @property
    def servers(self) -> dict[str, ServerSlots]:
        """The owned servers by id."""
        return self._servers

    @property
    def free(self) -> int:
        """How many slots are free."""
        return sum(server.free for server in self._servers.values())

    @property
    def usable_slots(self) -> int:
        """All slots of servers that may be used now."""
        now = anyio.current_time()
        return sum(
            server.slots
            for server in self._servers.values()
            if server.ready and now < server.ends_at
        )

    @property
    def queued(self) -> int:
        """How many requests wait."""
        return len(self._queue)

    def update(self, limits: ServiceLimits) -> None:
        """Puts other limits in force; who waits goes on waiting."""
        if limits.order != self._limits.order:
            queue = make_request_order(limits.order, self._weight_of)
            for waiter in self._queue.drain():
                queue.push(waiter)
            self._queue = queue
        self._limits = limits

    def expected_wait(self, tenant: str) -> float:
        """How long a tenant's next request would wait, in seconds."""
        slots = max(self.usable_slots, 1)
        ahead = self._queue.ahead_of(tenant)
        return ahead * self._service_seconds / slots

    async def acquire(
        self, tenant: str, patience_seconds: float, avoid: frozenset[str]
    ) -> ServerSlots:
        """Waits for a slot, and takes it.

        Raises:
            NoBackendServerError: No owned server may be used.
            OverloadedError: The wait would be too long.
            DeadlinePassedError: No slot came free in time.
        """
        if not self.usable_slots:
            raise NoBackendServerError(
                'no server can be used here',
                where=self.service,
                retry_after_seconds=1,
            )
        server = self._best(avoid)
        if server and not len(self._queue) and self._may_hold(tenant):
            return self._take(server, tenant)
        self._check_wait(tenant, patience_seconds)
        return await self._wait(tenant, patience_seconds)

    def release(
        self,
        server: ServerSlots,
        tenant: str,
        seconds: float,
        *,
        abandoned: bool,
    ) -> None:
        """Gives a slot back after so many seconds."""
        if abandoned:
            server.abandon()
        else:
            server.give()
        self._held[tenant] -= 1
        self._queue.finished(tenant, seconds)
        learned = seconds - self._service_seconds
        self._service_seconds += _LEARNING_RATE * learned
        self.pump()

    def pump(self) -> None:
        """Hands free slots to those whose turn it is."""
        while len(self._queue):
            server = self._best(frozenset())
            if server is None:
                return
            waiter = self._queue.pop(self._may_hold)
            if waiter is None:
                return
            waiter.give(self._take(server, waiter.tenant))

    def _take(self, server: ServerSlots, tenant: str) -> ServerSlots:
        server.take()
        self._held[tenant] += 1
        return server

    def _best(self, avoid: frozenset[str]) -> ServerSlots | None:
        best = max(
            self._servers.values(),
            key=lambda one: (
                one.free > 0,
                one.backend_server_id not in avoid,
                one.free,
            ),
            default=None,
        )
        if best is None or best.free <= 0:
            return None
        return best

    def _may_hold(self, tenant: str) -> bool:
        """Whether a tenant may hold one slot more; some are kept free."""
        slots = self.usable_slots
        kept = slots // _SLOTS_FOR_ONE_KEPT_FREE
        return self._held[tenant] < max(slots - kept, 1)

    def _check_wait(self, tenant: str, patience_seconds: float) -> None:
        wait = self.expected_wait(tenant)
        full = self._queue.is_over_part(tenant, self._limits.queue_limit)
        if full or wait > patience_seconds:
            raise OverloadedError(
                f'{len(self._queue)} requests wait, '
                f'for {wait:.2f} s as expected',
                where=self.service,
                retry_after_seconds=min(
                    max(wait, 1), _LONGEST_RETRY_AFTER_SECONDS
                ),
            )

    async def _wait(self, tenant: str, patience_seconds: float) -> ServerSlots:
        waiter = Waiter(tenant)
        self._queue.push(waiter)
        try:
            with anyio.move_on_after(patience_seconds):
                await waiter.decided.wait()
        except BaseException:
            self._give_up(waiter)
            raise
        if waiter.server is None:
            self._queue.discard(waiter)
            raise DeadlinePassedError(
                f'no slot came free in {patience_seconds:.2f} s',
                where=self.service,
            )
        return waiter.server

    def _give_up(self, waiter: Waiter) -> None:
        if waiter.server is None:
            self._queue.discard(waiter)
        else:
            waiter.server.give()
            self._held[waiter.tenant] -= 1
            self.pump()
