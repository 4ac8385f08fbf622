"""Selects the workers for which permits are requested.

A request takes longer with each worker that it names, and a permit soon
expires. So a request names only as many workers as the waiting tasks are
expected to need, starting with those known to be allowed that have free
resources, and with those of the speed that the step should get. A gang needs
many workers at once, so it first requests permits for
as many as one request may name, or more if it needs them, to learn which are
allowed; later requests are made for the workers that are reserved for it, or
for free ones if the allowed ones are busy. While it waits, the permits for all
allowed workers are renewed through clients that are idle.
"""

from collections.abc import Mapping

from mulberryhitch.dispatch.permits.manager import (
    MAX_WORKERS_PER_REQUEST,
    StepPermits,
)
from mulberryhitch.dispatch.placement.free_capacity import (
    FreeCapacity,
    copies_that_fit,
)
from mulberryhitch.dispatch.placement.plans import MOST_URGENT, WaitingStep
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import PermitPolicy

_SPARE_FACTOR = 1.5
# The more workers a gang may use, the sooner enough of them are free at once.
_GANG_CHOICE_FACTOR = 6
_MIN_SHARE = 0.1
# Naming this many takes less time than a second request.
_MIN_NEW_WORKERS = 20

_CopiesById = list[tuple[int, str]]


