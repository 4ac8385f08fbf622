"""In which order waiting work is tried: a registry of orders."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from mulberryhitch.errors import InvalidSettingsError, InvariantError
from mulberryhitch.placement.waiting import Waiting
from mulberryhitch.workloads.model import Size, Urgency

_BACKFILL_DEPTH = 16


@dataclass(frozen=True, slots=True)
class Share:
    """What a tenant may use.

    Attributes:
        weight: Its part against the other tenants' weights.
        quota: The most it may hold; nothing for no limit.
    """

    weight: float = 1
    quota: Size | None = None


@dataclass(frozen=True, slots=True)
class ClassShares:
    """The guaranteed part of each class of urgency, as weights."""

    deferrable: float = 1
    normal: float = 3
    high: float = 6
    urgent: float = 10

    def weight(self, urgency: Urgency) -> float:
        """The weight of a class."""
        return float(getattr(self, urgency.value))


class Order(Protocol):
    """Decides which waiting workload is tried next."""

    def push(self, waiting: Waiting) -> None:
        """Adds a workload."""

    def discard(self, waiting: Waiting) -> None:
        """Removes a workload, wherever it stands."""

    def peek(self) -> Waiting | None:
        """The workload to try next, if there is one."""

    def pass_over(self, waiting: Waiting) -> None:
        """Passes over a workload until there may be room for it."""

    def used(self, waiting: Waiting, size: Size) -> None:
        """Notes room that a workload's tasks now hold."""

    def released(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Notes room that was given back."""

    def room_made(self, room: Size) -> None:
        """Tries again what may fit in this room."""


_OrderType = TypeVar('_OrderType', bound=type)
_OrderFactory = Callable[['Totals'], Order]
_orders: dict[str, _OrderFactory] = {}


@dataclass(slots=True)
class Totals:
    """What shares are measured against.

    Attributes:
        total: What all workers hold.
        shares: The tenants' shares; a tenant without one has the default.
    """

    total: Size = field(default_factory=Size)
    shares: dict[str, Share] = field(default_factory=dict)
    classes: ClassShares = field(default_factory=ClassShares)

    def share(self, tenant: str) -> Share:
        """A tenant's share."""
        return self.shares.get(tenant, _DEFAULT_SHARE)


_DEFAULT_SHARE = Share()


def order(name: str) -> Callable[[_OrderType], _OrderType]:
    """Registers an order under its name."""

    def register(order_type: _OrderType) -> _OrderType:
        _orders[name] = order_type
        return order_type

    return register


def make_order(name: str, totals: Totals) -> Order:
    """Makes the order of a name.

    Raises:
        InvalidSettingsError: There is no such order.
    """
    if name not in _orders:
        raise InvalidSettingsError(f'no order named {name}', where='order')
    return _orders[name](totals)


@order('fifo')
class FifoOrder:
    """First come, first served; the first blocks all others.

    Args:
        totals: Not looked at.
    """

    def __init__(self, totals: Totals) -> None:
        """Starts empty."""
        self._queue: dict[int, Waiting] = {}
        self._blocked = False

    def push(self, waiting: Waiting) -> None:
        """Adds a workload at the end."""
        self._queue.setdefault(id(waiting), waiting)

    def discard(self, waiting: Waiting) -> None:
        """Removes a workload."""
        self._queue.pop(id(waiting), None)
        self._blocked = False

    def peek(self) -> Waiting | None:
        """The first, unless it is known not to fit."""
        if self._blocked or not self._queue:
            return None
        return next(iter(self._queue.values()))

    def pass_over(self, waiting: Waiting) -> None:
        """Blocks all until there is room again."""
        self._blocked = True

    def used(self, waiting: Waiting, size: Size) -> None:
        """Does nothing."""

    def released(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Does nothing."""

    def room_made(self, room: Size) -> None:
        """Tries the first again."""
        self._blocked = False


class _TenantQueue:
    """The waiting workloads of one tenant in one class.

    At most a few that do not fit are passed over at a time, so that the cost
    does not grow with the queue and a tenant's own order holds roughly.
    """

    def __init__(self, tenant: str, urgency: Urgency) -> None:
        self.tenant = tenant
        self.urgency = urgency
        self.active: dict[int, Waiting] = {}
        self.aside: dict[int, Waiting] = {}
        self.smallest = Size()
        self.version = 0

    @property
    def eligible(self) -> bool:
        return bool(self.active) and len(self.aside) < _BACKFILL_DEPTH

    def peek(self) -> Waiting:
        return next(iter(self.active.values()))

    def pass_over(self, waiting: Waiting) -> None:
        self.active.pop(id(waiting), None)
        if self.aside:
            self.smallest = _minimum(self.smallest, waiting.size)
        else:
            self.smallest = waiting.size
        self.aside[id(waiting)] = waiting

    def bring_back(self) -> None:
        merged = self.aside
        merged.update(self.active)
        self.active = merged
        self.aside = {}


def _minimum(one: Size, other: Size) -> Size:
    return Size(
        min(one.millicores, other.millicores),
        min(one.memory_mebibytes, other.memory_mebibytes),
        min(one.accelerators, other.accelerators),
    )


@order('fair')
class FairOrder:
    """Guaranteed shares for classes, then for tenants, then age.

    The class furthest below its part of what is held comes first; in it the
    tenant with the smallest weighted dominant share; of that tenant the
    oldest workload that may fit. The cost is logarithmic in the tenants and
    does not depend on the length of the queues.

    Args:
        totals: What shares are measured against.
    """

    def __init__(self, totals: Totals) -> None:
        """Starts empty."""
        self._totals = totals
        self._queues: dict[tuple[str, Urgency], _TenantQueue] = {}
        self._heaps: dict[Urgency, list[tuple[float, int, str]]] = {
            urgency: [] for urgency in Urgency
        }
        self._versions = itertools.count(1)
        self._tenant_use: dict[str, Size] = {}
        self._class_use = dict.fromkeys(Urgency, Size())
        self._over_quota: set[str] = set()

    def push(self, waiting: Waiting) -> None:
        """Adds a workload."""
        queue = self._queue_of(waiting.tenant, waiting.urgency)
        if id(waiting) in queue.aside:
            return
        queue.active[id(waiting)] = waiting
        if len(queue.active) == 1:
            self._list(queue)

    def discard(self, waiting: Waiting) -> None:
        """Removes a workload."""
        queue = self._queue_of(waiting.tenant, waiting.urgency)
        was_eligible = queue.eligible
        queue.active.pop(id(waiting), None)
        queue.aside.pop(id(waiting), None)
        if queue.eligible and not was_eligible:
            self._list(queue)

    def peek(self) -> Waiting | None:
        """The workload that is furthest below its fair part."""
        ranked = sorted(
            (urgency for urgency in Urgency if self._heaps[urgency]),
            key=self._class_level,
        )
        for urgency in ranked:
            queue = self._first_queue(urgency)
            if queue is not None:
                return queue.peek()
        return None

    def pass_over(self, waiting: Waiting) -> None:
        """Passes over a workload until there may be room for it."""
        self._queue_of(waiting.tenant, waiting.urgency).pass_over(waiting)

    def used(self, waiting: Waiting, size: Size) -> None:
        """Notes room that a workload's tasks now hold."""
        self._use(waiting.tenant, waiting.urgency, size)

    def released(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Notes room that was given back.

        Raises:
            InvariantError: More than was held.
        """
        held = self._tenant_use.get(tenant, Size())
        if not size.fits(held):
            raise InvariantError('more than was held', where=tenant)
        self._use(tenant, urgency, Size() - size)
        if tenant in self._over_quota:
            self._over_quota.discard(tenant)
            for each in Urgency:
                self._bring_back(self._queue_of(tenant, each))

    def room_made(self, room: Size) -> None:
        """Tries again what may fit in this room."""
        for queue in self._queues.values():
            if queue.aside and queue.smallest.fits(room):
                self._bring_back(queue)

    def _use(self, tenant: str, urgency: Urgency, size: Size) -> None:
        self._tenant_use[tenant] = self._tenant_use.get(tenant, Size()) + size
        self._class_use[urgency] += size
        for each in Urgency:
            queue = self._queues.get((tenant, each))
            if queue is not None and queue.eligible:
                self._list(queue)

    def _queue_of(self, tenant: str, urgency: Urgency) -> _TenantQueue:
        queue = self._queues.get((tenant, urgency))
        if queue is None:
            queue = _TenantQueue(tenant, urgency)
            self._queues[tenant, urgency] = queue
        return queue

    def _bring_back(self, queue: _TenantQueue) -> None:
        queue.bring_back()
        if queue.eligible:
            self._list(queue)

    def _list(self, queue: _TenantQueue) -> None:
        queue.version = next(self._versions)
        heapq.heappush(
            self._heaps[queue.urgency],
            (self._tenant_level(queue.tenant), queue.version, queue.tenant),
        )

    def _first_queue(self, urgency: Urgency) -> _TenantQueue | None:
        heap = self._heaps[urgency]
        while heap:
            _, version, tenant = heap[0]
            queue = self._queues[tenant, urgency]
            if version == queue.version and queue.eligible:
                if self._within_quota(queue.peek()):
                    return queue
                self._over_quota.add(tenant)
            heapq.heappop(heap)
        return None

    def _within_quota(self, waiting: Waiting) -> bool:
        quota = self._totals.share(waiting.tenant).quota
        if quota is None:
            return True
        held = self._tenant_use.get(waiting.tenant, Size())
        return (held + waiting.size.times(waiting.together)).fits(quota)

    def _class_level(self, urgency: Urgency) -> tuple[float, int]:
        held = self._class_use[urgency].dominant_share(self._totals.total)
        level = held / self._totals.classes.weight(urgency)
        return (level, -urgency.rank)

    def _tenant_level(self, tenant: str) -> float:
        held = self._tenant_use.get(tenant, Size())
        share = held.dominant_share(self._totals.total)
        return share / self._totals.share(tenant).weight
