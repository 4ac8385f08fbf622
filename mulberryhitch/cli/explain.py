"""Merges the log lines of many processes about one request or job."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from mulberryhitch.errors import InvalidInputError, NotFoundError

_CONTEXT_SECONDS = 2.0
_STANDARD_INPUT = Path('-')
_HIDDEN_FIELDS = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'member', 'job')
)
_WORKER_EVENTS = frozenset(
    ('worker.silent', 'worker.gone', 'worker.slow', 'worker.told')
)
_CELL_EVENTS = frozenset(
    (
        'replica.leads',
        'replica.leads_no_more',
        'dispatcher.began',
        'dispatcher.ended',
        'dispatcher.deposed',
        'leader.lost',
        'leader.found',
        'configuration.in_force',
        'scheduler.started',
        'scheduler.stopped',
        'entry.started',
        'entry.stopped',
    ),
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of one process.

    Attributes:
        timestamp: Seconds since 1970, on the writer's clock.
        is_match: Whether it contains the searched identifier; otherwise it
            is shown as context.
    """

    timestamp: float
    member: str
    event: str
    fields: dict[str, Any]
    is_match: bool

    def row(self, since: float) -> dict[str, Any]:
        """Returns the table row of the line.

        Args:
            since: Timestamp of the first line of the timeline.
        """
        details = ' '.join(
            f'{name}={orjson.dumps(value).decode()}'
            for name, value in self.fields.items()
            if name not in _HIDDEN_FIELDS
        )
        return {
            'seconds': f'{self.timestamp - since:.3f}',
            'process': self.member,
            'event': self.event if self.is_match else f'({self.event})',
            'told': details,
        }


class TimelineBuilder:
    """Builds the timeline of one identifier.

    Args:
        searched_id: Identifier of a job, task or request.

    Attributes:
        malformed_count: Number of lines that could not be parsed.
    """

    def __init__(self, searched_id: str) -> None:
        """Initialises an empty timeline."""
        self._searched_id = searched_id
        self._matching_lines: list[LogLine] = []
        self._context_lines: list[LogLine] = []
        self.malformed_count = 0

    def add_lines(self, lines: Iterable[bytes]) -> None:
        """Adds the lines of one process and counts those that are malformed."""
        searched_id = self._searched_id.encode()
        for raw in lines:
            is_match = searched_id in raw
            line = self._parse(raw, is_match)
            if line is None:
                self.malformed_count += 1
            elif is_match:
                self._matching_lines.append(line)
            elif line.event in _CELL_EVENTS or line.event in _WORKER_EVENTS:
                self._context_lines.append(line)

    def build(self) -> list[LogLine]:
        """Returns matching lines and events near them, ordered by time.

        Raises:
            NotFoundError: No line contains the identifier.
        """
        if not self._matching_lines:
            raise NotFoundError(
                'no log line contains this identifier', where=self._searched_id
            )
        first = (
            min(line.timestamp for line in self._matching_lines)
            - _CONTEXT_SECONDS
        )
        last = (
            max(line.timestamp for line in self._matching_lines)
            + _CONTEXT_SECONDS
        )
        workers = {line.fields.get('worker') for line in self._matching_lines}
        context = [
            line
            for line in self._context_lines
            if first <= line.timestamp <= last
            and (
                line.event in _CELL_EVENTS
                or line.fields.get('worker') in workers
            )
        ]
        return sorted(
            self._matching_lines + context, key=lambda line: line.timestamp
        )

    def _parse(self, raw: bytes, is_match: bool) -> LogLine | None:
        # The benchmarks and some log collectors prefix the time and the VM.
        start = raw.find(b'{')
        try:
            fields = orjson.loads(raw[max(start, 0) :])
            return LogLine(
                float(fields['timestamp']),
                str(fields['member']),
                str(fields['message_type']),
                fields,
                is_match,
            )
        except (ValueError, KeyError, TypeError):
            return None


def read_logs(files: Iterable[Path]) -> Iterator[list[bytes]]:
    """Yields the lines of each file.

    Reads standard input for ``-``, or if no file is given.

    Raises:
        InvalidInputError: A file cannot be read.
    """
    for path in tuple(files) or (_STANDARD_INPUT,):
        if path == _STANDARD_INPUT:
            yield sys.stdin.buffer.readlines()
            continue
        try:
            yield path.read_bytes().splitlines()
        except OSError as error:
            raise InvalidInputError(str(error), where=str(path)) from error
