"""Compares estimates of finish times with what happened."""

import math
from collections import defaultdict, deque
from dataclasses import dataclass

from mulberryhitch.dispatch.admission.estimator import FinishEstimate
from mulberryhitch.dispatch.admission.work import JobDemand
from mulberryhitch.jobs.state import Job, JobState
from mulberryhitch.observability.histograms import Histograms

# Jobs that can't be committed never end. Far more jobs than are in flight are
# kept, in about 10 MB.
_MAX_PREDICTIONS = 20_000
_KEPT_RATIOS = 64
_MIN_RATIOS = 16
_MARGIN_PERCENT = 80
# Applies until enough delayed jobs have ended, and at least always.
_LEAST_MARGIN = 1.25
_MOST_MARGIN = 3.0
# Estimates of jobs that need not wait this long say nothing about a backlog.
_MIN_WAIT_SECONDS = 0.5


@dataclass(slots=True)
class Prediction:
    """The estimate for an accepted job.

    Attributes:
        made_at: When it was accepted, seconds on the local clock.
        core_seconds: Its work by its submitter's estimates.
        has_started: Whether a task of it has been started.
    """

    made_at: float
    queue_name: str
    core_seconds: float
    estimate: FinishEstimate
    has_started: bool = False


class EstimateAccuracy:
    """Measures the error of estimates, and derives a margin from it.

    Args:
        histograms: Receives the errors.
    """

    def __init__(self, histograms: Histograms) -> None:
        """Initialises it without any estimate."""
        self._histograms = histograms
        self._predictions: dict[str, Prediction] = {}
        self._margins: dict[str, float] = {}
        self._ratios: defaultdict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=_KEPT_RATIOS)
        )

    def record_estimate(
        self, demand: JobDemand, estimate: FinishEstimate, now: float
    ) -> None:
        """Records the estimate for a job that is accepted.

        Beyond a number of jobs, the earliest estimate is given up.
        """
        self._predictions.pop(demand.job_id, None)
        if len(self._predictions) >= _MAX_PREDICTIONS:
            self._predictions.pop(next(iter(self._predictions)))
        self._predictions[demand.job_id] = Prediction(
            now, demand.queue.name, demand.work.processors, estimate
        )

    def take_waiting(self, job_id: str) -> Prediction | None:
        """Returns the estimate for a job at its first start only."""
        prediction = self._predictions.get(job_id)
        if prediction is None or prediction.has_started:
            return None
        prediction.has_started = True
        return prediction

    def record_end(self, job: Job, now: float) -> None:
        """Compares the estimate for a job with its end."""
        prediction = self._predictions.pop(job.job_id, None)
        if prediction is None or job.state is not JobState.completed:
            return
        actual = now - prediction.made_at
        estimated = prediction.estimate.finish
        if not math.isfinite(estimated):
            # The queue's stretch is too large for an objective.
            return
        error = estimated - actual
        self._histograms.record(
            'estimate_error',
            job.queue.name,
            'over' if error > 0 else 'under',
            abs(error),
        )
        if prediction.estimate.wait >= _MIN_WAIT_SECONDS and actual > 0:
            self._ratios[job.queue.name].append(estimated / actual)
            self._margins.pop(job.queue.name, None)

    def margin(self, queue_name: str) -> float:
        """Returns by how much an estimate may exceed the limit."""
        margin = self._margins.get(queue_name)
        if margin is None:
            margin = self._find_margin(queue_name)
            self._margins[queue_name] = margin
        return margin

    def _find_margin(self, queue_name: str) -> float:
        ratios = self._ratios.get(queue_name)
        if ratios is None or len(ratios) < _MIN_RATIOS:
            return _LEAST_MARGIN
        ordered = sorted(ratios)
        found = ordered[len(ordered) * _MARGIN_PERCENT // 100]
        return min(max(found, _LEAST_MARGIN), _MOST_MARGIN)
