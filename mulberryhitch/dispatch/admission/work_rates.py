"""Rates at which work is accepted or done."""

import math
from dataclasses import dataclass

# Demand swings over 11 to 15 s; a mean over such a time neither takes the
# start of a burst for its end nor forgets it at once.
_WINDOW_SECONDS = 10.0


@dataclass(slots=True)
class _DecayingSum:
    core_seconds: float
    updated_at: float


class WorkRates:
    """Core-seconds a second, by service and urgency."""

    def __init__(self) -> None:
        """Initialises it; the observation begins with the first record."""
        self._began_at = math.inf
        self._sums: dict[tuple[str, int], _DecayingSum] = {}

    def record(
        self, service: str, urgency: int, core_seconds: float, now: float
    ) -> None:
        """Records work; `now` is in seconds on the local clock."""
        self._began_at = min(self._began_at, now)
        total = self._sums.setdefault((service, urgency), _DecayingSum(0, now))
        kept = _decayed(total, now)
        total.core_seconds = kept + core_seconds
        total.updated_at = now

    def of_urgency(self, service: str, urgency: int, now: float) -> float:
        """Returns the rate of one urgency."""
        total = self._sums.get((service, urgency))
        if total is None:
            return 0
        return _decayed(total, now) / self._observed_seconds(now)

    def more_urgent(self, service: str, urgency: int, now: float) -> float:
        """Returns the rate of all that is placed before an urgency."""
        decayed = sum(
            _decayed(total, now)
            for key, total in self._sums.items()
            if key[0] == service and key[1] < urgency
        )
        return decayed / self._observed_seconds(now)

    def _observed_seconds(self, now: float) -> float:
        """Returns the weight of the time observed, at most one window."""
        passed = max(1, now - self._began_at)
        return _WINDOW_SECONDS * -math.expm1(-passed / _WINDOW_SECONDS)


def _decayed(total: _DecayingSum, now: float) -> float:
    passed = now - total.updated_at
    return total.core_seconds * math.exp(-passed / _WINDOW_SECONDS)
