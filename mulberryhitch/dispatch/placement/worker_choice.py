"""Chooses the workers of the tasks and gangs that can start now."""

from collections.abc import Container, Iterable, Sequence

from mulberryhitch.dispatch.placement.free_capacity import FreeCapacity
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.placement.speed_order import SpeedOrder
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.dispatch.runs.worker_speeds import USUAL_SPEED

WorkerCopies = list[tuple[int, TrackedWorker]]


class WorkerChoice:
    """Ranks the workers on which a step's tasks can start.

    Args:
        free_capacity: Free resources of each worker.
        reserved: Ids of the workers that gangs wait for.
    """

    def __init__(
        self, free_capacity: FreeCapacity, reserved: Container[str]
    ) -> None:
        """Initialises the choice."""
        self._free_capacity = free_capacity
        self._reserved = reserved

    def order_for_tasks(
        self, waiting: WaitingStep, counted: WorkerCopies
    ) -> WorkerCopies:
        """Returns workers in the order in which they get a step's tasks.

        Workers near the data come first, and those that were reserved for a
        gang in the last round last; then those of the preferred speed, and
        then the fullest.

        Args:
            waiting: The step.
            counted: How many of its tasks fit on each worker, and the worker.
        """
        return sorted(
            counted, key=lambda pair: self._task_key(waiting, pair[1])
        )

    def for_gang(
        self, waiting: WaitingStep, counted: WorkerCopies
    ) -> list[TrackedWorker] | None:
        """Returns a worker for each task of a gang, or None if it does not fit.

        Tries the rack of the data first, then single racks if the step asks
        for one, then workers of one speed, then all workers.

        Args:
            waiting: The gang.
            counted: How many of its tasks fit on each worker, and the worker.
        """
        step = waiting.execution.step
        racks: dict[str, WorkerCopies] = {}
        for pair in counted:
            racks.setdefault(pair[1].record.rack, []).append(pair)
        groups = list(racks.values()) if step.same_rack else []
        if step.data_rack and step.data_rack in racks:
            groups.insert(0, racks[step.data_rack])
        groups.extend(_by_speed(counted, waiting.speed_order))
        for group in groups:
            if sum(copies for copies, _ in group) >= step.count:
                return _pack(group, step.count, waiting.speed_order)
        return None

    def preferred(
        self, waiting: WaitingStep, workers: Sequence[TrackedWorker]
    ) -> Sequence[TrackedWorker]:
        """Returns workers with those of the preferred speed first."""
        if waiting.speed_order is SpeedOrder.any:
            return workers
        return sorted(workers, key=waiting.speed_order.rank)

    def candidates_for_gang(
        self, waiting: WaitingStep, workers: list[TrackedWorker]
    ) -> list[TrackedWorker]:
        """Returns the workers that a gang may start on or wait for.

        A gang with little slack takes no slow ones if it can fit on the others:
        with one of them, all of its tasks would be slow. Once it would be late
        anyway, it takes any. Being on one rack, or near the data, gains more
        than the speed.
        """
        step = waiting.execution.step
        if step.same_rack or step.data_rack:
            return workers
        if waiting.is_behind:
            return workers
        if waiting.speed_order is not SpeedOrder.fastest_first:
            return workers
        others = [worker for worker in workers if worker.speed >= USUAL_SPEED]
        if waiting.capacity_when_empty(others) < waiting.tasks_left:
            return workers
        return others

    def _task_key(
        self, waiting: WaitingStep, worker: TrackedWorker
    ) -> tuple[float, ...]:
        step = waiting.execution.step
        worker_id = worker.record.worker_id
        free = self._free_capacity.of_worker(worker_id)
        return (
            bool(step.data_rack) and worker.record.rack != step.data_rack,
            worker_id in self._reserved,
            waiting.speed_order.rank(worker),
            free.processors,
        )


def _by_speed(
    counted: WorkerCopies, order: SpeedOrder
) -> Iterable[WorkerCopies]:
    """Returns the workers of each speed in the preferred order, then all."""
    if order is SpeedOrder.any:
        return [counted]
    groups: dict[float, WorkerCopies] = {}
    ranked = sorted(counted, key=lambda row: order.rank(row[1]))
    for pair in ranked:
        groups.setdefault(pair[1].speed, []).append(pair)
    return [*groups.values(), counted]


def _pack(
    counted: WorkerCopies, count: int, order: SpeedOrder
) -> list[TrackedWorker]:
    """Returns a worker for each task, using as few workers as possible.

    A gang is as slow as its slowest worker, so it takes fast ones first if it
    has to take several speeds.
    """
    counted.sort(key=lambda pair: -pair[0])
    if order is not SpeedOrder.any:
        counted.sort(key=lambda pair: -pair[1].speed)
    chosen: list[TrackedWorker] = []
    for copies, worker in counted:
        taken = min(copies, count - len(chosen))
        chosen.extend(worker for _ in range(taken))
    return chosen
