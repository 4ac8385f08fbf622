"""Room that is held for the one workload that can't be placed yet.

Only one workload holds room at a time, so that no two gangs can each hold a
half of what the other needs. On held workers only tasks that may be stopped
are started, and they are stopped when the rest of the room is there: so
backfill can't delay the workload that the room is held for.
"""

from mulberryhitch.placement.pool import Node, Pool
from mulberryhitch.placement.waiting import Running, Waiting
from mulberryhitch.workloads.model import Kind, Size
from mulberryhitch.workers.leases import TaskKey


class Reservation:
    """Workers held for one workload.

    Args:
        waiting: The workload.
        pool: The workers.
        running: What holds room now.
    """

    def __init__(
        self,
        waiting: Waiting,
        pool: Pool,
        running: dict[TaskKey, Running],
    ) -> None:
        """Holds enough workers, those that are free soonest first."""
        self.waiting = waiting
        self._pool = pool
        self._running = running
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
        preemptible = self._preemptible_by_worker()
        missing = self.waiting.together
        stopping: list[Running] = []
        for node in self._pool:
            if node.hold != self.waiting.spec.workload_id or missing <= 0:
                continue
            running = preemptible.get(node.worker_id, [])
            room = node.free
            room = sum((one.spec.size for one in running), start=room)
            count = Node(node.worker_id, '', room, room).count_fitting(
                self.waiting.size
            )
            missing -= count
            stopping.extend(running if count else [])
        return [] if missing > 0 else stopping

    def _preemptible_by_worker(self) -> dict[str, list[Running]]:
        found: dict[str, list[Running]] = {}
        for one in self._running.values():
            if one.spec.preemptible:
                found.setdefault(one.worker_id, []).append(one)
        return found

    def _choose(self) -> list[Node]:
        lasting = self._lasting_use()
        missing = self.waiting.together
        chosen: list[Node] = []
        ranked = sorted(
            self._pool, key=lambda node: node.free.millicores, reverse=True
        )
        for node in ranked:
            if missing <= 0:
                break
            room = node.size - lasting.get(node.worker_id, Size())
            count = Node(node.worker_id, '', room, room).count_fitting(
                self.waiting.size
            )
            avoided = node.worker_id in self.waiting.avoid
            usable = node.is_open and not node.hold and not avoided
            if count and usable:
                chosen.append(node)
                missing -= count
        return chosen if missing <= 0 else []

    def _lasting_use(self) -> dict[str, Size]:
        use: dict[str, Size] = {}
        for one in self._running.values():
            endless = one.spec.kind is Kind.service
            if endless and not one.spec.preemptible:
                held = use.get(one.worker_id, Size())
                use[one.worker_id] = held + one.spec.size
        return use
