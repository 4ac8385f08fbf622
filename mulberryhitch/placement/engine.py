"""Placement of waiting tasks on workers.

The invariants are checked here and in the pool: no worker is allocated more
than its capacity, no task is placed twice, a gang is placed whole or not at
all.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError
from mulberryhitch.placement.model import (
    Decision,
    Placed,
    Preempted,
    RunningTask,
    RunningTasksByWorker,
    WaitingWorkload,
)
from mulberryhitch.placement.orders import CapacityShares, Order, make_order
from mulberryhitch.placement.policies import policy_for
from mulberryhitch.placement.pool import PoolWorker, WorkerPool
from mulberryhitch.placement.preemption import (
    PreemptionBudget,
    choose_victims,
)
from mulberryhitch.placement.reservations import Reservation
from mulberryhitch.placement.skipped import SkippedWorkloads, UnplaceableSizes
from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Size, Urgency, WorkloadSpec

_PREEMPTION_PAUSE_SECONDS = 0.1
_SEARCHED_WORKERS = 32


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """Placement options.

    Attributes:
        order: Name of a registered order.
        policy: Name of the policy for all kinds; empty for each kind's
            default.
        max_unplaced_workloads: A round ends after this many workloads that
            did not fit.
        reserve_after_seconds: Waiting time after which workers are reserved
            for a workload.
        preempt_after_seconds: Waiting time after which tasks are preempted
            for a workload of class ``high`` or ``urgent``.
        preemptions_per_minute: Maximum tasks preempted per minute.
    """

    order: str = 'fair'
    policy: str = ''
    max_unplaced_workloads: int = 64
    reserve_after_seconds: float = 10
    preempt_after_seconds: float = 1
    preemptions_per_minute: float = 120


class PlacementEngine:
    """Decides which task starts on which worker.

    Args:
        options: Placement options.
        shares: Shares of the tenants and urgency classes.
    """

    def __init__(
        self,
        options: PlacementOptions | None = None,
        shares: CapacityShares | None = None,
    ) -> None:
        """Initialises the engine with no workers and no tasks."""
        self._options = options or PlacementOptions()
        self._shares = shares or CapacityShares()
        self._pool = WorkerPool()
        self._order: Order = make_order(self._options.order, self._shares)
        self._waiting: dict[str, WaitingWorkload] = {}
        self._running: dict[TaskKey, RunningTask] = {}
        self._running_by_worker: RunningTasksByWorker = {}
        self._rack_counts: dict[str, Counter[str]] = {}
        self._reservation: Reservation | None = None
        self._skipped = SkippedWorkloads()
        self._placed_count = 0
        self._next_preemption_at = float()
        self._preemption_budget = PreemptionBudget(
            self._options.preemptions_per_minute
        )
        self._freed_workers: set[str] = set()
        self._workloads_with_holds: set[str] = set()
        self._queued = 0
        self._queued_by_tenant: Counter[str] = Counter()

    @property
    def pool(self) -> WorkerPool:
        """Pool of all workers."""
        return self._pool

    @property
    def shares(self) -> CapacityShares:
        """Capacity shares, which the caller may change."""
        return self._shares

    @property
    def queued(self) -> int:
        """Number of waiting tasks."""
        return self._queued

    @property
    def running(self) -> dict[TaskKey, RunningTask]:
        """Tasks that hold resources."""
        return self._running

    @property
    def reserved_for(self) -> str:
        """Id of the workload with the reservation; empty for none."""
        if self._reservation is None:
            return ''
        return self._reservation.workload.spec.workload_id

    def queued_of(self, tenant: str) -> int:
        """Returns the number of waiting tasks of a tenant."""
        return self._queued_by_tenant[tenant]

    def is_waiting(self, workload_id: str) -> bool:
        """Whether the workload has waiting tasks."""
        return workload_id in self._waiting

    def explain(self, spec: WorkloadSpec) -> str:
        """Returns why a waiting workload has not started."""
        reserved_id = self.reserved_for
        if reserved_id == spec.workload_id:
            return 'resources are reserved, but not all of them are free yet'
        workload = self._waiting.get(spec.workload_id)
        if workload is not None and workload in self._skipped:
            return 'no worker has enough free resources now'
        return 'other workloads come first in order, or the quota is exhausted'

    def add_worker(self, worker_id: str, rack: str, size: Size) -> None:
        """Adds a worker or updates its capacity."""
        self._pool.add(worker_id, rack, size)
        self._shares.capacity = self._pool.capacity
        self._freed_workers.add(worker_id)

    def remove_worker(self, worker_id: str) -> None:
        """Removes an idle worker.

        Raises:
            InvariantError: Tasks still hold resources on it.
        """
        if self._running_by_worker.get(worker_id):
            raise InvariantError(
                'cannot remove a worker with running tasks', where=worker_id
            )
        self._pool.remove(worker_id)
        self._shares.capacity = self._pool.capacity
        self._freed_workers.discard(worker_id)

    def set_schedulable(self, worker_id: str, is_schedulable: bool) -> None:
        """Sets whether new tasks may be placed on a worker.

        Raises:
            NotFoundError: The worker has not been added.
        """
        worker = self._pool.worker(worker_id)
        if worker.is_schedulable != is_schedulable:
            worker.is_schedulable = is_schedulable
            self._freed_workers.add(worker_id)

    def enqueue(
        self,
        spec: WorkloadSpec,
        task_numbers: Iterable[int],
        now: float,
        avoided_workers: Iterable[str] = (),
    ) -> None:
        """Adds waiting tasks of a workload.

        Raises:
            InvariantError: A task is already running.
        """
        workload = self._waiting.get(spec.workload_id)
        if workload is None:
            workload = WaitingWorkload.create(spec, (), now)
            self._waiting[spec.workload_id] = workload
        for number in task_numbers:
            if TaskKey(spec.workload_id, number) in self._running:
                raise InvariantError(
                    f'task {number} of {spec.workload_id} is already running'
                )
            workload.task_numbers.append(number)
            self._change_queued_count(spec.tenant, 1)
        workload.avoided_workers.update(avoided_workers)
        if workload.task_numbers:
            self._order.push(workload)

    def remove_waiting(self, workload_id: str) -> int:
        """Removes all waiting tasks of a workload; returns how many."""
        workload = self._waiting.pop(workload_id, None)
        if workload is None:
            return 0
        self._order.discard(workload)
        self._skipped.discard(workload)
        self._release_holds(workload_id)
        self._change_queued_count(workload.tenant, -len(workload.task_numbers))
        return len(workload.task_numbers)

    def add_running_task(
        self, task: TaskKey, worker_id: str, spec: WorkloadSpec
    ) -> None:
        """Adds a task that was already running when this leader started.

        Raises:
            NotFoundError: The worker has not been added.
            InvariantError: The task has already been added.
        """
        self._pool.allocate_unchecked(worker_id, spec.size)
        self._add_running(WaitingWorkload.create(spec, (), 0), task, worker_id)

    def release(self, task: TaskKey) -> None:
        """Releases the resources of a task that has ended.

        Raises:
            InvariantError: The task is not running.
        """
        running = self._running.pop(task, None)
        if running is None:
            raise InvariantError('the task is not running', where=str(task))
        self._running_by_worker[running.worker_id].pop(task)
        spec = running.spec
        worker = self._pool.release(running.worker_id, spec.size)
        rack_counts = self._rack_counts[spec.workload_id]
        rack_counts[worker.rack] -= 1
        self._order.subtract_usage(spec.tenant, spec.urgency, spec.size)
        self._freed_workers.add(running.worker_id)
        if spec.workload_id not in self._waiting:
            if not rack_counts.total():
                self._rack_counts.pop(spec.workload_id)

    def decide(self, limit: int, now: float) -> list[Decision]:
        """Places waiting tasks, selects tasks to preempt, and returns both.

        Args:
            limit: No further workload is tried after this many placed tasks.
            now: Current time in seconds.
        """
        self._retry_on_freed_workers()
        unplaceable = UnplaceableSizes()
        decisions: list[Decision] = []
        decisions.extend(self._try_reserved_workload(now))
        placed = 0
        unplaced = 0
        while (
            placed < limit and unplaced < self._options.max_unplaced_workloads
        ):
            workload = self._order.peek()
            if workload is None:
                break
            decision = None
            if not unplaceable.rules_out(workload):
                decision = self._place(workload)
                unplaced += decision is None
            if decision is None:
                unplaceable.add(workload)
                self._skip(workload)
            else:
                placed += len(decision.tasks)
                decisions.append(decision)
        decisions.extend(self._handle_skipped(now))
        return decisions

    def _change_queued_count(self, tenant: str, change: int) -> None:
        self._queued += change
        self._queued_by_tenant[tenant] += change

    def _retry_on_freed_workers(self) -> None:
        if not self._freed_workers:
            return
        largest_free = Size()
        for worker_id in self._freed_workers:
            if worker_id in self._pool:
                free = self._pool.worker(worker_id).free
                largest_free = _maximum(largest_free, free)
        self._freed_workers.clear()
        self._order.retry_fitting(largest_free)

    def _place(self, workload: WaitingWorkload) -> Placed | None:
        spec = workload.spec
        choose = policy_for(spec.kind, self._options.policy)
        rack_counts = self._rack_counts.setdefault(spec.workload_id, Counter())
        workers = choose(self._pool, workload, rack_counts)
        if not workers:
            return None
        if len(workers) != workload.gang_size:
            raise InvariantError(
                f'placed {len(workers)} of {workload.gang_size} gang tasks',
                where=spec.workload_id,
            )
        return self._assign(workload, workers)

    def _assign(
        self, workload: WaitingWorkload, workers: list[PoolWorker]
    ) -> Placed:
        tasks = []
        for worker in workers:
            number = workload.task_numbers.popleft()
            task = TaskKey(workload.spec.workload_id, number)
            self._pool.allocate(worker.worker_id, workload.size)
            self._add_running(workload, task, worker.worker_id)
            tasks.append((task, worker.worker_id))
        self._change_queued_count(workload.tenant, -len(tasks))
        self._placed_count += len(tasks)
        if not workload.task_numbers:
            self._remove_from_queues(workload)
        else:
            self._skipped.discard(workload)
            self._release_holds(workload.spec.workload_id)
        return Placed(workload.spec.workload_id, tuple(tasks))

    def _remove_from_queues(self, workload: WaitingWorkload) -> None:
        workload_id = workload.spec.workload_id
        self._order.discard(workload)
        self._waiting.pop(workload_id)
        self._skipped.discard(workload)
        self._release_holds(workload_id)

    def _add_running(
        self, workload: WaitingWorkload, task: TaskKey, worker_id: str
    ) -> None:
        if task in self._running:
            raise InvariantError('the task is already placed', where=str(task))
        spec = workload.spec
        running = RunningTask(task, worker_id, spec)
        self._running[task] = running
        self._running_by_worker.setdefault(worker_id, {})[task] = running
        rack_counts = self._rack_counts.setdefault(spec.workload_id, Counter())
        rack_counts[self._pool.worker(worker_id).rack] += 1
        self._order.add_usage(workload, spec.size)

    def _skip(self, workload: WaitingWorkload) -> None:
        self._order.skip(workload)
        self._skipped.add(workload, self._placed_count)

    def _try_reserved_workload(self, now: float) -> list[Decision]:
        if self._reservation is None:
            return []
        workload = self._reservation.workload
        placed = self._place(workload)
        if placed is not None:
            return [placed]
        if self._reservation.is_over(now):
            workload.reserves_from = self._reservation.pause_until(now)
            self._release_holds(workload.spec.workload_id)
            return []
        victims = [
            task
            for task in self._reservation.victims()
            if not task.is_preempted
        ]
        if not victims or not self._preemption_budget.spend(len(victims), now):
            return []
        self._reservation.stop_backfill()
        return [self._preempt(task, workload) for task in victims]

    def _handle_skipped(self, now: float) -> list[Decision]:
        if self._options.order == 'fifo':
            return []
        for workload in self._skipped.next_batch():
            if not self._is_still_waiting(workload):
                self._skipped.discard(workload)
                continue
            waited_seconds = now - workload.waiting_since
            if self._may_preempt(workload, waited_seconds, now):
                return self._preempt_for(workload, now)
            if waited_seconds >= self._options.reserve_after_seconds:
                self._reserve(workload, now)
        return []

    def _is_still_waiting(self, workload: WaitingWorkload) -> bool:
        current = self._waiting.get(workload.spec.workload_id)
        return current is workload and bool(workload.task_numbers)

    def _may_preempt(
        self, workload: WaitingWorkload, waited_seconds: float, now: float
    ) -> bool:
        return (
            now >= self._next_preemption_at
            and workload.gang_size == 1
            and workload.urgency.rank >= Urgency.high.rank
            and waited_seconds >= self._options.preempt_after_seconds
        )

    def _preempt_for(
        self, workload: WaitingWorkload, now: float
    ) -> list[Decision]:
        self._next_preemption_at = now + _PREEMPTION_PAUSE_SECONDS
        victims = choose_victims(
            self._pool.next_round_robin(_SEARCHED_WORKERS),
            workload,
            self._running_by_worker,
        )
        if not victims or not self._preemption_budget.spend(len(victims), now):
            return []
        self._workloads_with_holds.add(workload.spec.workload_id)
        self._pool.worker(
            victims[0].worker_id
        ).held_for = workload.spec.workload_id
        return [self._preempt(task, workload) for task in victims]

    def _reserve(self, workload: WaitingWorkload, now: float) -> None:
        if self._reservation is not None or now < workload.reserves_from:
            return
        if not self._skipped.needs_reservation(workload, self._placed_count):
            return
        reservation = Reservation(
            workload, self._pool, self._running_by_worker, now
        )
        if not reservation.is_empty:
            self._reservation = reservation
            self._workloads_with_holds.add(workload.spec.workload_id)

    def _preempt(
        self, running: RunningTask, workload: WaitingWorkload
    ) -> Preempted:
        if not running.spec.preemptible:
            raise InvariantError(f'{running.task} is not preemptible')
        running.is_preempted = True
        return Preempted(
            running.task, running.worker_id, workload.spec.workload_id
        )

    def _release_holds(self, workload_id: str) -> None:
        if self.reserved_for == workload_id:
            self._reservation = None
        if workload_id not in self._workloads_with_holds:
            return
        self._workloads_with_holds.discard(workload_id)
        for worker in self._pool:
            if worker.held_for == workload_id:
                worker.held_for = ''
                worker.accepts_backfill = True
                self._freed_workers.add(worker.worker_id)


def _maximum(first: Size, second: Size) -> Size:
    return Size(
        max(first.millicores, second.millicores),
        max(first.memory_mebibytes, second.memory_mebibytes),
        max(first.accelerators, second.accelerators),
    )
