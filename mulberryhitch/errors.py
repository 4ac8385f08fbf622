"""Error types, each with a stable code, an HTTP status and advice.

The registry maps codes to types, so that an error received from a peer is
raised again as its original type.
"""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import ClassVar, Protocol, TypeVar

from mulberryhitch.outcomes import Outcome


@dataclass(frozen=True, slots=True)
class Problem:
    """A serialisable description of an error.

    Attributes:
        code: Stable code of the error's type.
        what: What went wrong, in one sentence.
        where: The field, file or component concerned; may be empty.
        retry_after_seconds: Delay before a retry; zero if none is given.
    """

    code: str
    what: str
    where: str = ''
    retry_after_seconds: float = 0


class ErrorDetails(Protocol):
    """What led to an error; logged where the error is reported."""

    def summary_fields(self) -> dict[str, object]:
        """Returns the short fields that a log line begins with."""

    def log_fields(self) -> dict[str, object]:
        """Returns the other fields of a log line."""


class MulberryhitchError(Exception):
    """Base class of all errors of this project.

    Args:
        what: What went wrong, in one sentence.
        where: The field, file or component concerned.
        retry_after_seconds: Delay before a retry; zero if none is given.

    Attributes:
        details: What led to the error, for the log of this process only.
        code: Stable code, set by :func:`register_error`.
        status: HTTP status of the response.
        outcome: Whether the request may have run.
        advice: What the client or operator should do.
    """

    code: ClassVar[str] = 'internal'
    status: ClassVar[HTTPStatus] = HTTPStatus.INTERNAL_SERVER_ERROR
    outcome: ClassVar[Outcome] = Outcome.not_run
    advice: ClassVar[str] = 'See the log of the VM that responded.'

    def __init__(
        self,
        what: str,
        *,
        where: str = '',
        retry_after_seconds: float = 0,
    ) -> None:
        """Initialises the error."""
        super().__init__(what)
        self.what = what
        self.where = where
        self.retry_after_seconds = retry_after_seconds
        self.details: ErrorDetails | None = None

    @property
    def problem(self) -> Problem:
        """The error as a serialisable problem."""
        return Problem(
            self.code, self.what, self.where, self.retry_after_seconds
        )

    @property
    def summary_fields(self) -> dict[str, object]:
        """The short fields that a log line begins with; may be empty."""
        return self.details.summary_fields() if self.details else {}

    @property
    def log_fields(self) -> dict[str, object]:
        """The details as fields of a log line; empty if there are none."""
        return self.details.log_fields() if self.details else {}

    def forget_frames(self) -> None:
        """Drops the frames that it was raised in, and the errors before it.

        An error that is kept refers to them. If one of them refers to the
        error, all that it holds waits for a garbage collection.
        """
        self.__traceback__ = None
        self.__cause__ = None
        self.__context__ = None


ErrorType = TypeVar('ErrorType', bound=type[MulberryhitchError])

_registry: dict[str, type[MulberryhitchError]] = {}


def register_error(code: str) -> Callable[[ErrorType], ErrorType]:
    """Registers an error type under its code."""

    def register(error_type: ErrorType) -> ErrorType:
        error_type.code = code
        _registry[code] = error_type
        return error_type

    return register


def error_from_problem(problem: Problem) -> MulberryhitchError:
    """Creates the error that a problem describes.

    A problem of an unknown code becomes an :class:`OutcomeUnknownError`.
    """
    error_type = _registry.get(problem.code, OutcomeUnknownError)
    return error_type(
        problem.what,
        where=problem.where,
        retry_after_seconds=problem.retry_after_seconds,
    )


def error_types() -> tuple[type[MulberryhitchError], ...]:
    """Returns all registered types, sorted by code."""
    return tuple(_registry[code] for code in sorted(_registry))


@register_error('invalid_input')
class InvalidInputError(MulberryhitchError):
    """The input does not match the published schema."""

    status = HTTPStatus.BAD_REQUEST
    advice = 'Correct the named field and send the request again.'


@register_error('invalid_settings')
class InvalidSettingsError(MulberryhitchError):
    """A settings file is invalid or can't be read."""

    status = HTTPStatus.BAD_REQUEST
    advice = 'Correct the named setting in the named file.'


@register_error('too_large')
class TooLargeError(MulberryhitchError):
    """The body exceeds its limit."""

    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
    advice = 'Send a smaller body.'


@register_error('headers_too_large')
class HeadersTooLargeError(MulberryhitchError):
    """The headers together exceed their limit."""

    status = HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    advice = 'Send fewer or shorter headers.'


@register_error('unauthenticated')
class UnauthenticatedError(MulberryhitchError):
    """The token is missing or not in the configuration."""

    status = HTTPStatus.UNAUTHORIZED
    advice = 'Send a valid token as "Authorization: Bearer TOKEN".'


@register_error('forbidden')
class ForbiddenError(MulberryhitchError):
    """The token does not permit this operation."""

    status = HTTPStatus.FORBIDDEN
    advice = 'Use a token of the required tenant or role.'


