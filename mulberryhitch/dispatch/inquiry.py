"""Which workers to ask permits for.

A question takes longer with each worker that it names, and a permit soon runs
out. So as many are named as the waiting tasks are expected to need, those
first that are known to be allowed and have room. A gang asks about all that
have room, since it needs many at once.
"""

from math import inf

from mulberryhitch.dispatch.fleet import LiveWorker
from mulberryhitch.dispatch.permits import MAXIMUM_WORKERS, StepPermits
from mulberryhitch.dispatch.plans import Waiting
from mulberryhitch.dispatch.rooms import FreeRooms, copies_within

_SPARE_FACTOR = 1.5
_LEAST_SHARE = 0.1
_URGENT = 0

_Copies = list[tuple[int, str]]


class Inquiry:
    """Chooses the workers to name in one step's question.

    Args:
        one: The step.
        known: What is known of its permits.
        rooms: What is free of each worker.
        share: Which part of the workers such steps are allowed, as learned.
        valid_at: Only permits that hold until then count, seconds.
    """

    def __init__(
        self,
        one: Waiting,
        known: StepPermits,
        rooms: FreeRooms,
        share: float,
        valid_at: float,
    ) -> None:
        """Counts what the permits at hand are good for."""
        self._one = one
        self._known = known
        self._rooms = rooms
        self._share = max(share, _LEAST_SHARE)
        self._valid_at = valid_at
        self._room = one.work.resources
        self._limit = one.work.step.spread_limit
        self._missing: float = one.tasks_left

    def wanted(self) -> list[str]:
        """The workers to name; none if there is nothing to gain."""
        stale = self._count_allowed()
        if self._missing <= 0:
            return []
        gang = self._one.work.step.gang
        enough = inf if gang else self._missing * _SPARE_FACTOR
        chosen, expected = self._choose(stale, enough)
        useful = expected >= self._missing if gang else bool(chosen)
        return chosen if useful else self._learn()

    def _count_allowed(self) -> _Copies:
        """Counts what permits at hand are good for; names those run out."""
        stale: _Copies = []
        for worker_id in self._known.allowed:
            live = self._rooms.workers.get(worker_id)
            if live is None or not self._one.suits(live):
                continue
            copies = self._rooms.copies(worker_id, self._room, self._limit)
            if not copies:
                continue
            if self._known.holding(worker_id, live.record.born, self._valid_at):
                self._missing -= copies
            else:
                stale.append((copies, worker_id))
        stale.sort(reverse=True)
        return stale

    def _choose(self, stale: _Copies, enough: float) -> tuple[list[str], float]:
        """Names workers with room, until they are expected to be enough."""
        chosen: list[str] = []
        expected: float = 0
        for known_copies, known_id in stale:
            if expected >= enough:
                return chosen, expected
            chosen.append(known_id)
            expected += known_copies
        for live in self._rooms.emptiest_first(self._one.queue.service):
            worker_id = live.record.worker_id
            free = self._rooms.of_worker(worker_id)
            if expected >= enough or free.processors < self._room.processors:
                break
            copies = self._rooms.copies(worker_id, self._room, self._limit)
            if copies and self._is_new(live):
                chosen.append(worker_id)
                expected += copies * self._share
        return chosen, expected

    def _whole(self, limit: int) -> int:
        """How many tasks the allowed workers could hold, were they empty."""
        found = map(self._rooms.workers.get, self._known.allowed)
        return sum(
            copies_within(self._room, live.room, limit)
            for live in found
            if live is not None and self._one.suits(live)
        )

    def _is_new(self, live: LiveWorker) -> bool:
        worker_id = live.record.worker_id
        if worker_id in self._known.denied or worker_id in self._known.allowed:
            return False
        return self._one.suits(live)

    def _learn(self) -> list[str]:
        """Asks ahead for a step for which room is kept or made.

        A gang is offered every worker: the more may run it, the sooner there
        is room for all of it at once.
        """
        gang = self._one.work.step.gang
        if not gang and self._one.queue.urgency != _URGENT:
            return []
        limit = self._limit or self._one.tasks_left
        missing = inf
        if not gang:
            missing = self._one.tasks_left * _SPARE_FACTOR - self._whole(limit)
        chosen: list[str] = []
        for live in self._rooms.emptiest_first(self._one.queue.service):
            if missing <= 0 or len(chosen) >= MAXIMUM_WORKERS:
                break
            copies = copies_within(self._room, live.room, limit)
            if copies and self._is_new(live):
                chosen.append(live.record.worker_id)
                missing -= copies * self._share
        return chosen
