"""How long jobs that have just started had waited."""

import math
import statistics
from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass

_KEPT_STARTS = 64
# Bursts take 4 to 11 s. With 10 s, refusals went on and off by turns of 5 s under a
# lasting flood.
RECENT_SECONDS = 5.0
# Jobs of at least this part of a job's work count as jobs like it. Smaller
# ones fit into room that it can't use.
_SIMILAR_SHARE = 0.5
# Under overload some of the jobs start at once and the others never. A job
# like them is worth accepting while one of three starts.
_MISSED_PER_START = 2
# That many more have to miss before it counts: with fewer, chance decides. Without
# this, 10 of 26 refusals were wrong at 2.5 times the usual load, and gangs in
# time fell from 18 to 12 of 68.
MIN_MISSED = 6


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
        allowed = len(waits) * _MISSED_PER_START + MIN_MISSED
        if not waits or count_similar(core_seconds, missed) >= allowed:
            return math.inf
        return statistics.median_low(waits)


def count_similar(core_seconds: float, others: Iterable[float]) -> int:
    """Returns how many jobs need about as much as one, or more.

    Args:
        core_seconds: Work of the one.
        others: Work of the others.
    """
    least = core_seconds * _SIMILAR_SHARE
    return sum(other >= least for other in others)
