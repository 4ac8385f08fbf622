"""Holds each tenant's runs within its cap, in one placement round.

Load answered: a tenant whose waiting work is a multiple of its cap, so that most
of its steps could not start even on idle workers.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from mulberryhitch.dispatch.placement.cap_rules import (
    copies_within,
    is_below_half,
    is_single,
    limits_of,
)
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.jobs.model import Resources
from mulberryhitch.jobs.store import JobStore

# Steps beyond what a cap leaves have a turn in one of so many rounds, and so
# many of each tenant: those before them may wait for busy workers.
_ROUNDS_PER_TURN = 16
_STEPS_IN_TURN = 4


@dataclass(slots=True)
class CapSelection:
    """The steps that the caps let start, in their order, and the others."""

    selected: list[WaitingStep] = field(default_factory=list)
    held_back: list[WaitingStep] = field(default_factory=list)


@dataclass(slots=True)
class _Usage:
    """What a tenant with a cap uses in a round.

    Attributes:
        cap: A part of zero is not limited.
        used: By its open runs, uncommitted placements and those of this round.
        wanted: Also by the steps that the round considers.
        kept: What is kept free for a step, and the step's place in the order;
            only steps behind it are held back.
        has_waiting: Whether a step that waits only for the cap is among these.
    """

    cap: Resources
    used: Resources
    wanted: Resources = field(init=False)
    kept: list[tuple[tuple[float, ...], Resources]] = field(
        default_factory=list
    )
    has_waiting: bool = False

    def __post_init__(self) -> None:
        """Copies what is used; the round considers no step yet."""
        self.wanted = self.used

    def startable(self, waiting: WaitingStep, used: Resources) -> int:
        """Returns how many tasks may start beside the resources used.

        A single task may also start while less than half of the cap is used,
        so that one larger than the cap runs alone.
        """
        for position, kept in self.kept:
            if position < waiting.sort_key:
                used = used.plus(kept)
        step = waiting.execution.step
        copies = copies_within(self.cap, waiting.execution.resources, used)
        if is_single(step):
            if not copies and is_below_half(self.cap, used):
                copies = 1
            return min(copies, waiting.tasks_left)
        return step.count if copies >= step.count else 0

    def need(self, waiting: WaitingStep) -> Resources | None:
        """Returns what must be free for a step to start, or None for never."""
        step = waiting.execution.step
        resources = waiting.execution.resources
        if is_single(step):
            return Resources(*map(min, resources, limits_of(self.cap)))
        if copies_within(self.cap, resources) < step.count:
            return None
        return resources.times(step.count)


class TenantCaps:
    """The room that the caps leave in a round.

    Uncommitted placements count, and so do runs that are being stopped or
    whose start is unconfirmed, as these are open runs.

    Args:
        job_store: The committed state.
        uncommitted: Resources of placements that are not yet committed, by
            tenant.
        round_number: Number of the round.

    Attributes:
        held_back: Number of steps that only their tenant's cap holds back, by
            tenant.
    """

    def __init__(
        self,
        job_store: JobStore,
        uncommitted: Mapping[str, Resources],
        round_number: int,
    ) -> None:
        """Initialises the caps; no tenant has been looked at."""
        self._job_store = job_store
        self._uncommitted = uncommitted
        self._round_number = round_number
        self._usages: dict[str, _Usage | None] = {}
        self.held_back: Counter[str] = Counter()

    def select(
        self,
        waiting_steps: list[WaitingStep],
        is_prepared: Callable[[WaitingStep], bool],
    ) -> CapSelection:
        """Selects the steps that can start if those before them do.

        Args:
            waiting_steps: The steps that workers suit, in their order.
            is_prepared: Whether a step holds permits or workers, or has
                requested permits.
        """
        split = CapSelection()
        behind: dict[str, list[WaitingStep]] = {}
        for waiting in waiting_steps:
            usage = self._usage_of(waiting)
            if usage is None:
                split.selected.append(waiting)
            elif not usage.startable(waiting, usage.used):
                self.hold_back(waiting)
                split.held_back.append(waiting)
            elif self._want(usage, waiting) or is_prepared(waiting):
                split.selected.append(waiting)
            else:
                behind.setdefault(waiting.job.tenant, []).append(waiting)
        for tenant, steps in behind.items():
            first, last = self._turn(len(steps))
            in_turn = steps[first:last]
            split.held_back += steps[:first] + steps[last:]
            split.selected += in_turn
            self.held_back[tenant] += len(steps) - len(in_turn)
        if behind:
            split.selected.sort(key=lambda waiting: waiting.sort_key)
        return split

    def limited(self, waiting: WaitingStep) -> WaitingStep | None:
        """Returns a step with only the tasks that may start now.

        None if the cap leaves no room: then nothing may be requested, reserved
        or preempted for it.
        """
        usage = self._usage_of(waiting)
        if usage is None:
            return waiting
        startable = usage.startable(waiting, usage.used)
        if not startable:
            self.hold_back(waiting)
            return None
        if startable == waiting.tasks_left:
            return waiting
        return replace(waiting, startable=startable)

    def hold_back(self, waiting: WaitingStep) -> None:
        """Counts a step that waits for the cap, and keeps its part free.

        Only the first step of a tenant has its part kept, so that the others
        behind it can use the rest.
        """
        self.held_back[waiting.job.tenant] += 1
        usage = self._usage_of(waiting)
        if usage is None or usage.has_waiting:
            return
        need = usage.need(waiting)
        if need is not None:
            usage.has_waiting = True
            usage.kept.append((waiting.sort_key, need))

    def keep_for(self, waiting: WaitingStep) -> None:
        """Keeps the part of a gang free for which workers are kept free."""
        usage = self._usage_of(waiting)
        if usage is not None:
            step = waiting.execution.step
            need = waiting.execution.resources.times(step.count)
            usage.kept.append((waiting.sort_key, need))

    def record_start(self, waiting: WaitingStep) -> None:
        """Records that a task of a step was placed."""
        usage = self._usage_of(waiting)
        if usage is not None:
            usage.used = usage.used.plus(waiting.execution.resources)

    def _usage_of(self, waiting: WaitingStep) -> _Usage | None:
        """Returns what a job's tenant uses; None if it has no cap."""
        name = waiting.job.tenant
        if not name:
            return None
        if name not in self._usages:
            self._usages[name] = self._read_usage(name)
        return self._usages[name]

    def _read_usage(self, name: str) -> _Usage | None:
        tenant = self._job_store.tenant(name)
        if tenant is None or not any(tenant.cap):
            return None
        used = self._job_store.tenant_usage(name)
        return _Usage(
            tenant.cap, used.plus(self._uncommitted.get(name, Resources()))
        )

    def _want(self, usage: _Usage, waiting: WaitingStep) -> bool:
        """Whether a step can start beside those before it; counts its tasks."""
        tasks = usage.startable(waiting, usage.wanted)
        resources = waiting.execution.resources.times(tasks)
        usage.wanted = usage.wanted.plus(resources)
        return tasks > 0

    def _turn(self, count: int) -> tuple[int, int]:
        """Returns the first and the end of the steps that have a turn."""
        turn, rest = divmod(self._round_number, _ROUNDS_PER_TURN)
        if rest:
            return 0, 0
        first = turn * _STEPS_IN_TURN % count
        return first, min(first + _STEPS_IN_TURN, count)
