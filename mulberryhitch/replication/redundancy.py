"""Logs while a group could bear the loss of fewer voters than it is made for."""

from dataclasses import dataclass
from enum import Enum

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.members import Members


class RepairState(str, Enum):  # noqa: WPS600
    """Why the members of an incomplete group don't change now."""

    not_ready = 'no entry of the term is committed'
    change_open = 'a change of the members is not committed'
    may_return = 'the voter may return'
    no_learner = 'there is no learner'
    learner_behind = 'no learner has caught up'
    due = 'a change is due'


@dataclass(frozen=True, slots=True)
class Redundancy:
    """How many voters there are, and how many of them answer the leader."""

    voters: int
    live: int

    @classmethod
    def of(cls, members: Members, silent: set[str]) -> 'Redundancy':
        """Returns the redundancy of a group in which some are silent."""
        live = set(members.voters) - silent
        return cls(len(members.voters), len(live))

    @property
    def bearable_losses(self) -> int:
        """Returns how many more voters may be lost; negative without quorum."""
        return self.live - (self.voters // 2 + 1)


class RedundancyReporter:
    """Logs the beginning, each change and the end of a lack of redundancy.

    Args:
        target_voters: Number of voters in a complete group.
        log: Receives the lines.
    """

    def __init__(self, target_voters: int, log: Log) -> None:
        """Initialises the reporter with a complete group."""
        self._target_losses = (target_voters - 1) // 2
        self._log = log
        self._reported: tuple[Redundancy, RepairState] | None = None
        self._began_at = float()

    def report(
        self, redundancy: Redundancy, repair_state: RepairState, now: float
    ) -> None:
        """Logs what differs from the last report.

        Args:
            redundancy: The redundancy of the group now.
            repair_state: Why the members don't change, if it lacks any.
            now: The time, in seconds.
        """
        if redundancy.bearable_losses >= self._target_losses:
            self._report_end(now)
            return
        if self._reported is None:
            self._began_at = now
        if self._reported == (redundancy, repair_state):
            return
        self._reported = (redundancy, repair_state)
        self._log.event(
            'members.degraded',
            voters=redundancy.voters,
            live=redundancy.live,
            bearable_losses=redundancy.bearable_losses,
            target_losses=self._target_losses,
            reason=repair_state.value,
            seconds=round(now - self._began_at, 3),
        )

    def _report_end(self, now: float) -> None:
        if self._reported is None:
            return
        self._reported = None
        self._log.event(
            'members.complete', seconds=round(now - self._began_at, 3)
        )
