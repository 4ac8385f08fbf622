"""Holds each tenant's runs within its cap, in one placement round.

Load answered: a tenant whose waiting work is a multiple of its cap, so that most
of its steps could not start even on idle workers.
"""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from mulberryhitch.dispatch.placement.cap_rules import (
    Allowance,
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


class _Room:
    """What a tenant's cap leaves in a round.

    Args:
        limits: The cap, without parts of zero.
        used: Resources of open runs and uncommitted placements.
        lasting: The part of them that does not end.

    Attributes:
        unwanted: What is left by these and the steps that the round considers.
        has_waiting: Whether something is kept for a step that waits only for
            the cap.
    """

    def __init__(
        self, limits: Resources, used: Resources, lasting: Resources
    ) -> None:
        """Initialises the room; nothing is kept free."""
        free = limits.minus(used)
        self._limits = limits
        self._free = free
        # What is left once all runs have ended that do end.
        self._most_free = limits.minus(lasting)
        # What is kept free, and the place in the order of the step that it is
        # kept for; only steps behind it are held back.
        self._kept: list[tuple[tuple[float, ...], Resources]] = []
        self._unkept = Allowance(limits, free)
        self.unwanted = Allowance(limits, free)
        self.has_waiting = False

    def startable(self, waiting: WaitingStep) -> int:
        """Returns how many tasks of a step may start now.

        What is kept for a step before it is not free.
        """
        free = self._free
        for position, kept in self._kept:
            if position < waiting.sort_key:
                free = free.minus(kept)
        allowance = Allowance(self._limits, free)
        execution = waiting.execution
        return allowance.startable(execution.step, execution.resources)

    def want(self, waiting: WaitingStep) -> bool:
        """Whether a step can start beside those before it; counts its tasks."""
        execution = waiting.execution
        tasks = self.unwanted.startable(execution.step, execution.resources)
        if not tasks:
            return False
        wanted = min(tasks, waiting.tasks_left)
        self.unwanted.take(execution.resources, wanted)
        return True

    def can_start_alone(self, waiting: WaitingStep) -> bool:
        """Whether a step can start if no other step does before it.

        The steps have to be passed in their order.
        """
        execution = waiting.execution
        step = execution.step
        return self._unkept.startable(step, execution.resources) > 0

    def keep(self, waiting: WaitingStep) -> bool:
        """Keeps what a step needs to start; returns whether it ever can.

        It can't if long-running steps leave too little: nothing is kept then,
        as no step behind it would start as long as these run.
        """
        execution = waiting.execution
        step, need = execution.step, execution.resources
        if not Allowance(self._limits, self._most_free).startable(step, need):
            return False
        if is_single(step):
            need = Resources(*map(min, need, self._most_free))
        else:
            need = need.times(step.count)
        self._kept.append((waiting.sort_key, need))
        self._unkept.take(need)
        self.unwanted.take(need)
        return True

    def take(self, resources: Resources) -> None:
        """Records that tasks were placed, or soon will be."""
        self._free = self._free.minus(resources)


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
        self._rooms: dict[str, _Room | None] = {}
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
            room = self._room_of(waiting)
            if room is None:
                split.selected.append(waiting)
            elif room.want(waiting):
                split.selected.append(waiting)
            elif not room.can_start_alone(waiting):
                self._hold_back(room, waiting)
                split.held_back.append(waiting)
            elif is_prepared(waiting):
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
        room = self._room_of(waiting)
        if room is None:
            return waiting
        startable = room.startable(waiting)
        if not startable:
            self._hold_back(room, waiting)
            return None
        if startable >= waiting.tasks_left:
            return waiting
        return replace(waiting, startable=startable)

    def keep_for(self, waiting: WaitingStep) -> None:
        """Keeps the part of a gang free for which workers are kept free."""
        room = self._room_of(waiting)
        if room is not None:
            room.keep(waiting)

    def record_start(self, waiting: WaitingStep, tasks: int = 1) -> None:
        """Records that tasks of a step were placed, or soon will be.

        The latter are those for which runs are stopped or end soon.
        """
        room = self._room_of(waiting)
        if room is not None:
            room.take(waiting.execution.resources.times(tasks))

    def _room_of(self, waiting: WaitingStep) -> _Room | None:
        """Returns the room of a job's tenant; None if it has no cap."""
        name = waiting.job.tenant
        if not name:
            return None
        if name not in self._rooms:
            self._rooms[name] = self._read_room(name)
        return self._rooms[name]

    def _read_room(self, name: str) -> _Room | None:
        tenant = self._job_store.tenant(name)
        if tenant is None or not any(tenant.cap):
            return None
        limits = limits_of(tenant.cap)
        used = self._job_store.tenant_usage(name)
        uncommitted = self._uncommitted.get(name, Resources())
        lasting = self._job_store.lasting_usage(name)
        return _Room(limits, used.plus(uncommitted), lasting)

    def _hold_back(self, room: _Room, waiting: WaitingStep) -> None:
        """Counts a step that waits for the cap, and keeps its part free.

        Only the first step of a tenant has its part kept, so that the others
        behind it can use the rest.
        """
        self.held_back[waiting.job.tenant] += 1
        if not room.has_waiting:
            room.has_waiting = room.keep(waiting)

    def _turn(self, count: int) -> tuple[int, int]:
        """Returns the first and the end of the steps that have a turn."""
        turn, rest = divmod(self._round_number, _ROUNDS_PER_TURN)
        if rest:
            return 0, 0
        first = turn * _STEPS_IN_TURN % count
        return first, min(first + _STEPS_IN_TURN, count)
