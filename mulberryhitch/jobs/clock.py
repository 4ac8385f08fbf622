"""The clock that dates the changes to the job store."""

import time
from collections.abc import Callable


def _seconds_since_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class JobClock:
    """Seconds since 1970 that do not follow steps of the time of day.

    Ages of jobs are differences of its readings, so a step would make jobs
    seem overdue, or not due yet.

    Args:
        time_of_day: Seconds since 1970; read once.
        steady: Seconds on a clock that is never set.
    """

    def __init__(
        self,
        time_of_day: Callable[[], float] = time.time,
        steady: Callable[[], float] = _seconds_since_boot,
    ) -> None:
        """Reads the time of day."""
        self._steady = steady
        self._offset = time_of_day() - steady()

    def now(self) -> float:
        """Returns seconds since 1970."""
        return self._steady() + self._offset

    def advance_to(self, earliest: float) -> None:
        """Sets the clock forward to a time at least; never back.

        A new leader's clock may be behind that of the leader before it, whose
        readings the job store contains.
        """
        self._offset = max(self._offset, earliest - self._steady())
