"""The calls that an operation made in search of its group's leader."""

from collections import deque
from dataclasses import asdict, dataclass, field

from mulberryhitch.errors import MulberryhitchError, NotLeaderError

_MAX_LOGGED_ATTEMPTS = 8
_SECONDS_DIGITS = 3


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A call of one scheduler that failed.

    Attributes:
        vm: The VM that was called; empty if none was known.
        seconds: How long the call took.
        code: Code of the error.
        named_leader: The leader that a VM which does not lead named; empty
            if it named none.
    """

    vm: str
    seconds: float
    code: str
    named_leader: str = ''


def named_leader_of(error: MulberryhitchError) -> str:
    """Returns the VM that an error names as the leader; empty if none."""
    if isinstance(error, NotLeaderError):
        return error.where.partition('#')[0]
    return ''


@dataclass(slots=True)
class LeaderSearch:
    """The search of one operation for the leader.

    Attributes:
        known_leader: The leader known at the start; empty if none was.
        count: Number of failed calls.
        latest: The last failed calls.
    """

    known_leader: str
    count: int = 0
    latest: deque[FailedAttempt] = field(
        default_factory=lambda: deque(maxlen=_MAX_LOGGED_ATTEMPTS)
    )

    def record(
        self, vm: str, seconds: float, error: MulberryhitchError
    ) -> None:
        """Records a failed call."""
        self.count += 1
        self.latest.append(
            FailedAttempt(
                vm,
                round(seconds, _SECONDS_DIGITS),
                error.code,
                named_leader_of(error),
            )
        )

    def log_fields(self) -> dict[str, object]:
        """Returns the search as fields of a log line."""
        return {
            'known_leader': self.known_leader,
            'attempt_count': self.count,
            'attempts': [asdict(attempt) for attempt in self.latest],
        }