@register_error('not_found')
class NotFoundError(MulberryhitchError):
    """The requested object does not exist."""

    status = HTTPStatus.NOT_FOUND
    advice = 'Check the name; "mulberryhitch list" shows the existing ones.'


@register_error('conflict')
class ConflictError(MulberryhitchError):
    """The request conflicts with another accepted change or request."""

    status = HTTPStatus.CONFLICT
    advice = 'Read the current state, then change or drop the request.'


@register_error('version_conflict')
class VersionConflictError(MulberryhitchError):
    """The configuration changed after the version the request is based on."""

    status = HTTPStatus.PRECONDITION_FAILED
    advice = 'Run "mulberryhitch config show", then apply to that version.'


@register_error('unknown_service')
class UnknownServiceError(MulberryhitchError):
    """No configuration names the service that a worker says it is of."""

    status = HTTPStatus.NOT_FOUND
    advice = 'Add the service to the configuration, or correct its name.'


@register_error('over_quota')
class OverQuotaError(MulberryhitchError):
    """The tenant's quota or limit is exhausted."""

    status = HTTPStatus.TOO_MANY_REQUESTS
    advice = "Retry after some of the tenant's work has ended."


@register_error('overloaded')
class OverloadedError(MulberryhitchError):
    """A limit is reached, or the expected wait exceeds the deadline."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Retry after the time in Retry-After.'


@register_error('impossible')
class ImpossibleError(MulberryhitchError):
    """No worker can ever run the task."""

    status = HTTPStatus.UNPROCESSABLE_ENTITY
    advice = 'Request less per task; "mulberryhitch members" shows sizes.'


@register_error('no_backend_server')
class NoBackendServerError(MulberryhitchError):
    """No backend server of the service can be reached from this VM."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = "Retry; check that the service's servers send announcements."


@register_error('backend_refused')
class BackendRefusedError(MulberryhitchError):
    """The backend server refused the request before starting it."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Retry after the time in Retry-After.'


@register_error('outcome_unknown')
class OutcomeUnknownError(MulberryhitchError):
    """The request may have run, but its response was lost."""

    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
    advice = 'Check the state before sending the request again.'


@register_error('deadline_passed')
class DeadlinePassedError(MulberryhitchError):
    """The deadline passed before the work started."""

    status = HTTPStatus.GATEWAY_TIMEOUT
    advice = 'Set a later deadline, or retry later.'


@register_error('in_progress')
class InProgressError(MulberryhitchError):
    """An earlier request with the same key is still running."""

    status = HTTPStatus.CONFLICT
    outcome = Outcome.unknown
    advice = 'Retry later with the same key to get its response.'


@register_error('completed_before')
class CompletedBeforeError(MulberryhitchError):
    """The request already ran; its response is not stored."""

    status = HTTPStatus.CONFLICT
    outcome = Outcome.completed
    advice = 'Check the effect of the request with the service itself.'


@register_error('not_leader')
class NotLeaderError(MulberryhitchError):
    """This replica is not its group's leader; nothing was done."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Retry; the request is sent to the new leader.'


@register_error('no_quorum')
class NoQuorumError(MulberryhitchError):
    """No leader of the group can be reached."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'See the runbook "A data centre is cut off".'


@register_error('unreachable')
class UnreachableError(MulberryhitchError):
    """No connection could be made; nothing was sent."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Check the peer and the network path to it.'


@register_error('connection_lost')
class ConnectionLostError(MulberryhitchError):
    """The connection was lost after the call was sent."""

    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
    advice = 'Check the state before sending the request again.'


@register_error('protocol')
class ProtocolError(MulberryhitchError):
    """A peer sent a malformed or unsupported message."""

    status = HTTPStatus.BAD_GATEWAY
    outcome = Outcome.unknown
    advice = 'Check that both sides run the same version.'


@register_error('stopping')
class StoppingError(MulberryhitchError):
    """This process is shutting down and accepts no new work."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Retry; the load balancer selects another VM.'


@register_error('storage')
class StorageError(MulberryhitchError):
    """A file could not be written or synced."""

    status = HTTPStatus.INSUFFICIENT_STORAGE
    advice = 'See the runbook "A disk is full or broken".'


@register_error('disk_full')
class DiskFullError(StorageError):
    """The disk is full; data already stored is intact."""


@register_error('damaged')
class DamagedFileError(MulberryhitchError):
    """A file's checksum does not match its content."""

    advice = 'See the runbook "A data folder is damaged".'


@register_error('lost_authority')
class LostAuthorityError(MulberryhitchError):
    """A lease expired before the action that requires it."""

    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'Retry; another VM has taken over.'


@register_error('invariant')
class InvariantError(MulberryhitchError):
    """An invariant would have been violated."""

    outcome = Outcome.unknown
    advice = 'This is a bug: report it with the log of this VM.'
