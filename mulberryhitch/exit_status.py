"""Exit statuses of the programs."""

from enum import IntEnum

from mulberryhitch.errors import (
    InvalidInputError,
    InvalidSettingsError,
    InvariantError,
    MulberryhitchError,
    StorageError,
)
from mulberryhitch.outcomes import Outcome


class ExitStatus(IntEnum):
    """What a program tells its shell.

    Attributes:
        ok: It did what was asked.
        failed: The work ran and failed.
        usage: The command or its input is wrong.
        settings: A settings file can't be used.
        storage: The data folder can't be used.
        invariant: A rule that must always hold was about to be broken.
        cut_off: A second signal or the limit ended the graceful stop.
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
    InvariantError: ExitStatus.invariant,
}


def exit_status_of(error: MulberryhitchError) -> ExitStatus:
    """The exit status of a failure."""
    known = _STATUSES_BY_ERROR_TYPE.get(error.__class__)
    if known is not None:
        return known
    if error.outcome is Outcome.unknown:
        return ExitStatus.unknown
    return ExitStatus.not_run
