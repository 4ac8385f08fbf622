"""Changes to the job store and their encoding in log entries.

An entry holds several changes, so that one disk sync covers them all. A change
is a list: its kind, then plain values.
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
    Tenant,
    WorkerRecord,
)
from mulberryhitch.jobs.state import RunOutcome

CHANGES_KIND = 'changes'

Change = list[Any]


def accept(
    job_id: str, queue_name: str, spec: JobSpec, now: float, tenant: str = ''
) -> Change:
    """Builds a change that accepts a job.

    Without a tenant it has the form that earlier releases can read.
    """
    change = ['accept', job_id, queue_name, spec, now]
    return [*change, tenant] if tenant else change


def cancel(job_id: str, now: float) -> Change:
    """Builds a change that cancels a job, so that no more tasks start."""
    return ['cancel', job_id, now]


def grant(task: TaskKey, run: int, worker_id: str) -> Change:
    """Builds a change that assigns a run of a task to a worker."""
    return ['grant', *task, run, worker_id]


def end_run(
    task: TaskKey, run: int, outcome: RunOutcome, checkpoint: str, now: float
) -> Change:
    """Builds a change that records the end of a run."""
    return ['end', *task, run, outcome.value, checkpoint, now]


def start_occurrence(job_id: str, occurrence: int) -> Change:
    """Builds a change that starts an occurrence that has become due."""
    return ['occur', job_id, occurrence]


def register_worker(record: WorkerRecord) -> Change:
    """Builds a change that adds a worker or updates its record."""
    return ['worker', asdict(record)]


def remove_worker(worker_id: str, born: int) -> Change:
    """Builds a change that removes one incarnation of a worker."""
    return ['worker_gone', worker_id, born]


def configure(table: QueueTable) -> Change:
    """Builds a change that applies a configuration if it is newer."""
    return ['configure', asdict(table)]


def delete_jobs(job_ids: list[str]) -> Change:
    """Builds a change that deletes jobs past their retention time."""
    return ['forget', job_ids]


def shrink_jobs(job_ids: list[str]) -> Change:
    """Builds a change that keeps of ended jobs only how they ended."""
    return ['shrink', job_ids]


def encode_changes(changes: Sequence[Change]) -> bytes:
    """Serialises changes as the body of one log entry."""
    return orjson.dumps(changes)


def decode_changes(body: bytes) -> list[Change]:
    """Parses the output of :func:`encode_changes`.

    Raises:
        ProtocolError: The bytes are not a JSON list.
    """
    try:
        changes = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error), where='changes') from error
    if not isinstance(changes, list):
        raise ProtocolError('not a list of changes', where='changes')
    return changes


def decode_spec(fields: dict[str, Any]) -> JobSpec:
    """Builds a job specification from its fields."""
    steps = tuple(
        Step(**{**step, 'depends_on': tuple(step['depends_on'])})
        for step in fields['steps']
    )
    return JobSpec(**{**fields, 'steps': steps})


def decode_queue(fields: dict[str, Any]) -> Queue:
    """Builds a queue from its fields."""
    permits = fields['permits']
    policy = PermitPolicy(**permits) if permits else None
    return Queue(**{**fields, 'permits': policy})


def decode_queue_table(fields: dict[str, Any]) -> QueueTable:
    """Builds a queue table from its fields."""
    return QueueTable(
        fields['version'],
        fields['document'],
        tuple(decode_queue(queue) for queue in fields['queues']),
        Limits(**fields['limits']),
        tuple(fields['unguarded']),
        # Entries of earlier versions do not have it.
        tuple(fields.get('services', ())),
        tuple(_decode_tenant(tenant) for tenant in fields.get('tenants', ())),
    )


def _decode_tenant(fields: dict[str, Any]) -> Tenant:
    return Tenant(**{**fields, 'key_digests': tuple(fields['key_digests'])})


def decode_worker(fields: dict[str, Any]) -> WorkerRecord:
    """Builds a worker record from its fields."""
    return WorkerRecord(**{**fields, 'labels': tuple(fields['labels'])})
