"""Decides whether a submitted job is accepted or refused at once."""

from collections.abc import Iterable, MutableMapping
from dataclasses import dataclass

import anyio

from mulberryhitch.dispatch.admission.accuracy import EstimateAccuracy
from mulberryhitch.dispatch.admission.backlog import Backlog
from mulberryhitch.dispatch.admission.backlog_reader import BacklogSource
from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.admission.estimator import (
    FinishEstimate,
    FinishEstimator,
)
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.admission.observed_waits import (
    MIN_MISSED,
    ObservedWaits,
    count_similar,
)
from mulberryhitch.dispatch.admission.options import AdmissionOptions
from mulberryhitch.dispatch.admission.ports import TenantShareSource
from mulberryhitch.dispatch.admission.refusals import Refusal, RefusalReason
from mulberryhitch.dispatch.admission.returns import ReturnTimes
from mulberryhitch.dispatch.admission.work import JobDemand, Work, demand_of
from mulberryhitch.dispatch.admission.work_rates import WorkRates
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs.model import JobSpec, Queue
from mulberryhitch.jobs.state import Job
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log

# An estimate from an older summary is made anew, whatever a summary costs.
_MAX_AGE_SECONDS = 1.0
# A step or worker takes a slow leader about 25 us, and summaries may take 2% of
# its time.
_SECONDS_PER_ROW = 0.00125
# Rounds of a new term before which nothing is refused.
_MIN_ROUNDS = 5
# A shorter backlog is worked off before it matters.
_MIN_BACKLOG_SECONDS = 1.0
# Value per core-second over that of what waits; jobs of equal size differ by
# rounding and by their ratios to a moving mean.
_WORTH_MORE = 1.1


@dataclass(frozen=True, slots=True)
class _Judged:
    """A submitted job with all that the decision about it rests on.

    Attributes:
        ratio: Actual over estimated core-seconds of its queue.
        limit: Seconds after which it is too late, with the margin.
    """

    demand: JobDemand
    backlog: Backlog
    ratio: float
    limit: float
    is_over_share: bool
    estimate: FinishEstimate
    estimate_under_cap: FinishEstimate

    @property
    def work(self) -> Work:
        """Its expected work."""
        return self.demand.work.times(self.ratio)

    @property
    def finish(self) -> FinishEstimate:
        """The later one of both estimates."""
        return max(
            self.estimate,
            self.estimate_under_cap,
            key=lambda estimate: estimate.finish,
        )


