"""Every failure: a type with a code, what was wrong, where, and advice.

The registry maps a code to its type, so that a failure that crossed a
connection is raised again as what it was.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import ClassVar, TypeVar

from mulberryhitch.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class Problem:
    """A failure as data, fit to cross a connection.

    Attributes:
        code: The stable code of the failure's type.
        what: What was wrong, in one sentence.
        where: The field, file or part concerned; may be empty.
        retry_after_seconds: When to try again; zero if not at all.
    """

    code: str
    what: str
    where: str = ''
    retry_after_seconds: float = 0


class MulberryhitchError(Exception):
    """The base of all failures.

    Args:
        what: What was wrong, in one sentence.
        where: The field, file or part concerned.
        retry_after_seconds: When to try again; zero if not at all.
    """

    code: ClassVar[str] = 'internal'
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    outcome: ClassVar[Outcome] = Outcome.not_run
    advice: ClassVar[str] = 'Look at the log of the VM that answered.'

    def __init__(
        self,
        what: str,
        *,
        where: str = '',
        retry_after_seconds: float = 0,
    ) -> None:
        """Keeps the particulars."""
        super().__init__(what)
        self.what = what
        self.where = where
        self.retry_after_seconds = retry_after_seconds

    @property
    def problem(self) -> Problem:
        """The failure as data."""
        return Problem(
            self.code, self.what, self.where, self.retry_after_seconds
        )


ErrorType = TypeVar('ErrorType', bound=type[MulberryhitchError])

_registry: dict[str, type[MulberryhitchError]] = {}


def register_error(code: str) -> Callable[[ErrorType], ErrorType]:
    """Registers a failure's type under its code."""

    def register(error_type: ErrorType) -> ErrorType:
        error_type.code = code
        _registry[code] = error_type
        return error_type

    return register


def error_from_problem(problem: Problem) -> MulberryhitchError:
    """Builds the failure that a problem describes."""
    error_type = _registry.get(problem.code, MulberryhitchError)
    return error_type(
        problem.what,
        where=problem.where,
        retry_after_seconds=problem.retry_after_seconds,
    )


def error_types() -> tuple[type[MulberryhitchError], ...]:
    """All registered types, in the order of their codes."""
    return tuple(_registry[code] for code in sorted(_registry))


@register_error('invalid_input')
class InvalidInputError(MulberryhitchError):
    """A caller's input does not fit the published schema."""

    status = HTTPStatus.BAD_REQUEST
    advice = 'Correct the named field and send the request again.'


@register_error('invalid_settings')
class InvalidSettingsError(MulberryhitchError):
    """A settings file can't be used."""

    status = HTTPStatus.BAD_REQUEST
    advice = 'Correct the named path in the named file.'


@register_error('too_large')
class TooLargeError(MulberryhitchError):
    """A body or header is over its limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    advice = 'Send a smaller body.'


@register_error('headers_too_large')
class HeadersTooLargeError(MulberryhitchError):
    """The headers together are over their limit."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    advice = 'Send fewer or shorter headers.'


@register_error('unauthenticated')
class UnauthenticatedError(MulberryhitchError):
    """No token, or one that the configuration does not know."""

    status = HTTPStatus.UNAUTHORIZED
    advice = 'Send a known token as "Authorization: Bearer TOKEN".'


@register_error('forbidden')
class ForbiddenError(MulberryhitchError):
    """The token's holder may not do this."""

    status = HTTPStatus.FORBIDDEN
    advice = 'Use a token of the tenant or role concerned.'


@register_error('not_found')
class NotFoundError(MulberryhitchError):
    """No such thing."""

    status = HTTPStatus.NOT_FOUND
    advice = 'Check the name; "mulberryhitch list" shows what there is.'


@register_error('conflict')
class ConflictError(MulberryhitchError):
    """Another accepted change or request stands in the way."""

    status = HTTPStatus.CONFLICT
    advice = 'Read the state in force, then decide again.'


