"""Selects the waiting steps that a placement round considers."""

from collections.abc import Collection
from dataclasses import dataclass, field

from mulberryhitch.dispatch.plans import WaitingStep
from mulberryhitch.dispatch.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources

_MOST_URGENT_STEPS = 160
_STEPS_IN_TURN = 40

_Shape = tuple[str, str, Resources]


@dataclass(slots=True)
class StepSelection:
    """The waiting steps of a placement round.

    Attributes:
        considered: Steps to place in this round, in this order.
        skipped: Steps whose turn comes in a later round.
        unsuited: Steps that the present workers could not run even if idle.
    """

    considered: list[WaitingStep] = field(default_factory=list)
    skipped: list[WaitingStep] = field(default_factory=list)
    unsuited: list[WaitingStep] = field(default_factory=list)


class StepSelector:
    """Selects the most urgent steps, and a few of the others in turn.

    The most urgent ones may all wait for the same busy workers. Steps that no
    worker suits are left out, as they would take the places of steps that can
    start.

    Args:
        workers: The workers that may receive new runs.
        round_number: Number of the round.
    """

    def __init__(
        self, workers: Collection[TrackedWorker], round_number: int
    ) -> None:
        """Initialises the selector."""
        self._workers = workers
        self._round_number = round_number
        self._suitable_workers: dict[_Shape, list[TrackedWorker]] = {}

    def select(self, waiting_steps: list[WaitingStep]) -> StepSelection:
        """Selects from the waiting steps, which are sorted by urgency."""
        selection = StepSelection()
        suited: list[WaitingStep] = []
        for waiting in waiting_steps:
            fits = self._fits_when_idle(waiting)
            (suited if fits else selection.unsuited).append(waiting)
        others = suited[_MOST_URGENT_STEPS:]
        start = self._round_number * _STEPS_IN_TURN % max(1, len(others))
        in_turn = others[start:] + others[:start]
        selection.considered = suited[:_MOST_URGENT_STEPS]
        selection.considered += in_turn[:_STEPS_IN_TURN]
        selection.skipped = in_turn[_STEPS_IN_TURN:]
        return selection

    def _fits_when_idle(self, waiting: WaitingStep) -> bool:
        """Whether a task of a step, or a whole gang, fits on idle workers."""
        step = waiting.execution.step
        missing = step.count if step.gang else 1
        denied = waiting.permits.denied if waiting.permits else ()
        for worker in self._suitable(waiting):
            if worker.record.worker_id not in denied:
                missing -= waiting.capacity_when_empty((worker,))
            if missing <= 0:
                return True
        return False

    def _suitable(self, waiting: WaitingStep) -> list[TrackedWorker]:
        """Returns the workers that suit a step, whether or not permitted."""
        execution = waiting.execution
        shape = (
            waiting.queue.service,
            execution.step.label,
            execution.resources,
        )
        suitable = self._suitable_workers.get(shape)
        if suitable is None:
            suitable = list(filter(waiting.is_eligible, self._workers))
            self._suitable_workers[shape] = suitable
        return suitable
