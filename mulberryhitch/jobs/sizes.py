"""Estimates of how many bytes jobs and tables take in a snapshot."""

from collections.abc import Iterable
from itertools import chain

from mulberryhitch.jobs.model import JobSpec, QueueTable, Step, Tenant
from mulberryhitch.jobs.state import Job, StepExecution

_JOB_BYTES = 420
_STEP_BYTES = 360
_UNIT_BYTES = 90
_QUEUE_BYTES = 260
_TENANT_BYTES = 120
_DIGEST_BYTES = 67


def spec_bytes(job_id: str, spec: JobSpec) -> int:
    """Returns about how many bytes a job takes, without its occurrences."""
    texts = _text_bytes(job_id) + _text_bytes(spec.argument)
    return _JOB_BYTES + texts + sum(map(_step_bytes, spec.steps))


def occurrence_bytes(spec: JobSpec) -> int:
    """Returns about how many bytes an occurrence takes, without checkpoints."""
    return unit_count(spec) * _UNIT_BYTES


def unit_count(spec: JobSpec) -> int:
    """Returns how many units an occurrence has: gangs and single tasks."""
    return sum(1 if step.gang else step.count for step in spec.steps)


def job_bytes(job: Job) -> int:
    """Returns about how many bytes a job takes with all that belongs to it."""
    executions = chain.from_iterable(job.occurrences.values())
    checkpoints = checkpoint_bytes(executions)
    occurrences = counted_occurrences(job) * occurrence_bytes(job.spec)
    return spec_bytes(job.job_id, job.spec) + occurrences + checkpoints


def counted_occurrences(job: Job) -> int:
    """Returns how many occurrences of a job count.

    A scheduled job that is active has at least one, so that its next one finds
    room whatever else is accepted meanwhile.
    """
    is_waiting = job.is_scheduled and job.active
    return max(len(job.occurrences), int(is_waiting))


def checkpoint_bytes(executions: Iterable[StepExecution]) -> int:
    """Returns how many bytes the checkpoints of some steps take."""
    return sum(
        _text_bytes(unit.checkpoint)
        for execution in executions
        for unit in execution.units
    )


def checkpoint_growth_bytes(former: str, checkpoint: str) -> int:
    """Returns by how many bytes a state grows with a newer checkpoint."""
    return _text_bytes(checkpoint) - _text_bytes(former)


def table_bytes(table: QueueTable) -> int:
    """Returns about how many bytes a queue table takes."""
    names = sum(
        len(queue.name) + len(queue.host) + len(queue.prefix)
        for queue in table.queues
    )
    queues = len(table.queues) * _QUEUE_BYTES + names
    tenants = sum(map(_tenant_bytes, table.tenants))
    return _text_bytes(table.document) + queues + tenants


def _tenant_bytes(tenant: Tenant) -> int:
    digests = len(tenant.key_digests) * _DIGEST_BYTES
    return _TENANT_BYTES + len(tenant.name) + digests


def _step_bytes(step: Step) -> int:
    labels = len(step.label) + len(step.data_rack) + len(step.image)
    return _STEP_BYTES + labels


def _text_bytes(text: str) -> int:
    return len(text.encode(errors='replace'))
