"""The changes of the job book, as its log's entries carry them.

An entry holds several changes, so that one sync covers them all. Each is a
list: its kind, then plain values.
"""

from collections.abc import Sequence
from dataclasses import asdict
from typing import Any

import orjson

from mulberryhitch.errors import ProtocolError
from mulberryhitch.jobs.model import (
    JobSpec,
    Limits,
    PermitPolicy,
    Queue,
    QueueTable,
    Step,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.state import RunOutcome

CHANGES_KIND = 'changes'

Change = list[Any]


def accept(job_id: str, queue_name: str, spec: JobSpec, now: float) -> Change:
    """Keep a job."""
    return ['accept', job_id, queue_name, asdict(spec), now]


def cancel(job_id: str, now: float) -> Change:
    """Start nothing more of a job."""
    return ['cancel', job_id, now]


def grant(task: TaskKey, run: int, worker_id: str) -> Change:
    """Let a worker run a task."""
    return ['grant', *task, run, worker_id]


def end_run(
    task: TaskKey, run: int, outcome: RunOutcome, checkpoint: str, now: float
) -> Change:
    """A run is over."""
    return ['end', *task, run, outcome.value, checkpoint, now]


def start_occurrence(job_id: str, occurrence: int) -> Change:
    """An occurrence of a job has come due."""
    return ['occur', job_id, occurrence]


def register_worker(record: WorkerRecord) -> Change:
    """A worker is there, or tells something new of itself."""
    return ['worker', asdict(record)]


def remove_worker(worker_id: str, born: int) -> Change:
    """This life of a worker is over."""
    return ['worker_gone', worker_id, born]


def configure(table: QueueTable) -> Change:
    """Put a configuration in force, if it is the newest."""
    return ['configure', asdict(table)]


def delete_jobs(job_ids: list[str]) -> Change:
    """Drop jobs that ended long ago."""
    return ['forget', job_ids]


def encode_changes(changes: Sequence[Change]) -> bytes:
    """The body of one log entry."""
    return orjson.dumps(changes)


def decode_changes(body: bytes) -> list[Change]:
    """Reads :func:`encode_changes`' bytes.

    Raises:
        ProtocolError: The bytes are no changes.
    """
    try:
        changes = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error), where='changes') from error
    if not isinstance(changes, list):
        raise ProtocolError('not a list', where='changes')
    return changes


def decode_spec(fields: dict[str, Any]) -> JobSpec:
    """Builds a job's description from its fields."""
    steps = tuple(
        Step(**{**step, 'depends_on': tuple(step['depends_on'])})
        for step in fields['steps']
    )
    return JobSpec(**{**fields, 'steps': steps})


def decode_queue(fields: dict[str, Any]) -> Queue:
    """Builds a queue from its fields."""
    permits = fields['permits']
    known = PermitPolicy(**permits) if permits else None
    return Queue(**{**fields, 'permits': known})


def decode_queue_table(fields: dict[str, Any]) -> QueueTable:
    """Builds a table of queues from its fields."""
    return QueueTable(
        fields['version'],
        fields['document'],
        tuple(decode_queue(one) for one in fields['queues']),
        Limits(**fields['limits']),
        tuple(fields['unguarded']),
    )


def decode_worker(fields: dict[str, Any]) -> WorkerRecord:
    """Builds a worker's record from its fields."""
    return WorkerRecord(**{**fields, 'labels': tuple(fields['labels'])})
