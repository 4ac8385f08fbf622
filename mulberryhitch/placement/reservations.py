"""Room that is held for the one workload that can't be placed yet.

Only one workload holds room at a time, so that no two gangs can each hold a
half of what the other needs. On held workers only tasks that may be stopped
are started, and they are stopped when the rest of the room is there: so
backfill can't delay the workload that the room is held for.
"""

from collections.abc import Iterable

from mulberryhitch.placement.model import (
    RunningTask,
    RunningTasksByWorker,
    WaitingWorkload,
)
from mulberryhitch.placement.pool import PoolWorker, WorkerPool
from mulberryhitch.workloads.model import Kind, Size


class Reservation:
    """Workers held for one workload.

    Args:
        workload: The workload.
        pool: The workers.
        by_worker: What holds room now, by worker.
    """

    def __init__(
        self,
        workload: WaitingWorkload,
        pool: WorkerPool,
        running_by_worker: RunningTasksByWorker,
    ) -> None:
        """Holds enough workers, those that are free soonest first."""
        self.workload = workload
        self._pool = pool
        self._running_by_worker = running_by_worker
        self._chosen = self._choose_workers()
        for worker in self._chosen:
            worker.held_for = workload.spec.workload_id

    @property
    def is_empty(self) -> bool:
        """Whether not even all stoppable work makes room for it."""
        return not self._chosen

    def stop_backfill(self) -> None:
        """Lets no more backfill start: the workload is about to."""
        for worker in self._chosen:
            worker.accepts_backfill = False

    def victims(self) -> list[RunningTask]:
        """What must stop so that the workload can start now.

        Empty while room is also held by tasks that must not be stopped.
        """
        missing = self.workload.gang_size
        stopping: list[RunningTask] = []
        for worker in self._chosen:
            stoppable = [
                one for one in self._running_on(worker) if one.spec.preemptible
            ]
            room = sum((one.spec.size for one in stoppable), start=worker.free)
            count = worker.count_fitting(self.workload.size, room)
            missing -= count
            stopping.extend(stoppable if count else [])
            if missing <= 0:
                return stopping
        return []

    def _running_on(self, worker: PoolWorker) -> Iterable[RunningTask]:
        return self._running_by_worker.get(worker.worker_id, {}).values()

    def _choose_workers(self) -> list[PoolWorker]:
        missing = self.workload.gang_size
        chosen: list[PoolWorker] = []
        ranked = sorted(
            self._pool, key=lambda worker: worker.free.millicores, reverse=True
        )
        for worker in ranked:
            if missing <= 0:
                break
            room = worker.capacity - self._permanent_usage(worker)
            count = worker.count_fitting(self.workload.size, room)
            avoided = worker.worker_id in self.workload.avoided_workers
            usable = (
                worker.is_schedulable and not worker.held_for and not avoided
            )
            if count and usable:
                chosen.append(worker)
                missing -= count
        return chosen if missing <= 0 else []

    def _permanent_usage(self, worker: PoolWorker) -> Size:
        """What services hold there, which do not end by themselves."""
        return sum(
            (
                one.spec.size
                for one in self._running_on(worker)
                if one.spec.kind is Kind.service and not one.spec.preemptible
            ),
            start=Size(),
        )
