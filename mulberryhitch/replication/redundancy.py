"""Logs while a group could bear the loss of fewer voters than it is made for."""

from dataclasses import dataclass
from enum import Enum

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.members import Members

_SECONDS_DIGITS = 3
# The next disk may be lost so long after a group has its VMs back.
CHECK_SECONDS = 4.0


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


@dataclass(frozen=True, slots=True)
class Repair:
    """What the replacement of silent voters waits for.

    Attributes:
        state: Why the members don't change now.
        silent_seconds: The silent voters, and for how long each is silent.
        allowed_seconds: For how long a silent voter is waited for.
        learner_lags: The learners, and how many entries each lacks.
    """

    state: RepairState
    silent_seconds: dict[str, float]
    allowed_seconds: float
    learner_lags: dict[str, int]

    @property
    def subject(self) -> tuple[RepairState, frozenset[str], frozenset[str]]:
        """What a further line is written for if it changes."""
        return (
            self.state,
            frozenset(self.silent_seconds),
            frozenset(self.learner_lags),
        )

    def log_fields(self) -> dict[str, object]:
        """Returns the repair as fields of a log line."""
        return {
            'reason': self.state.value,
            'silent': {
                name: round(seconds, _SECONDS_DIGITS)
                for name, seconds in self.silent_seconds.items()
            },
            'allowed_seconds': round(self.allowed_seconds, _SECONDS_DIGITS),
            'learner_lags': self.learner_lags,
        }


class RedundancyReporter:
    """Logs the beginning, each change and the end of a lack of redundancy.

    It logs once for each leadership whether the group is complete, as soon as
    it is, and at the latest after ``CHECK_SECONDS``.

    Args:
        target_voters: Number of voters in a complete group.
        log: Receives the lines.
        started_at: When the leadership began, in seconds.
    """

    def __init__(self, target_voters: int, log: Log, started_at: float) -> None:
        """Initialises the reporter with a complete group."""
        self._target_losses = (target_voters - 1) // 2
        self._log = log
        self._started_at = started_at
        self._is_checked = False
        self._reported: tuple[Redundancy, object] | None = None
        self._began_at = float()

    def report(
        self, redundancy: Redundancy, repair: Repair, now: float
    ) -> None:
        """Logs what differs from the last report.

        Args:
            redundancy: The redundancy of the group now.
            repair: What its repair waits for, if it lacks any.
            now: The time, in seconds.
        """
        is_complete = redundancy.bearable_losses >= self._target_losses
        self._report_check(redundancy, repair, now, is_complete=is_complete)
        if is_complete:
            self._report_end(now)
            return
        if self._reported is None:
            self._began_at = now
        if self._reported == (redundancy, repair.subject):
            return
        self._reported = (redundancy, repair.subject)
        self._log.event(
            'members.degraded',
            voters=redundancy.voters,
            live=redundancy.live,
            bearable_losses=redundancy.bearable_losses,
            target_losses=self._target_losses,
            seconds=round(now - self._began_at, _SECONDS_DIGITS),
            **repair.log_fields(),
        )

    def _report_check(
        self,
        redundancy: Redundancy,
        repair: Repair,
        now: float,
        *,
        is_complete: bool,
    ) -> None:
        led_seconds = now - self._started_at
        if self._is_checked or not (
            is_complete or led_seconds >= CHECK_SECONDS
        ):
            return
        self._is_checked = True
        self._log.event(
            'leadership.checked',
            complete=is_complete,
            led_seconds=round(led_seconds, _SECONDS_DIGITS),
            voters=redundancy.voters,
            live=redundancy.live,
            **({} if is_complete else repair.log_fields()),
        )

    def _report_end(self, now: float) -> None:
        if self._reported is None:
            return
        self._reported = None
        self._log.event(
            'members.complete',
            seconds=round(now - self._began_at, _SECONDS_DIGITS),
        )
