"""Plans the permit requests of one placement round."""

from collections.abc import Iterable, Sequence

from mulberryhitch.dispatch.permits.manager import PermitManager, PermitRequest
from mulberryhitch.dispatch.permits.selection import (
    PermitWorkerSelector,
    select_to_renew,
)
from mulberryhitch.dispatch.placement.free_capacity import (
    FreeCapacity,
    copies_that_fit,
)
from mulberryhitch.dispatch.placement.plans import Plan, WaitingStep
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker

# Clients that renewals leave to steps that can use their permits at once.
_KEPT_IDLE_SHARE = 0.125


class PermitPlanner:
    """Uses the permits of the waiting steps, and plans requests for more.

    Args:
        permit_manager: The permits.
        free_capacity: Free resources of each worker.
        plan: Receives the requests.
        valid_at: Permits that expire earlier are not used; seconds on the local
            clock.
    """

    def __init__(
        self,
        permit_manager: PermitManager,
        free_capacity: FreeCapacity,
        plan: Plan,
        valid_at: float,
    ) -> None:
        """Initialises the planner; each idle client can send one request."""
        self._permit_manager = permit_manager
        self._free_capacity = free_capacity
        self._plan = plan
        self._valid_at = valid_at
        self._requests_left = permit_manager.idle_clients()
        self._kept_idle = permit_manager.client_count * _KEPT_IDLE_SHARE

    def request_for_step(self, waiting: WaitingStep) -> None:
        """Requests the permits that a step needs, if it may send a request."""
        policy = waiting.queue.permits
        if policy is None or waiting.permits is None:
            return
        if waiting.permits.request_pending or self._requests_left <= 0:
            return
        selector = PermitWorkerSelector(
            waiting,
            waiting.permits,
            self._free_capacity,
            self._permit_manager.allowed_share(waiting.queue.name),
            self._valid_at + policy.decide_seconds,
        )
        worker_ids = selector.select()
        if worker_ids:
            self.request(waiting, worker_ids)

    def request(
        self,
        waiting: WaitingStep,
        worker_ids: Sequence[str],
        *,
        ahead: bool = False,
    ) -> bool:
        """Requests permits for some workers; returns whether that is possible.

        A step has at most one request; a new one replaces that of this round.

        Args:
            waiting: The step.
            worker_ids: The workers.
            ahead: Whether the step can't use the permits yet.
        """
        policy = waiting.queue.permits
        if waiting.permits is None or policy is None:
            return False
        planned = self._plan.permit_requests
        if planned and planned[-1].step == waiting.execution.key:
            planned.pop()
            self._requests_left += 1
        if waiting.permits.request_pending or self._requests_left <= 0:
            return False
        self._requests_left -= 1
        planned.append(
            PermitRequest(
                waiting.execution.key,
                tuple(worker_ids),
                policy,
                waiting.sort_key,
                waiting.queue.name,
                ahead,
            ),
        )
        return True

    def renew_for_gang(self, waiting: WaitingStep) -> None:
        """Renews the permits of a gang that could not be placed.

        So it can start once its workers are free, rather than hold them while
        it asks. Only clients that are not needed otherwise are used.
        """
        policy = waiting.queue.permits
        if policy is None or waiting.permits is None:
            return
        if self._requests_left <= self._kept_idle:
            return
        key = waiting.execution.key
        if any(planned.step == key for planned in self._plan.permit_requests):
            return
        worker_ids = select_to_renew(
            waiting,
            waiting.permits,
            policy,
            self._free_capacity.workers,
            self._valid_at,
        )
        if worker_ids:
            self.request(waiting, worker_ids, ahead=True)

    def ticket(self, waiting: WaitingStep, worker: TrackedWorker) -> str | None:
        """Returns the ticket to present; None if there is no valid permit."""
        if waiting.permits is None:
            return ''
        record = worker.record
        permit = waiting.permits.valid_permit(
            record.worker_id, record.born, self._valid_at
        )
        return permit.ticket if permit else None

    def is_covered(self, waiting: WaitingStep, worker: TrackedWorker) -> bool:
        """Whether a permit is valid for as long as the next request takes."""
        if waiting.permits is None or waiting.queue.permits is None:
            return True
        return waiting.permits.covers(
            worker.record.worker_id,
            worker.record.born,
            self._valid_at + waiting.queue.permits.decide_seconds,
        )

    def blocking_reason(self, waiting: WaitingStep) -> str:
        """Returns what keeps a step from a permit that it could use."""
        if waiting.permits is not None and waiting.permits.request_pending:
            return 'permit pending'
        return 'permit' if self._requests_left > 0 else 'permit client'

    def promise_requested(self, waiting: WaitingStep, tasks: int) -> None:
        """Promises the tasks room on the workers that permits are requested for.

        Otherwise all waiting steps would request permits for the same few free
        workers, and most of these permits would expire unused.
        """
        resources = waiting.execution.resources
        for worker_id in self._requested_workers(waiting):
            if tasks <= 0:
                return
            if worker_id not in self._free_capacity.workers:
                continue
            copies = copies_that_fit(
                resources,
                self._free_capacity.unpromised(worker_id),
                min(waiting.maximum_per_worker, tasks),
            )
            self._free_capacity.promise(worker_id, resources, copies)
            tasks -= copies

    def _requested_workers(self, waiting: WaitingStep) -> Iterable[str]:
        """Returns the workers named in a step's pending or planned request."""
        if waiting.permits is not None and waiting.permits.request_pending:
            return waiting.permits.requested
        newest = self._plan.permit_requests[-1:]
        if newest and newest[0].step == waiting.execution.key:
            return newest[0].worker_ids
        return ()
