"""Queues of requests waiting for a slot, registered by their order."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import anyio

from mulberryhitch.errors import InvalidSettingsError
from mulberryhitch.requests.server_slots import ServerSlots

_SMOOTHING_FACTOR = 0.2
_INITIAL_MEAN_HELD_SECONDS = 0.05


class Waiter:
    """A request that waits for a slot."""

    def __init__(self, tenant: str) -> None:
        """Initialises a waiter without a slot."""
        self.tenant = tenant
        self.server: ServerSlots | None = None
        self.assigned = anyio.Event()

    def assign(self, server: ServerSlots) -> None:
        """Assigns a slot that was acquired for the request."""
        self.server = server
        self.assigned.set()


class RequestQueue(Protocol):
    """An ordered queue of waiting requests."""

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""

    def discard(self, waiter: Waiter) -> None:
        """Removes a request that no longer waits."""

    def pop(self, may_take_slot: Callable[[str], bool]) -> Waiter | None:
        """Removes the next request of a tenant that may take a slot."""

    def requests_ahead_of(self, tenant: str) -> float:
        """Returns how many requests precede a tenant's next request."""

    def is_over_share(self, tenant: str, limit: int) -> bool:
        """Whether the limit is reached and the tenant fills its share."""

    def drain(self) -> list[Waiter]:
        """Removes and returns all waiting requests."""

    def record_finished(self, tenant: str, held_seconds: float) -> None:
        """Records how long a tenant's request held its slot."""

    def __len__(self) -> int:
        """Returns the number of waiting requests."""


_QueueType = TypeVar('_QueueType', bound=type)
_QueueFactory = Callable[[Callable[[str], float]], RequestQueue]
_queue_types: dict[str, _QueueFactory] = {}


def register_queue(name: str) -> Callable[[_QueueType], _QueueType]:
    """Registers a queue type under the name of its order."""

    def register(queue_type: _QueueType) -> _QueueType:
        _queue_types[name] = queue_type
        return queue_type

    return register


def make_request_queue(
    name: str, weight_of: Callable[[str], float]
) -> RequestQueue:
    """Creates the queue for a named order.

    Raises:
        InvalidSettingsError: No such order is registered.
    """
    if name not in _queue_types:
        raise InvalidSettingsError(
            f'no queue order named {name}', where='order'
        )
    return _queue_types[name](weight_of)


@register_queue('fifo')
class FifoQueue:
    """First in, first out.

    Args:
        weight_of: Not used.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        """Initialises an empty queue."""
        self._queue: deque[Waiter] = deque()

    def push(self, waiter: Waiter) -> None:
        """Adds a request at the end."""
        self._queue.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Removes a request."""
        self._queue.remove(waiter)

    def pop(self, may_take_slot: Callable[[str], bool]) -> Waiter | None:
        """Removes the first request of any tenant."""
        return self._queue.popleft() if self._queue else None

    def requests_ahead_of(self, tenant: str) -> float:
        """Returns the number of all waiting requests."""
        return len(self._queue)

    def is_over_share(self, tenant: str, limit: int) -> bool:
        """Whether all tenants together reach the limit."""
        return len(self._queue) >= limit

    def drain(self) -> list[Waiter]:
        """Removes and returns all waiting requests."""
        waiting = list(self._queue)
        self._queue.clear()
        return waiting

    def record_finished(self, tenant: str, held_seconds: float) -> None:
        """Does nothing; slot time does not affect the order."""

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._queue)


@dataclass(slots=True)
class _TenantQueue:
    waiting: deque[Waiter] = field(default_factory=deque)
    virtual_time: float = 0
    mean_held_seconds: float = _INITIAL_MEAN_HELD_SECONDS


@register_queue('fair')
class FairQueue:
    """Shares slot time between tenants in proportion to their weights.

    Each tenant has a virtual time. For each request that is removed from the
    queue, it advances by the expected slot time divided by the tenant's
    weight, and is corrected by the difference when the request ends. The
    tenant with the lowest virtual time is next. A tenant that was idle starts
    at the current virtual time, so it can't accumulate credit.

    Args:
        weight_of: Returns a tenant's weight.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        """Initialises an empty queue."""
        self._weight_of = weight_of
        self._queues: dict[str, _TenantQueue] = {}
        self._active: dict[str, _TenantQueue] = {}
        self._virtual_time = float()
        self._length = 0

    def push(self, waiter: Waiter) -> None:
        """Adds a request at the end of its tenant's queue."""
        tenant_queue = self._queues.setdefault(waiter.tenant, _TenantQueue())
        if not tenant_queue.waiting:
            tenant_queue.virtual_time = max(
                tenant_queue.virtual_time, self._virtual_time
            )
            self._active[waiter.tenant] = tenant_queue
        tenant_queue.waiting.append(waiter)
        self._length += 1

    def discard(self, waiter: Waiter) -> None:
        """Removes a request."""
        tenant_queue = self._queues[waiter.tenant]
        tenant_queue.waiting.remove(waiter)
        self._length -= 1
        if not tenant_queue.waiting:
            self._active.pop(waiter.tenant)

    def pop(self, may_take_slot: Callable[[str], bool]) -> Waiter | None:
        """Removes a request of the tenant with the lowest virtual time."""
        name = min(
            filter(may_take_slot, self._active),
            key=lambda tenant: self._active[tenant].virtual_time,
            default=None,
        )
        if name is None:
            return None
        tenant_queue = self._active[name]
        self._virtual_time = max(self._virtual_time, tenant_queue.virtual_time)
        tenant_queue.virtual_time += (
            tenant_queue.mean_held_seconds / self._weight_of(name)
        )
        waiter = tenant_queue.waiting.popleft()
        self._length -= 1
        if not tenant_queue.waiting:
            self._active.pop(name)
        return waiter

    def requests_ahead_of(self, tenant: str) -> float:
        """Estimates the tenant's requests plus others served meanwhile."""
        own_queue = self._queues.get(tenant, _TenantQueue())
        weights = sum(map(self._weight_of, {*self._active, tenant}))
        requests_ahead = (
            len(own_queue.waiting) * weights / self._weight_of(tenant)
        )
        return min(requests_ahead, self._length)

    def is_over_share(self, tenant: str, limit: int) -> bool:
        """Whether the limit is reached and the tenant fills its share."""
        own_queue = self._queues.get(tenant, _TenantQueue())
        share = limit / max(len(self._active), 1)
        return self._length >= limit and len(own_queue.waiting) >= share

    def drain(self) -> list[Waiter]:
        """Removes and returns all waiting requests."""
        waiting = [
            waiter
            for tenant_queue in self._active.values()
            for waiter in tenant_queue.waiting
        ]
        for waiter in waiting:
            self.discard(waiter)
        return waiting

    def record_finished(self, tenant: str, held_seconds: float) -> None:
        """Charges the slot time beyond the expected time."""
        tenant_queue = self._queues.setdefault(tenant, _TenantQueue())
        excess_seconds = held_seconds - tenant_queue.mean_held_seconds
        tenant_queue.virtual_time += excess_seconds / self._weight_of(tenant)
        tenant_queue.mean_held_seconds += _SMOOTHING_FACTOR * excess_seconds

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._length
