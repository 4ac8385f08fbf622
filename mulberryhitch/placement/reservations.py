"""Room that is held for the one workload that can't be placed yet.

Only one workload holds room at a time, so that no two gangs can each hold a
half of what the other needs. On held workers only tasks that may be stopped
are started, and they are stopped when the rest of the room is there: so
backfill can't delay the workload that the room is held for.
"""

from collections.abc import Iterable

from mulberryhitch.placement.pool import Node, Pool
from mulberryhitch.placement.waiting import Running, RunningByWorker, Waiting
from mulberryhitch.workloads.model import Kind, Size


class Reservation:
    """Workers held for one workload.

    Args:
        waiting: The workload.
        pool: The workers.
        by_worker: What holds room now, by worker.
    """

    def __init__(
        self,
        waiting: Waiting,
        pool: Pool,
        by_worker: RunningByWorker,
    ) -> None:
        """Holds enough workers, those that are free soonest first."""
        self.waiting = waiting
        self._pool = pool
        self._by_worker = by_worker
        self._chosen = self._choose()
        for node in self._chosen:
            node.hold = waiting.spec.workload_id

    @property
    def is_empty(self) -> bool:
        """Whether not even all stoppable work makes room for it."""
        return not self._chosen

    def close(self) -> None:
        """Lets no more backfill start: the workload is about to."""
        for node in self._chosen:
            node.takes_backfill = False

    def victims(self) -> list[Running]:
        """What must stop so that the workload can start now.

        Empty while room is also held by tasks that must not be stopped.
        """
        missing = self.waiting.together
        stopping: list[Running] = []
        for node in self._chosen:
            stoppable = [
                one for one in self._running_on(node) if one.spec.preemptible
            ]
            room = sum((one.spec.size for one in stoppable), start=node.free)
            count = node.count_fitting(self.waiting.size, room)
            missing -= count
            stopping.extend(stoppable if count else [])
            if missing <= 0:
                return stopping
        return []

    def _running_on(self, node: Node) -> Iterable[Running]:
        return self._by_worker.get(node.worker_id, {}).values()

    def _choose(self) -> list[Node]:
        missing = self.waiting.together
        chosen: list[Node] = []
        ranked = sorted(
            self._pool, key=lambda node: node.free.millicores, reverse=True
        )
        for node in ranked:
            if missing <= 0:
                break
            room = node.size - self._lasting_use(node)
            count = node.count_fitting(self.waiting.size, room)
            avoided = node.worker_id in self.waiting.avoid
            usable = node.is_open and not node.hold and not avoided
            if count and usable:
                chosen.append(node)
                missing -= count
        return chosen if missing <= 0 else []

    def _lasting_use(self, node: Node) -> Size:
        """What services hold there, which do not end by themselves."""
        return sum(
            (
                one.spec.size
                for one in self._running_on(node)
                if one.spec.kind is Kind.service and not one.spec.preemptible
            ),
            start=Size(),
        )
