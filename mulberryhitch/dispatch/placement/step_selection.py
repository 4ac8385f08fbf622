"""Selects the waiting steps that a placement round considers."""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.placement.tenant_caps import TenantCaps
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources

_MOST_URGENT_STEPS = 160
_MIN_STEPS_IN_TURN = 40
# An idle leader makes four rounds a second: each step has a turn in each.
_ROUNDS_PER_TURN = 4

_Shape = tuple[str, str, Resources]


@dataclass(slots=True)
class StepSelection:
    """The waiting steps of a placement round.

    Attributes:
        considered: Steps to place in this round, in this order.
        skipped: Steps whose turn comes in a later round.
        unsuited: Steps that the present workers could not run even if idle.
        capped: Steps that their tenant's cap holds back.
    """

    considered: list[WaitingStep] = field(default_factory=list)
    skipped: list[WaitingStep] = field(default_factory=list)
    unsuited: list[WaitingStep] = field(default_factory=list)
    capped: list[WaitingStep] = field(default_factory=list)


class StepSelector:
    """Selects the most urgent steps, and a few of the others in turn.

    The most urgent ones may all wait for the same busy workers. A step that
    holds permits or workers is selected in each round, as it would lose them
    before its next turn. Steps that no worker suits or that a cap holds back are
    left out, as they would take the places of steps that can start.

    Args:
        workers: The workers that may receive new runs.
        round_number: Number of the round.
        is_prepared: Whether a step holds permits or workers, or has requested
            permits.
    """

    def __init__(
        self,
        workers: Collection[TrackedWorker],
        round_number: int,
        is_prepared: Callable[[WaitingStep], bool],
    ) -> None:
        """Initialises the selector."""
        self._workers = workers
        self._round_number = round_number
        self._is_prepared = is_prepared
        self._fitting_shapes: dict[tuple[_Shape, int, int], bool] = {}

    def select(
        self,
        waiting_steps: list[WaitingStep],
        tenant_caps: TenantCaps | None = None,
    ) -> StepSelection:
        """Selects from the waiting steps, which are sorted by urgency."""
        selection = StepSelection()
        suited: list[WaitingStep] = []
        for waiting in waiting_steps:
            fits = self._fits_when_idle(waiting)
            (suited if fits else selection.unsuited).append(waiting)
        if tenant_caps is not None:
            split = tenant_caps.select(suited, self._is_prepared)
            suited = split.selected
            selection.capped = split.held_back
        selection.considered = suited[:_MOST_URGENT_STEPS]
        others: list[WaitingStep] = []
        for later in suited[_MOST_URGENT_STEPS:]:
            prepared = self._is_prepared(later)
            (selection.considered if prepared else others).append(later)
        count = max(_MIN_STEPS_IN_TURN, len(others) // _ROUNDS_PER_TURN + 1)
        start = self._round_number * count % max(1, len(others))
        in_turn = others[start:] + others[:start]
        selection.considered += in_turn[:count]
        selection.skipped = in_turn[count:]
        return selection

    def _fits_when_idle(self, waiting: WaitingStep) -> bool:
        """Whether a task of a step, or a whole gang, fits on idle workers."""
        step = waiting.execution.step
        missing = step.count if step.gang else 1
        denied = waiting.permits.denied if waiting.permits else set()
        if denied:
            return self._fits_without(waiting, missing, denied)
        key = (_shape_of(waiting), missing, step.spread_limit)
        fits = self._fitting_shapes.get(key)
        if fits is None:
            fits = self._fits_without(waiting, missing, denied)
            self._fitting_shapes[key] = fits
        return fits

    def _fits_without(
        self, waiting: WaitingStep, missing: int, denied: set[str]
    ) -> bool:
        """Whether tasks fit, looking at no more workers than needed."""
        for worker in self._workers:
            if worker.record.worker_id in denied:
                continue
            if waiting.is_eligible(worker):
                missing -= waiting.capacity_when_empty((worker,))
            if missing <= 0:
                return True
        return False


def _shape_of(waiting: WaitingStep) -> _Shape:
    execution = waiting.execution
    label = execution.step.label
    return (waiting.queue.service, label, execution.resources)
