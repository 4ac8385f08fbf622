"""Decides which waiting units start now, where, and which runs to preempt.

The planner has no side effects: it leaves the job store and workers unchanged.
"""

import math
from collections.abc import Iterable, Mapping

from mulberryhitch.dispatch.permits.manager import PermitManager
from mulberryhitch.dispatch.permits.planning import PermitPlanner
from mulberryhitch.dispatch.placement.free_capacity import FreeCapacity
from mulberryhitch.dispatch.placement.gang_holds import EarlierHolds, StepTimes
from mulberryhitch.dispatch.placement.plans import (
    MOST_URGENT,
    EstimateCache,
    Placement,
    Plan,
    Round,
    WaitingStep,
)
from mulberryhitch.dispatch.placement.preemption import PreemptionPlanner
from mulberryhitch.dispatch.placement.preemption_candidates import (
    PreemptionCandidates,
)
from mulberryhitch.dispatch.placement.speed_order import (
    SpeedOrder,
    SpeedRange,
)
from mulberryhitch.dispatch.placement.step_order import (
    FOREMOST,
    StepOrder,
    StepRank,
)
from mulberryhitch.dispatch.placement.step_selection import StepSelector
from mulberryhitch.dispatch.placement.tenant_caps import TenantCaps
from mulberryhitch.dispatch.placement.tenant_shares import TenantShares
from mulberryhitch.dispatch.placement.worker_choice import (
    WorkerChoice,
    WorkerCopies,
)
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Queue, Resources, StepKey
from mulberryhitch.jobs.state import Job, StepExecution
from mulberryhitch.jobs.store import JobStore

# A job that has waited for so long is not kept out of free workers any more.
_LONG_WAIT_SECONDS = 8.0


