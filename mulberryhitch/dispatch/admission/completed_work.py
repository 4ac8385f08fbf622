"""What runs took, compared with their submitters' estimates."""

import math
from collections import defaultdict
from dataclasses import dataclass


# Estimates of single jobs are off by up to 90%; the weight of this many
# core-seconds at a ratio of 1 keeps the first few ends from deciding.
_PRIOR_CORE_SECONDS = 50.0
_DECAY_SECONDS = 30.0


@dataclass(slots=True)
class _Totals:
    """Sums over ended runs, each decaying with time.

    Attributes:
        estimated: Core-seconds by the estimates.
        actual: Core-seconds that the runs took.
        updated_at: When the sums were last decayed.
    """

    estimated: float = 0
    actual: float = 0
    updated_at: float = 0

    def add(
        self, cores: float, estimated: float, actual: float, now: float
    ) -> None:
        kept = math.exp((self.updated_at - now) / _DECAY_SECONDS)
        self.updated_at = now
        self.estimated = self.estimated * kept + cores * estimated
        self.actual = self.actual * kept + cores * actual


class CompletedWork:
    """Learns from ended runs how far the estimates of a queue are off."""

    def __init__(self) -> None:
        """Initialises it without any ended run."""
        self._queues: defaultdict[str, _Totals] = defaultdict(_Totals)

    def record(
        self,
        queue_name: str,
        cores: float,
        estimated: float,
        actual: float,
        now: float,
    ) -> None:
        """Records a run that was done, and that ran from its beginning.

        Args:
            queue_name: Queue of its job.
            cores: Processors that it took.
            estimated: Its submitter's estimate, seconds.
            actual: How long it ran, seconds.
            now: Seconds on the local clock.
        """
        if estimated > 0:
            self._queues[queue_name].add(cores, estimated, actual, now)

    def ratio(self, queue_name: str) -> float:
        """Returns actual over estimated core-seconds of a queue."""
        totals = self._queues.get(queue_name)
        if totals is None:
            return 1.0
        return (totals.actual + _PRIOR_CORE_SECONDS) / (
            totals.estimated + _PRIOR_CORE_SECONDS
        )