class PermitWorkerSelector:
    """Selects the workers to name in a step's permit request.

    Args:
        waiting: The step.
        step_permits: Its permits.
        free_capacity: Free resources of each worker.
        allowed_share: Observed share of workers allowed to such steps.
        valid_at: Permits that expire earlier are ignored; seconds on the local
            clock.
    """

    def __init__(
        self,
        waiting: WaitingStep,
        step_permits: StepPermits,
        free_capacity: FreeCapacity,
        allowed_share: float,
        valid_at: float,
    ) -> None:
        """Initialises the selector; all waiting tasks count as missing."""
        self._waiting = waiting
        self._step_permits = step_permits
        self._free_capacity = free_capacity
        self._allowed_share = max(allowed_share, _MIN_SHARE)
        self._valid_at = valid_at
        self._resources = waiting.execution.resources
        self._limit = waiting.execution.step.spread_limit
        self._missing: float = waiting.tasks_left

    def select(self) -> list[str]:
        """Returns the worker ids to request; empty if a request cannot help."""
        if self._waiting.execution.step.gang:
            return self._select_for_gang()
        expired = self._count_allowed()
        if self._missing <= 0:
            return []
        chosen = self._choose(expired, self._missing * _SPARE_FACTOR)
        return chosen or self._select_ahead()

    def _select_for_gang(self) -> list[str]:
        """Selects workers to learn which ones a gang is allowed on.

        Once the allowed workers would do if they were idle, it selects free
        ones that were not asked for yet, provided that the gang fits if all of
        them allow it.
        """
        needed = self._waiting.tasks_left
        lacking = needed * _GANG_CHOICE_FACTOR - self._capacity_when_empty()
        if lacking > 0:
            return self._select_new(lacking, MAX_WORKERS_PER_REQUEST)
        missing = needed - self._free_on_allowed()
        if missing <= 0:
            return []
        self._missing = missing
        chosen = self._choose([], missing * _SPARE_FACTOR, _MIN_NEW_WORKERS)
        fits = sum(map(self._copies_now, chosen)) >= missing
        return chosen if fits else []

    def _free_on_allowed(self) -> int:
        """Returns how many tasks fit now on the workers known to be allowed."""
        return sum(
            self._copies_now(worker_id)
            for worker_id in self._step_permits.allowed
            if worker_id in self._free_capacity.workers
        )

    def _copies_now(self, worker_id: str) -> int:
        return copies_that_fit(
            self._resources,
            self._free_capacity.unpromised(worker_id),
            self._waiting.maximum_per_worker,
        )

    def _count_allowed(self) -> _CopiesById:
        """Subtracts the tasks that valid permits cover from the missing ones.

        Returns:
            Tasks that fit and worker id, for each allowed worker without a
            valid permit; those with the most tasks first.
        """
        expired: _CopiesById = []
        for worker_id in self._step_permits.allowed:
            worker = self._free_capacity.workers.get(worker_id)
            if worker is None or not self._waiting.is_eligible(worker):
                continue
            copies = copies_that_fit(
                self._resources,
                self._free_capacity.unpromised(worker_id),
                self._limit,
            )
            if not copies:
                continue
            if self._step_permits.valid_permit(
                worker_id, worker.record.born, self._valid_at
            ):
                self._missing -= copies
            else:
                expired.append((copies, worker_id))
        expired.sort(reverse=True)
        return expired

    def _choose(
        self, expired: _CopiesById, enough: float, at_least: int = 0
    ) -> list[str]:
        """Selects free workers until enough tasks are expected to fit.

        Args:
            expired: Allowed workers without a valid permit, taken first.
            enough: Number of tasks.
            at_least: Number of new workers to select even if fewer would do.
        """
        chosen: list[str] = []
        expected: float = 0
        for known_copies, known_id in expired:
            if expected >= enough:
                return chosen
            chosen.append(known_id)
            expected += known_copies
        for worker in self._free_capacity.emptiest_first(
            self._waiting.queue.service,
            self._resources.processors,
            self._waiting.speed_order,
        ):
            if expected >= enough and len(chosen) >= at_least:
                break
            worker_id = worker.record.worker_id
            copies = copies_that_fit(
                self._resources,
                self._free_capacity.unpromised(worker_id),
                self._limit,
            )
            if copies and self._is_new(worker):
                chosen.append(worker_id)
                # One answer covers all tasks on a worker, so its room for
                # more than are missing counts for nothing.
                usable = min(copies, self._missing)
                expected += usable * self._allowed_share
        return chosen

    def _capacity_when_empty(self) -> int:
        """Returns how many tasks would fit on the allowed workers when idle."""
        workers = map(
            self._free_capacity.workers.get, self._step_permits.allowed
        )
        return self._waiting.capacity_when_empty(
            worker
            for worker in workers
            if worker is not None and self._waiting.is_eligible(worker)
        )

    def _is_new(self, worker: TrackedWorker) -> bool:
        """Whether a worker is eligible, and neither allowed nor denied yet."""
        worker_id = worker.record.worker_id
        if (
            worker_id in self._step_permits.denied
            or worker_id in self._step_permits.allowed
        ):
            return False
        return self._waiting.is_eligible(worker)

    def _select_ahead(self) -> list[str]:
        """Selects workers in advance, while a step waits for free resources.

        Workers are selected only if the queue has the highest urgency.
        """
        if self._waiting.queue.urgency != MOST_URGENT:
            return []
        missing = self._waiting.tasks_left * _SPARE_FACTOR
        chosen = self._select_new(missing - self._capacity_when_empty(), 0)
        return chosen[:MAX_WORKERS_PER_REQUEST]

    def _select_new(self, missing: float, at_least: int) -> list[str]:
        """Selects workers not asked for yet, whether or not they are free.

        Args:
            missing: Number of tasks that should fit when they are empty.
            at_least: Number of workers to select even if fewer would do.
        """
        limit = self._waiting.maximum_per_worker
        chosen: list[str] = []
        for worker in self._free_capacity.emptiest_first(
            self._waiting.queue.service, speed_order=self._waiting.speed_order
        ):
            if missing <= 0 and len(chosen) >= at_least:
                break
            copies = copies_that_fit(self._resources, worker.capacity, limit)
            if copies and self._is_new(worker):
                chosen.append(worker.record.worker_id)
                missing -= copies * self._allowed_share
        return chosen


def select_to_renew(
    waiting: WaitingStep,
    step_permits: StepPermits,
    policy: PermitPolicy,
    workers: Mapping[str, TrackedWorker],
    valid_at: float,
) -> list[str]:
    """Selects allowed workers whose permits would expire during a request.

    A request takes about as long for half of the workers as for all, so none
    are selected before those of half of them would expire.

    Args:
        waiting: The gang.
        step_permits: Its permits.
        policy: How long a request takes.
        workers: The workers that may receive new runs, by id.
        valid_at: Permits that expire earlier can't be used now; seconds on the
            local clock.
    """
    eligible = [
        worker
        for worker in map(workers.get, step_permits.allowed)
        if worker is not None and waiting.is_eligible(worker)
    ]
    asked = min(len(eligible), MAX_WORKERS_PER_REQUEST)
    answered_at = valid_at + policy.decide_seconds
    answered_at += policy.each_seconds * asked
    expiring = [
        worker.record.worker_id
        for worker in eligible
        if not step_permits.covers(
            worker.record.worker_id, worker.record.born, answered_at
        )
    ]
    if len(expiring) * 2 < len(eligible):
        return []
    return expiring[:MAX_WORKERS_PER_REQUEST]
