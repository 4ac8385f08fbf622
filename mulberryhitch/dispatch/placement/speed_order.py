"""Which workers a step should get, if they run at several speeds."""

from collections.abc import Iterable
from enum import Enum

from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker

# Estimates may be nearly twice too short, and a step has to wait for room.
_TIGHT_SLACK_SHARE = 0.5


class SpeedOrder(Enum):
    """The order of workers of several speeds for a step."""

    any = 'any'
    fastest_first = 'fastest first'
    slowest_first = 'slowest first'

    def rank(self, worker: TrackedWorker) -> float:
        """Returns a lower number for a worker that is to be taken earlier."""
        if self is SpeedOrder.any:
            return 0
        if self is SpeedOrder.fastest_first:
            return -worker.speed
        return worker.speed


class SpeedRange:
    """The speeds of each service's workers in a placement round.

    Args:
        workers: The workers that may receive new runs.
    """

    def __init__(self, workers: Iterable[TrackedWorker]) -> None:
        """Finds the slowest and the fastest worker of each service."""
        speeds: dict[str, set[float]] = {}
        for worker in workers:
            speeds.setdefault(worker.record.service, set()).add(worker.speed)
        self._extra: dict[str, float] = {
            service: 1 / min(found) - 1 / max(found)
            for service, found in speeds.items()
            if len(found) > 1
        }

    @property
    def differ(self) -> bool:
        """Whether any service has workers of several speeds."""
        return bool(self._extra)

    def order_for(
        self, service: str, *, urgent: bool, slack: float, remaining: float
    ) -> SpeedOrder:
        """Returns the order of workers for a step.

        Urgent steps, and those that could be late on a slow worker, take fast
        ones. All others leave these to them, also those that are late anyway.

        Args:
            service: The service that runs the step.
            urgent: Whether the queue is the most urgent.
            slack: Seconds that the step can still wait.
            remaining: Estimated seconds until the job's end once it starts.
        """
        extra = self._extra.get(service)
        if extra is None:
            return SpeedOrder.any
        if urgent:
            return SpeedOrder.fastest_first
        needed = remaining * (extra + _TIGHT_SLACK_SHARE)
        if 0 <= slack < needed:
            return SpeedOrder.fastest_first
        return SpeedOrder.slowest_first
