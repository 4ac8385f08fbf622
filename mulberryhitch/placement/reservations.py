"""Reservation of workers for a workload that can't be placed yet.

Only one workload has a reservation at a time, so that two gangs can't each
hold half of what the other needs. On reserved workers only preemptible tasks
are started as backfill. They are preempted as soon as that is enough to start
the workload, so backfill can't delay it.

Nothing tells when the other tasks there end. So a reservation that has led to no
start ends, and workers are reserved for the workload again only after a pause of
the same length.
"""

from collections.abc import Iterable

from mulberryhitch.placement.model import (
    RunningTask,
    RunningTasksByWorker,
    WaitingWorkload,
)
from mulberryhitch.placement.pool import PoolWorker, WorkerPool
from mulberryhitch.workloads.model import Kind, Size

_MIN_RESERVED_SECONDS = 60.0


class Reservation:
    """Workers reserved for one workload.

    Args:
        workload: The workload.
        pool: Workers to choose from.
        running_by_worker: Tasks that hold resources now, by worker.
        now: Current time in seconds.
    """

    def __init__(
        self,
        workload: WaitingWorkload,
        pool: WorkerPool,
        running_by_worker: RunningTasksByWorker,
        now: float,
    ) -> None:
        """Reserves enough workers, those with the most free cores first."""
        self.workload = workload
        self._pool = pool
        self._began_at = now
        waited = now - workload.waiting_since
        self._ends_at = now + max(waited, _MIN_RESERVED_SECONDS)
        self._running_by_worker = running_by_worker
        self._workers = self._choose_workers()
        for worker in self._workers:
            worker.held_for = workload.spec.workload_id

    @property
    def is_empty(self) -> bool:
        """Whether too few workers can free the resources that are needed.

        Only non-preemptible services are assumed to keep theirs.
        """
        return not self._workers

    def is_over(self, now: float) -> bool:
        """Whether it has led to no start in as long as the workload waited."""
        return now >= self._ends_at

    def pause_until(self, now: float) -> float:
        """Returns the end of the pause that follows if it ends now."""
        return now + (now - self._began_at)

    def stop_backfill(self) -> None:
        """Prevents more backfill, as the workload is about to start."""
        for worker in self._workers:
            worker.accepts_backfill = False

    def victims(self) -> list[RunningTask]:
        """Returns the tasks to preempt so that the workload can start now.

        Empty while non-preemptible tasks hold resources that it needs.
        """
        missing = self.workload.gang_size
        victims: list[RunningTask] = []
        for worker in self._workers:
            preemptible_tasks = [
                task
                for task in self._running_on(worker)
                if task.spec.preemptible
            ]
            available = sum(
                (task.spec.size for task in preemptible_tasks),
                start=worker.free,
            )
            count = worker.count_fitting(self.workload.size, available)
            missing -= count
            victims.extend(preemptible_tasks if count else [])
            if missing <= 0:
                return victims
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
            available = worker.capacity - self._permanent_usage(worker)
            count = worker.count_fitting(self.workload.size, available)
            avoided = worker.worker_id in self.workload.avoided_workers
            usable = (
                worker.is_schedulable and not worker.held_for and not avoided
            )
            if count and usable:
                chosen.append(worker)
                missing -= count
        return chosen if missing <= 0 else []

    def _permanent_usage(self, worker: PoolWorker) -> Size:
        """Returns the use by non-preemptible services, which don't end."""
        return sum(
            (
                task.spec.size
                for task in self._running_on(worker)
                if task.spec.kind is Kind.service and not task.spec.preemptible
            ),
            start=Size(),
        )
