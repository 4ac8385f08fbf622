"""In which order waiting requests get slots: a registry of orders."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import anyio

from mulberryhitch.errors import InvalidSettingsError
from mulberryhitch.requests.slots import ServerSlots

_LEARNING_RATE = 0.2
_FIRST_COST_SECONDS = 0.05


class Waiter:
    """A request that waits for a slot."""

    def __init__(self, tenant: str) -> None:
        """Waits."""
        self.tenant = tenant
        self.server: ServerSlots | None = None
        self.decided = anyio.Event()

    def give(self, server: ServerSlots) -> None:
        """Hands over a slot that was taken for it."""
        self.server = server
        self.decided.set()


class RequestOrder(Protocol):
    """The order of waiting requests."""

    def push(self, waiter: Waiter) -> None:
        """Adds a request."""

    def discard(self, waiter: Waiter) -> None:
        """Removes a request that has given up."""

    def pop(self, may_hold: Callable[[str], bool]) -> Waiter | None:
        """Removes the request whose turn it is, of a tenant that may."""

    def ahead_of(self, tenant: str) -> float:
        """How many requests would come before a tenant's next."""

    def is_over_part(self, tenant: str, limit: int) -> bool:
        """Whether a tenant fills its part of a limit that is reached."""

    def drain(self) -> list[Waiter]:
        """Removes and returns all that wait."""

    def finished(self, tenant: str, seconds: float) -> None:
        """Notes how long a tenant's request held its slot."""

    def __len__(self) -> int:
        """How many wait."""


_OrderType = TypeVar('_OrderType', bound=type)
_OrderFactory = Callable[[Callable[[str], float]], RequestOrder]
_orders: dict[str, _OrderFactory] = {}


def request_order(name: str) -> Callable[[_OrderType], _OrderType]:
    """Registers an order under its name."""

    def register(order_type: _OrderType) -> _OrderType:
        _orders[name] = order_type
        return order_type

    return register


def make_request_order(
    name: str, weight_of: Callable[[str], float]
) -> RequestOrder:
    """Makes the order of a name.

    Raises:
        InvalidSettingsError: There is no such order.
    """
    if name not in _orders:
        raise InvalidSettingsError(f'no order named {name}', where='order')
    return _orders[name](weight_of)


@request_order('fifo')
class FifoRequests:
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

    def pop(self, may_hold: Callable[[str], bool]) -> Waiter | None:
        """Removes the first, whosever it is."""
        return self._queue.popleft() if self._queue else None

    def ahead_of(self, tenant: str) -> float:
        """All that wait."""
        return len(self._queue)

    def is_over_part(self, tenant: str, limit: int) -> bool:
        """Whether the limit is reached, by whomever."""
        return len(self._queue) >= limit

    def drain(self) -> list[Waiter]:
        """Removes and returns all that wait."""
        waiting = list(self._queue)
        self._queue.clear()
        return waiting

    def finished(self, tenant: str, seconds: float) -> None:
        """Does nothing."""

    def __len__(self) -> int:
        """How many wait."""
        return len(self._queue)


@dataclass(slots=True)
class _Tenant:
    waiting: deque[Waiter] = field(default_factory=deque)
    virtual_time: float = 0
    cost_seconds: float = _FIRST_COST_SECONDS


@request_order('fair')
class FairRequests:
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
        self._tenants: dict[str, _Tenant] = {}
        self._active: dict[str, _Tenant] = {}
        self._virtual_time = float()
        self._length = 0

    def push(self, waiter: Waiter) -> None:
        """Adds a request at its tenant's end."""
        tenant = self._tenants.setdefault(waiter.tenant, _Tenant())
        if not tenant.waiting:
            tenant.virtual_time = max(tenant.virtual_time, self._virtual_time)
            self._active[waiter.tenant] = tenant
        tenant.waiting.append(waiter)
        self._length += 1

    def discard(self, waiter: Waiter) -> None:
        """Removes a request."""
        tenant = self._tenants[waiter.tenant]
        tenant.waiting.remove(waiter)
        self._length -= 1
        if not tenant.waiting:
            self._active.pop(waiter.tenant)

    def pop(self, may_hold: Callable[[str], bool]) -> Waiter | None:
        """Removes the first request of the tenant furthest behind."""
        name = min(
            filter(may_hold, self._active),
            key=lambda one: self._active[one].virtual_time,
            default=None,
        )
        if name is None:
            return None
        tenant = self._active[name]
        self._virtual_time = max(self._virtual_time, tenant.virtual_time)
        tenant.virtual_time += tenant.cost_seconds / self._weight_of(name)
        waiter = tenant.waiting.popleft()
        self._length -= 1
        if not tenant.waiting:
            self._active.pop(name)
        return waiter

    def ahead_of(self, tenant: str) -> float:
        """The tenant's own, and what the others are served meanwhile."""
        own = self._tenants.get(tenant, _Tenant())
        weights = sum(map(self._weight_of, {*self._active, tenant}))
        turns = len(own.waiting) * weights / self._weight_of(tenant)
        return min(turns, self._length)

    def is_over_part(self, tenant: str, limit: int) -> bool:
        """Whether the limit is reached, and the tenant has its part of it."""
        own = self._tenants.get(tenant, _Tenant())
        part = limit / max(len(self._active), 1)
        return self._length >= limit and len(own.waiting) >= part

    def drain(self) -> list[Waiter]:
        """Removes and returns all that wait."""
        waiting = [
            waiter
            for tenant in self._active.values()
            for waiter in tenant.waiting
        ]
        for waiter in waiting:
            self.discard(waiter)
        return waiting

    def finished(self, tenant: str, seconds: float) -> None:
        """Charges what the request took beyond what was expected."""
        known = self._tenants.setdefault(tenant, _Tenant())
        beyond = seconds - known.cost_seconds
        known.virtual_time += beyond / self._weight_of(tenant)
        known.cost_seconds += _LEARNING_RATE * beyond

    def __len__(self) -> int:
        """How many wait."""
        return self._length
