"""Selects workers on which a gang waits for runs to end."""

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from mulberryhitch.dispatch.placement.free_capacity import FreeCapacity
from mulberryhitch.dispatch.placement.gang_holds import (
    GangHold,
    Release,
    may_wait_until,
)
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.placement.preemption_candidates import (
    PreemptionCandidates,
)
from mulberryhitch.dispatch.placement.projected_start import (
    free_at,
    projected_start,
)
from mulberryhitch.dispatch.placement.worker_ranking import (
    RankedWorkers,
    first_that_fit,
    rank_workers,
)
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources


@dataclass(frozen=True, slots=True)
class Drain:
    """Workers that get nothing new that would delay a gang.

    Attributes:
        workers: How many of its tasks will fit, and the worker.
        starts_at: When it is expected to start, seconds on the local clock.
    """

    workers: RankedWorkers
    starts_at: float


class GangDrains:
    """Finds when and where a gang fits once runs have ended.

    Args:
        free_capacity: Free resources of each worker.
        candidates: The runs of each worker.
        now: Seconds on the local clock.
        wall_time: Seconds since 1970.
    """

    def __init__(
        self,
        free_capacity: FreeCapacity,
        candidates: PreemptionCandidates,
        now: float,
        wall_time: float,
    ) -> None:
        """Initialises it for one round."""
        self._free_capacity = free_capacity
        self._candidates = candidates
        self._now = now
        self._wall_time = wall_time

    def select(
        self,
        waiting: WaitingStep,
        eligible: Iterable[TrackedWorker],
        preference: Callable[[TrackedWorker], int],
        earlier: GangHold | None,
    ) -> Drain | None:
        """Selects the workers on which a gang is expected to start first.

        Args:
            waiting: The gang.
            eligible: The workers that may run it.
            preference: Returns a higher number for a worker that is to be
                taken earlier.
            earlier: What has been held for it so far.

        Returns:
            None if the runs end too far ahead. If nothing tells when, only
            what is held already is held on.
        """
        unheld = [
            worker
            for worker in eligible
            if not self._free_capacity.is_held(worker.record.worker_id)
        ]
        starts_at = projected_start(
            waiting, unheld, self._free_capacity, self._releases, self._now
        )
        if starts_at == math.inf:
            return self._hold_on(waiting, unheld, earlier)
        waited = self._wall_time - waiting.due
        if not may_wait_until(starts_at, self._now, waited):
            return None
        ranked = rank_workers(
            waiting,
            unheld,
            lambda worker_id: self.free_at(worker_id, starts_at),
        )
        ranked.sort(key=lambda row: preference(row[1]), reverse=True)
        selected = first_that_fit(ranked, waiting.execution.step.count)
        return Drain(selected, starts_at)

    def free_at(self, worker_id: str, time: float) -> Resources:
        """Returns what should be free on a worker by a time."""
        return free_at(
            self._free_capacity.of_worker(worker_id),
            self._releases(worker_id),
            time,
        )

    def _hold_on(
        self,
        waiting: WaitingStep,
        unheld: Iterable[TrackedWorker],
        earlier: GangHold | None,
    ) -> Drain | None:
        """Holds the workers of the last round on for a moment.

        Only if the gang will fit there once all runs have ended that do end.
        """
        if earlier is None or not earlier.goes_on_blindly(self._now):
            return None
        kept = [
            worker
            for worker in unheld
            if worker.record.worker_id in earlier.workers
        ]
        ranked = rank_workers(waiting, kept, self._free_without_ending_runs)
        selected = first_that_fit(ranked, waiting.execution.step.count)
        return Drain(selected, earlier.starts_by) if selected else None

    def _free_without_ending_runs(self, worker_id: str) -> Resources:
        lasting = self._candidates.of_worker(worker_id).lasting
        return self._free_capacity.workers[worker_id].capacity.minus(lasting)

    def _releases(self, worker_id: str) -> Sequence[Release]:
        return self._candidates.of_worker(worker_id).releases
