"""Structured logs through eliot, one JSON object a line."""

import sys
import traceback
from typing import TextIO

import eliot

from mulberryhitch.errors import Problem


class Log:
    """Writes messages that name the process they come from.

    Args:
        member_id: The process.
        stream: Where lines go; standard error if none is given.
    """

    def __init__(self, member_id: str, stream: TextIO | None = None) -> None:
        """Opens nothing: the destination is added by :func:`start_logs`."""
        self._member_id = member_id
        self._stream = stream

    @property
    def member_id(self) -> str:
        """The process that writes."""
        return self._member_id

    def event(self, event: str, **fields: object) -> None:
        """Writes that something happened."""
        eliot.log_message(message_type=event, member=self._member_id, **fields)

    def problem(self, event: str, problem: Problem, **fields: object) -> None:
        """Writes a failure of a known type."""
        self.event(
            event,
            code=problem.code,
            what=problem.what,
            where=problem.where,
            **fields,
        )

    def defect(self, event: str, defect: BaseException) -> None:
        """Writes a failure that nobody foresaw, with its stack."""
        self.event(
            event,
            code='internal',
            what=repr(defect),
            stack=''.join(traceback.format_exception(defect)),
        )


def start_logs(stream: TextIO | None = None) -> None:
    """Sends the logs of this process to a stream: standard error if none."""
    eliot.to_file(stream or sys.stderr)
