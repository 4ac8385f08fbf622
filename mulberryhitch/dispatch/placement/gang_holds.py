"""How long room is kept free for a gang that can't start yet."""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import chain

from mulberryhitch.jobs.model import Resources, StepKey

# A gang that has just come may keep room for so long ahead.
_MIN_AHEAD_SECONDS = 10.0
# What a start may be late, beside the time that the hold was to take: permits
# and the runs in the way may take longer than expected.
_LATE_SECONDS = 10.0
# How long past the expected start workers are held on while nothing tells when
# the gang starts: a run may just be late.
_BLIND_SECONDS = 2.0
# Estimates are off by up to 90%.
_ESTIMATE_FACTOR = 1.9
# Steps that can't wait respect only a hold whose gang is to start as soon.
_PATIENCE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class StepTimes:
    """What decides whether a step may use room that is held for a gang.

    Attributes:
        now: Seconds on the local clock.
        ends_at: When its tasks would end if they started now; infinite if
            nothing tells. Seconds on the local clock.
        is_patient: Whether it can wait until a gang has started.
    """

    now: float = 0
    ends_at: float = math.inf
    is_patient: bool = True

    def ends_by(self, time: float) -> bool:
        """Whether its tasks should have ended by then, if they start now."""
        seconds = self.ends_at - self.now
        return self.now + seconds * _ESTIMATE_FACTOR <= time

    def ignores(self, until: float) -> bool:
        """Whether it may use room held for a gang that is to start then."""
        if self.is_patient:
            return False
        return abs(until - self.now) > _PATIENCE_SECONDS


@dataclass(frozen=True, slots=True)
class GangHold:
    """Workers kept free for a gang, or a pause in which none are.

    A hold that has not led to a start by twice its planned time ends. It is
    followed by a pause of the same length. One that is let go before, as
    nothing tells any more when the gang starts, is followed by none.

    Attributes:
        workers: Ids of the workers; empty in a pause.
        began_at: When the hold or the pause began, seconds on the local clock.
        starts_by: When the gang was first expected to start; for a pause, its
            end. Seconds on the local clock.
    """

    workers: tuple[str, ...]
    began_at: float
    starts_by: float

    @property
    def is_pause(self) -> bool:
        """Whether the gang may keep nothing now."""
        return not self.workers

    @property
    def ends_at(self) -> float:
        """When it ends at the latest, seconds on the local clock."""
        if self.is_pause:
            return self.starts_by
        return 2 * self.starts_by - self.began_at + _LATE_SECONDS

    def goes_on_blindly(self, now: float) -> bool:
        """Whether it goes on while nothing tells when the gang starts."""
        return now < self.starts_by + _BLIND_SECONDS

    def at(self, now: float) -> 'GangHold | None':
        """Returns what holds at a time: this, a pause after it, or nothing."""
        if now < self.ends_at:
            return self
        if self.is_pause:
            return None
        pause = GangHold((), now, now + (now - self.began_at))
        return pause if now < pause.ends_at else None


Release = tuple[float, Resources]
"""When resources are expected to be released, seconds on the local clock."""


def may_wait_until(starts_at: float, now: float, waited: float) -> bool:
    """Whether room may be kept for a step that is expected to start then.

    It may be kept for no longer than the step has waited itself.

    Args:
        starts_at: When it is expected to start; infinite if nothing tells.
        now: The time now, on the same clock.
        waited: Seconds for which the step has waited.
    """
    return starts_at - now <= max(waited, _MIN_AHEAD_SECONDS)


def workers_of(holds: Iterable[GangHold]) -> set[str]:
    """Returns the ids of all workers that are kept free."""
    return set(chain.from_iterable(hold.workers for hold in holds))


class EarlierHolds:
    """What the last round held, and its pauses.

    Args:
        holds: The holds and pauses, by step.
        now: Seconds on the local clock.

    Attributes:
        workers: Ids of all workers that were kept free.
    """

    def __init__(self, holds: Mapping[StepKey, GangHold], now: float) -> None:
        """Initialises the holds."""
        self.workers = workers_of(holds.values())
        self._holds = holds
        self._now = now

    def of_step(self, key: StepKey) -> GangHold | None:
        """Returns what goes on for a step: a hold, a pause, or nothing."""
        hold = self._holds.get(key)
        return hold.at(self._now) if hold else None

    def pause_of(self, key: StepKey) -> GangHold | None:
        """Returns the pause in which a step may keep nothing, if it has one."""
        hold = self.of_step(key)
        return hold if hold is not None and hold.is_pause else None

    def continued(
        self, key: StepKey, workers: Sequence[str], starts_at: float
    ) -> GangHold:
        """Returns a hold with the times of an earlier one, if that goes on.

        So it ends when that was to, whatever is expected now.

        Args:
            key: The step.
            workers: Ids of the workers to keep free now.
            starts_at: When it is expected to start, seconds on the local clock.
        """
        hold = GangHold(tuple(workers), self._now, starts_at)
        earlier = self.of_step(key)
        if earlier is None:
            return hold
        return replace(
            hold, began_at=earlier.began_at, starts_by=earlier.starts_by
        )
