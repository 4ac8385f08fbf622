"""The placement aggregate: what waits, what runs, and who is next.

Its rules are asserted here and in the pool: no worker gets more than it
holds, no task is placed twice, a gang is placed whole or not at all.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError
from mulberryhitch.placement.orders import Order, Totals, make_order
from mulberryhitch.placement.policies import policy_for
from mulberryhitch.placement.pool import Node, Pool
from mulberryhitch.placement.preemption import (
    PreemptionBudget,
    choose_victims,
)
from mulberryhitch.placement.reservations import Reservation
from mulberryhitch.placement.stuck import StuckWork, UnfitSizes
from mulberryhitch.placement.waiting import (
    Decision,
    Placed,
    Preempted,
    Running,
    RunningByWorker,
    Waiting,
)
from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Size, Urgency, WorkloadSpec

_PREEMPTION_PAUSE_SECONDS = 0.1
_SEARCHED_WORKERS = 32


@dataclass(frozen=True, slots=True)
class PlacementOptions:
    """How placement decides.

    Attributes:
        order: The name of the order in the registry.
        policy: A policy for all kinds; empty for each kind's own.
        attempts: How many workloads without room are tried in one round.
        reserve_after_seconds: How long a workload waits before room is held.
        preempt_after_seconds: How long urgent work waits before others stop.
        preemptions_per_minute: The most tasks stopped for others.
    """

    order: str = 'fair'
    policy: str = ''
    attempts: int = 64
    reserve_after_seconds: float = 10
    preempt_after_seconds: float = 1
    preemptions_per_minute: float = 120


class Placement:
    """Decides which task starts on which worker.

    Args:
        options: How it decides.
        totals: The tenants' and classes' shares.
    """

    def __init__(
        self,
        options: PlacementOptions | None = None,
        totals: Totals | None = None,
    ) -> None:
        """Starts with no worker and no work."""
        self._options = options or PlacementOptions()
        self._totals = totals or Totals()
        self._pool = Pool()
        self._order: Order = make_order(self._options.order, self._totals)
        self._waiting: dict[str, Waiting] = {}
        self._running: dict[TaskKey, Running] = {}
        self._by_worker: RunningByWorker = {}
        self._racks: dict[str, Counter[str]] = {}
        self._reservation: Reservation | None = None
        self._stuck = StuckWork()
        self._placed_count = 0
        self._next_preemption = float()
        self._budget = PreemptionBudget(self._options.preemptions_per_minute)
        self._fresh_room: set[str] = set()
        self._holders: set[str] = set()
        self._queued = 0
        self._queued_by_tenant: Counter[str] = Counter()

    @property
    def pool(self) -> Pool:
        """The workers."""
        return self._pool

    @property
    def totals(self) -> Totals:
        """The shares, which may be changed."""
        return self._totals

    @property
    def queued(self) -> int:
        """How many tasks wait."""
        return self._queued

    @property
    def running(self) -> dict[TaskKey, Running]:
        """What holds room."""
        return self._running

    @property
    def reserved_for(self) -> str:
        """The workload that room is held for; empty for none."""
        if self._reservation is None:
            return ''
        return self._reservation.waiting.spec.workload_id

    def queued_of(self, tenant: str) -> int:
        """How many tasks of a tenant wait."""
        return self._queued_by_tenant[tenant]

    def is_waiting(self, workload_id: str) -> bool:
        """Whether tasks of the workload wait."""
        return workload_id in self._waiting

    def explain(self, spec: WorkloadSpec) -> str:
        """Why a waiting workload has not started."""
        held = self.reserved_for
        if held == spec.workload_id:
            return 'room is being held until all of it is free'
        waiting = self._waiting.get(spec.workload_id)
        if waiting is not None and waiting in self._stuck:
            return 'no worker has enough room free now'
        return 'others come first in fair order, or the quota is used up'

    def add_worker(self, worker_id: str, rack: str, size: Size) -> None:
        """Adds a worker, or notes what changed of it."""
        self._pool.add(worker_id, rack, size)
        self._totals.total = self._pool.total
        self._fresh_room.add(worker_id)

    def remove_worker(self, worker_id: str) -> None:
        """Removes a worker on which nothing runs.

        Raises:
            InvariantError: Tasks still hold room there.
        """
        if self._by_worker.get(worker_id):
            raise InvariantError('tasks run there', where=worker_id)
        self._pool.remove(worker_id)
        self._totals.total = self._pool.total
        self._fresh_room.discard(worker_id)

    def open_worker(self, worker_id: str, is_open: bool) -> None:
        """Lets new tasks go to a worker, or not."""
        node = self._pool.node(worker_id)
        if node.is_open != is_open:
            node.is_open = is_open
            self._fresh_room.add(worker_id)

    def enqueue(
        self,
        spec: WorkloadSpec,
        numbers: Iterable[int],
        now: float,
        avoid: Iterable[str] = (),
    ) -> None:
        """Lets tasks of a workload wait.

        Raises:
            InvariantError: A task runs already.
        """
        waiting = self._waiting.get(spec.workload_id)
        if waiting is None:
            waiting = Waiting.of(spec, (), now)
            self._waiting[spec.workload_id] = waiting
        for number in numbers:
            if TaskKey(spec.workload_id, number) in self._running:
                raise InvariantError('a running task was queued')
            waiting.numbers.append(number)
            self._count(spec.tenant, 1)
        waiting.avoid.update(avoid)
        if waiting.numbers:
            self._order.push(waiting)

    def withdraw(self, workload_id: str) -> int:
        """Removes all waiting tasks of a workload; returns how many."""
        waiting = self._waiting.pop(workload_id, None)
        if waiting is None:
            return 0
        self._order.discard(waiting)
        self._stuck.discard(waiting)
        self._let_go(workload_id)
        self._count(waiting.tenant, -len(waiting.numbers))
        return len(waiting.numbers)

    def adopt(self, task: TaskKey, worker_id: str, spec: WorkloadSpec) -> None:
        """Notes a task that runs already, as a new leader finds it."""
        self._pool.charge(worker_id, spec.size)
        self._hold(Waiting.of(spec, (), 0), task, worker_id)

    def release(self, task: TaskKey) -> None:
        """Gives back the room of a task that has ended.

        Raises:
            InvariantError: It holds none.
        """
        running = self._running.pop(task, None)
        if running is None:
            raise InvariantError('the task does not run', where=str(task))
        self._by_worker[running.worker_id].pop(task)
        spec = running.spec
        node = self._pool.give(running.worker_id, spec.size)
        racks = self._racks[spec.workload_id]
        racks[node.rack] -= 1
        self._order.released(spec.tenant, spec.urgency, spec.size)
        self._fresh_room.add(running.worker_id)
        if spec.workload_id not in self._waiting:
            if not racks.total():
                self._racks.pop(spec.workload_id)

    def decide(self, limit: int, now: float) -> list[Decision]:
        """Places what can be placed, at most so many tasks."""
        self._offer_fresh_room()
        unfit = UnfitSizes()
        decisions: list[Decision] = []
        decisions.extend(self._serve_reservation(now))
        placed = 0
        failed = 0
        while placed < limit and failed < self._options.attempts:
            waiting = self._order.peek()
            if waiting is None:
                break
            decision = None
            if not unfit.covers(waiting):
                decision = self._place(waiting)
                failed += decision is None
            if decision is None:
                unfit.add(waiting)
                self._pass_over(waiting)
            else:
                placed += len(decision.tasks)
                decisions.append(decision)
        decisions.extend(self._help_stuck(now))
        return decisions

    def _count(self, tenant: str, change: int) -> None:
        self._queued += change
        self._queued_by_tenant[tenant] += change

    def _offer_fresh_room(self) -> None:
        if not self._fresh_room:
            return
        room = Size()
        for worker_id in self._fresh_room:
            if worker_id in self._pool:
                free = self._pool.node(worker_id).free
                room = _maximum(room, free)
        self._fresh_room.clear()
        self._order.room_made(room)

    def _place(self, waiting: Waiting) -> Placed | None:
        spec = waiting.spec
        choose = policy_for(spec.kind, self._options.policy)
        racks = self._racks.setdefault(spec.workload_id, Counter())
        nodes = choose(self._pool, waiting, racks)
        if not nodes:
            return None
        if len(nodes) != waiting.together:
            raise InvariantError('a gang in parts', where=spec.workload_id)
        return self._take(waiting, nodes)

    def _take(self, waiting: Waiting, nodes: list[Node]) -> Placed:
        tasks = []
        for node in nodes:
            number = waiting.numbers.popleft()
            task = TaskKey(waiting.spec.workload_id, number)
            self._pool.take(node.worker_id, waiting.size)
            self._hold(waiting, task, node.worker_id)
            tasks.append((task, node.worker_id))
        self._count(waiting.tenant, -len(tasks))
        self._placed_count += len(tasks)
        if not waiting.numbers:
            self._finish_waiting(waiting)
        else:
            self._stuck.discard(waiting)
            self._let_go(waiting.spec.workload_id)
        return Placed(waiting.spec.workload_id, tuple(tasks))

    def _finish_waiting(self, waiting: Waiting) -> None:
        workload_id = waiting.spec.workload_id
        self._order.discard(waiting)
        self._waiting.pop(workload_id)
        self._stuck.discard(waiting)
        self._let_go(workload_id)

    def _hold(self, waiting: Waiting, task: TaskKey, worker_id: str) -> None:
        if task in self._running:
            raise InvariantError('a task placed twice', where=str(task))
        spec = waiting.spec
        running = Running(task, worker_id, spec)
        self._running[task] = running
        self._by_worker.setdefault(worker_id, {})[task] = running
        racks = self._racks.setdefault(spec.workload_id, Counter())
        racks[self._pool.node(worker_id).rack] += 1
        self._order.used(waiting, spec.size)

    def _pass_over(self, waiting: Waiting) -> None:
        self._order.pass_over(waiting)
        self._stuck.add(waiting, self._placed_count)

    def _serve_reservation(self, now: float) -> list[Decision]:
        if self._reservation is None:
            return []
        waiting = self._reservation.waiting
        placed = self._place(waiting)
        if placed is not None:
            return [placed]
        victims = [
            one for one in self._reservation.victims() if not one.leaving
        ]
        if not victims or not self._budget.take(len(victims), now):
            return []
        self._reservation.close()
        return [self._preempt(one, waiting) for one in victims]

    def _help_stuck(self, now: float) -> list[Decision]:
        if self._options.order == 'fifo':
            return []
        for waiting in self._stuck.next_few():
            if not self._still_stuck(waiting):
                self._stuck.discard(waiting)
                continue
            waited = now - waiting.since
            if self._may_preempt(waiting, waited, now):
                return self._preempt_for(waiting, now)
            if waited >= self._options.reserve_after_seconds:
                self._reserve(waiting)
        return []

    def _still_stuck(self, waiting: Waiting) -> bool:
        known = self._waiting.get(waiting.spec.workload_id)
        return known is waiting and bool(waiting.numbers)

    def _may_preempt(self, waiting: Waiting, waited: float, now: float) -> bool:
        return (
            now >= self._next_preemption
            and waiting.together == 1
            and waiting.urgency.rank >= Urgency.high.rank
            and waited >= self._options.preempt_after_seconds
        )

    def _preempt_for(self, waiting: Waiting, now: float) -> list[Decision]:
        self._next_preemption = now + _PREEMPTION_PAUSE_SECONDS
        victims = choose_victims(
            self._pool.rotated(_SEARCHED_WORKERS), waiting, self._by_worker
        )
        if not victims or not self._budget.take(len(victims), now):
            return []
        self._holders.add(waiting.spec.workload_id)
        self._pool.node(victims[0].worker_id).hold = waiting.spec.workload_id
        return [self._preempt(one, waiting) for one in victims]

    def _reserve(self, waiting: Waiting) -> None:
        if self._reservation is not None:
            return
        if not self._stuck.deserves_room(waiting, self._placed_count):
            return
        reservation = Reservation(waiting, self._pool, self._by_worker)
        if not reservation.is_empty:
            self._reservation = reservation
            self._holders.add(waiting.spec.workload_id)

    def _preempt(self, running: Running, waiting: Waiting) -> Preempted:
        if not running.spec.preemptible:
            raise InvariantError('the task may not be stopped')
        running.leaving = True
        return Preempted(
            running.task, running.worker_id, waiting.spec.workload_id
        )

    def _let_go(self, workload_id: str) -> None:
        if self.reserved_for == workload_id:
            self._reservation = None
        if workload_id not in self._holders:
            return
        self._holders.discard(workload_id)
        for node in self._pool:
            if node.hold == workload_id:
                node.hold = ''
                node.takes_backfill = True
                self._fresh_room.add(node.worker_id)


def _maximum(one: Size, other: Size) -> Size:
    return Size(
        max(one.millicores, other.millicores),
        max(one.memory_mebibytes, other.memory_mebibytes),
        max(one.accelerators, other.accelerators),
    )
