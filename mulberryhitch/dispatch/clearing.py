"""Keeps room for what does not fit yet, and names what must make way."""

from collections.abc import Callable, Iterable

from mulberryhitch.dispatch.fleet import LiveWorker
from mulberryhitch.dispatch.plans import MakingWay, Plan, Waiting
from mulberryhitch.dispatch.rooms import FreeRooms, copies_within
from mulberryhitch.jobs.model import Resources

_RESERVED_SHARE = 0.5


class Clearing:
    """The part of a placement round for steps that do not fit.

    Args:
        plan: Where runs to stop are added.
        rooms: What is free of each worker.
        making_way: Tells what may be stopped; called when it is needed.
    """

    def __init__(
        self,
        plan: Plan,
        rooms: FreeRooms,
        making_way: Callable[[], MakingWay],
    ) -> None:
        """Keeps nothing yet."""
        self._plan = plan
        self._rooms = rooms
        self._making_way = making_way
        self._known_way: MakingWay | None = None
        self._left = int(len(rooms.workers) * _RESERVED_SHARE)

    def reserve(self, one: Waiting, able: Iterable[LiveWorker]) -> None:
        """Keeps room free for a gang that does not fit yet.

        The workers that will have the most room are kept for it, also where
        they are not yet free: what runs there ends, or is stopped if it can
        go on elsewhere, and nothing less urgent takes its place. At most half
        of the workers are kept.
        """
        if one.order[0] > 1:
            return
        room = one.work.resources
        needed = one.work.step.count
        limit = one.work.step.spread_limit or needed
        most = {
            live.record.worker_id: copies_within(room, live.room, limit)
            for live in able
        }
        if sum(most.values()) < needed:
            return
        soon = [
            (copies_within(room, self._soon(one, worker_id)), worker_id)
            for worker_id in most
        ]
        soon.sort(reverse=True)
        for copies, worker_id in soon:
            if needed <= 0 or self._left <= 0:
                return
            self._left -= 1
            kept = min(needed, most[worker_id])
            needed -= kept
            self._clear(one, worker_id, min(copies, kept))
            self._rooms.keep_all(worker_id)

    def make_way(
        self, one: Waiting, able: Iterable[LiveWorker], unplaced: int
    ) -> None:
        """Stops what is less urgent for tasks that found no room."""
        room = one.work.resources
        for live in able:
            if unplaced <= 0:
                return
            worker_id = live.record.worker_id
            if copies_within(room, self._soon(one, worker_id)) > 0:
                self._clear(one, worker_id, 1)
                unplaced -= 1

    def _way(self) -> MakingWay:
        if self._known_way is None:
            self._known_way = self._making_way()
        return self._known_way

    def _after_stops(self, worker_id: str) -> Resources:
        """What is free once the runs that are being stopped have ended."""
        coming = self._way().coming.get(worker_id, Resources())
        return self._rooms.of_worker(worker_id).plus(coming)

    def _soon(self, one: Waiting, worker_id: str) -> Resources:
        """What is free of a worker once all that may be stopped is."""
        free = self._after_stops(worker_id)
        for victim in self._way().victims.get(worker_id, ()):
            if victim.urgency > one.queue.urgency:
                free = free.plus(victim.room)
        return free

    def _clear(self, one: Waiting, worker_id: str, copies: int) -> None:
        """Keeps room for so many tasks, and stops what is in their way."""
        needed = one.work.resources.times(copies)
        free = self._after_stops(worker_id)
        victims = self._way().victims.get(worker_id, [])
        for victim in tuple(victims):
            if needed.fits(free):
                break
            if victim.urgency > one.queue.urgency:
                victims.remove(victim)
                free = free.plus(victim.room)
                self._plan.preempted.append(
                    (victim.task, victim.run, worker_id)
                )
        self._rooms.take(worker_id, one.work.resources, copies)
