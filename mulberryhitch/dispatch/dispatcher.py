"""Places, starts and monitors tasks during a leader's term."""

from collections.abc import Mapping

import anyio

from mulberryhitch.dispatch.admission.assembly import make_admission
from mulberryhitch.dispatch.admission.ports import SharesOfLastRound
from mulberryhitch.dispatch.due_occurrences import DueOccurrences
from mulberryhitch.dispatch.permits.manager import PermitManager
from mulberryhitch.dispatch.placement.planner import Planner
from mulberryhitch.dispatch.placement.plans import (
    EstimateCache,
    Placement,
    Plan,
    Round,
)
from mulberryhitch.dispatch.placement.preemption_candidates import (
    PreemptionCandidates,
)
from mulberryhitch.dispatch.placement.tenant_caps import (
    CapOutlook,
    TenantCaps,
)
from mulberryhitch.dispatch.placement.tenant_releases import TenantReleases
from mulberryhitch.dispatch.placement.uncommitted import UncommittedPlacements
from mulberryhitch.dispatch.reports.status_report import StatusReporter
from mulberryhitch.dispatch.retention import Retention
from mulberryhitch.dispatch.runs.run_controller import RunController
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.dispatch.runs.worker_registry import WorkerRegistry
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import StepKey, TaskKey
from mulberryhitch.jobs.state import Job, JobState, StepExecution

_CLIENT_SILENCE_SECONDS = 2.5
_PAUSE_FACTOR = 2
_URGENT_PAUSE_FACTOR = 4


