"""What is kept to compare estimates with the ends of jobs."""

import math
from dataclasses import replace

import anyio

from mulberryhitch.dispatch.admission import accuracy
from mulberryhitch.dispatch.admission.accuracy import EstimateAccuracy
from mulberryhitch.dispatch.admission.estimator import FinishEstimate
from mulberryhitch.dispatch.admission.work import Work, demand_of
from mulberryhitch.jobs.model import Queue
from mulberryhitch.jobs.state import Job
from mulberryhitch.observability.histograms import Histograms
from tests.admission_builders import (
    QUEUE,
    FixedBacklog,
    make_backlog,
    make_controller,
    make_spec,
)
from tests.replica_group import run_with_mock_clock

ESTIMATE = FinishEstimate(0, 1, 0, Work())


def test_estimates_of_jobs_that_never_end_are_given_up() -> None:
    """Guards against memory that grows while no job can be committed.

    On a full disk each submission passes the check, and none becomes a job.
    """
    kept = accuracy._MAX_PREDICTIONS
    estimates = EstimateAccuracy(Histograms())
    for number in range(kept + 10):
        demand = demand_of(f'job-{number}', QUEUE, make_spec(), '')
        estimates.record_estimate(demand, ESTIMATE, number)
    assert len(estimates._predictions) == kept
    assert estimates.take_waiting('job-9') is None
    assert estimates.take_waiting('job-10') is not None


class BrokenHistograms(Histograms):
    """Fails to record a duration."""

    def record(
        self, name: str, tenant: str, label: str, seconds: float
    ) -> None:
        raise ZeroDivisionError


def ended_job(queue: Queue) -> Job:
    return Job('job', queue, make_spec(), 0, finished=1, ended_at=1)


def test_an_infinite_estimate_is_not_compared() -> None:
    """Guards against a configuration that stops the leader.

    The end of a job is recorded while a log entry is applied.
    """
    queue = replace(QUEUE, stretch=1e308)
    histograms = Histograms()
    estimates = EstimateAccuracy(histograms)
    demand = demand_of('job', queue, make_spec(seconds=100), '')
    assert demand.chain_seconds == math.inf
    estimate = FinishEstimate(0, demand.chain_seconds, 0, Work())
    estimates.record_estimate(demand, estimate, 0)
    estimates.record_end(ended_job(queue), 1)
    assert not histograms.summaries()


def test_a_defect_at_the_end_of_a_job_is_logged() -> None:
    """Guards against log entries that fail for a defect in the metrics."""

    async def main() -> None:
        controller, log = make_controller(
            FixedBacklog(make_backlog({})), histograms=BrokenHistograms()
        )
        controller.check('job', QUEUE, make_spec())
        await anyio.sleep(1)
        controller.job_ended(ended_job(QUEUE))
        assert log.counts['admission.defect'] == 1

    run_with_mock_clock(main)
