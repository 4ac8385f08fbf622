"""What is kept to compare estimates with the ends of jobs."""

from mulberryhitch.dispatch.admission import accuracy
from mulberryhitch.dispatch.admission.accuracy import EstimateAccuracy
from mulberryhitch.dispatch.admission.estimator import FinishEstimate
from mulberryhitch.dispatch.admission.work import Work, demand_of
from mulberryhitch.observability.histograms import Histograms
from tests.admission_builders import QUEUE, make_spec

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
