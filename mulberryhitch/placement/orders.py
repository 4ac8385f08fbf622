"""In which order waiting work is tried: a registry of orders."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

from mulberryhitch.errors import InvalidSettingsError, InvariantError
from mulberryhitch.placement.model import WaitingWorkload
from mulberryhitch.workloads.model import Size, Urgency

_BACKFILL_DEPTH = 16


@dataclass(frozen=True, slots=True)
class TenantShare:
    """What a tenant may use.

    Attributes:
        weight: Its part against the other tenants' weights.
        quota: The most it may hold; nothing for no limit.
    """

    weight: float = 1
    quota: Size | None = None


@dataclass(frozen=True, slots=True)
class ClassWeights:
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

    def push(self, workload: WaitingWorkload) -> None:
        """Adds a workload."""

    def discard(self, workload: WaitingWorkload) -> None:
        """Removes a workload, wherever it stands."""

    def peek(self) -> WaitingWorkload | None:
        """The workload to try next, if there is one."""

    def skip(self, workload: WaitingWorkload) -> None:
        """Passes over a workload until there may be room for it."""

    def add_usage(self, workload: WaitingWorkload, size: Size) -> None:
        """Notes room that a workload's tasks now hold."""

    def subtract_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Notes room that was given back."""

    def retry_fitting(self, room: Size) -> None:
        """Tries again what may fit in this room."""


_OrderType = TypeVar('_OrderType', bound=type)
_OrderFactory = Callable[['CapacityShares'], Order]
_orders: dict[str, _OrderFactory] = {}


@dataclass(slots=True)
class CapacityShares:
    """What shares are measured against.

    Attributes:
        capacity: What all workers hold.
        tenant_shares: The tenants' shares; others have the default share.
    """

    capacity: Size = field(default_factory=Size)
    tenant_shares: dict[str, TenantShare] = field(default_factory=dict)
    class_weights: ClassWeights = field(default_factory=ClassWeights)

    def tenant_share(self, tenant: str) -> TenantShare:
        """A tenant's share."""
        return self.tenant_shares.get(tenant, _DEFAULT_TENANT_SHARE)


_DEFAULT_TENANT_SHARE = TenantShare()


def register_order(name: str) -> Callable[[_OrderType], _OrderType]:
    """Registers an order under its name."""

    def register(order_type: _OrderType) -> _OrderType:
        _orders[name] = order_type
        return order_type

    return register


def make_order(name: str, shares: CapacityShares) -> Order:
    """Makes the order of a name.

    Raises:
        InvalidSettingsError: There is no such order.
    """
    if name not in _orders:
        raise InvalidSettingsError(f'no order named {name}', where='order')
    return _orders[name](shares)


