"""Ids of submitted jobs of which it is not known whether they are accepted."""

from collections import Counter

# More than a leader can have in flight while its log accepts nothing.
_MAX_UNCERTAIN = 4096


class UndecidedJobs:
    """Jobs whose acceptance is being written, or may have been written.

    A submitter that got no answer sends the job again. It must not be refused
    then, as the first submission may still be accepted.
    """

    def __init__(self) -> None:
        """Initialises it without jobs."""
        self._in_flight: Counter[str] = Counter()
        self._uncertain: dict[str, None] = {}

    def __contains__(self, job_id: str) -> bool:
        """Whether a job may have been accepted."""
        return job_id in self._in_flight or job_id in self._uncertain

    def begin(self, job_id: str) -> None:
        """Records that the acceptance of a job is about to be written."""
        self._in_flight[job_id] += 1

    def end(self, job_id: str, *, is_certain: bool) -> None:
        """Records that an attempt has ended.

        Args:
            job_id: The job.
            is_certain: Whether it is known what became of the attempt.
        """
        self._in_flight[job_id] -= 1
        if not self._in_flight[job_id]:
            self._in_flight.pop(job_id)
        if is_certain:
            return
        self._uncertain[job_id] = None
        if len(self._uncertain) > _MAX_UNCERTAIN:
            self._uncertain.pop(next(iter(self._uncertain)))
