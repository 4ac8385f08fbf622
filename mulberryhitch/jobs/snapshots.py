"""Jobs as rows of a snapshot, and back."""

from typing import Any

from mulberryhitch.jobs.changes import queue_of, spec_of
from mulberryhitch.jobs.units import Job, StepWork, UnitState, make_works


def job_of(row: dict[str, Any]) -> Job:
    """Builds a job from its row."""
    job = Job(
        row['job_id'],
        queue_of(row['queue']),
        spec_of(row['spec']),
        row['accepted_at'],
        row['begun'],
        row['cancelled'],
        row['failed'],
        finished=row['finished'],
        ended_at=row['ended_at'],
    )
    for occurrence, steps in row['occurrences'].items():
        works = make_works(job.job_id, int(occurrence), job.spec)
        job.occurrences[int(occurrence)] = works
        for work, step_row in zip(works, steps, strict=True):
            _restore_step(job, work, step_row)
    return job


def _restore_step(job: Job, work: StepWork, row: dict[str, Any]) -> None:
    work.ready = row['ready']
    for unit, fields in zip(work.units, row['units'], strict=True):
        unit.run = fields['run']
        unit.state = UnitState(fields['state'])
        unit.failed_runs = set(fields['failed_runs'])
        unit.checkpoint = fields['checkpoint']
        unit.holders = dict(fields['holders'])
        if unit.state is UnitState.waiting and work.ready and job.active:
            work.waiting[unit.first] = unit
    work.left = sum(unit.state is not UnitState.done for unit in work.units)


def job_row(job: Job) -> dict[str, Any]:
    """A job's row."""
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
        'occurrences': {
            str(occurrence): [_step_row(work) for work in works]
            for occurrence, works in job.occurrences.items()
        },
    }


def _step_row(work: StepWork) -> dict[str, Any]:
    return {
        'ready': work.ready,
        'units': [
            {
                'run': unit.run,
                'state': unit.state.value,
                'holders': list(unit.holders.items()),
                'failed_runs': sorted(unit.failed_runs),
                'checkpoint': unit.checkpoint,
            }
            for unit in work.units
        ],
    }