class Dispatcher:
    """Places, starts and monitors runs while its replica leads.

    Args:
        term: The leader's term.

    Attributes:
        admission: Refuses submitted jobs that would be too late.
        permit_manager: Requests permits from the permit service.
        workers: Records workers from their heartbeats and removes them.
    """

    def __init__(self, term: Term) -> None:
        """Creates the parts of the dispatcher and connects them."""
        self._term = term
        self._retention = Retention(term)
        self._due_occurrences = DueOccurrences(term)
        self._uncommitted = UncommittedPlacements()
        self._committing_steps: set[StepKey] = set()
        self._estimates = EstimateCache()
        self._last_plan = Plan()
        self.admission = make_admission(
            term,
            self._estimates,
            term.speeds,
            SharesOfLastRound(lambda: self._last_plan),
        )
        self._rounds = 0
        self._planned_requests = 0
        self.permit_manager = PermitManager(
            term.incarnation_of, term.request_round, term.log
        )
        self._status_reporter = StatusReporter(term, self.permit_manager)
        self.workers = WorkerRegistry(term)
        self._run_controller = RunController(
            term, self.permit_manager, self.workers.monitor.poll_now
        )
        self.workers.connect(self._run_controller)

    async def run(self) -> None:
        """Runs until cancelled, or until a worker reports a newer leader."""
        term = self._term
        term.job_store.listener = self
        try:
            async with anyio.create_task_group() as tasks:
                term.task_group = tasks
                for record in term.job_store.workers.values():
                    self.workers.monitor.start_watching(record)
                tasks.start_soon(self.permit_manager.run)
                tasks.start_soon(self._run_rounds)
                tasks.start_soon(self._run_urgent_rounds)
                tasks.start_soon(self._run_maintenance)
                tasks.start_soon(self._status_reporter.run)
                term.request_round()
                await term.ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            term.job_store.listener = None

    @property
    def tracked_workers(self) -> Mapping[str, TrackedWorker]:
        """State of the workers, by id."""
        return self._term.tracked_workers

    def request_round(self) -> None:
        """Requests another placement round."""
        self._term.request_round()

    def step_ready(self, execution: StepExecution) -> None:
        """Requests a placement round, because units of a step may start."""
        self.request_round()

    def run_ended(self, task: TaskKey, run: int, worker_id: str) -> None:
        """Removes a run that has ended."""
        worker = self._term.tracked_workers.get(worker_id)
        if worker is not None:
            worker.tracked_runs.pop(task, None)
        self.request_round()

    def job_ended(self, job: Job) -> None:
        """Discards an ended job's permits and estimates, and stops its runs.

        No run is stopped if the job completed.
        """
        self._term.accounting.record_job(job.queue.name, job.state)
        self.admission.job_ended(job)
        self._estimates.remove_job(job.job_id)
        is_completed = job.state is JobState.completed
        for executions in job.occurrences.values():
            self._remove_steps(executions, is_completed=is_completed)
            for execution in executions:
                if job.cancelled or job.failed:
                    for unit in execution.units:
                        self._run_controller.stop_unit(unit, 'job ended')

    def occurrence_ended(self, executions: list[StepExecution]) -> None:
        """Discards the permits of an occurrence that is over."""
        self._remove_steps(executions, is_completed=True)

    def _remove_steps(
        self, executions: list[StepExecution], *, is_completed: bool
    ) -> None:
        for execution in executions:
            self.permit_manager.remove_step(execution.key)
            self.workers.monitor.remove_step(execution.key, is_completed)

    async def _run_rounds(self) -> None:
        while True:
            await self._term.round_due.wait()
            await self._term.wait_until_writable()
            self._term.round_due = anyio.Event()
            began = anyio.current_time()
            if self._term.may_act():
                self._plan_round()
            await self._pause_after_round(began, _PAUSE_FACTOR)

    async def _run_urgent_rounds(self) -> None:
        """Places the most urgent steps while the next round has to wait.

        A round with all steps may take so long that urgent ones would be late.
        """
        while True:
            await self._term.urgent_round_due.wait()
            await self._term.wait_until_writable()
            self._term.urgent_round_due = anyio.Event()
            began = anyio.current_time()
            is_planned = self._planned_requests == self._term.round_requests
            if self._term.may_act() and not is_planned:
                self._plan_urgent_round()
            await self._pause_after_round(began, _URGENT_PAUSE_FACTOR)

    async def _pause_after_round(self, began: float, factor: float) -> None:
        took = anyio.current_time() - began
        await anyio.sleep(max(self._term.options.round_seconds, took * factor))

    def _plan_round(self) -> None:
        if not self._term.job_store.ready_steps:
            self.permit_manager.replace_requests(())
            self._record_plan(Plan(), 0)
            return
        began = anyio.current_time()
        plan = self._make_plan(only_urgent=False)
        self._rounds += 1
        self._record_plan(plan, anyio.current_time() - began)
        self.permit_manager.replace_requests(plan.permit_requests)
        self._carry_out(plan)

    def _plan_urgent_round(self) -> None:
        if not self._term.job_store.ready_steps:
            return
        plan = self._make_plan(only_urgent=True)
        self._last_plan.reservations.update(plan.reservations)
        self.permit_manager.add_requests(plan.permit_requests)
        self._carry_out(plan)

    def _make_plan(self, *, only_urgent: bool) -> Plan:
        self._planned_requests = self._term.round_requests
        now = anyio.current_time()
        wall_time = self._term.wall_time()
        usable = [
            worker
            for worker in self._term.tracked_workers.values()
            if worker.usable(now)
        ]
        tenant_releases = TenantReleases(
            self._term.job_store.jobs,
            self._term.tracked_workers.values(),
            self._uncommitted.tenant_releases,
            now,
        )
        planner = Planner(
            self._term.job_store,
            usable,
            self._uncommitted.of_workers,
            self.permit_manager,
            self._estimates,
            self._term.options.permit_margin_seconds,
            Round(
                self._rounds,
                now,
                wall_time,
                self._last_plan.reservations,
                self._status_reporter.wants_reasons and not only_urgent,
                only_urgent,
            ),
            TenantCaps(
                self._term.job_store,
                self._uncommitted.of_tenants,
                self._rounds,
                CapOutlook(now, wall_time, tenant_releases.of_tenant),
            ),
        )
        candidates = PreemptionCandidates(
            self._term.tracked_workers,
            self._term.options,
            now,
            self._uncommitted.worker_releases,
        )
        return planner.run(self._committing_steps, candidates)

    def _carry_out(self, plan: Plan) -> None:
        for stop in plan.preempted:
            self._run_controller.stop(
                stop.task, stop.run, stop.worker_id, 'preempted', stop.lost
            )
        if plan.placements:
            steps = {placement.unit.step_key for placement in plan.placements}
            self._committing_steps |= steps
            self.admission.record_starts({step.job_id for step in steps})
            for placement in plan.placements:
                self._record_uncommitted(placement)
            self._term.start_soon(self._grant, plan.placements, steps)

    def _record_plan(self, plan: Plan, seconds: float) -> None:
        self._last_plan = plan
        self._status_reporter.record_round(plan, seconds)
        self.admission.record_round()

    def _record_uncommitted(self, placement: Placement) -> None:
        job_store = self._term.job_store
        execution = job_store.step_execution(placement.unit.step_key)
        if execution is not None:
            tenant = job_store.jobs[execution.key.job_id].tenant
            now = anyio.current_time()
            self._uncommitted.add(placement, execution, tenant, now)

    async def _grant(
        self, placements: list[Placement], steps: set[StepKey]
    ) -> None:
        batch = [
            changes.grant(
                placement.unit.task_key(placement.index),
                placement.unit.run + 1,
                placement.worker_id,
            )
            for placement in placements
        ]
        try:
            outcomes = await self._term.commit_unless_full(batch)
        except MulberryhitchError as error:
            self._term.log.problem('grants.uncommitted', error.problem)
            return
        finally:
            self._finish_grants(placements, steps)
        refused = {
            placement.unit.first_task
            for placement, granted in zip(placements, outcomes, strict=True)
            if not granted
        }
        withdrawn = []
        for placement, granted in zip(placements, outcomes, strict=True):
            if granted and placement.unit.first_task in refused:
                withdrawn.append(placement)
            elif granted:
                self._run_controller.start(placement)
        if withdrawn:
            await self._run_controller.withdraw(withdrawn)

    def _finish_grants(
        self, placements: list[Placement], steps: set[StepKey]
    ) -> None:
        self._committing_steps -= steps
        for placement in placements:
            self._uncommitted.remove(placement)
        self.request_round()

    async def _run_maintenance(self) -> None:
        while True:
            await anyio.sleep(self._term.options.maintenance_seconds)
            self.permit_manager.remove_silent_clients(_CLIENT_SILENCE_SECONDS)
            self.permit_manager.release_overdue_requests()
            self.workers.monitor.update_speeds()
            if not self._term.may_act():
                continue
            await self._due_occurrences.open_with_room()
            await self.workers.remove_expired()
            await self._retention.enforce()
            self.request_round()
