"""Which running tasks make room for more urgent work, and how often."""

from mulberryhitch.placement.model import (
    RunningTask,
    RunningTasksByWorker,
    WaitingWorkload,
)
from mulberryhitch.placement.pool import PoolWorker
from mulberryhitch.workloads.model import Size


class PreemptionBudget:
    """At most so many preemptions a minute, saved up to one minute's worth.

    Args:
        per_minute: How many.
    """

    def __init__(self, per_minute: float) -> None:
        """Starts full."""
        self._per_minute = per_minute
        self._left = per_minute
        self._filled_at = float('-inf')

    def spend(self, count: int, now: float) -> bool:
        """Spends so many at once, if there are so many."""
        if self._filled_at > float('-inf'):
            gained = (now - self._filled_at) / 60 * self._per_minute
            self._left = min(self._per_minute, self._left + gained)
        self._filled_at = now
        if count > self._left:
            return False
        self._left -= count
        return True


def choose_victims(
    workers: list[PoolWorker],
    workload: WaitingWorkload,
    running_by_worker: RunningTasksByWorker,
) -> list[RunningTask]:
    """The fewest less urgent tasks of one worker that make room for a task.

    Only tasks that may be stopped and run again are chosen.
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
    stoppable = sorted(
        (
            one
            for one in running
            if one.spec.preemptible
            and not one.is_preempted
            and one.spec.urgency.rank < workload.urgency.rank
        ),
        key=lambda one: (one.spec.urgency.rank, -one.spec.size.millicores),
    )
    room: Size = worker.free
    victims: list[RunningTask] = []
    for one in stoppable:
        if workload.size.fits(room):
            break
        room += one.spec.size
        victims.append(one)
    return victims if workload.size.fits(room) else []
