"""Compares a worker's runs with those of the same steps on other workers."""

import statistics

from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun
from mulberryhitch.jobs.model import StepKey

_MIN_OTHER_WORKERS = 2


class RunTimes:
    """Projected run times of each step, by worker.

    Estimates may be far off, for all tasks of a step alike. So a run is
    compared with its siblings on other workers where there are enough.
    """

    def __init__(self) -> None:
        """Initialises the comparison without any run time."""
        self._projected: dict[StepKey, dict[str, float]] = {}

    def remove_step(self, key: StepKey) -> None:
        """Removes a step that has ended."""
        self._projected.pop(key, None)

    def slowdowns(
        self,
        worker_id: str,
        runs: dict[StepKey, list[TrackedRun]],
        now: float,
    ) -> list[float]:
        """Returns how much slower than expected a worker is, for each step.

        Args:
            worker_id: The worker.
            runs: Its runs, by step.
            now: Seconds on the local clock.
        """
        ratios = []
        for key, siblings in runs.items():
            projected = [run.projected_seconds(now) for run in siblings]
            known = [seconds for seconds in projected if seconds]
            if known:
                own = statistics.median_low(known)
                ratios.append(
                    own / self._expected(worker_id, key, own, siblings[0])
                )
        return ratios

    def _expected(
        self, worker_id: str, key: StepKey, own: float, run: TrackedRun
    ) -> float:
        """Records a worker's run time; returns what to compare it with."""
        of_step = self._projected.setdefault(key, {})
        of_step[worker_id] = own
        others = [
            seconds for other, seconds in of_step.items() if other != worker_id
        ]
        if len(others) >= _MIN_OTHER_WORKERS:
            return statistics.median_low(others)
        return run.expected_seconds
