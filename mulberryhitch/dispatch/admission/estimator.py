"""Estimates when a submitted job can finish."""

from collections.abc import Iterable
from dataclasses import dataclass

from mulberryhitch.dispatch.admission.backlog import (
    Backlog,
    ServiceLoad,
    WaitingWork,
)
from mulberryhitch.dispatch.admission.observed_waits import ObservedWaits
from mulberryhitch.dispatch.admission.work import JobDemand, Work
from mulberryhitch.dispatch.admission.work_rates import WorkRates

# Each class that waits gets a part of the starts, however much is before it.
_LEAST_SHARE = 0.1
# Of the rate at which jobs of the same urgency arrive, the part that is
# expected to go on: bursts are shorter than three times most objectives.
_CONTINUED_ARRIVALS = 0.5
# Shorter waits decide nothing, so they are not compared with others.
_SHORT_WAIT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class FinishEstimate:
    """When a job can finish, in seconds from now.

    Attributes:
        wait: Until it can start.
        chain: From then until it has ended.
        backlog: Time in which the usable capacity carries the waiting work
            that is placed before the job.
        rate: Work in a second that is left for the job's urgency.
    """

    wait: float
    chain: float
    backlog: float
    rate: Work

    @property
    def finish(self) -> float:
        """When the job has ended, if it is accepted now."""
        return self.wait + self.chain


_UNLIMITED = FinishEstimate(0, 0, 0, Work())


class FinishEstimator:
    """Estimates finish times from a summary of the backlog.

    Args:
        arrivals: Rates of accepted work.
        observed_waits: Waits of the jobs that started last.
    """

    def __init__(
        self, arrivals: WorkRates, observed_waits: ObservedWaits
    ) -> None:
        """Initialises the estimator."""
        self._arrivals = arrivals
        self._observed_waits = observed_waits

    def estimate(
        self,
        demand: JobDemand,
        backlog: Backlog,
        ratio: float,
        now: float,
        *,
        is_over_share: bool = False,
    ) -> FinishEstimate:
        """Returns when a job can finish.

        What runs adds nothing to the wait for a start: its ends free room at
        the rate at which all workers work, and that room goes to what waits.

        A job that can be in time is placed before those of its urgency that
        can't; a job that can't waits for these and for later ones that can. It
        waits no longer than jobs like it that have just started.

        Args:
            demand: The job.
            backlog: The work that waits.
            ratio: Actual over estimated core-seconds of the job's queue.
            now: Seconds on the local clock.
            is_over_share: Whether its tenant comes after others.
        """
        service, urgency = demand.queue.service, demand.queue.urgency
        load = backlog.load_of(service)
        chain = demand.chain_seconds * ratio
        own = backlog.waiting_of(service, urgency)
        before = _total(backlog.more_urgent(service, urgency))
        before = before.plus(own.in_time)
        if is_over_share:
            before = before.plus(own.over_share)
        taken = self._arrivals.more_urgent(service, urgency, now)
        rate = _remaining_rate(load, taken)
        wait = before.seconds_at(rate)
        if wait + chain > demand.objective:
            before = before.plus(own.late)
            same = self._arrivals.of_urgency(service, urgency, now)
            rate = _remaining_rate(load, taken + same * _CONTINUED_ARRIVALS)
            wait = before.seconds_at(rate)
        if wait > _SHORT_WAIT_SECONDS:
            wait = min(wait, self._observed_wait(demand, backlog, now))
        return FinishEstimate(wait, chain, before.seconds_at(load.rate), rate)

    def estimate_under_cap(
        self, demand: JobDemand, backlog: Backlog, ratio: float
    ) -> FinishEstimate:
        """Returns when a job can finish by the cap of its tenant alone.

        The tenant's own jobs start in the order of all jobs, so only those
        that are placed before the job count.
        """
        tenant, urgency = demand.tenant, demand.queue.urgency
        cap = backlog.caps.get(tenant)
        if cap is None:
            return _UNLIMITED
        chain = demand.chain_seconds * ratio
        own = backlog.tenant_waiting(tenant, urgency)
        before = _total(backlog.more_urgent_of_tenant(tenant, urgency))
        before = before.plus(own.in_time)
        if before.seconds_at(cap) + chain > demand.objective:
            before = before.plus(own.late)
        wait = before.seconds_at(cap)
        return FinishEstimate(wait, chain, wait, cap)

    def _observed_wait(
        self, demand: JobDemand, backlog: Backlog, now: float
    ) -> float:
        return self._observed_waits.expected(
            demand.queue.name,
            demand.work.processors,
            backlog.missed.get(demand.queue.name, ()),
            now,
        )


def _total(waiting_work: Iterable[WaitingWork]) -> Work:
    total = Work()
    for waiting in waiting_work:
        total = total.plus(waiting.in_time).plus(waiting.late)
        total = total.plus(waiting.over_share)
    return total


def _remaining_rate(load: ServiceLoad, taken: float) -> Work:
    """Returns what is left of a service's rate beside other arrivals.

    Args:
        load: The service.
        taken: Core-seconds a second that are placed first.
    """
    processors = load.rate.processors
    share = 1 - taken / processors if processors > 0 else 1
    return load.rate.times(max(_LEAST_SHARE, share))
