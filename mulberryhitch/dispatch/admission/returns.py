"""When refused jobs are told to come back."""

import math

_LEAST_SECONDS = 1
# Clients give up after a few attempts, so none is sent away for longer.
_MOST_SECONDS = 30
# Consecutive multiples of it, modulo 1, are spread evenly over any interval.
_GOLDEN_RATIO = 0.618034


class ReturnTimes:
    """Spreads the returns of refused jobs over the time when there is room.

    Each refused job takes the place after the last one: the next is told to
    come once the capacity that is left could have carried the one before.
    """

    def __init__(self) -> None:
        """Initialises it with no job refused."""
        self._next_at: dict[tuple[str, int], float] = {}
        self._refused = 0

    def next_seconds(
        self, key: tuple[str, int], excess: float, work: float, now: float
    ) -> int:
        """Returns after how many whole seconds a refused job is to return.

        Args:
            key: Service and urgency.
            excess: Seconds until a job like it can be accepted.
            work: Seconds that the capacity left for it takes to carry it.
            now: Seconds on the local clock.
        """
        self._refused += 1
        room_at = now + min(max(0, excess), _MOST_SECONDS)
        return_at = max(self._next_at.get(key, 0), room_at)
        if return_at - now <= _MOST_SECONDS:
            self._next_at[key] = return_at + work
            return max(_LEAST_SECONDS, math.ceil(return_at - now))
        spread = math.modf(self._refused * _GOLDEN_RATIO)[0]
        return math.ceil(_MOST_SECONDS * (1 + spread) / 2)
