"""Choice of tasks to preempt, and the limit on the preemption rate."""

from mulberryhitch.placement.model import (
    RunningTask,
    RunningTasksByWorker,
    WaitingWorkload,
)
from mulberryhitch.placement.pool import PoolWorker
from mulberryhitch.workloads.model import Size


class PreemptionBudget:
    """Token bucket for preemptions that holds at most one minute's worth.

    Args:
        per_minute: Maximum preemptions per minute.
    """

    def __init__(self, per_minute: float) -> None:
        """Initialises a full budget."""
        self._per_minute = per_minute
        self._available = per_minute
        self._refilled_at = float('-inf')

    def spend(self, count: int, now: float) -> bool:
        """Spends a number of preemptions; returns whether there were enough."""
        if self._refilled_at > float('-inf'):
            gained = (now - self._refilled_at) / 60 * self._per_minute
            self._available = min(self._per_minute, self._available + gained)
        self._refilled_at = now
        if count > self._available:
            return False
        self._available -= count
        return True


def choose_victims(
    workers: list[PoolWorker],
    workload: WaitingWorkload,
    running_by_worker: RunningTasksByWorker,
) -> list[RunningTask]:
    """Chooses tasks of one worker to preempt, as few as possible.

    Only less urgent, preemptible tasks are chosen: those may be stopped and
    run again.
    """
    best: list[RunningTask] = []
    for worker in workers:
        if (
            not worker.is_schedulable
            or worker.held_for
            or worker.worker_id in workload.avoided_workers
        ):
            continue
        running = running_by_worker.get(worker.worker_id, {})
        victims = _victims_on(worker, workload, list(running.values()))
        if victims and (not best or len(victims) < len(best)):
            best = victims
    return best


def _victims_on(
    worker: PoolWorker, workload: WaitingWorkload, running: list[RunningTask]
) -> list[RunningTask]:
    preemptible_tasks = sorted(
        (
            task
            for task in running
            if task.spec.preemptible
            and not task.is_preempted
            and task.spec.urgency.rank < workload.urgency.rank
        ),
        key=lambda task: (task.spec.urgency.rank, -task.spec.size.millicores),
    )
    available: Size = worker.free
    victims: list[RunningTask] = []
    for task in preemptible_tasks:
        if workload.size.fits(available):
            break
        available += task.spec.size
        victims.append(task)
    return victims if workload.size.fits(available) else []
