"""The failed calls of an operation, and what they say about its outcome."""

from collections import Counter
from dataclasses import asdict, dataclass, field
from types import MappingProxyType

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
from mulberryhitch.membership.known_group import ReplicaView
from mulberryhitch.membership.recovery import recovery_seconds_left
from mulberryhitch.outcomes import Outcome

_MAX_LOGGED_ATTEMPTS = 8
_SECONDS_DIGITS = 3

_NOT_EXECUTED_ERRORS = (
    NotLeaderError,
    UnreachableError,
    DeadlinePassedError,
    LostAuthorityError,
)
_UNKNOWN_OUTCOME_ERRORS = (ConnectionLostError, OutcomeUnknownError)
_SILENCES = MappingProxyType(
    {
        DeadlinePassedError.code: ', its VM takes no connection',
        UnreachableError.code: ', its VM takes no connection',
        NotLeaderError.code: ', its VM denies it',
        LostAuthorityError.code: ', its VM has no lease',
    }
)


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
        latest: The last failed calls, in the order in which they ended; the
            last one of each VM is kept the longest.
        last_codes: The code of the last failed call of each VM.
        told: What the last VM that does not lead told; empty if none did.
        replica: What this process's replica knows; ``None`` if it has none.
    """

    known_leader: str
    began_at: float
    count: int = 0
    latest: list[FailedAttempt] = field(default_factory=list)
    last_codes: dict[str, str] = field(default_factory=dict)
    told: str = ''
    replica: ReplicaView | None = None

    @property
    def cause(self) -> str:
        """Why no leader was found, as far as this process can know."""
        if self.replica is None:
            return self.told
        return self.replica.statement + self._leader_silence()

    def record(
        self, vm: str, started_at: float, error: MulberryhitchError
    ) -> None:
        """Records a failed call."""
        self.count += 1
        if len(self.latest) >= _MAX_LOGGED_ATTEMPTS:
            self.latest.remove(self._least_needed())
        self.last_codes[vm] = error.code
        if isinstance(error, NotLeaderError):
            self.told = f'{vm} tells: {error.what}'
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

    def summary_fields(self) -> dict[str, object]:
        """Returns what this process's replica knows."""
        return self.replica.log_fields() if self.replica else {}

    def log_fields(self) -> dict[str, object]:
        """Returns the search as fields of a log line."""
        return {
            'known_leader': self.known_leader,
            'attempt_count': self.count,
            'attempts': [asdict(attempt) for attempt in self.latest],
        }

    def _least_needed(self) -> FailedAttempt:
        """Returns the oldest attempt of a VM that has a newer one, if any."""
        counts = Counter(attempt.vm for attempt in self.latest)
        repeated = (one for one in self.latest if counts[one.vm] > 1)
        return next(repeated, self.latest[0])

    def _leader_silence(self) -> str:
        leader_vm = self.replica.leader_vm if self.replica else ''
        if not leader_vm:
            return ''
        code = self.last_codes.get(leader_vm)
        return _SILENCES.get(code, '') if code else ', not called in time'


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
        error.forget_frames()
        self.last_error = error
        if isinstance(error, _UNKNOWN_OUTCOME_ERRORS):
            self.maybe_executed = True
        elif not isinstance(error, _NOT_EXECUTED_ERRORS):
            self.rejection = error
            self.maybe_executed |= error.outcome is not Outcome.not_run

    def final_error(
        self,
        replica: ReplicaView | None = None,
        leaderless_seconds: float = 0,
    ) -> MulberryhitchError:
        """Returns the error of the operation, once all calls have ended.

        Args:
            replica: What this process's replica knows now.
            leaderless_seconds: How long no leader has been found.
        """
        self.search.replica = replica
        error = self.rejection or self._timeout_error(leaderless_seconds)
        if self.maybe_executed and error.outcome is Outcome.not_run:
            error = OutcomeUnknownError(
                f'rejected after a call without a reply: {error.what}',
                where=self.group,
            )
        error.details = self.search
        return error

    def _timeout_error(self, leaderless_seconds: float) -> MulberryhitchError:
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
            f'no leader was found: {self.search.cause or cause}',
            where=self.group,
            retry_after_seconds=recovery_seconds_left(leaderless_seconds),
        )
