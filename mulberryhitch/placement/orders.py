"""Orders in which waiting workloads are tried, and their registry."""

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
    """Share of the capacity that a tenant may use.

    Attributes:
        weight: Weight relative to the other tenants.
        quota: Maximum resources it may hold; None for no limit.
    """

    weight: float = 1
    quota: Size | None = None


@dataclass(frozen=True, slots=True)
class ClassWeights:
    """Weights of the guaranteed shares of the urgency classes."""

    deferrable: float = 1
    normal: float = 3
    high: float = 6
    urgent: float = 10

    def weight(self, urgency: Urgency) -> float:
        """Returns the weight of a class."""
        return float(getattr(self, urgency.value))


class Order(Protocol):
    """Determines which waiting workload is tried next."""

    def push(self, workload: WaitingWorkload) -> None:
        """Adds a workload."""

    def discard(self, workload: WaitingWorkload) -> None:
        """Removes a workload, skipped or not."""

    def peek(self) -> WaitingWorkload | None:
        """Returns the workload to try next, if there is one."""

    def skip(self, workload: WaitingWorkload) -> None:
        """Skips a workload until resources it may fit in are free."""

    def add_usage(self, workload: WaitingWorkload, size: Size) -> None:
        """Adds resources that a workload's tasks now use."""

    def subtract_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Subtracts resources that were released."""

    def retry_fitting(self, free: Size) -> None:
        """Makes skipped workloads that may fit eligible again."""


_OrderType = TypeVar('_OrderType', bound=type)
_OrderFactory = Callable[['CapacityShares'], Order]
_orders: dict[str, _OrderFactory] = {}


@dataclass(slots=True)
class CapacityShares:
    """Total capacity and the shares of it.

    Attributes:
        capacity: Total resources of all workers.
        tenant_shares: Shares by tenant; other tenants have the default share.
    """

    capacity: Size = field(default_factory=Size)
    tenant_shares: dict[str, TenantShare] = field(default_factory=dict)
    class_weights: ClassWeights = field(default_factory=ClassWeights)

    def tenant_share(self, tenant: str) -> TenantShare:
        """Returns the share of a tenant."""
        return self.tenant_shares.get(tenant, _DEFAULT_TENANT_SHARE)


_DEFAULT_TENANT_SHARE = TenantShare()


def register_order(name: str) -> Callable[[_OrderType], _OrderType]:
    """Registers an order under its name."""

    def register(order_type: _OrderType) -> _OrderType:
        _orders[name] = order_type
        return order_type

    return register


def make_order(name: str, shares: CapacityShares) -> Order:
    """Creates the order registered under a name.

    Raises:
        InvalidSettingsError: No order has this name.
    """
    if name not in _orders:
        raise InvalidSettingsError(
            f'no placement order is named {name}', where='order'
        )
    return _orders[name](shares)


@register_order('fifo')
class FifoOrder:
    """First in, first out; the first workload blocks all others.

    Args:
        shares: Not used.
    """

    def __init__(self, shares: CapacityShares) -> None:
        """Initialises an empty queue."""
        self._queue: dict[int, WaitingWorkload] = {}
        self._blocked = False

    def push(self, workload: WaitingWorkload) -> None:
        """Adds a workload at the end of the queue."""
        self._queue.setdefault(id(workload), workload)

    def discard(self, workload: WaitingWorkload) -> None:
        """Removes a workload and unblocks the queue."""
        self._queue.pop(id(workload), None)
        self._blocked = False

    def peek(self) -> WaitingWorkload | None:
        """Returns the first workload, unless it is known not to fit."""
        if self._blocked or not self._queue:
            return None
        return next(iter(self._queue.values()))

    def skip(self, workload: WaitingWorkload) -> None:
        """Blocks the queue until resources are free again."""
        self._blocked = True

    def add_usage(self, workload: WaitingWorkload, size: Size) -> None:
        """Does nothing."""

    def subtract_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Does nothing."""

    def retry_fitting(self, free: Size) -> None:
        """Unblocks the queue."""
        self._blocked = False


class _TenantQueue:
    """Waiting workloads of one tenant in one urgency class.

    The number of workloads skipped at a time is limited, so that the cost does
    not grow with the queue and the tenant's workloads stay roughly in order.
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


def _minimum(first: Size, second: Size) -> Size:
    return Size(
        min(first.millicores, second.millicores),
        min(first.memory_mebibytes, second.memory_mebibytes),
        min(first.accelerators, second.accelerators),
    )


@register_order('fair')
class FairOrder:
    """Weighted fair order by class, then by tenant, then by age.

    The class with the smallest dominant share, divided by its weight, comes
    first; within it the tenant with the smallest weighted dominant share over
    all classes; of that tenant the oldest workload that may fit. The cost is
    logarithmic in the number of tenants and independent of the queue lengths.

    Args:
        shares: Total capacity and the shares of it.
    """

    def __init__(self, shares: CapacityShares) -> None:
        """Initialises the order with no workloads."""
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
        """Returns the next workload in fair order."""
        ranked = sorted(
            (urgency for urgency in Urgency if self._queue_heaps[urgency]),
            key=self._class_sort_key,
        )
        for urgency in ranked:
            queue = self._first_queue(urgency)
            if queue is not None:
                return queue.peek()
        return None

    def skip(self, workload: WaitingWorkload) -> None:
        """Skips a workload until resources it may fit in are free."""
        self._queue_of(workload.tenant, workload.urgency).skip(workload)

    def add_usage(self, workload: WaitingWorkload, size: Size) -> None:
        """Adds resources that a workload's tasks now use."""
        self._change_usage(workload.tenant, workload.urgency, size)

    def subtract_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        """Subtracts resources that were released.

        Raises:
            InvariantError: The tenant uses less than this.
        """
        used = self._tenant_usage.get(tenant, Size())
        if not size.fits(used):
            raise InvariantError(
                f'released {size}, but the tenant uses {used}', where=tenant
            )
        self._change_usage(tenant, urgency, Size() - size)
        if tenant in self._over_quota:
            self._over_quota.discard(tenant)
            for each_urgency in Urgency:
                self._restore_skipped(self._queue_of(tenant, each_urgency))

    def retry_fitting(self, free: Size) -> None:
        """Makes skipped workloads that may fit eligible again."""
        for queue in self._queues.values():
            if queue.skipped and queue.smallest_skipped.fits(free):
                self._restore_skipped(queue)

    def _change_usage(self, tenant: str, urgency: Urgency, size: Size) -> None:
        self._tenant_usage[tenant] = (
            self._tenant_usage.get(tenant, Size()) + size
        )
        self._class_usage[urgency] += size
        for each_urgency in Urgency:
            queue = self._queues.get((tenant, each_urgency))
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
            (self._tenant_sort_key(queue.tenant), queue.version, queue.tenant),
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
        used = self._tenant_usage.get(workload.tenant, Size())
        return (used + workload.size.times(workload.gang_size)).fits(quota)

    def _class_sort_key(self, urgency: Urgency) -> tuple[float, int]:
        used = self._class_usage[urgency].dominant_share(self._shares.capacity)
        level = used / self._shares.class_weights.weight(urgency)
        return (level, -urgency.rank)

    def _tenant_sort_key(self, tenant: str) -> float:
        used = self._tenant_usage.get(tenant, Size())
        share = used.dominant_share(self._shares.capacity)
        return share / self._shares.tenant_share(tenant).weight
