"""The open occurrences of the active scheduled jobs."""

from mulberryhitch.jobs.sizes import unit_count
from mulberryhitch.jobs.state import (
    Job,
    StepExecution,
    create_step_executions,
    has_begun,
    is_over,
)

# Units of open occurrences, beside one occurrence of each job.
_MAX_FURTHER_UNITS = 65_536


class OpenOccurrences:
    """Opens and closes occurrences, and postpones those without room.

    Attributes:
        jobs: The active scheduled jobs, by id.
    """

    def __init__(self) -> None:
        """Initialises it without any job."""
        self.jobs: dict[str, Job] = {}
        self._further_units = 0

    def add(self, job: Job) -> None:
        """Adds a job with the occurrences that it has open."""
        if job.is_scheduled and job.active:
            self.jobs[job.job_id] = job
            self._further_units += _further_units(job)

    def remove(self, job: Job) -> None:
        """Removes a job that has ended."""
        if self.jobs.pop(job.job_id, None) is not None:
            self._further_units -= _further_units(job)

    def record_due(self, job: Job, number: int) -> bool:
        """Records that an occurrence is due; returns whether to open it now.

        The same on all replicas, whatever their settings. A leader has fewer
        open, but one of a former version names all that are due.
        """
        for passed in range(job.known_occurrences, number + 1):
            job.postponed.append(passed)
        job.known_occurrences = max(job.known_occurrences, number + 1)
        units = self._further_units + unit_count(job.spec)
        has_room = not job.occurrences or units <= _MAX_FURTHER_UNITS
        return has_room and number in job.postponed

    def open(self, job: Job, number: int) -> list[StepExecution]:
        """Opens an occurrence, also one of a job without times."""
        before = _further_units(job)
        job.postponed.discard(number)
        executions = create_step_executions(job.job_id, number, job.spec)
        job.occurrences[number] = executions
        if job.is_scheduled:
            self._further_units += _further_units(job) - before
        return executions

    def close(self, job: Job, number: int) -> None:
        """Forgets an occurrence that is over."""
        before = _further_units(job)
        job.occurrences.pop(number)
        self._further_units += _further_units(job) - before


def close_and_postpone(job: Job) -> None:
    """Leaves out what a former version kept of a scheduled job.

    It kept the occurrences that are over as well, and opened all that were due.
    """
    found = job.occurrences
    job.occurrences = {}
    most = max(1, _MAX_FURTHER_UNITS // unit_count(job.spec))
    for number, executions in sorted(found.items()):
        if is_over(executions):
            continue
        if has_begun(executions) or len(job.occurrences) < most:
            job.occurrences[number] = executions
        else:
            job.postponed.append(number)


def _further_units(job: Job) -> int:
    """Returns the units of its open occurrences beside one of them."""
    return max(0, len(job.occurrences) - 1) * unit_count(job.spec)
