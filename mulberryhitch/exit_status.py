"""Exit statuses of the programs."""

from enum import IntEnum

from mulberryhitch.errors import (
    DiskFullError,
    InvalidInputError,
    InvalidSettingsError,
    InvariantError,
    MulberryhitchError,
    StorageError,
)
from mulberryhitch.outcomes import Outcome


class ExitStatus(IntEnum):
    """Exit status of a program.

    Attributes:
        ok: The program succeeded.
        failed: The work ran and failed.
        usage: The command line or its input is invalid.
        settings: A settings file is invalid.
        storage: The data folder can't be used.
        invariant: An invariant would have been violated.
        cut_off: A second SIGINT ended the graceful shutdown.
        not_run: The request did not run.
        unknown: The request may have run.
    """

    ok = 0
    failed = 1
    usage = 2
    settings = 3
    storage = 4
    invariant = 5
    cut_off = 6
    not_run = 10
    unknown = 11


_STATUSES_BY_ERROR_TYPE: dict[type[MulberryhitchError], ExitStatus] = {
    InvalidInputError: ExitStatus.usage,
    InvalidSettingsError: ExitStatus.settings,
    StorageError: ExitStatus.storage,
    DiskFullError: ExitStatus.storage,
    InvariantError: ExitStatus.invariant,
}


def exit_status_of(error: MulberryhitchError) -> ExitStatus:
    """Returns the exit status for an error."""
    status = _STATUSES_BY_ERROR_TYPE.get(error.__class__)
    if status is not None:
        return status
    if error.outcome is Outcome.unknown:
        return ExitStatus.unknown
    return ExitStatus.not_run
