"""In which order waiting requests get slots: a registry of orders."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import anyio

from mulberryhitch.errors import InvalidSettingsError
from mulberryhitch.requests.server_slots import ServerSlots

_SMOOTHING_FACTOR = 0.2
_INITIAL_COST_SECONDS = 0.05


class Waiter:
    """A request that waits for a slot."""

    def __init__(self, tenant: str) -> None:
        """Waits."""
        self.tenant = tenant
        self.server: ServerSlots | None = None
        self.assigned = anyio.Event()

    def assign(self, server: ServerSlots) -> None:
        """Hands over a slot that was taken for it."""
        self.server = server
        self.assigned.set()


class RequestQueue(Protocol):
    """The order of waiting requests."""

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""

    def discard(self, waiter: Waiter) -> None:
        """Removes a request that has given up."""

    def pop(self, may_take_slot: Callable[[str], bool]) -> Waiter | None:
        """Removes the request whose turn it is, of a tenant that may."""

    def requests_ahead_of(self, tenant: str) -> float:
        """How many requests would come before a tenant's next."""

    def is_over_share(self, tenant: str, limit: int) -> bool:
        """Whether a tenant fills its part of a limit that is reached."""

    def drain(self) -> list[Waiter]:
        """Removes and returns all that wait."""

    def record_finished(self, tenant: str, held_seconds: float) -> None:
        """Notes how long a tenant's request held its slot."""

    def __len__(self) -> int:
        """How many wait."""


_QueueType = TypeVar('_QueueType', bound=type)
_QueueFactory = Callable[[Callable[[str], float]], RequestQueue]
_queue_types: dict[str, _QueueFactory] = {}


def register_queue(name: str) -> Callable[[_QueueType], _QueueType]:
    """Registers an order under its name."""

    def register(queue_type: _QueueType) -> _QueueType:
        _queue_types[name] = queue_type
        return queue_type

    return register


def make_request_queue(
    name: str, weight_of: Callable[[str], float]
) -> RequestQueue:
    """Makes the order of a name.

    Raises:
        InvalidSettingsError: There is no such order.
    """
    if name not in _queue_types:
        raise InvalidSettingsError(f'no order named {name}', where='order')
    return _queue_types[name](weight_of)


@register_queue('fifo')
class FifoQueue:
    """First come, first served.

    Args:
        weight_of: Not looked at.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        """Starts empty."""
        self._queue: deque[Waiter] = deque()

    def push(self, waiter: Waiter) -> None:
        """Adds a request at the end."""
        self._queue.append(waiter)

    def discard(self, waiter: Waiter) -> None:
        """Removes a request."""
        self._queue.remove(waiter)

    def pop(self, may_take_slot: Callable[[str], bool]) -> Waiter | None:
        """Removes the first, whosever it is."""
        return self._queue.popleft() if self._queue else None

    def requests_ahead_of(self, tenant: str) -> float:
        """All that wait."""
        return len(self._queue)

    def is_over_share(self, tenant: str, limit: int) -> bool:
        """Whether the limit is reached, by whomever."""
        return len(self._queue) >= limit

    def drain(self) -> list[Waiter]:
        """Removes and returns all that wait."""
        waiting = list(self._queue)
        self._queue.clear()
        return waiting

    def record_finished(self, tenant: str, held_seconds: float) -> None:
        """Does nothing."""

    def __len__(self) -> int:
        """How many wait."""
        return len(self._queue)


@dataclass(slots=True)
class _TenantQueue:
    waiting: deque[Waiter] = field(default_factory=deque)
    virtual_time: float = 0
    cost_seconds: float = _INITIAL_COST_SECONDS


@register_queue('fair')
class FairQueue:
    """Slot time is shared by the tenants' weights.

    Each tenant has a virtual time, which its requests move on by the time
    that they are expected to hold a slot; when one has ended, by what it took
    beyond that. The tenant furthest behind comes first. One that was idle
    starts where the others are, so it can't save up its turn.

    Args:
        weight_of: A tenant's weight.
    """

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        """Starts empty."""
        self._weight_of = weight_of
        self._queues: dict[str, _TenantQueue] = {}
        self._active: dict[str, _TenantQueue] = {}
        self._virtual_time = float()
        self._length = 0

    def push(self, waiter: Waiter) -> None:
        """Adds a request at its tenant's end."""
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
        """Removes the first request of the tenant furthest behind."""
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
            tenant_queue.cost_seconds / self._weight_of(name)
        )
        waiter = tenant_queue.waiting.popleft()
        self._length -= 1
        if not tenant_queue.waiting:
            self._active.pop(name)
        return waiter

    def requests_ahead_of(self, tenant: str) -> float:
        """The tenant's own, and what the others are served meanwhile."""
        own_queue = self._queues.get(tenant, _TenantQueue())
        weights = sum(map(self._weight_of, {*self._active, tenant}))
        turns = len(own_queue.waiting) * weights / self._weight_of(tenant)
        return min(turns, self._length)

    def is_over_share(self, tenant: str, limit: int) -> bool:
        """Whether the limit is reached, and the tenant has its part of it."""
        own_queue = self._queues.get(tenant, _TenantQueue())
        share = limit / max(len(self._active), 1)
        return self._length >= limit and len(own_queue.waiting) >= share

    def drain(self) -> list[Waiter]:
        """Removes and returns all that wait."""
        waiting = [
            waiter
            for tenant_queue in self._active.values()
            for waiter in tenant_queue.waiting
        ]
        for waiter in waiting:
            self.discard(waiter)
        return waiting

    def record_finished(self, tenant: str, held_seconds: float) -> None:
        """Charges what the request took beyond what was expected."""
        tenant_queue = self._queues.setdefault(tenant, _TenantQueue())
        excess_seconds = held_seconds - tenant_queue.cost_seconds
        tenant_queue.virtual_time += excess_seconds / self._weight_of(tenant)
        tenant_queue.cost_seconds += _SMOOTHING_FACTOR * excess_seconds

    def __len__(self) -> int:
        """How many wait."""
        return self._length
