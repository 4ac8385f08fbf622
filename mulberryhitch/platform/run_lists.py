"""Parses the platform's lists of the runs of a worker."""

from collections.abc import Callable
from contextlib import suppress
from typing import Any, TypeVar

from mulberryhitch.dispatch.ports import EndedRow, RunningRow, WorkerView
from mulberryhitch.errors import ProtocolError
from mulberryhitch.jobs.model import TaskKey
from mulberryhitch.jobs.state import RunOutcome

_MAX_NUMBER = 2**53
_UNREADABLE_ROW_ERRORS = (ValueError, TypeError, IndexError, KeyError)

_Row = TypeVar('_Row', RunningRow, EndedRow)

_RUN_OUTCOMES = {
    'done': RunOutcome.done,
    'failed': RunOutcome.failed,
    'stopped': RunOutcome.stopped,
    'lapsed': RunOutcome.expired,
    'broken': RunOutcome.broken,
    'alone': RunOutcome.incomplete,
}


def read_worker_view(content: dict[str, Any]) -> tuple[WorkerView, int]:
    """Returns a worker's lists of runs and the number of malformed rows.

    Raises:
        ProtocolError: A list or the clock is missing or of another type, or
            the incarnation is not an integer.
    """
    running = _list_of(content, 'running')
    ended = _list_of(content, 'ended')
    running_rows = _readable_rows(running, _running_row)
    ended_rows = _readable_rows(ended, _ended_row)
    unreadable = len(running) - len(running_rows)
    unreadable += len(ended) - len(ended_rows)
    view = WorkerView(
        read_integer(content, 'clock_ms'),
        read_integer(content, 'born', 0),
        running_rows,
        ended_rows,
        complete=not unreadable,
    )
    return view, unreadable


def read_integer(
    content: dict[str, Any], name: str, default: int | None = None
) -> int:
    """Returns an integer field of a worker's answer.

    Raises:
        ProtocolError: It is missing without a default, or not an integer.
    """
    try:
        return _integer(content.get(name, default))
    except (TypeError, ValueError) as error:
        raise ProtocolError(str(error), where=name) from error


def _list_of(content: dict[str, Any], name: str) -> list[Any]:
    rows = content.get(name)
    if not isinstance(rows, list):
        raise ProtocolError('not a list', where=name)
    return rows


def _readable_rows(
    rows: list[Any], read: Callable[[list[Any]], _Row]
) -> tuple[_Row, ...]:
    readable: list[_Row] = []
    for row in rows:
        with suppress(*_UNREADABLE_ROW_ERRORS):
            readable.append(read(row))
    return tuple(readable)


def _running_row(row: list[Any]) -> RunningRow:
    return RunningRow(
        _task_key(row[0]),
        _integer(row[1]),
        _checkpoint(row[2]),
        _integer(row[3]),
    )


def _ended_row(row: list[Any]) -> EndedRow:
    return EndedRow(
        _integer(row[0]),
        _task_key(row[1]),
        _integer(row[2]),
        _RUN_OUTCOMES[row[3]],
        _checkpoint(row[4]),
    )


def _checkpoint(value: Any) -> str:
    """Returns a checkpoint; empty if it is not a string."""
    return value if isinstance(value, str) else ''


def _integer(value: Any) -> int:
    number = int(value)
    if abs(number) > _MAX_NUMBER:
        raise ValueError(f'{number} is out of range')
    return number


def _task_key(name: Any) -> TaskKey:
    if not isinstance(name, str):
        raise TypeError('the name of a task is not a string')
    job_id, occurrence, step, index = name.rsplit('.', 3)
    numbers = map(_integer, (occurrence, step, index))
    return TaskKey(job_id, *numbers)
