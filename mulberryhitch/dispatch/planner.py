"""Which waiting units start now, where, and what must make way for them.

Pure: it reads the book and the fleet and changes neither. Every worker's free
room counts each run that may still go on there.
"""

from collections.abc import Callable, Iterable, Mapping

from mulberryhitch.dispatch.permits import PermitDesk, Question, StepPermits
from mulberryhitch.dispatch.plans import (
    MakingWay,
    Placement,
    Plan,
    Waiting,
    chain_seconds,
    objective_seconds,
)
from mulberryhitch.jobs.book import JobBook
from mulberryhitch.jobs.model import Room, Step, StepKey, WorkerRecord
from mulberryhitch.jobs.units import StepWork, Unit

_LATE_FACTOR = 3.0
_MAXIMUM_STEPS = 200
_RESERVING_STEPS = 2
_RENEW_WORKERS = 12


class Planner:
    """One placement round.

    Args:
        book: The committed state.
        workers: The workers that may get new runs.
        reserved: Room planned but not yet committed, by worker.
        desk: The permits.
        now: Seconds on the local clock.
        wall: Seconds since 1970.
        permit_margin: A permit must last so much longer, seconds.
    """

    def __init__(  # noqa: WPS211
        self,
        book: JobBook,
        workers: Iterable[WorkerRecord],
        reserved: Mapping[str, Room],
        desk: PermitDesk,
        now: float,
        wall: float,
        permit_margin: float,
    ) -> None:
        """Counts the free room."""
        self._book = book
        self._desk = desk
        self._now = now
        self._wall = wall
        self._margin = permit_margin
        self._workers = {one.worker_id: one for one in workers}
        self._free = {
            one.worker_id: one.room.minus(book.used(one.worker_id)).minus(
                reserved.get(one.worker_id, Room())
            )
            for one in self._workers.values()
        }
        self._services: dict[str, list[WorkerRecord]] = {}
        for one in self._workers.values():
            self._services.setdefault(one.service, []).append(one)
        self._making_way: Callable[[], MakingWay] = MakingWay
        self._known_way: MakingWay | None = None
        self._reserving = 0
        self.plan = Plan()

    def run(
        self, busy: set[StepKey], making_way: Callable[[], MakingWay]
    ) -> Plan:
        """Plans everything that can start now.

        Args:
            busy: Steps whose grants are on their way; left out.
            making_way: Tells what may be stopped; called when it is needed.
        """
        self._making_way = making_way
        waiting = [
            one
            for one in map(self._waiting, self._book.ready.values())
            if one is not None and one.work.key not in busy
        ]
        waiting.sort(key=lambda one: one.order)
        for one in waiting[:_MAXIMUM_STEPS]:
            self._place(one)
        return self.plan

    def _waiting(self, work: StepWork) -> Waiting | None:
        job = self._book.jobs.get(work.key.job_id)
        if job is None or not work.waiting:
            return None
        queue = self._book.queue_now(job)
        due = job.due_at(work.key.occurrence)
        if due > self._wall:
            return None
        age = self._wall - due
        objective = objective_seconds(job, queue)
        slack = objective - age - chain_seconds(job, work)
        stage = 0
        if age > objective * _LATE_FACTOR:
            stage = 2
        elif slack < 0 and age > objective:
            stage = 1
        order = (stage, queue.urgency, slack, due)
        permits = None
        if queue.permits is not None:
            permits = self._desk.of_step(work.key)
        return Waiting(work, job, queue, slack, order, permits)

    def _place(self, one: Waiting) -> None:
        able = self._able(one)
        if one.permits is not None:
            allowed = one.permits.allowed
            self._ask(one, able)
            able = [each for each in able if each.worker_id in allowed]
        if one.work.step.gang:
            self._place_gang(one, able)
        else:
            self._place_tasks(one, able)

    def _able(self, one: Waiting) -> list[WorkerRecord]:
        step = one.work.step
        return [
            worker
            for worker in self._services.get(one.queue.service, ())
            if step.room.fits(worker.room)
            and (not step.label or step.label in worker.labels)
        ]

    def _ask(self, one: Waiting, able: list[WorkerRecord]) -> None:
        known = one.permits
        policy = one.queue.permits
        if known is None or policy is None or known.asking:
            return
        unknown = [
            each.worker_id
            for each in able
            if each.worker_id not in known.allowed
            and each.worker_id not in known.denied
        ]
        if not known.allowed or len(unknown) > len(able) / 2:
            wanted = unknown
        else:
            wanted = self._to_renew(one, known, able, policy.decide_seconds)
        if wanted:
            self.plan.questions.append(
                Question(one.work.key, tuple(wanted), policy, one.order)
            )

    def _to_renew(
        self,
        one: Waiting,
        known: StepPermits,
        able: list[WorkerRecord],
        ahead: float,
    ) -> list[str]:
        room = one.work.step.room
        valid = 0
        stale = []
        for each in able:
            if each.worker_id not in known.allowed:
                continue
            if not room.fits(self._free[each.worker_id]):
                continue
            if self._ticket(one, each, ahead):
                valid += _copies(room, self._free[each.worker_id])
            else:
                stale.append(each)
        if not stale or valid >= len(one.work.waiting):
            return []
        stale.sort(key=lambda each: -self._free[each.worker_id].processors)
        if one.work.step.gang and not self._gang_could_fit(one, able, known):
            return []
        return [each.worker_id for each in stale[:_RENEW_WORKERS]]

    def _gang_could_fit(
        self, one: Waiting, able: list[WorkerRecord], known: StepPermits
    ) -> bool:
        allowed = [each for each in able if each.worker_id in known.allowed]
        total = sum(self._copies_in(one, each) for each in allowed)
        return total >= one.work.step.count

    def _ticket(
        self, one: Waiting, worker: WorkerRecord, ahead: float = 0
    ) -> str | None:
        if one.permits is None:
            return ''
        permit = one.permits.permits.get(worker.worker_id)
        if permit is None or permit.born != worker.born:
            return None
        if permit.valid_until - self._margin - ahead < self._now:
            return None
        return permit.ticket

    def _copies_in(self, one: Waiting, worker: WorkerRecord) -> int:
        copies = _copies(one.work.step.room, self._free[worker.worker_id])
        limit = one.work.step.spread_limit
        return min(copies, limit) if limit else copies

    def _take(
        self, one: Waiting, unit: Unit, index: int, worker_id: str
    ) -> None:
        room = one.work.step.room
        self._free[worker_id] = self._free[worker_id].minus(room)
        permit = self._ticket(one, self._workers[worker_id]) or ''
        self.plan.placements.append(Placement(unit, index, worker_id, permit))

    def _place_gang(self, one: Waiting, able: list[WorkerRecord]) -> None:
        ready = [each for each in able if self._ticket(one, each) is not None]
        chosen = self._gang_workers(one, ready)
        if chosen is None:
            self._reserve(one, able)
            return
        unit = one.work.units[0]
        for index, worker_id in enumerate(chosen):
            self._take(one, unit, index, worker_id)

    def _gang_workers(
        self, one: Waiting, ready: list[WorkerRecord]
    ) -> list[str] | None:
        step = one.work.step
        racks: dict[str, list[WorkerRecord]] = {}
        for worker in ready:
            racks.setdefault(worker.rack, []).append(worker)
        groups = list(racks.values()) if step.same_rack else []
        if step.data_rack in racks:
            groups.insert(0, racks[step.data_rack])
        groups.append(ready)
        for group in groups:
            chosen = self._fill(one, group)
            if chosen is not None:
                return chosen
        return None

    def _fill(
        self, one: Waiting, group: list[WorkerRecord]
    ) -> list[str] | None:
        count = one.work.step.count
        counted = [(self._copies_in(one, each), each) for each in group]
        if sum(copies for copies, _ in counted) < count:
            return None
        counted.sort(key=lambda pair: -pair[0])
        chosen: list[str] = []
        for copies, worker in counted:
            taken = min(copies, count - len(chosen))
            chosen.extend(worker.worker_id for _ in range(taken))
        return chosen

    def _place_tasks(self, one: Waiting, able: list[WorkerRecord]) -> None:
        ready = [each for each in able if self._ticket(one, each) is not None]
        on_worker = self._spread(one)
        unplaced = 0
        for unit in tuple(one.work.waiting.values()):
            best = self._best(one.work.step, ready, on_worker)
            if best is None:
                unplaced += 1
                continue
            self._take(one, unit, unit.first, best.worker_id)
            placed = on_worker.get(best.worker_id, 0)
            on_worker[best.worker_id] = placed + 1
        if unplaced and one.queue.urgency == 0:
            self._make_way(one, able, unplaced)

    def _best(
        self,
        step: Step,
        ready: list[WorkerRecord],
        on_worker: dict[str, int],
    ) -> WorkerRecord | None:
        """The fullest worker that has room, near the data if there is one."""
        fitting = [
            worker
            for worker in ready
            if step.room.fits(self._free[worker.worker_id])
            and not 0 < step.spread_limit <= on_worker.get(worker.worker_id, 0)
        ]
        if not fitting:
            return None
        return min(
            fitting,
            key=lambda worker: (
                bool(step.data_rack) and worker.rack != step.data_rack,
                self._free[worker.worker_id].processors,
            ),
        )

    def _spread(self, one: Waiting) -> dict[str, int]:
        counts: dict[str, int] = {}
        if one.work.step.spread_limit:
            for unit in one.work.units:
                for worker_id in unit.holders.values():
                    counts[worker_id] = counts.get(worker_id, 0) + 1
        return counts

    def _reserve(self, one: Waiting, able: list[WorkerRecord]) -> None:
        """Keeps room free for a gang that does not fit yet.

        The workers that will have the most room are kept for it, also where
        they are not yet free: what runs there ends, or is stopped if it can
        go on elsewhere, and nothing less urgent takes its place.
        """
        if self._reserving >= _RESERVING_STEPS or one.order[0] > 1:
            return
        room = one.work.step.room
        soon = [
            (_copies(room, self._soon(one, worker.worker_id)), worker)
            for worker in able
        ]
        soon.sort(key=lambda pair: -pair[0])
        needed = one.work.step.count
        limit = one.work.step.spread_limit or needed
        whole = sum(min(limit, _copies(room, each.room)) for each in able)
        if whole < needed:
            return
        self._reserving += 1
        for copies, worker in soon:
            if needed <= 0:
                return
            most = min(limit, needed, _copies(room, worker.room))
            needed -= most
            self._clear(one, worker.worker_id, min(copies, most))
            self._free[worker.worker_id] = Room()

    def _make_way(
        self,
        one: Waiting,
        able: list[WorkerRecord],
        unplaced: int,
    ) -> None:
        room = one.work.step.room
        for worker in able:
            if unplaced <= 0:
                return
            if _copies(room, self._soon(one, worker.worker_id)) > 0:
                self._clear(one, worker.worker_id, 1)
                unplaced -= 1

    def _way(self) -> MakingWay:
        if self._known_way is None:
            self._known_way = self._making_way()
        return self._known_way

    def _soon(self, one: Waiting, worker_id: str) -> Room:
        """What is free of a worker once all that may be stopped is."""
        way = self._way()
        free = self._free[worker_id].plus(way.coming.get(worker_id, Room()))
        for victim in way.victims.get(worker_id, ()):
            if victim.urgency > one.queue.urgency:
                free = free.plus(victim.room)
        return free

    def _clear(self, one: Waiting, worker_id: str, copies: int) -> None:
        """Keeps room for so many tasks, and stops what is in their way."""
        way = self._way()
        needed = Room(*(part * copies for part in one.work.step.room))
        free = self._free[worker_id].plus(way.coming.get(worker_id, Room()))
        victims = way.victims.get(worker_id, [])
        for victim in tuple(victims):
            if needed.fits(free):
                break
            if victim.urgency > one.queue.urgency:
                victims.remove(victim)
                free = free.plus(victim.room)
                self.plan.preempted.append((victim.task, victim.run, worker_id))
        self._free[worker_id] = self._free[worker_id].minus(needed)


def _copies(room: Room, free: Room) -> int:
    counts = [
        have // need for have, need in zip(free, room, strict=True) if need > 0
    ]
    return max(0, min(counts, default=1_000))