@register_order('fifo')
class FifoOrder:
    """First come, first served; the first blocks all others.

    Args:
        totals: Not looked at.
    """

    def __init__(self, shares: CapacityShares) -> None:
        """Starts empty."""
        self._queue: dict[int, WaitingWorkload] = {}
        self._blocked = False

    def push(self, workload: WaitingWorkload) -> None:
        """Adds a workload at the end."""
        self._queue.setdefault(id(workload), workload)

    def discard(self, workload: WaitingWorkload) -> None:
        """Removes a workload."""
        self._queue.pop(id(workload), None)
        self._blocked = False

    def peek(self) -> WaitingWorkload | None:
        """The first, unless it is known not to fit."""
        if self._blocked or not self._queue:
            return None
        return next(iter(self._queue.values()))

    def skip(self, workload: WaitingWorkload) -> None:
        """Blocks all until there is room again."""
        self._blocked = True

    def add_usage(self, workload: WaitingWorkload, size: Size) -> None:
        """Does nothing."""

    def subtract_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Does nothing."""

    def retry_fitting(self, room: Size) -> None:
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
        self.active: dict[int, WaitingWorkload] = {}
        self.skipped: dict[int, WaitingWorkload] = {}
        self.smallest_skipped = Size()
        self.version = 0

    @property
    def eligible(self) -> bool:
        return bool(self.active) and len(self.skipped) < _BACKFILL_DEPTH

    def peek(self) -> WaitingWorkload:
        return next(iter(self.active.values()))

    def skip(self, workload: WaitingWorkload) -> None:
        self.active.pop(id(workload), None)
        if self.skipped:
            self.smallest_skipped = _minimum(
                self.smallest_skipped, workload.size
            )
        else:
            self.smallest_skipped = workload.size
        self.skipped[id(workload)] = workload

    def restore_skipped(self) -> None:
        merged = self.skipped
        merged.update(self.active)
        self.active = merged
        self.skipped = {}


def _minimum(one: Size, other: Size) -> Size:
    return Size(
        min(one.millicores, other.millicores),
        min(one.memory_mebibytes, other.memory_mebibytes),
        min(one.accelerators, other.accelerators),
    )


@register_order('fair')
class FairOrder:
    """Guaranteed shares for classes, then for tenants, then age.

    The class furthest below its part of what is held comes first; in it the
    tenant with the smallest weighted dominant share; of that tenant the
    oldest workload that may fit. The cost is logarithmic in the tenants and
    does not depend on the length of the queues.

    Args:
        totals: What shares are measured against.
    """

    def __init__(self, shares: CapacityShares) -> None:
        """Starts empty."""
        self._shares = shares
        self._queues: dict[tuple[str, Urgency], _TenantQueue] = {}
        self._queue_heaps: dict[Urgency, list[tuple[float, int, str]]] = {
            urgency: [] for urgency in Urgency
        }
        self._versions = itertools.count(1)
        self._tenant_usage: dict[str, Size] = {}
        self._class_usage = dict.fromkeys(Urgency, Size())
        self._over_quota: set[str] = set()

    def push(self, workload: WaitingWorkload) -> None:
        """Adds a workload."""
        queue = self._queue_of(workload.tenant, workload.urgency)
        if id(workload) in queue.skipped:
            return
        queue.active[id(workload)] = workload
        if len(queue.active) == 1:
            self._push_queue(queue)

    def discard(self, workload: WaitingWorkload) -> None:
        """Removes a workload."""
        queue = self._queue_of(workload.tenant, workload.urgency)
        was_eligible = queue.eligible
        queue.active.pop(id(workload), None)
        queue.skipped.pop(id(workload), None)
        if queue.eligible and not was_eligible:
            self._push_queue(queue)

    def peek(self) -> WaitingWorkload | None:
        """The workload that is furthest below its fair part."""
        ranked = sorted(
            (urgency for urgency in Urgency if self._queue_heaps[urgency]),
            key=self._class_level,
        )
        for urgency in ranked:
            queue = self._first_queue(urgency)
            if queue is not None:
                return queue.peek()
        return None

    def skip(self, workload: WaitingWorkload) -> None:
        """Passes over a workload until there may be room for it."""
        self._queue_of(workload.tenant, workload.urgency).skip(workload)

    def add_usage(self, workload: WaitingWorkload, size: Size) -> None:
        """Notes room that a workload's tasks now hold."""
        self._change_usage(workload.tenant, workload.urgency, size)

    def subtract_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Notes room that was given back.

        Raises:
            InvariantError: More than was held.
        """
        held = self._tenant_usage.get(tenant, Size())
        if not size.fits(held):
            raise InvariantError('more than was held', where=tenant)
        self._change_usage(tenant, urgency, Size() - size)
        if tenant in self._over_quota:
            self._over_quota.discard(tenant)
            for each in Urgency:
                self._restore_skipped(self._queue_of(tenant, each))

    def retry_fitting(self, room: Size) -> None:
        """Tries again what may fit in this room."""
        for queue in self._queues.values():
            if queue.skipped and queue.smallest_skipped.fits(room):
                self._restore_skipped(queue)

    def _change_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        self._tenant_usage[tenant] = (
            self._tenant_usage.get(tenant, Size()) + size
        )
        self._class_usage[urgency] += size
        for each in Urgency:
            queue = self._queues.get((tenant, each))
            if queue is not None and queue.eligible:
                self._push_queue(queue)

    def _queue_of(self, tenant: str, urgency: Urgency) -> _TenantQueue:
        queue = self._queues.get((tenant, urgency))
        if queue is None:
            queue = _TenantQueue(tenant, urgency)
            self._queues[tenant, urgency] = queue
        return queue

    def _restore_skipped(self, queue: _TenantQueue) -> None:
        queue.restore_skipped()
        if queue.eligible:
            self._push_queue(queue)

    def _push_queue(self, queue: _TenantQueue) -> None:
        queue.version = next(self._versions)
        heapq.heappush(
            self._queue_heaps[queue.urgency],
            (self._tenant_level(queue.tenant), queue.version, queue.tenant),
        )

    def _first_queue(self, urgency: Urgency) -> _TenantQueue | None:
        heap = self._queue_heaps[urgency]
        while heap:
            _, version, tenant = heap[0]
            queue = self._queues[tenant, urgency]
            if version == queue.version and queue.eligible:
                if self._within_quota(queue.peek()):
                    return queue
                self._over_quota.add(tenant)
            heapq.heappop(heap)
        return None

    def _within_quota(self, workload: WaitingWorkload) -> bool:
        quota = self._shares.tenant_share(workload.tenant).quota
        if quota is None:
            return True
        held = self._tenant_usage.get(workload.tenant, Size())
        return (held + workload.size.times(workload.gang_size)).fits(quota)

    def _class_level(self, urgency: Urgency) -> tuple[float, int]:
        held = self._class_usage[urgency].dominant_share(self._shares.capacity)
        level = held / self._shares.class_weights.weight(urgency)
        return (level, -urgency.rank)

    def _tenant_level(self, tenant: str) -> float:
        held = self._tenant_usage.get(tenant, Size())
        share = held.dominant_share(self._shares.capacity)
        return share / self._shares.tenant_share(tenant).weight