class Planner:
    """Plans one placement round.

    Args:
        job_store: The committed state.
        workers: The workers that may receive new runs.
        uncommitted: Resources of placements that are not yet committed, by
            worker id.
        permit_manager: The permits.
        estimates: Objectives and critical paths.
        permit_margin: Minimum remaining validity of a permit, seconds.
        current: The round.
        tenant_caps: The room that the tenants' caps leave.
    """

    def __init__(  # noqa: WPS211
        self,
        job_store: JobStore,
        workers: Iterable[TrackedWorker],
        uncommitted: Mapping[str, Resources],
        permit_manager: PermitManager,
        estimates: EstimateCache,
        permit_margin: float,
        current: Round,
        tenant_caps: TenantCaps,
    ) -> None:
        """Initialises the planner with an empty plan."""
        self._job_store = job_store
        self._round = current
        self._tenant_caps = tenant_caps
        self._earlier_holds = EarlierHolds(
            current.earlier_reservations, current.now
        )
        self._free_capacity = FreeCapacity(
            job_store, workers, uncommitted, self._earlier_holds.workers
        )
        self._speeds = SpeedRange(self._free_capacity.workers.values())
        self._choice = WorkerChoice(
            self._free_capacity, self._earlier_holds.workers
        )
        shares = TenantShares(job_store, self._free_capacity.workers.values())
        self._estimates = estimates
        self._order = StepOrder(estimates, current.wall_time, shares.over)
        self._step_selector = StepSelector(
            self._free_capacity.workers.values(),
            current.number,
            self._is_prepared,
        )
        self._ranks: dict[StepKey, StepRank] = {}
        self._unplaced_gangs: list[WaitingStep] = []
        self.plan = Plan(tenants_over=shares.over)
        self._permit_manager = permit_manager
        self._permits = PermitPlanner(
            permit_manager,
            self._free_capacity,
            self.plan,
            current.now + permit_margin,
        )

    def run(
        self,
        committing_steps: set[StepKey],
        candidates: PreemptionCandidates,
    ) -> Plan:
        """Plans all tasks that can start now.

        Args:
            committing_steps: Steps whose grants are being committed; skipped.
            candidates: The runs that may be preempted.
        """
        preemption = PreemptionPlanner(
            self.plan,
            self._free_capacity,
            candidates,
            self._rank_of,
            self._earlier_holds,
            self._round.now,
            self._round.wall_time,
        )
        waiting_steps = self._waiting_steps(committing_steps)
        selection = self._step_selector.select(waiting_steps, self._tenant_caps)
        for considered in selection.considered:
            self._free_capacity.consider(considered.times)
            waiting = self._tenant_caps.limited(considered)
            if waiting is None:
                selection.capped.append(considered)
                continue
            eligible = self._allowed_workers(waiting)
            if waiting.execution.step.gang:
                self._place_gang(waiting, eligible, preemption)
            else:
                self._place_tasks(waiting, eligible, preemption)
        for waiting in self._unplaced_gangs:
            self._permits.renew_for_gang(waiting)
        self._explain_all(selection.skipped, 'round')
        self._explain_all(selection.unsuited, 'no worker')
        self._explain_all(selection.capped, 'tenant cap')
        self.plan.capped = self._tenant_caps.held_back
        return self.plan

    def _waiting_steps(
        self, committing_steps: set[StepKey]
    ) -> list[WaitingStep]:
        """Returns the steps that the round may place, in their order."""
        found = [
            waiting
            for waiting in map(
                self._waiting_step, self._job_store.ready_steps.values()
            )
            if waiting is not None
            and waiting.execution.key not in committing_steps
        ]
        if self._round.only_urgent:
            found = [waiting for waiting in found if waiting.comes_first]
        found.sort(key=lambda waiting: waiting.sort_key)
        return found

    def _times_of(
        self, execution: StepExecution, queue: Queue, due: float
    ) -> StepTimes:
        """Returns what decides whether a step may use room held for a gang.

        A step that lasts would be kept out until its gang has started, and a
        gang may be late. One that has waited for long gets past a hold if most
        of its service is free.
        """
        step = execution.step
        has_waited = self._round.wall_time - due > _LONG_WAIT_SECONDS
        is_patient = not step.long_running and not (
            has_waited and self._free_capacity.is_mostly_free(queue.service)
        )
        seconds = step.estimate_seconds or math.inf
        if step.long_running:
            seconds = math.inf
        return StepTimes(
            self._round.now, self._round.now + seconds, is_patient=is_patient
        )

    def _is_prepared(self, waiting: WaitingStep) -> bool:
        """Whether a step holds permits or workers, or has asked for permits."""
        if waiting.execution.key in self._round.earlier_reservations:
            return True
        permits = waiting.permits
        return permits is not None and permits.in_use(self._round.now)

    def _waiting_step(self, execution: StepExecution) -> WaitingStep | None:
        job = self._job_store.jobs.get(execution.key.job_id)
        if job is None or not execution.waiting_units:
            return None
        queue = self._job_store.current_queue(job)
        if self._round.only_urgent and queue.urgency != MOST_URGENT:
            return None
        due = job.due_at(execution.key.occurrence)
        if due > self._round.wall_time:
            return None
        permits = None
        if queue.permits is not None:
            permits = self._permit_manager.of_step(execution.key)
        rank = self._order.rank(job, execution, queue)
        return WaitingStep(
            execution,
            job,
            queue,
            rank.key,
            permits,
            rank.spare_seconds,
            rank.over_share,
            self._speed_order(job, execution, queue),
            self._times_of(execution, queue, due),
        )

    def _speed_order(
        self, job: Job, execution: StepExecution, queue: Queue
    ) -> SpeedOrder:
        """Returns which workers a step should get, if speeds differ."""
        if not self._speeds.differ:
            return SpeedOrder.any
        objective, remaining = self._estimates.objective_and_critical_path(
            job, execution, queue
        )
        age = self._round.wall_time - job.due_at(execution.key.occurrence)
        return self._speeds.order_for(
            queue.service,
            urgent=queue.urgency == MOST_URGENT,
            slack=objective - age - remaining,
            remaining=remaining,
        )

    def _rank_of(self, execution: StepExecution) -> StepRank:
        """Returns where a step stands, waiting or not.

        A step of a job that is gone counts as most urgent, so that none of its
        runs is preempted.
        """
        rank = self._ranks.get(execution.key)
        if rank is None:
            rank = FOREMOST
            job = self._job_store.jobs.get(execution.key.job_id)
            if job is not None:
                queue = self._job_store.current_queue(job)
                rank = self._order.rank(job, execution, queue)
            self._ranks[execution.key] = rank
        return rank

    def _allowed_workers(self, waiting: WaitingStep) -> list[TrackedWorker]:
        """Returns the workers that may run a step, even without a valid permit."""
        if waiting.permits is None or waiting.queue.permits is None:
            return self._eligible_workers(waiting)
        self._permits.request_for_step(waiting)
        found = map(self._free_capacity.workers.get, waiting.permits.allowed)
        return [
            worker for worker in found if worker and waiting.is_eligible(worker)
        ]

    def _eligible_workers(self, waiting: WaitingStep) -> list[TrackedWorker]:
        """Returns the workers whose service, size and labels suit a step."""
        workers = self._free_capacity.emptiest_first(
            waiting.queue.service, speed_order=waiting.speed_order
        )
        return [worker for worker in workers if waiting.is_eligible(worker)]

    def _count_startable(
        self, waiting: WaitingStep, eligible: Iterable[TrackedWorker]
    ) -> WorkerCopies:
        """Returns the workers that can start tasks now, and how many each can."""
        resources = waiting.execution.resources
        limit = waiting.execution.step.spread_limit
        counted = []
        for worker in eligible:
            if self._permits.ticket(waiting, worker) is None:
                continue
            copies = self._free_capacity.copies(
                worker.record.worker_id, resources, limit
            )
            if copies:
                counted.append((copies, worker))
        return counted

    def _place(
        self, waiting: WaitingStep, index: int, worker: TrackedWorker
    ) -> None:
        unit = waiting.execution.unit_of(index)
        if unit is None:
            return
        worker_id = worker.record.worker_id
        self._tenant_caps.record_start(waiting)
        self._free_capacity.allocate(worker_id, waiting.execution.resources)
        self.plan.placements.append(
            Placement(
                unit,
                index,
                worker_id,
                self._permits.ticket(waiting, worker) or '',
            )
        )

    def _place_gang(
        self,
        waiting: WaitingStep,
        eligible: list[TrackedWorker],
        preemption: PreemptionPlanner,
    ) -> None:
        eligible = self._choice.candidates_for_gang(waiting, eligible)
        chosen = self._choice.for_gang(
            waiting, self._count_startable(waiting, eligible)
        )
        if chosen is None:
            self._explain(waiting, eligible, waiting.tasks_left)
            self._unplaced_gangs.append(waiting)
            self._reserve_for_gang(waiting, eligible, preemption)
            hold = self.plan.reservations.get(waiting.execution.key)
            if hold is not None and not hold.is_pause:
                self._tenant_caps.keep_for(waiting, hold.starts_by)
            return
        for index, worker in enumerate(chosen):
            self._place(waiting, index, worker)

    def _reserve_for_gang(
        self,
        waiting: WaitingStep,
        eligible: list[TrackedWorker],
        preemption: PreemptionPlanner,
    ) -> None:
        """Reserves workers for a gang, and requests permits for them.

        A permit request takes most of the time that a permit is valid, so the
        permits are requested while the workers are still in use. Workers for
        which no permit can be requested now are not reserved: they would be
        idle until it is.
        """
        pause = self._earlier_holds.pause_of(waiting.execution.key)
        if pause is not None:
            self.plan.reservations[waiting.execution.key] = pause
        reservation = preemption.select_for_gang(
            waiting,
            eligible,
            lambda worker: self._permits.is_covered(waiting, worker),
        )
        if reservation is None:
            return
        uncovered = [
            worker.record.worker_id
            for _, worker in reservation.workers
            if not self._permits.is_covered(waiting, worker)
        ]
        asks = reservation.fits_soon and uncovered
        if asks and not self._permits.request(waiting, uncovered):
            return
        preemption.reserve(waiting, reservation)

    def _place_tasks(
        self,
        waiting: WaitingStep,
        eligible: list[TrackedWorker],
        preemption: PreemptionPlanner,
    ) -> None:
        step = waiting.execution.step
        counted = self._choice.order_for_tasks(
            waiting, self._count_startable(waiting, eligible)
        )
        unplaced = list(waiting.execution.waiting_units)[: waiting.tasks_left]
        on_worker = self._tasks_per_worker(waiting)
        for copies, worker in counted:
            if step.spread_limit:
                placed = on_worker.get(worker.record.worker_id, 0)
                copies = min(copies, step.spread_limit - placed)
            for index in unplaced[: max(0, copies)]:
                self._place(waiting, index, worker)
            unplaced = unplaced[max(0, copies) :]
            if not unplaced:
                return
        self._explain(waiting, eligible, len(unplaced))
        self._permits.promise_requested(waiting, len(unplaced))
        if waiting.queue.urgency == MOST_URGENT:
            preferred = self._choice.preferred(waiting, eligible)
            awaiting_ends = preemption.preempt_for_tasks(
                waiting, preferred, len(unplaced)
            )
            self._tenant_caps.record_start(waiting, awaiting_ends)

    def _blocking_reason(
        self, waiting: WaitingStep, eligible: list[TrackedWorker]
    ) -> str:
        """Returns what a step that could not be placed waits for."""
        if waiting.permits is None:
            return 'room'
        needed = waiting.tasks_left if waiting.execution.step.gang else 1
        if waiting.capacity_when_empty(eligible) >= needed:
            if self._free_copies(waiting, eligible) < needed:
                return 'room'
        return self._permits.blocking_reason(waiting)

    def _free_copies(
        self, waiting: WaitingStep, workers: Iterable[TrackedWorker]
    ) -> int:
        """Returns how many tasks fit now, whether or not permits are valid."""
        return sum(
            self._free_capacity.copies(
                worker.record.worker_id,
                waiting.execution.resources,
                waiting.maximum_per_worker,
            )
            for worker in workers
        )

    def _explain(
        self, waiting: WaitingStep, eligible: list[TrackedWorker], tasks: int
    ) -> None:
        """Counts what the tasks of a step wait for, if the round explains."""
        if self._round.explains:
            reason = self._blocking_reason(waiting, eligible)
            self.plan.blocked[waiting.queue.name, reason] += tasks

    def _explain_all(self, steps: Iterable[WaitingStep], reason: str) -> None:
        if self._round.explains:
            for waiting in steps:
                tasks = waiting.tasks_left
                self.plan.blocked[waiting.queue.name, reason] += tasks

    def _tasks_per_worker(self, waiting: WaitingStep) -> dict[str, int]:
        counts: dict[str, int] = {}
        if waiting.execution.step.spread_limit:
            for unit in waiting.execution.units:
                for worker_id in unit.holders.values():
                    counts[worker_id] = counts.get(worker_id, 0) + 1
        return counts
