"""Structured logs through eliot, one JSON object a line."""

import os
import sys
import time
import traceback
from collections import Counter
from typing import Any, TextIO

import eliot

from mulberryhitch.errors import Problem

_LINES_PER_SECOND = 400.0
_FAILURES_SHARE = 0.25


class LineBudget:
    """How many lines may still be written.

    A quarter of it is kept for lines that tell of a failure.

    Args:
        lines_per_second: The most lines, over any longer time.
    """

    def __init__(self, lines_per_second: float = _LINES_PER_SECOND) -> None:
        """May write a second's lines at once."""
        self._rate = lines_per_second
        self._left = lines_per_second
        self._filled_at = time.monotonic()

    def take(self, *, failure: bool) -> bool:
        """Whether one more line may be written."""
        now = time.monotonic()
        filled = self._left + (now - self._filled_at) * self._rate
        self._left = min(filled, self._rate)
        self._filled_at = now
        least = 1 if failure else 1 + self._rate * _FAILURES_SHARE
        if self._left < least:
            return False
        self._left -= 1
        return True


class Log:
    """Writes messages that name the process they come from.

    Args:
        member_id: The process.
        budget: Lines over it are counted, but not written; nothing for no
            limit.
    """

    def __init__(
        self, member_id: str, budget: LineBudget | None = None
    ) -> None:
        """Opens nothing: the destination is added by :func:`start_logs`."""
        self._member_id = member_id
        self._budget = budget
        self._left_out = 0
        self.counts: Counter[str] = Counter()

    @property
    def member_id(self) -> str:
        """The process that writes."""
        return self._member_id

    def event(self, event: str, **fields: object) -> None:
        """Writes and counts that something happened."""
        self._write(event, fields, failure=False)

    def problem(self, event: str, problem: Problem, **fields: object) -> None:
        """Writes a failure of a known type."""
        told: dict[str, object] = {
            'code': problem.code,
            'what': problem.what,
            'where': problem.where,
        }
        self._write(event, {**told, **fields}, failure=True)

    def defect(self, event: str, defect: BaseException) -> None:
        """Writes a failure that nobody foresaw, with its stack."""
        told: dict[str, object] = {
            'code': 'internal',
            'what': repr(defect),
            'stack': ''.join(traceback.format_exception(defect)),
        }
        self._write(event, told, failure=True)

    def _write(
        self, event: str, fields: dict[str, object], *, failure: bool
    ) -> None:
        self.counts[event] += 1
        if self._budget is not None:
            if not self._budget.take(failure=failure):
                self._left_out += 1
                return
            if self._left_out:
                fields = {**fields, 'lines_left_out': self._left_out}
                self._left_out = 0
        eliot.log_message(message_type=event, member=self._member_id, **fields)


class LineStream:
    """Writes lines to a descriptor and never waits for its reader.

    A line that the reader has no room for is dropped and counted; the count
    is written with the next line that fits.

    Args:
        descriptor: Of an open pipe or file.
    """

    def __init__(self, descriptor: int) -> None:
        """Makes the descriptor one that never blocks."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self.dropped = 0

    def write(self, text: Any) -> int:
        """Writes whole lines, or drops them."""
        line = text.encode() if isinstance(text, str) else bytes(text)
        if self.dropped:
            line += b'{"message_type":"log.dropped","lines":%d}\n' % (
                self.dropped
            )
        try:
            os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1
        else:
            self.dropped = 0
        return len(text)

    def flush(self) -> None:
        """Has nothing to do."""


def start_logs(stream: TextIO | LineStream | None = None) -> None:
    """Sends the logs of this process to a stream: standard error if none."""
    eliot.to_file(stream or sys.stderr)
