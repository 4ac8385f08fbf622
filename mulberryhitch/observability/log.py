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
        self.counts: Counter[str] = Counter()

    @property
    def member_id(self) -> str:
        """The process that writes."""
        return self._member_id

    def event(self, event: str, **fields: object) -> None:
        """Writes and counts that something happened."""
        self.counts[event] += 1
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


class LineStream:
    """Writes lines to a descriptor and never waits for its reader.

    A line that the reader has no room for, or over the rate, is dropped and
    counted; the count is written with the next line that fits.

    Args:
        descriptor: Of an open pipe or file.
        lines_per_second: The most lines, over any longer time.
    """

    def __init__(
        self, descriptor: int, lines_per_second: float = _LINES_PER_SECOND
    ) -> None:
        """Makes the descriptor one that never blocks."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._rate = lines_per_second
        self._tokens = lines_per_second
        self._filled_at = time.monotonic()
        self.dropped = 0

    def write(self, text: Any) -> int:
        """Writes whole lines, or drops them."""
        now = time.monotonic()
        filled = self._tokens + (now - self._filled_at) * self._rate
        self._tokens = min(filled, self._rate)
        self._filled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return len(text)
        self._tokens -= 1
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
