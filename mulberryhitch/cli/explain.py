"""Puts together what many processes' logs tell of one request or job."""

import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from mulberryhitch.errors import InvalidInputError, NotFoundError

_AROUND_SECONDS = 2.0
_STANDARD_INPUT = Path('-')
_NOT_SHOWN = frozenset(
    ('timestamp', 'task_uuid', 'task_level', 'message_type', 'member', 'job')
)
_OF_A_WORKER = frozenset(
    ('worker.silent', 'worker.gone', 'worker.slow', 'worker.told')
)
_OF_ALL = frozenset(
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
    """One line of one process.

    Attributes:
        at: Seconds since 1970, by its writer's clock.
        about: Whether it names what was asked for, or happened near it.
    """

    at: float
    member: str
    event: str
    fields: dict[str, Any]
    about: bool

    def row(self, since: float) -> dict[str, Any]:
        """The line as it is shown, with the seconds since the first."""
        told = ' '.join(
            f'{name}={orjson.dumps(value).decode()}'
            for name, value in self.fields.items()
            if name not in _NOT_SHOWN
        )
        return {
            'seconds': f'{self.at - since:.3f}',
            'process': self.member,
            'event': self.event if self.about else f'({self.event})',
            'told': told,
        }


class Explanation:
    """The timeline of one id.

    Args:
        wanted: A job's, task's or request's id.
    """

    def __init__(self, wanted: str) -> None:
        """Has read nothing."""
        self._wanted = wanted
        self._lines: list[LogLine] = []
        self._other: list[LogLine] = []
        self.unread = 0

    def read(self, lines: Iterable[bytes]) -> None:
        """Takes the lines of one process; those that are no log are counted."""
        wanted = self._wanted.encode()
        for raw in lines:
            about = wanted in raw
            line = self._parse(raw, about)
            if line is None:
                self.unread += 1
            elif about:
                self._lines.append(line)
            elif line.event in _OF_ALL or line.event in _OF_A_WORKER:
                self._other.append(line)

    def timeline(self) -> list[LogLine]:
        """All that tells of it, and what happened near it, by time.

        Raises:
            NotFoundError: No line names it.
        """
        if not self._lines:
            raise NotFoundError('no line names it', where=self._wanted)
        first = min(line.at for line in self._lines) - _AROUND_SECONDS
        last = max(line.at for line in self._lines) + _AROUND_SECONDS
        workers = {line.fields.get('worker') for line in self._lines}
        near = [
            line
            for line in self._other
            if first <= line.at <= last
            and (line.event in _OF_ALL or line.fields.get('worker') in workers)
        ]
        return sorted(self._lines + near, key=lambda line: line.at)

    def _parse(self, raw: bytes, about: bool) -> LogLine | None:
        # The bench and some collectors write the time and the VM first.
        start = raw.find(b'{')
        try:
            fields = orjson.loads(raw[max(start, 0) :])
            return LogLine(
                float(fields['timestamp']),
                str(fields['member']),
                str(fields['message_type']),
                fields,
                about,
            )
        except (ValueError, KeyError, TypeError):
            return None


def read_logs(files: Iterable[Path]) -> Iterator[list[bytes]]:
    """The lines of each file; standard input if there is none, or for ``-``.

    Raises:
        InvalidInputError: A file can't be read.
    """
    for path in tuple(files) or (_STANDARD_INPUT,):
        if path == _STANDARD_INPUT:
            yield sys.stdin.buffer.readlines()
            continue
        try:
            yield path.read_bytes().splitlines()
        except OSError as error:
            raise InvalidInputError(str(error), where=str(path)) from error