class AdmissionController:
    """Refuses jobs that would be too late, during one leader's term.

    A job is refused only while the service's workers are busy, jobs like it
    have waited in vain, more work is placed before it than the workers can carry
    in time, and it is worth no more per core-second than what waits.

    Args:
        source: Provides summaries of the backlog.
        completed: Ratios of actual to estimated work.
        sizes: Sizes of the submitted jobs, by queue name; updated here.
        shares: Shares of the tenants.
        options: Settings.
        log: Receives refusals.
        histograms: Receives the errors of estimates.
    """

    def __init__(
        self,
        source: BacklogSource,
        completed: CompletedWork,
        sizes: MutableMapping[str, JobSizes],
        shares: TenantShareSource,
        options: AdmissionOptions,
        log: Log,
        histograms: Histograms,
    ) -> None:
        """Initialises the controller at the start of a term."""
        self._source = source
        self._completed = completed
        self._sizes = sizes
        self._shares = shares
        self._options = options
        self._log = log
        self._began_at = anyio.current_time()
        self._arrivals = WorkRates()
        self._observed_waits = ObservedWaits()
        self._estimator = FinishEstimator(self._arrivals, self._observed_waits)
        self._accuracy = EstimateAccuracy(histograms)
        self._returns = ReturnTimes()
        self._backlog: Backlog | None = None
        self._rounds = 0

    def record_round(self) -> None:
        """Records that a placement round has taken place."""
        self._rounds += 1

    def record_starts(self, job_ids: Iterable[str]) -> None:
        """Records that tasks of jobs are being started."""
        now = anyio.current_time()
        for job_id in job_ids:
            accepted = self._accuracy.take_waiting(job_id)
            if accepted is not None:
                self._observed_waits.record(
                    accepted.queue_name,
                    accepted.core_seconds,
                    now - accepted.made_at,
                    now,
                )

    def job_ended(self, job: Job) -> None:
        """Compares the estimate for a job with its end.

        An unexpected error is logged: this is called while a log entry is
        applied, which must not fail.
        """
        try:
            self._accuracy.record_end(job, anyio.current_time())
        except Exception as defect:  # noqa: BLE001
            self._log.unexpected_error(
                'admission.defect', defect, job=job.job_id
            )

    def check(
        self, job_id: str, queue: Queue, spec: JobSpec, tenant: str = ''
    ) -> None:
        """Counts a job that is being accepted, unless it is refused.

        Scheduled and long-running jobs are never refused, nor are jobs whose
        objective is unknown; nor is any job if an unexpected error occurs here,
        which is logged.

        Args:
            job_id: Id of a job that is not known yet.
            queue: Its queue.
            spec: Its specification.
            tenant: Its client account; empty if none.

        Raises:
            OverloadedError: It would be too late.
            OverQuotaError: It would be too late because of its tenant's cap
                or share.
        """
        if spec.repeat_count or any(step.long_running for step in spec.steps):
            return
        try:
            error = self._decide(demand_of(job_id, queue, spec, tenant))
        except Exception as defect:  # noqa: BLE001
            self._log.unexpected_error('admission.defect', defect, job=job_id)
            return
        if error is not None:
            raise error

    def _decide(self, demand: JobDemand) -> MulberryhitchError | None:
        now = anyio.current_time()
        judged = self._judge(demand, now)
        refusal = self._refusal(judged) if self._may_refuse(now) else None
        sizes = self._sizes.setdefault(demand.queue.name, JobSizes())
        sizes.record(demand.work.processors, is_accepted=refusal is None)
        if refusal is None:
            self._count_accepted(judged, sizes, now)
            return None
        return self._report(refusal, judged.work, now)

    def _judge(self, demand: JobDemand, now: float) -> _Judged:
        backlog = self._current_backlog(now)
        queue_name = demand.queue.name
        ratio = self._completed.ratio(queue_name)
        is_over_share = self._shares.is_over_share(demand.tenant)
        return _Judged(
            demand,
            backlog,
            ratio,
            demand.limit_seconds(ratio) * self._accuracy.margin(queue_name),
            is_over_share,
            self._estimator.estimate(
                demand, backlog, ratio, now, is_over_share=is_over_share
            ),
            self._estimator.estimate_under_cap(demand, backlog, ratio),
        )

    def _current_backlog(self, now: float) -> Backlog:
        """Returns a summary that is recent enough, with what came since."""
        backlog = self._backlog
        if backlog is not None:
            wanted = backlog.size * _SECONDS_PER_ROW
            interval = max(self._options.refresh_seconds, wanted)
            if now - backlog.taken_at < min(interval, _MAX_AGE_SECONDS):
                return backlog
        self._backlog = self._source.read(now)
        return self._backlog

    def _may_refuse(self, now: float) -> bool:
        """Whether this leader knows enough to refuse a job."""
        if not self._options.enabled or self._rounds < _MIN_ROUNDS:
            return False
        if now - self._began_at < self._options.settle_seconds:
            return False
        return self._backlog is not None and self._backlog.knows_workers

    def _refusal(self, judged: _Judged) -> Refusal | None:
        demand, limit = judged.demand, judged.limit
        if not demand.is_estimated or demand.objective <= 0:
            return None
        capped = judged.estimate_under_cap
        if _is_too_late(capped, limit):
            return Refusal(demand, RefusalReason.tenant_cap, capped, limit)
        if not _has_lack_of_room(demand, judged.backlog):
            return None
        if self._is_worth_more(judged):
            limit *= self._options.dense_factor
        if not _is_too_late(judged.estimate, limit):
            return None
        reason = RefusalReason.capacity
        if judged.is_over_share:
            reason = RefusalReason.tenant_share
        return Refusal(demand, reason, judged.estimate, limit)

    def _is_worth_more(self, judged: _Judged) -> bool:
        """Whether a job is worth more per core-second than what waits.

        So are large jobs where these are refused more often than others: they
        are worth less per core-second, and must be served all the same.
        """
        core_seconds = judged.demand.work.processors
        queue_name = judged.demand.queue.name
        sizes = self._sizes.get(queue_name)
        if sizes is None or not core_seconds or judged.is_over_share:
            return False
        density = sizes.value_of(core_seconds) / core_seconds
        if density > judged.backlog.density_of(queue_name) * _WORTH_MORE:
            return True
        return sizes.is_underserved(core_seconds)

    def _count_accepted(
        self, judged: _Judged, sizes: JobSizes, now: float
    ) -> None:
        """Adds an accepted job to the summary, until the next one has it."""
        demand, backlog, work = judged.demand, judged.backlog, judged.work
        queue = demand.queue
        estimate = judged.finish
        core_seconds = demand.work.processors
        is_late = estimate.finish > demand.objective
        backlog.waiting_of(queue.service, queue.urgency).add(
            work, is_late=is_late, is_over_share=judged.is_over_share
        )
        backlog.add_tenant_work(
            demand.tenant, queue.urgency, work, is_late=is_late
        )
        backlog.add_value(
            queue.name, sizes.value_of(core_seconds), core_seconds
        )
        self._arrivals.record(
            queue.service, queue.urgency, work.processors, now
        )
        self._accuracy.record_estimate(demand, estimate, now)

    def _report(
        self, refusal: Refusal, work: Work, now: float
    ) -> MulberryhitchError:
        estimate = refusal.estimate
        retry_after = self._returns.next_seconds(
            refusal.returns_key,
            refusal.excess_seconds,
            work.seconds_at(estimate.rate),
            now,
        )
        self._log.event(
            'job.refused',
            job=refusal.demand.job_id,
            queue=refusal.demand.queue.name,
            tenant=refusal.demand.tenant,
            reason=refusal.reason.value,
            estimate=round(estimate.finish, 1),
            limit=round(refusal.limit, 1),
            backlog=round(estimate.backlog, 1),
            retry_after=retry_after,
        )
        self._log.count(f'job.refused.{refusal.reason.value}')
        return refusal.error(retry_after)


def _has_lack_of_room(demand: JobDemand, backlog: Backlog) -> bool:
    """Whether workers are busy and jobs like this one have waited in vain."""
    if not backlog.load_of(demand.queue.service).is_busy:
        return False
    missed = backlog.missed.get(demand.queue.name, ())
    return count_similar(demand.work.processors, missed) >= MIN_MISSED


def _is_too_late(estimate: FinishEstimate, limit: float) -> bool:
    has_backlog = estimate.backlog >= _MIN_BACKLOG_SECONDS
    return has_backlog and estimate.finish > limit
