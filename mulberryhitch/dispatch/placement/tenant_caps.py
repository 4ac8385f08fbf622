"""Holds each tenant's runs within its cap, in one placement round.

Load answered: a tenant whose waiting work is a multiple of its cap, so that most
of its steps could not start even on idle workers.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from mulberryhitch.dispatch.placement.cap_rules import (
    Allowance,
    is_single,
    limits_of,
)
from mulberryhitch.dispatch.placement.gang_holds import Release, may_wait_until
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


@dataclass(frozen=True, slots=True)
class CapOutlook:
    """What tells when a step that a cap holds back can start.

    Attributes:
        now: Seconds on the local clock.
        wall_time: Seconds since 1970.
        releases_of: Returns what the runs of a tenant are expected to release.
    """

    now: float = 0
    wall_time: float = 0
    releases_of: Callable[[str], Sequence[Release]] = lambda tenant: ()


@dataclass(frozen=True, slots=True)
class _Kept:
    """What is kept free for a step.

    Attributes:
        position: The place of the step in the order; only steps behind it are
            held back.
        until: When it is expected to start, seconds on the local clock.
    """

    position: tuple[float, ...]
    resources: Resources
    until: float

    def holds_back(self, waiting: WaitingStep) -> bool:
        """Whether a step may not use what is kept."""
        is_behind = self.position < waiting.sort_key
        times = waiting.times
        return is_behind and not (
            times.ends_by(self.until) or times.ignores(self.until)
        )


class _Room:
    """What a tenant's cap leaves in a round.

    Args:
        limits: The cap, without parts of zero.
        used: Resources of open runs and uncommitted placements.
        lasting: The part of them that does not end.
        outlook: The time.
        read_releases: Returns what the runs are expected to release, the first
            one first.

    Attributes:
        unwanted: What is left by these and the steps that the round considers.
        has_waiting: Whether something is kept for a step that waits only for
            the cap.
    """

    def __init__(
        self,
        limits: Resources,
        used: Resources,
        lasting: Resources,
        outlook: CapOutlook,
        read_releases: Callable[[], Sequence[Release]],
    ) -> None:
        """Initialises the room; nothing is kept free."""
        free = limits.minus(used)
        self._limits = limits
        self._free = free
        # What is left once all runs have ended that do end.
        self._most_free = limits.minus(lasting)
        self._outlook = outlook
        self._read_releases = read_releases
        self._kept: list[_Kept] = []
        self._unkept = Allowance(limits, free)
        # What is left to steps that end before those that something is kept
        # for can start.
        self._unwanted_before = Allowance(limits, free)
        self.unwanted = Allowance(limits, free)
        self.has_waiting = False

    def startable(self, waiting: WaitingStep) -> int:
        """Returns how many tasks of a step may start now.

        What is kept for a step before it is not free, unless it ends before
        that step can start.
        """
        free = self._free
        for kept in self._kept:
            if kept.holds_back(waiting):
                free = free.minus(kept.resources)
        allowance = Allowance(self._limits, free)
        execution = waiting.execution
        return allowance.startable(execution.step, execution.resources)

    def want(self, waiting: WaitingStep) -> bool:
        """Whether a step can start beside those before it; counts its tasks."""
        execution = waiting.execution
        passes = not any(kept.holds_back(waiting) for kept in self._kept)
        allowance = self._unwanted_before if passes else self.unwanted
        tasks = allowance.startable(execution.step, execution.resources)
        if not tasks:
            return False
        wanted = min(tasks, waiting.tasks_left)
        self._unwanted_before.take(execution.resources, wanted)
        if self.unwanted.startable(execution.step, execution.resources):
            self.unwanted.take(execution.resources, wanted)
        return True

    def can_start_alone(self, waiting: WaitingStep) -> bool:
        """Whether a step can start if no other step does before it.

        The steps have to be passed in their order.
        """
        execution = waiting.execution
        step = execution.step
        allowance = self._unkept
        if not any(kept.holds_back(waiting) for kept in self._kept):
            allowance = Allowance(self._limits, self._free)
        return allowance.startable(step, execution.resources) > 0

    def keep_until_start(self, waiting: WaitingStep) -> bool:
        """Keeps what a step needs; returns whether it is known when it starts.

        Nothing is kept for a step that waits for runs without an expected end,
        or for long: the steps behind it would wait as well.
        """
        starts_at = self._expected_start(waiting)
        waited = self._outlook.wall_time - waiting.due
        if not may_wait_until(starts_at, self._outlook.now, waited):
            return False
        self.keep(waiting, starts_at)
        return True

    def keep(self, waiting: WaitingStep, until: float) -> None:
        """Keeps what a step needs until it is expected to start."""
        step, need = waiting.execution.step, waiting.execution.resources
        if is_single(step):
            need = Resources(*map(min, need, self._limits))
        else:
            need = need.times(step.count)
        self._kept.append(_Kept(waiting.sort_key, need, until))
        self._unkept.take(need)
        self.unwanted.take(need)

    def take(self, resources: Resources) -> None:
        """Records that tasks were placed, or soon will be."""
        self._free = self._free.minus(resources)

    def _expected_start(self, waiting: WaitingStep) -> float:
        """Returns when a step is expected to fit; infinite if never."""
        if not self._fits(waiting, self._most_free):
            return math.inf
        free = self._free
        if self._fits(waiting, free):
            return self._outlook.now
        for ends_at, released in self._read_releases():
            free = free.plus(released)
            if self._fits(waiting, free):
                return ends_at
        return math.inf

    def _fits(self, waiting: WaitingStep, free: Resources) -> bool:
        execution = waiting.execution
        allowance = Allowance(self._limits, free)
        return allowance.startable(execution.step, execution.resources) > 0


class TenantCaps:
    """The room that the caps leave in a round.

    Uncommitted placements count, and so do runs that are being stopped or
    whose start is unconfirmed, as these are open runs.

    Args:
        job_store: The committed state.
        uncommitted: Resources of placements that are not yet committed, by
            tenant.
        round_number: Number of the round.
        outlook: When steps that the caps hold back can start.

    Attributes:
        held_back: Number of steps that only their tenant's cap holds back, by
            tenant.
    """

    def __init__(
        self,
        job_store: JobStore,
        uncommitted: Mapping[str, Resources],
        round_number: int,
        outlook: CapOutlook | None = None,
    ) -> None:
        """Initialises the caps; no tenant has been looked at."""
        self._job_store = job_store
        self._uncommitted = uncommitted
        self._round_number = round_number
        self._outlook = outlook or CapOutlook()
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

    def keep_for(self, waiting: WaitingStep, until: float) -> None:
        """Keeps the part of a gang free for which workers are kept free.

        Args:
            waiting: The gang.
            until: When it is expected to start, seconds on the local clock.
        """
        room = self._room_of(waiting)
        if room is not None:
            room.keep(waiting, until)

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
        return _Room(
            limits,
            used.plus(uncommitted),
            self._job_store.lasting_usage(name),
            self._outlook,
            lambda: self._outlook.releases_of(name),
        )

    def _hold_back(self, room: _Room, waiting: WaitingStep) -> None:
        """Counts a step that waits for the cap, and keeps its part free.

        Only the first step of a tenant has its part kept, so that the others
        behind it can use the rest.
        """
        self.held_back[waiting.job.tenant] += 1
        if not room.has_waiting:
            room.has_waiting = room.keep_until_start(waiting)

    def _turn(self, count: int) -> tuple[int, int]:
        """Returns the first and the end of the steps that have a turn."""
        turn, rest = divmod(self._round_number, _ROUNDS_PER_TURN)
        if rest:
            return 0, 0
        first = turn * _STEPS_IN_TURN % count
        return first, min(first + _STEPS_IN_TURN, count)
