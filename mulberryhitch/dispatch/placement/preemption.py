"""Reserves workers and selects runs to preempt for steps that do not fit."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from mulberryhitch.dispatch.placement.free_capacity import (
    FreeCapacity,
    copies_that_fit,
)
from mulberryhitch.dispatch.placement.gang_holds import (
    GangHold,
    Release,
    may_wait_until,
    workers_of,
)
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
from mulberryhitch.dispatch.placement.projected_start import (
    free_at,
    projected_start,
)
from mulberryhitch.dispatch.placement.step_order import StepRank
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources, StepKey
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

_WorkerCopies = list[tuple[int, TrackedWorker]]
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

    workers: _WorkerCopies
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
        earlier_reservations: The reservations of the last round.
        now: Seconds on the local clock.
        wall_time: Seconds since 1970.
    """

    def __init__(  # noqa: WPS211
        self,
        plan: Plan,
        free_capacity: FreeCapacity,
        candidates: PreemptionCandidates,
        rank_of: Callable[[StepExecution], StepRank],
        earlier_reservations: Mapping[StepKey, GangHold],
        now: float,
        wall_time: float,
    ) -> None:
        """Initialises the planner with no worker reserved."""
        self._now = now
        self._wall_time = wall_time
        self._rank_of = rank_of
        self._earlier_reservations = earlier_reservations
        self._earlier_reserved = workers_of(earlier_reservations.values())
        self._cached_gains: dict[str, dict[_GainKey, _Gain]] = {}
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
        earlier = self._current_hold(waiting)
        is_paused = earlier is not None and earlier.is_pause
        if is_paused or self._reservable_workers <= 0:
            free = self._rank(waiting, eligible, self._free_capacity.of_worker)
            selected = _first_that_fit(free, needed)
            if not selected:
                return None
            return GangReservation(selected, self._now, is_held=False)
        kept = earlier.workers if earlier else ()
        # Runs may end later than projected, and a stop loses work, so that
        # workers on which it fits now come first.
        selected = self._select_kept(
            waiting, eligible, kept
        ) or self._select_free(waiting, eligible, kept, is_covered)
        ranked: _WorkerCopies = []
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
                waiting, _first_that_fit(ranked, needed)
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
        until = self._record_hold(waiting, reservation)
        needed = waiting.execution.step.count
        for copies, worker in reservation.workers:
            worker_id = worker.record.worker_id
            taken = min(copies, needed)
            needed -= taken
            spare = Resources()
            if reservation.fits_soon:
                self._preempt(waiting, worker_id, taken)
            else:
                free = self._free_at(worker_id, reservation.starts_at)
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

    def pause_of(self, waiting: WaitingStep) -> GangHold | None:
        """Returns the pause in which a gang may keep nothing, if it is in one."""
        hold = self._current_hold(waiting)
        return hold if hold is not None and hold.is_pause else None

    def _current_hold(self, waiting: WaitingStep) -> GangHold | None:
        earlier = self._earlier_reservations.get(waiting.execution.key)
        return earlier.at(self._now) if earlier else None

    def _record_hold(
        self, waiting: WaitingStep, reservation: GangReservation
    ) -> float:
        """Records the reserved workers; returns until when they are held.

        A hold that goes on keeps its times, so that it ends when it was to.
        """
        hold = GangHold(
            tuple(worker.record.worker_id for _, worker in reservation.workers),
            self._now,
            reservation.starts_at,
        )
        earlier = self._current_hold(waiting)
        if earlier is not None:
            hold = replace(
                hold, began_at=earlier.began_at, starts_by=earlier.starts_by
            )
        self._plan.reservations[waiting.execution.key] = hold
        return min(hold.starts_by, reservation.starts_at)

    def _seconds_to_start(
        self, waiting: WaitingStep, selected: _WorkerCopies
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
    ) -> _WorkerCopies:
        """Selects workers kept from the last round if a gang fits there soon."""
        if not kept:
            return []
        own = [worker for worker in eligible if worker.record.worker_id in kept]
        ranked = self._rank(
            waiting,
            own,
            lambda worker_id: self._free_after_preemption(waiting, worker_id),
        )
        return self._unless_too_costly(
            waiting, _first_that_fit(ranked, waiting.execution.step.count)
        )

    def _unless_too_costly(
        self, waiting: WaitingStep, selected: _WorkerCopies
    ) -> _WorkerCopies:
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
    ) -> _WorkerCopies:
        """Selects workers on which a gang fits now, except those of others."""
        own = [
            worker
            for worker in eligible
            if worker.record.worker_id in kept
            or worker.record.worker_id not in self._earlier_reserved
        ]
        ranked = self._rank_by_preference(
            waiting, own, self._free_capacity.of_worker, kept, is_covered
        )
        return _first_that_fit(ranked, waiting.execution.step.count)

    def _rank_by_preference(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        free_resources: Callable[[str], Resources],
        kept: tuple[str, ...],
        is_covered: Callable[[TrackedWorker], bool],
    ) -> _WorkerCopies:
        """Returns how many tasks fit on each worker, the preferred ones first."""
        ranked = self._rank(waiting, eligible, free_resources)
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
        if worker_id in self._earlier_reserved:
            return _RESERVED_FOR_OTHERS
        return _COVERED if is_covered(worker) else _UNCOVERED

    def _rank(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        free_resources: Callable[[str], Resources],
    ) -> _WorkerCopies:
        """Returns how many tasks fit on each worker, the most first."""
        resources = waiting.execution.resources
        limit = waiting.maximum_per_worker
        ranked = [
            (
                copies_that_fit(
                    resources, free_resources(worker.record.worker_id), limit
                ),
                worker,
            )
            for worker in eligible
        ]
        ranked.sort(
            key=lambda row: (row[0], row[1].record.worker_id), reverse=True
        )
        return ranked

    def _select_to_drain(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        preference: Callable[[TrackedWorker], int],
    ) -> GangReservation | None:
        """Selects workers to keep for a gang until the runs there have ended.

        The first gang of a round may take as many as it needs, later ones
        only while a small share of the workers is not taken. Returns None if
        the runs end too far ahead. If nothing tells when, only what is held
        already is held on.
        """
        if self._drainable_workers <= 0:
            return None
        unheld = [
            worker
            for worker in eligible
            if not self._free_capacity.is_held(worker.record.worker_id)
        ]
        starts_at = projected_start(
            waiting, unheld, self._free_capacity, self._releases, self._now
        )
        if starts_at == math.inf:
            return self._keep_hold(waiting, unheld)
        waited = self._wall_time - waiting.due
        if not may_wait_until(starts_at, self._now, waited):
            return None
        ranked = self._rank(
            waiting,
            unheld,
            lambda worker_id: self._free_at(worker_id, starts_at),
        )
        ranked.sort(key=lambda row: preference(row[1]), reverse=True)
        selected = _first_that_fit(ranked, waiting.execution.step.count)
        return GangReservation(selected, starts_at, fits_soon=False)

    def _keep_hold(
        self, waiting: WaitingStep, unheld: Iterable[TrackedWorker]
    ) -> GangReservation | None:
        """Holds the workers of the last round on for a moment.

        Only if the gang will fit there once all runs have ended that do end.
        """
        earlier = self._current_hold(waiting)
        if earlier is None or not earlier.goes_on_blindly(self._now):
            return None
        kept = [
            worker
            for worker in unheld
            if worker.record.worker_id in earlier.workers
        ]
        ranked = self._rank(waiting, kept, self._free_without_ending_runs)
        selected = _first_that_fit(ranked, waiting.execution.step.count)
        if not selected:
            return None
        return GangReservation(selected, earlier.starts_by, fits_soon=False)

    def _free_without_ending_runs(self, worker_id: str) -> Resources:
        lasting = self._candidates.of_worker(worker_id).lasting
        return self._free_capacity.workers[worker_id].capacity.minus(lasting)

    def _free_at(self, worker_id: str, time: float) -> Resources:
        """Returns what should be free on a worker by a time."""
        return free_at(
            self._free_capacity.of_worker(worker_id),
            self._releases(worker_id),
            time,
        )

    def _releases(self, worker_id: str) -> Sequence[Release]:
        return self._candidates.of_worker(worker_id).releases

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


def _first_that_fit(ranked: _WorkerCopies, needed: int) -> _WorkerCopies:
    """Returns the first workers on which a gang fits, or none."""
    taken: _WorkerCopies = []
    for copies, worker in ranked:
        if needed <= 0:
            break
        if copies:
            taken.append((copies, worker))
            needed -= copies
    return taken if needed <= 0 else []
