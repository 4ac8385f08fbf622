"""Reserves workers and selects runs to preempt for steps that do not fit."""

from collections.abc import Callable, Iterable

from mulberryhitch.dispatch.free_capacity import FreeCapacity, copies_that_fit
from mulberryhitch.dispatch.plans import Plan, PreemptionCandidates, WaitingStep
from mulberryhitch.dispatch.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources

_MAX_RESERVED_SHARE = 0.5


class PreemptionPlanner:
    """Handles the steps that do not fit in a placement round.

    Args:
        plan: Receives the runs to preempt.
        free_capacity: Free resources of each worker.
        find_candidates: Returns the runs that may be preempted; called on
            first use.
    """

    def __init__(
        self,
        plan: Plan,
        free_capacity: FreeCapacity,
        find_candidates: Callable[[], PreemptionCandidates],
    ) -> None:
        """Initialises the planner with no worker reserved."""
        self._plan = plan
        self._free_capacity = free_capacity
        self._find_candidates = find_candidates
        self._cached_candidates: PreemptionCandidates | None = None
        self._reservable_workers = int(
            len(free_capacity.workers) * _MAX_RESERVED_SHARE
        )

    def reserve_for_gang(
        self, waiting: WaitingStep, eligible: Iterable[TrackedWorker]
    ) -> None:
        """Reserves workers for a gang that does not fit yet.

        The workers that will have the most free resources are reserved, even
        if they are still in use: less urgent runs that can resume elsewhere
        are preempted, other runs are left to end, and no later step is placed
        there in this round. At most half of the workers are reserved. Steps
        that are far behind their objective reserve none.
        """
        if waiting.sort_key[0] > 1:
            return
        resources = waiting.execution.resources
        needed = waiting.execution.step.count
        limit = waiting.execution.step.spread_limit or needed
        maximum_copies = {
            worker.record.worker_id: copies_that_fit(
                resources, worker.capacity, limit
            )
            for worker in eligible
        }
        if sum(maximum_copies.values()) < needed:
            return
        ranked = [
            (
                copies_that_fit(
                    resources, self._free_after_preemption(waiting, worker_id)
                ),
                worker_id,
            )
            for worker_id in maximum_copies
        ]
        ranked.sort(reverse=True)
        for copies, worker_id in ranked:
            if needed <= 0 or self._reservable_workers <= 0:
                return
            self._reservable_workers -= 1
            self._plan.reserved_workers += 1
            kept = min(needed, maximum_copies[worker_id])
            needed -= kept
            self._allocate_with_preemption(
                waiting, worker_id, min(copies, kept)
            )
            self._free_capacity.allocate_all(worker_id)

    def preempt_for_tasks(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        unplaced: int,
    ) -> None:
        """Preempts less urgent runs for tasks that could not be placed."""
        resources = waiting.execution.resources
        for worker in eligible:
            if unplaced <= 0:
                return
            worker_id = worker.record.worker_id
            if (
                copies_that_fit(
                    resources, self._free_after_preemption(waiting, worker_id)
                )
                > 0
            ):
                self._allocate_with_preemption(waiting, worker_id, 1)
                unplaced -= 1

    def _candidates(self) -> PreemptionCandidates:
        if self._cached_candidates is None:
            self._cached_candidates = self._find_candidates()
        return self._cached_candidates

    def _free_after_stops(self, worker_id: str) -> Resources:
        """Returns the free resources after the stops in progress."""
        releasing = self._candidates().releasing.get(worker_id, Resources())
        return self._free_capacity.of_worker(worker_id).plus(releasing)

    def _free_after_preemption(
        self, waiting: WaitingStep, worker_id: str
    ) -> Resources:
        """Returns the free resources after preempting all less urgent runs."""
        free = self._free_after_stops(worker_id)
        for victim in self._candidates().victims.get(worker_id, ()):
            if victim.urgency > waiting.queue.urgency:
                free = free.plus(victim.resources)
        return free

    def _allocate_with_preemption(
        self, waiting: WaitingStep, worker_id: str, copies: int
    ) -> None:
        """Allocates resources to the tasks, preempting runs as needed."""
        needed = waiting.execution.resources.times(copies)
        free = self._free_after_stops(worker_id)
        victims = self._candidates().victims.get(worker_id, [])
        for victim in tuple(victims):
            if needed.fits(free):
                break
            if victim.urgency > waiting.queue.urgency:
                victims.remove(victim)
                free = free.plus(victim.resources)
                self._plan.preempted.append(
                    (victim.task, victim.run, worker_id)
                )
        self._free_capacity.allocate(
            worker_id, waiting.execution.resources, copies
        )
