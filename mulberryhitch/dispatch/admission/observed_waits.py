"""How long jobs that have just started had waited."""

import math
import statistics
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass

_KEPT_STARTS = 64
# Older starts say little: bursts take 4 to 11 s.
RECENT_SECONDS = 5.0
# Jobs of at least this part of a job's work count as jobs like it. Smaller
# ones fit into room that it can't use.
_SIMILAR_SHARE = 0.5
# Under overload some of the jobs start at once and the others never. A job
# like them is worth accepting while at least one of three starts.
_LEAST_STARTED_SHARE = 1 / 3


@dataclass(frozen=True, slots=True)
class _Start:
    """The first start of a job; seconds on the local clock."""

    core_seconds: float
    wait: float
    started_at: float


class ObservedWaits:
    """Waits of the jobs that started last, by queue.

    What waits before a job by its position may be gangs for which there is no
    room, while jobs that need less start beside them. So starts of similar
    jobs are better evidence than the length of the backlog.
    """

    def __init__(self) -> None:
        """Initialises it without any start."""
        self._starts: defaultdict[str, deque[_Start]] = defaultdict(
            lambda: deque(maxlen=_KEPT_STARTS)
        )

    def record(
        self, queue_name: str, core_seconds: float, wait: float, now: float
    ) -> None:
        """Records the first start of a job.

        Args:
            queue_name: Its queue.
            core_seconds: Its work by its estimates.
            wait: Seconds since it was accepted.
            now: Seconds on the local clock.
        """
        start = _Start(core_seconds, wait, now)
        self._starts[queue_name].append(start)

    def expected(
        self,
        queue_name: str,
        core_seconds: float,
        missed: Iterable[float],
        now: float,
    ) -> float:
        """Returns how long jobs like one wait; infinite if too few start.

        Args:
            queue_name: Its queue.
            core_seconds: Its work by its estimates.
            missed: Work of the jobs of the queue that waited in vain to be in
                time, as of the last few seconds.
            now: Seconds on the local clock.
        """
        least = core_seconds * _SIMILAR_SHARE
        waits = [
            start.wait + now - start.started_at
            for start in self._starts.get(queue_name, ())
            if now - start.started_at <= RECENT_SECONDS
            and start.core_seconds >= least
        ]
        similar = len(waits) + sum(work >= least for work in missed)
        if not waits or len(waits) < similar * _LEAST_STARTED_SHARE:
            return math.inf
        return statistics.median_low(waits)
