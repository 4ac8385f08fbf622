"""Encoding of jobs as snapshot rows.

A row of a scheduled job that is active names its open occurrences otherwise
than the rows of former versions, which kept all: these would take those that
are left out for not yet due and run them again. They can't read such a row.
"""

from typing import Any

from mulberryhitch.jobs.changes import decode_queue, decode_spec
from mulberryhitch.jobs.number_ranges import NumberRanges
from mulberryhitch.jobs.open_occurrences import close_and_postpone
from mulberryhitch.jobs.state import (
    Job,
    StepExecution,
    UnitState,
    create_step_executions,
)

_OPEN = 'open_occurrences'


def decode_job(row: dict[str, Any]) -> Job:
    """Builds a job from its snapshot row."""
    job = Job(
        row['job_id'],
        decode_queue(row['queue']),
        decode_spec(row['spec']),
        row['accepted_at'],
        row['begun'],
        row['cancelled'],
        row['failed'],
        finished=row['finished'],
        ended_at=row['ended_at'],
        # Snapshots of earlier versions do not have it.
        tenant=row.get('tenant', ''),
    )
    open_rows = row.get(_OPEN) or row.get('occurrences', {})
    for occurrence, steps in open_rows.items():
        executions = create_step_executions(
            job.job_id, int(occurrence), job.spec
        )
        job.occurrences[int(occurrence)] = executions
        for execution, step_row in zip(executions, steps, strict=True):
            _restore_step(job, execution, step_row)
    if job.is_scheduled:
        _restore_schedule(job, row)
    return job


def _restore_schedule(job: Job, row: dict[str, Any]) -> None:
    if 'known_occurrences' in row:
        job.known_occurrences = row['known_occurrences']
        job.postponed = NumberRanges(row['postponed'])
        return
    # A row of a former version, which kept all occurrences.
    job.known_occurrences = max(job.occurrences, default=-1) + 1
    if job.active:
        close_and_postpone(job)


def _restore_step(
    job: Job, execution: StepExecution, row: dict[str, Any]
) -> None:
    execution.ready = row['ready']
    for unit, fields in zip(execution.units, row['units'], strict=True):
        unit.run = fields['run']
        unit.state = UnitState(fields['state'])
        unit.failed_runs = set(fields['failed_runs'])
        unit.checkpoint = fields['checkpoint']
        unit.holders = dict(fields['holders'])
        if unit.state is UnitState.waiting and execution.ready and job.active:
            execution.waiting_units[unit.first_index] = unit
    execution.unfinished_units = sum(
        unit.state is not UnitState.done for unit in execution.units
    )


def encode_job(job: Job) -> dict[str, Any]:
    """Returns the snapshot row of a job."""
    return {
        'job_id': job.job_id,
        'queue': job.queue,
        'spec': job.spec,
        'accepted_at': job.accepted_at,
        'begun': job.begun,
        'cancelled': job.cancelled,
        'failed': job.failed,
        'finished': job.finished,
        'ended_at': job.ended_at,
        'tenant': job.tenant,
        **_encode_schedule(job),
        _OPEN if job.is_scheduled and job.active else 'occurrences': {
            str(occurrence): [
                _encode_step(execution) for execution in executions
            ]
            for occurrence, executions in job.occurrences.items()
        },
    }


def _encode_schedule(job: Job) -> dict[str, Any]:
    """Returns what tells which occurrences are not open."""
    if not job.is_scheduled:
        return {}
    return {
        'known_occurrences': job.known_occurrences,
        'postponed': job.postponed.ranges,
    }


def _encode_step(execution: StepExecution) -> dict[str, Any]:
    return {
        'ready': execution.ready,
        'units': [
            {
                'run': unit.run,
                'state': unit.state.value,
                'holders': list(unit.holders.items()),
                'failed_runs': sorted(unit.failed_runs),
                'checkpoint': unit.checkpoint,
            }
            for unit in execution.units
        ],
    }