@register_error('version_conflict')
class VersionConflictError(MulberryhitchError):
    """Another operator's configuration change came first."""

    status = HTTPStatus.PRECONDITION_FAILED
    advice = 'Run "mulberryhitch config show", then apply on that version.'


@register_error('over_quota')
class OverQuotaError(MulberryhitchError):
    """The tenant's quota or bound is used up."""

    status = HTTPStatus.TOO_MANY_REQUESTS
    advice = "Wait for the tenant's own work to end, then try again."


@register_error('overloaded')
class OverloadedError(MulberryhitchError):
    """The expected wait is longer than the request may take."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Try again after the time in Retry-After.'


@register_error('impossible')
class ImpossibleError(MulberryhitchError):
    """No worker can ever carry the task."""

    status = HTTPStatus.UNPROCESSABLE_ENTITY
    advice = 'Ask for less per task; "mulberryhitch members" shows sizes.'


@register_error('no_backend_server')
class NoBackendServerError(MulberryhitchError):
    """No backend server of the service can be reached from here."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Try again; check that the service's servers announce."


@register_error('backend_refused')
class BackendRefusedError(MulberryhitchError):
    """The backend server refused the request before any work."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Try again after the time in Retry-After.'


@register_error('outcome_unknown')
class OutcomeUnknownError(MulberryhitchError):
    """The request may have run: its answer was lost."""

    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
    advice = 'Ask for the state before you send it again.'


@register_error('deadline_passed')
class DeadlinePassedError(MulberryhitchError):
    """The deadline passed before the work was begun."""

    status = HTTPStatus.GATEWAY_TIMEOUT
    advice = 'Allow more time, or try again later.'


@register_error('in_progress')
class InProgressError(MulberryhitchError):
    """The same request, sent before, is still being carried out."""

    status = HTTPStatus.CONFLICT
    outcome = Outcome.unknown
    advice = 'Send it again with the same key, later, for its answer.'


@register_error('completed_before')
class CompletedBeforeError(MulberryhitchError):
    """The request ran before; its answer was too long to be kept."""

    status = HTTPStatus.CONFLICT
    outcome = Outcome.completed
    advice = 'Ask the service itself for what the request did.'


@register_error('not_leader')
class NotLeaderError(MulberryhitchError):
    """This replica does not lead its group; nothing was done."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Try again; the request goes to the new leader.'


@register_error('no_quorum')
class NoQuorumError(MulberryhitchError):
    """The group has no leader that can be reached."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'See the runbook "A data centre is cut off".'


@register_error('unreachable')
class UnreachableError(MulberryhitchError):
    """No connection could be made; nothing was sent."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Check the peer and the network between.'


@register_error('connection_lost')
class ConnectionLostError(MulberryhitchError):
    """The connection broke after the call was sent."""

    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
    advice = 'Ask for the state before you send it again.'


@register_error('protocol')
class ProtocolError(MulberryhitchError):
    """A peer sent what can't be read."""

    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
    advice = 'Check that both sides run the same version.'


@register_error('stopping')
class StoppingError(MulberryhitchError):
    """This process is shutting down and takes nothing new."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Send it again; the balancer picks another VM.'


@register_error('storage')
class StorageError(MulberryhitchError):
    """A file could not be written or synced."""

    status = HTTPStatus.INSUFFICIENT_STORAGE
    advice = 'See the runbook "A disk is full or broken".'


@register_error('disk_full')
class DiskFullError(StorageError):
    """A disk took no more bytes; what it held before is unharmed."""


@register_error('damaged')
class DamagedFileError(MulberryhitchError):
    """A file's checksum does not match its content."""

    advice = 'See the runbook "A data folder is damaged".'


@register_error('lost_authority')
class LostAuthorityError(MulberryhitchError):
    """A lease ran out before the action it was to cover."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Try again; another VM has taken over.'


@register_error('invariant')
class InvariantError(MulberryhitchError):
    """A rule that must always hold was about to be broken."""

    outcome = Outcome.unknown
    advice = 'This is a defect: report it with the log of this VM.'
