"""Structured logging with eliot, one JSON object per line."""

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
    """Token bucket that limits log lines.

    A quarter of the bucket is reserved for lines that report failures.

    Args:
        lines_per_second: Maximum sustained rate, and the bucket's size.
    """

    def __init__(self, lines_per_second: float = _MAX_LINES_PER_SECOND) -> None:
        """Initialises a full bucket: one second's lines."""
        self._rate = lines_per_second
        self._available = lines_per_second
        self._refilled_at = time.monotonic()

    def try_acquire(self, *, failure: bool) -> bool:
        """Takes a token if one is available; returns whether it was."""
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
    """Logger of one process.

    Args:
        member_id: The process, named in every message.
        rate_limiter: Lines over its limit are counted but not written; None
            for no limit.

    Attributes:
        counts: Number of messages per event, including suppressed ones.
    """

    def __init__(
        self, member_id: str, rate_limiter: LineRateLimiter | None = None
    ) -> None:
        """Initialises the log; :func:`start_logging` sets its destination."""
        self._member_id = member_id
        self._rate_limiter = rate_limiter
        self._suppressed_lines = 0
        self.counts: Counter[str] = Counter()

    @property
    def member_id(self) -> str:
        """The process that this log belongs to."""
        return self._member_id

    def event(self, event: str, **fields: object) -> None:
        """Logs and counts an event."""
        self._write(event, fields, failure=False)

    def summary(self, event: str, **fields: object) -> None:
        """Logs a periodic summary, from the budget reserved for failures."""
        self._write(event, fields, failure=True)

    def count(self, event: str) -> None:
        """Counts an event without logging it."""
        self.counts[event] += 1

    def problem(self, event: str, problem: Problem, **fields: object) -> None:
        """Logs an error as its problem; the fields keep their order."""
        details: dict[str, object] = {
            'code': problem.code,
            'what': problem.what,
            **fields,
        }
        details.setdefault('where', problem.where)
        self._write(event, details, failure=True)

    def unexpected_error(
        self, event: str, error: BaseException, **fields: object
    ) -> None:
        """Logs an unexpected error with its traceback."""
        details: dict[str, object] = {
            'code': 'internal',
            'what': repr(error),
            'stack': ''.join(traceback.format_exception(error)),
        }
        self._write(event, {**details, **fields}, failure=True)

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
    """Writes lines to a file descriptor without blocking.

    A line that would block is dropped and counted, also one of which only the
    beginning was written; the count is written after the next line that
    succeeds.

    Args:
        descriptor: File descriptor of an open pipe or file.

    Attributes:
        dropped: Lines dropped since the last successful write.
    """

    def __init__(self, descriptor: int) -> None:
        """Sets the descriptor to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._is_line_open = False
        self.dropped = 0

    def write(self, text: Any) -> int:
        """Writes a line, or drops it if writing would block."""
        line = text.encode() if isinstance(text, str) else bytes(text)
        if self.dropped:
            line += b'{"message_type":"log.dropped","lines":%d}\n' % (
                self.dropped
            )
        if self._is_line_open:
            line = b'\n%b' % line
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1
            return len(text)
        self._is_line_open = written < len(line)
        self.dropped = self.dropped + 1 if self._is_line_open else 0
        return len(text)

    def flush(self) -> None:
        """Does nothing; writes are unbuffered."""


def start_logging(stream: TextIO | NonBlockingLineStream | None = None) -> None:
    """Sends this process's logs to a stream; by default to standard error."""
    eliot.to_file(stream or sys.stderr)
