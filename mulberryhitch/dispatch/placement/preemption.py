"""Reserves workers and selects runs to preempt for steps that do not fit."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from mulberryhitch.dispatch.placement.free_capacity import FreeCapacity
from mulberryhitch.dispatch.placement.gang_drains import GangDrains
from mulberryhitch.dispatch.placement.gang_holds import EarlierHolds, GangHold
from mulberryhitch.dispatch.placement.plans import (
    Plan,
    Preemption,
    WaitingStep,
)
from mulberryhitch.dispatch.placement.preemption_candidates import (
    PreemptionCandidates,
    Victim,
)
from mulberryhitch.dispatch.placement.preemption_cost import (
    cheapest_victims,
    gain_of_start,
    may_be_stopped_for,
    needs_stops,
)
from mulberryhitch.dispatch.placement.step_order import StepRank
from mulberryhitch.dispatch.placement.worker_ranking import (
    RankedWorkers,
    first_that_fit,
    rank_workers,
)
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources
from mulberryhitch.jobs.state import StepExecution

_MAX_RESERVED_SHARE = 0.5
# Gangs that wait for the same runs to end would all keep workers idle.
_MAX_DRAINED_SHARE = 0.1
# About as long as a stop takes; such runs are not worth preempting.
_ENDING_SOON_SECONDS = 0.5
# A run that is this late against its projection may have stalled.
_OVERDUE_SECONDS = 0.5

# Workers for a gang are taken in this order, the highest number first.
_RESERVED_FOR_OTHERS, _UNCOVERED, _COVERED, _KEPT = range(4)

_GainKey = tuple[tuple[float, ...], str, bool, str]


@dataclass(frozen=True, slots=True)
class GangReservation:
    """The workers selected for a gang that can't start yet.

    Attributes:
        workers: How many of its tasks will fit, and the worker.
        starts_at: When it is expected to start, seconds on the local clock.
        fits_soon: Whether it fits once runs that end soon have ended and less
            urgent ones on the held workers are preempted.
        is_held: Whether the workers are kept free for it.
    """

    workers: RankedWorkers
    starts_at: float
    fits_soon: bool = True
    is_held: bool = True


@dataclass(frozen=True, slots=True)
class _Gain:
    """Resources that a worker can release.

    Attributes:
        ending: Resources of runs that end soon or are being stopped.
        most: These, and the resources of the runs that may be preempted.
        victims: Runs that may be preempted, the least urgent first.
    """

    ending: Resources
    most: Resources
    victims: list[Victim]


class PreemptionPlanner:
    """Handles the steps that do not fit in a placement round.

    Args:
        plan: Receives the runs to preempt.
        free_capacity: Free resources of each worker.
        candidates: The runs that may be preempted.
        rank_of: Returns where a step stands, waiting or not.
        earlier_holds: The reservations of the last round.
        now: Seconds on the local clock.
        wall_time: Seconds since 1970.
    """

    def __init__(  # noqa: WPS211
        self,
        plan: Plan,
        free_capacity: FreeCapacity,
        candidates: PreemptionCandidates,
        rank_of: Callable[[StepExecution], StepRank],
        earlier_holds: EarlierHolds,
        now: float,
        wall_time: float,
    ) -> None:
        """Initialises the planner with no worker reserved."""
        self._now = now
        self._rank_of = rank_of
        self._earlier_holds = earlier_holds
        self._cached_gains: dict[str, dict[_GainKey, _Gain]] = {}
        self._drains = GangDrains(free_capacity, candidates, now, wall_time)
        self._plan = plan
        self._free_capacity = free_capacity
        self._candidates = candidates
        workers = len(free_capacity.workers)
        self._reservable_workers = max(1, int(workers * _MAX_RESERVED_SHARE))
        self._drainable_workers = max(1, int(workers * _MAX_DRAINED_SHARE))

    def select_for_gang(
        self,
        waiting: WaitingStep,
        eligible: list[TrackedWorker],
        is_covered: Callable[[TrackedWorker], bool],
    ) -> GangReservation | None:
        """Selects workers for a gang that can't start yet.

        The workers that were reserved for it are kept if it fits there soon.
        Otherwise workers are selected on which it fits now, or else those on
        which it fits soon, once less urgent runs that can resume elsewhere are
        preempted. If there are none, it has to wait for other runs to end, and
        the workers on which it will fit are selected, if the ends of these runs
        tell when. A gang that may not reserve workers gets those that are free
        now, if it fits.

        Args:
            waiting: The gang.
            eligible: The workers that may run it.
            is_covered: Whether a permit is valid or has been requested.

        Returns:
            None if no selection helps now.
        """
        needed = waiting.execution.step.count
        earlier = self._earlier_holds.of_step(waiting.execution.key)
        is_paused = earlier is not None and earlier.is_pause
        if is_paused or self._reservable_workers <= 0:
            free = rank_workers(
                waiting, eligible, self._free_capacity.of_worker
            )
            selected = first_that_fit(free, needed)
            if not selected:
                return None
            return GangReservation(selected, self._now, is_held=False)
        kept = earlier.workers if earlier else ()
        # Runs may end later than projected, and a stop loses work, so that
        # workers on which it fits now come first.
        selected = self._select_kept(
            waiting, eligible, kept
        ) or self._select_free(waiting, eligible, kept, is_covered)
        ranked: RankedWorkers = []
        if not selected:
            ranked = self._rank_by_preference(
                waiting,
                eligible,
                lambda worker_id: self._free_after_preemption(
                    waiting, worker_id
                ),
                kept,
                is_covered,
            )
            selected = self._unless_too_costly(
                waiting, first_that_fit(ranked, needed)
            )
        if selected:
            return GangReservation(
                selected, self._now + self._seconds_to_start(waiting, selected)
            )
        if waiting.capacity_when_empty(eligible) < needed:
            return None
        return self._select_to_drain(
            waiting,
            eligible,
            lambda worker: self._preference(worker, kept, is_covered),
            earlier,
        )

    def reserve(
        self, waiting: WaitingStep, reservation: GangReservation
    ) -> None:
        """Keeps workers free for a gang.

        Later steps use only what it leaves free, or end before it starts. A
        gang that fits soon may start at any moment, and leaves them nothing.
        """
        if not reservation.is_held:
            return
        self._reservable_workers -= len(reservation.workers)
        if not reservation.fits_soon:
            self._drainable_workers -= len(reservation.workers)
        hold = self._earlier_holds.continued(
            waiting.execution.key,
            [worker.record.worker_id for _, worker in reservation.workers],
            reservation.starts_at,
        )
        self._plan.reservations[waiting.execution.key] = hold
        until = min(hold.starts_by, reservation.starts_at)
        needed = waiting.execution.step.count
        for copies, worker in reservation.workers:
            worker_id = worker.record.worker_id
            taken = min(copies, needed)
            needed -= taken
            spare = Resources()
            if reservation.fits_soon:
                self._preempt(waiting, worker_id, taken)
            else:
                free = self._drains.free_at(worker_id, reservation.starts_at)
                spare = free.minus(waiting.execution.resources.times(taken))
            self._free_capacity.hold(
                worker_id,
                until,
                spare,
                may_start_sooner=reservation.fits_soon,
            )

    def preempt_for_tasks(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        unplaced: int,
    ) -> int:
        """Preempts less urgent runs for tasks that could not be placed.

        Returns:
            How many of the tasks wait for runs to be stopped or to end soon,
            and not just for a permit.
        """
        resources = waiting.execution.resources
        awaiting_ends = 0
        for worker in eligible:
            if unplaced <= 0:
                break
            worker_id = worker.record.worker_id
            free = self._free_after_preemption(waiting, worker_id)
            if not resources.fits(free):
                continue
            victims = self._victims_for(waiting, worker_id, 1)
            lost = sum(victim.lost for victim in victims)
            if lost <= gain_of_start(waiting, 1):
                fits_now = self._free_capacity.copies(worker_id, resources)
                awaiting_ends += not fits_now
                self._allocate_with_preemption(waiting, worker_id, 1)
                unplaced -= 1
        return awaiting_ends

    def _seconds_to_start(
        self, waiting: WaitingStep, selected: RankedWorkers
    ) -> float:
        """Returns how long a gang that fits soon should still wait."""
        policy = waiting.queue.permits
        naming_seconds = policy.each_seconds * len(selected) if policy else 0
        return self._seconds_worth_waiting(waiting) + naming_seconds

    def _seconds_worth_waiting(self, waiting: WaitingStep) -> float:
        """Returns how soon a run has to end so that it is waited for."""
        policy = waiting.queue.permits
        request_seconds = policy.decide_seconds if policy else 0
        return max(request_seconds, _ENDING_SOON_SECONDS)

    def _select_kept(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        kept: tuple[str, ...],
    ) -> RankedWorkers:
        """Selects workers kept from the last round if a gang fits there soon."""
        if not kept:
            return []
        own = [worker for worker in eligible if worker.record.worker_id in kept]
        ranked = rank_workers(
            waiting,
            own,
            lambda worker_id: self._free_after_preemption(waiting, worker_id),
        )
        return self._unless_too_costly(
            waiting, first_that_fit(ranked, waiting.execution.step.count)
        )

    def _unless_too_costly(
        self, waiting: WaitingStep, selected: RankedWorkers
    ) -> RankedWorkers:
        """Returns the workers, or none if stops there lose more than is gained.

        A gang counts as a whole, as do the runs stopped for it.
        """
        needed = waiting.execution.step.count
        lost: float = 0
        for copies, worker in selected:
            victims = self._victims_for(
                waiting, worker.record.worker_id, min(copies, needed)
            )
            lost += sum(victim.lost for victim in victims)
            needed -= copies
        if lost > gain_of_start(waiting, waiting.execution.step.count):
            return []
        return selected

    def _victims_for(
        self, waiting: WaitingStep, worker_id: str, copies: int
    ) -> list[Victim]:
        """Returns the runs to stop so that some tasks of a step fit."""
        return cheapest_victims(
            self._gain(waiting, worker_id).victims,
            waiting.execution.resources.times(copies),
            self._free_soon(waiting, worker_id),
        )

    def _select_free(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        kept: tuple[str, ...],
        is_covered: Callable[[TrackedWorker], bool],
    ) -> RankedWorkers:
        """Selects workers on which a gang fits now, except those of others."""
        own = [
            worker
            for worker in eligible
            if worker.record.worker_id in kept
            or worker.record.worker_id not in self._earlier_holds.workers
        ]
        ranked = self._rank_by_preference(
            waiting, own, self._free_capacity.of_worker, kept, is_covered
        )
        return first_that_fit(ranked, waiting.execution.step.count)

    def _rank_by_preference(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        free_resources: Callable[[str], Resources],
        kept: tuple[str, ...],
        is_covered: Callable[[TrackedWorker], bool],
    ) -> RankedWorkers:
        """Returns how many tasks fit on each worker, the preferred ones first."""
        ranked = rank_workers(waiting, eligible, free_resources)
        ranked.sort(
            key=lambda row: self._preference(row[1], kept, is_covered),
            reverse=True,
        )
        return ranked

    def _preference(
        self,
        worker: TrackedWorker,
        kept: tuple[str, ...],
        is_covered: Callable[[TrackedWorker], bool],
    ) -> int:
        """Returns a higher number for a worker that is to be taken earlier.

        A gang keeps its workers from round to round, and leaves those of other
        gangs to them as long as it fits elsewhere; otherwise gangs would take
        free resources from each other and none would start.
        """
        worker_id = worker.record.worker_id
        if worker_id in kept:
            return _KEPT
        if worker_id in self._earlier_holds.workers:
            return _RESERVED_FOR_OTHERS
        return _COVERED if is_covered(worker) else _UNCOVERED

    def _select_to_drain(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        preference: Callable[[TrackedWorker], int],
        earlier: GangHold | None,
    ) -> GangReservation | None:
        """Selects workers to keep for a gang until the runs there have ended.

        The first gang of a round may take as many as it needs, later ones
        only while a small share of the workers is not taken.
        """
        if self._drainable_workers <= 0:
            return None
        drain = self._drains.select(waiting, eligible, preference, earlier)
        if drain is None:
            return None
        return GangReservation(drain.workers, drain.starts_at, fits_soon=False)

    def _ends_soon(self, waiting: WaitingStep, ends_at: float) -> bool:
        """Whether the end of a run is waited for, rather than preempting it.

        The step could not start earlier if the run was preempted, or while
        permits are requested for it.
        """
        remaining = ends_at - self._now
        latest = self._seconds_worth_waiting(waiting)
        return -_OVERDUE_SECONDS <= remaining <= latest

    def _free_soon(self, waiting: WaitingStep, worker_id: str) -> Resources:
        """Returns the free resources once runs that end soon have ended."""
        gain = self._gain(waiting, worker_id)
        return self._free_capacity.of_worker(worker_id).plus(gain.ending)

    def _free_after_preemption(
        self, waiting: WaitingStep, worker_id: str
    ) -> Resources:
        """Returns the free resources after preempting all runs behind it."""
        gain = self._gain(waiting, worker_id)
        return self._free_capacity.of_worker(worker_id).plus(gain.most)

    def _gain(self, waiting: WaitingStep, worker_id: str) -> _Gain:
        """Returns what a worker can release to a step; cached.

        One that is held for an earlier gang releases nothing to it.
        """
        if self._free_capacity.is_held(worker_id):
            return _Gain(Resources(), Resources(), [])
        cached = self._cached_gains.setdefault(worker_id, {})
        may_stop = needs_stops(waiting)
        only_of = waiting.job.tenant if waiting.over_share else ''
        key = (waiting.position, waiting.queue.name, may_stop, only_of)
        gain = cached.get(key)
        if gain is None:
            gain = self._compute_gain(waiting, worker_id, may_stop=may_stop)
            cached[key] = gain
        return gain

    def _compute_gain(
        self, waiting: WaitingStep, worker_id: str, *, may_stop: bool
    ) -> _Gain:
        candidates = self._candidates.of_worker(worker_id)
        ending = candidates.releasing
        for ends_at, resources in candidates.ending:
            if self._ends_soon(waiting, ends_at):
                ending = ending.plus(resources)
        victims = self._victims(waiting, worker_id) if may_stop else []
        most = ending
        for victim in victims:
            most = most.plus(victim.execution.resources)
        return _Gain(ending, most, victims)

    def _victims(self, waiting: WaitingStep, worker_id: str) -> list[Victim]:
        """Returns the runs that a step may preempt, the least urgent first.

        Of equally urgent ones the largest come first, as fewer are stopped.

        They are less urgent and behind the step in the order of placement;
        otherwise they would be placed again before it. Runs that end soon are
        left to end.
        """
        ranks = [
            (self._rank_of(victim.execution), victim)
            for victim in self._candidates.of_worker(worker_id).victims
            if not self._ends_soon(waiting, victim.ends_at)
        ]
        behind = [
            (rank.position, victim.lost, victim)
            for rank, victim in ranks
            if rank.position > waiting.position
            and rank.position[1] > waiting.queue.urgency
            and may_be_stopped_for(waiting, rank, victim)
        ]
        behind.sort(key=lambda row: row[:2], reverse=True)
        return [victim for _, _, victim in behind]

    def _allocate_with_preemption(
        self, waiting: WaitingStep, worker_id: str, copies: int
    ) -> None:
        """Allocates resources to the tasks, preempting runs as needed."""
        self._preempt(waiting, worker_id, copies)
        self._free_capacity.allocate(
            worker_id, waiting.execution.resources, copies
        )

    def _preempt(
        self, waiting: WaitingStep, worker_id: str, copies: int
    ) -> None:
        """Stops the runs in the way of some tasks."""
        for victim in self._victims_for(waiting, worker_id, copies):
            self._candidates.of_worker(worker_id).victims.remove(victim)
            self._plan.preempted.append(
                Preemption(
                    victim.task,
                    victim.run,
                    worker_id,
                    victim.lost,
                    waiting.queue.name,
                )
            )
        self._cached_gains.pop(worker_id, None)
