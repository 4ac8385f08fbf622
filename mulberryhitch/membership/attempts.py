"""The failed calls of an operation, and what they say about its outcome."""

from collections import deque
from dataclasses import asdict, dataclass, field

import anyio

from mulberryhitch.errors import (
    ConnectionLostError,
    DeadlinePassedError,
    LostAuthorityError,
    MulberryhitchError,
    NoQuorumError,
    NotLeaderError,
    OutcomeUnknownError,
    UnreachableError,
)
from mulberryhitch.outcomes import Outcome

_MAX_LOGGED_ATTEMPTS = 8
_SECONDS_DIGITS = 3
_RETRY_AFTER_SECONDS = 2.0

_NOT_EXECUTED_ERRORS = (
    NotLeaderError,
    UnreachableError,
    DeadlinePassedError,
    LostAuthorityError,
)
_UNKNOWN_OUTCOME_ERRORS = (ConnectionLostError, OutcomeUnknownError)


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """A call of one scheduler that failed.

    Attributes:
        vm: The VM that was called.
        after: When the call began, seconds after the operation did.
        seconds: How long the call took.
        code: Code of the error.
        named_leader: The leader that a VM which does not lead named; empty
            if it named none.
    """

    vm: str
    after: float
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
        began_at: When the search began.
        count: Number of failed calls.
        latest: The last failed calls, in the order in which they ended.
    """

    known_leader: str
    began_at: float
    count: int = 0
    latest: deque[FailedAttempt] = field(
        default_factory=lambda: deque(maxlen=_MAX_LOGGED_ATTEMPTS)
    )

    def record(
        self, vm: str, started_at: float, error: MulberryhitchError
    ) -> None:
        """Records a failed call."""
        self.count += 1
        seconds = anyio.current_time() - started_at
        self.latest.append(
            FailedAttempt(
                vm,
                round(started_at - self.began_at, _SECONDS_DIGITS),
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


@dataclass(slots=True)
class Attempts:
    """The failed calls of one operation.

    Attributes:
        search: Every call, for the log.
        maybe_executed: Whether one of them may have executed the operation.
        rejection: The error with which the leader rejected the operation.
    """

    group: str
    search: LeaderSearch
    maybe_executed: bool = False
    rejection: MulberryhitchError | None = None
    last_error: MulberryhitchError | None = None

    def record(
        self, vm: str, started_at: float, error: MulberryhitchError
    ) -> None:
        """Records a failed call."""
        self.search.record(vm, started_at, error)
        self.last_error = error
        if isinstance(error, _UNKNOWN_OUTCOME_ERRORS):
            self.maybe_executed = True
        elif not isinstance(error, _NOT_EXECUTED_ERRORS):
            self.rejection = error
            self.maybe_executed |= error.outcome is not Outcome.not_run

    def final_error(self) -> MulberryhitchError:
        """Returns the error of the operation, once all calls have ended."""
        error = self.rejection or self._timeout_error()
        if self.maybe_executed and error.outcome is Outcome.not_run:
            error = OutcomeUnknownError(
                f'rejected after a call without a reply: {error.what}',
                where=self.group,
            )
        error.details = self.search
        return error

    def _timeout_error(self) -> MulberryhitchError:
        cause = (
            self.last_error.what
            if self.last_error
            else 'no scheduler could be called in time'
        )
        if self.maybe_executed:
            return OutcomeUnknownError(
                f'the leader did not reply: {cause}', where=self.group
            )
        return NoQuorumError(
            f'no leader was found: {cause}',
            where=self.group,
            retry_after_seconds=_RETRY_AFTER_SECONDS,
        )
