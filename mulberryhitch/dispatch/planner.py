"""Which waiting units start now, where, and what must make way for them.

Pure: it reads the book and the fleet and changes neither.
"""

from collections.abc import Callable, Iterable, Mapping

from mulberryhitch.dispatch.clearing import Clearing
from mulberryhitch.dispatch.fleet import LiveWorker
from mulberryhitch.dispatch.inquiry import Inquiry
from mulberryhitch.dispatch.permits import PermitDesk, Question, StepPermits
from mulberryhitch.dispatch.plans import (
    MakingWay,
    Placement,
    Plan,
    Reckoner,
    Waiting,
)
from mulberryhitch.dispatch.rooms import FreeRooms
from mulberryhitch.jobs.model import PermitPolicy, Resources, StepKey
from mulberryhitch.jobs.state import StepExecution
from mulberryhitch.jobs.store import JobStore

_LATE_FACTOR = 3.0
_MAXIMUM_STEPS = 200
_URGENT = 0

_Counted = list[tuple[int, LiveWorker]]


class Planner:
    """One placement round.

    Args:
        book: The committed state.
        workers: The workers that may get new runs.
        reserved: Room planned but not yet committed, by worker.
        desk: The permits.
        reckoner: Knows how long jobs may take.
        now: Seconds on the local clock.
        wall: Seconds since 1970.
        permit_margin: A permit must last so much longer, seconds.
    """

    def __init__(  # noqa: WPS211
        self,
        book: JobStore,
        workers: Iterable[LiveWorker],
        reserved: Mapping[str, Resources],
        desk: PermitDesk,
        reckoner: Reckoner,
        now: float,
        wall: float,
        permit_margin: float,
    ) -> None:
        """Plans nothing yet."""
        self._book = book
        self._desk = desk
        self._reckoner = reckoner
        self._wall = wall
        self._valid_at = now + permit_margin
        self._rooms = FreeRooms(book, workers, reserved)
        self._questions_left = desk.free_helpers()
        self.plan = Plan()

    def run(
        self, busy: set[StepKey], making_way: Callable[[], MakingWay]
    ) -> Plan:
        """Plans everything that can start now.

        Args:
            busy: Steps whose grants are on their way; left out.
            making_way: Tells what may be stopped; called when it is needed.
        """
        clearing = Clearing(self.plan, self._rooms, making_way)
        waiting = [
            one
            for one in map(self._waiting, self._book.ready_steps.values())
            if one is not None and one.work.key not in busy
        ]
        waiting.sort(key=lambda one: one.order)
        for one in waiting[:_MAXIMUM_STEPS]:
            able = self._allowed(one)
            if one.work.step.gang:
                self._place_gang(one, able, clearing)
            else:
                self._place_tasks(one, able, clearing)
        return self.plan

    def _waiting(self, work: StepExecution) -> Waiting | None:
        job = self._book.jobs.get(work.key.job_id)
        if job is None or not work.waiting_units:
            return None
        queue = self._book.current_queue(job)
        due = job.due_at(work.key.occurrence)
        if due > self._wall:
            return None
        age = self._wall - due
        objective, chain = self._reckoner.times(job, work, queue)
        slack = objective - age - chain
        stage = 0
        if age > objective * _LATE_FACTOR:
            stage = 2
        elif slack < 0 and age > objective:
            stage = 1
        order = (stage, queue.urgency, slack, due)
        permits = None
        if queue.permits is not None:
            permits = self._desk.of_step(work.key)
        return Waiting(work, job, queue, order, permits)

    def _allowed(self, one: Waiting) -> list[LiveWorker]:
        """The workers that may run a step, with a permit at hand or not."""
        if one.permits is None or one.queue.permits is None:
            return self._able(one)
        self._ask(one, one.permits, one.queue.permits)
        found = map(self._rooms.workers.get, one.permits.allowed)
        return [live for live in found if live and one.suits(live)]

    def _able(self, one: Waiting) -> list[LiveWorker]:
        """The workers whose size and labels suit a step."""
        workers = self._rooms.emptiest_first(one.queue.service)
        return [live for live in workers if one.suits(live)]

    def _ask(
        self, one: Waiting, known: StepPermits, policy: PermitPolicy
    ) -> None:
        if known.asking or self._questions_left <= 0:
            return
        inquiry = Inquiry(
            one,
            known,
            self._rooms,
            self._desk.share(one.queue.name),
            self._valid_at + policy.decide_seconds,
        )
        wanted = inquiry.wanted()
        if wanted:
            self._questions_left -= 1
            self.plan.questions.append(
                Question(
                    one.work.key,
                    tuple(wanted),
                    policy,
                    one.order,
                    one.queue.name,
                ),
            )

    def _ticket(self, one: Waiting, live: LiveWorker) -> str | None:
        """The permit to present; nothing if there is none that holds."""
        if one.permits is None:
            return ''
        record = live.record
        permit = one.permits.holding(
            record.worker_id, record.born, self._valid_at
        )
        return permit.ticket if permit else None

    def _count(self, one: Waiting, able: Iterable[LiveWorker]) -> _Counted:
        """How many tasks of a step each worker can start now."""
        room = one.work.resources
        limit = one.work.step.spread_limit
        counted = []
        for live in able:
            if self._ticket(one, live) is None:
                continue
            copies = self._rooms.copies(live.record.worker_id, room, limit)
            if copies:
                counted.append((copies, live))
        return counted

    def _take(self, one: Waiting, index: int, live: LiveWorker) -> None:
        unit = one.work.unit_of(index)
        if unit is None:
            return
        worker_id = live.record.worker_id
        self._rooms.take(worker_id, one.work.resources)
        self.plan.placements.append(
            Placement(unit, index, worker_id, self._ticket(one, live) or '')
        )

    def _place_gang(
        self, one: Waiting, able: list[LiveWorker], clearing: Clearing
    ) -> None:
        chosen = self._gang_workers(one, self._count(one, able))
        if chosen is None:
            clearing.reserve(one, able)
            return
        for index, live in enumerate(chosen):
            self._take(one, index, live)

    def _gang_workers(
        self, one: Waiting, counted: _Counted
    ) -> list[LiveWorker] | None:
        step = one.work.step
        racks: dict[str, _Counted] = {}
        for pair in counted:
            racks.setdefault(pair[1].record.rack, []).append(pair)
        groups = list(racks.values()) if step.same_rack else []
        if step.data_rack in racks:
            groups.insert(0, racks[step.data_rack])
        groups.append(counted)
        for group in groups:
            if sum(copies for copies, _ in group) >= step.count:
                return _fill(group, step.count)
        return None

    def _place_tasks(
        self, one: Waiting, able: list[LiveWorker], clearing: Clearing
    ) -> None:
        """The fullest workers that have room, near the data if there is any."""
        step = one.work.step
        counted = self._count(one, able)
        counted.sort(
            key=lambda pair: (
                bool(step.data_rack) and pair[1].record.rack != step.data_rack,
                self._rooms.of_worker(pair[1].record.worker_id).processors,
            )
        )
        waiting = list(one.work.waiting_units)
        on_worker = self._spread(one)
        for copies, live in counted:
            if step.spread_limit:
                placed = on_worker.get(live.record.worker_id, 0)
                copies = min(copies, step.spread_limit - placed)
            for index in waiting[: max(0, copies)]:
                self._take(one, index, live)
            waiting = waiting[max(0, copies) :]
            if not waiting:
                return
        if one.queue.urgency == _URGENT:
            clearing.make_way(one, able, len(waiting))

    def _spread(self, one: Waiting) -> dict[str, int]:
        counts: dict[str, int] = {}
        if one.work.step.spread_limit:
            for unit in one.work.units:
                for worker_id in unit.holders.values():
                    counts[worker_id] = counts.get(worker_id, 0) + 1
        return counts


def _fill(counted: _Counted, count: int) -> list[LiveWorker]:
    """So many places on as few workers as can be."""
    counted.sort(key=lambda pair: -pair[0])
    chosen: list[LiveWorker] = []
    for copies, live in counted:
        taken = min(copies, count - len(chosen))
        chosen.extend(live for _ in range(taken))
    return chosen
