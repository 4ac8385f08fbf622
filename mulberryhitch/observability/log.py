"""Structured logs through eliot, one JSON object a line."""

import os
import sys
import time
import traceback
from collections import Counter
from typing import Any, TextIO

import eliot

from mulberryhitch.errors import Problem

_MAX_LINES_PER_SECOND = 400.0
_FAILURE_RESERVE_SHARE = 0.25


class LineRateLimiter:
    """How many lines may still be written.

    A quarter of it is kept for lines that tell of a failure.

    Args:
        lines_per_second: The most lines, over any longer time.
    """

    def __init__(self, lines_per_second: float = _MAX_LINES_PER_SECOND) -> None:
        """May write a second's lines at once."""
        self._rate = lines_per_second
        self._available = lines_per_second
        self._refilled_at = time.monotonic()

    def try_acquire(self, *, failure: bool) -> bool:
        """Whether one more line may be written."""
        now = time.monotonic()
        refilled = self._available + (now - self._refilled_at) * self._rate
        self._available = min(refilled, self._rate)
        self._refilled_at = now
        minimum = 1 if failure else 1 + self._rate * _FAILURE_RESERVE_SHARE
        if self._available < minimum:
            return False
        self._available -= 1
        return True


class Log:
    """Writes messages that name the process they come from.

    Args:
        member_id: The process.
        rate_limiter: Lines over it are counted, but not written; nothing for no
            limit.
    """

    def __init__(
        self, member_id: str, rate_limiter: LineRateLimiter | None = None
    ) -> None:
        """Opens nothing: the destination is added by :func:`start_logging`."""
        self._member_id = member_id
        self._rate_limiter = rate_limiter
        self._suppressed_lines = 0
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
        details: dict[str, object] = {
            'code': problem.code,
            'what': problem.what,
            'where': problem.where,
        }
        self._write(event, {**details, **fields}, failure=True)

    def unexpected_error(self, event: str, error: BaseException) -> None:
        """Writes a failure that nobody foresaw, with its stack."""
        details: dict[str, object] = {
            'code': 'internal',
            'what': repr(error),
            'stack': ''.join(traceback.format_exception(error)),
        }
        self._write(event, details, failure=True)

    def _write(
        self, event: str, fields: dict[str, object], *, failure: bool
    ) -> None:
        self.counts[event] += 1
        if self._rate_limiter is not None:
            if not self._rate_limiter.try_acquire(failure=failure):
                self._suppressed_lines += 1
                return
            if self._suppressed_lines:
                fields = {**fields, 'lines_left_out': self._suppressed_lines}
                self._suppressed_lines = 0
        eliot.log_message(message_type=event, member=self._member_id, **fields)


class NonBlockingLineStream:
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


def start_logging(stream: TextIO | NonBlockingLineStream | None = None) -> None:
    """Sends the logs of this process to a stream: standard error if none."""
    eliot.to_file(stream or sys.stderr)
