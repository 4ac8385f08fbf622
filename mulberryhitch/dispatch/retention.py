"""Deletes the jobs that have ended; shrinks them while jobs take much room."""

import math
from collections.abc import Iterator

import anyio

from mulberryhitch.dispatch.term import Term
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.state import Job

# Reports of a job's last runs may still arrive after its end.
_LATE_REPORTS_SECONDS = 5.0
# Each time costs an entry of the log.
_SHRINK_INTERVAL_SECONDS = 1.0


class Retention:
    """Keeps the state of ended jobs as long as the options say.

    While the jobs take more than half of their limit, ended ones are shrunk to
    what a client may ask for, and kept only as long as required.

    Args:
        term: The leader's term.
    """

    def __init__(self, term: Term) -> None:
        """Initialises the retention."""
        self._term = term
        self._shrunk_at = -math.inf

    async def enforce(self) -> None:
        """Deletes and shrinks the jobs that are due."""
        batch = []
        expired = [job.job_id for job in self._ended(self._retain_seconds)]
        if expired:
            batch.append(changes.delete_jobs(expired))
        shrinkable = self._shrinkable()
        if shrinkable:
            self._shrunk_at = anyio.current_time()
            batch.append(changes.shrink_jobs(shrinkable))
        if batch:
            await self._term.commit_or_log(batch)

    @property
    def _is_pressed(self) -> bool:
        limit = self._term.options.max_state_bytes
        return self._term.job_store.stored_bytes > limit // 2

    @property
    def _retain_seconds(self) -> float:
        options = self._term.options
        if self._is_pressed:
            return min(options.retain_seconds, options.required_retain_seconds)
        return options.retain_seconds

    def _ended(self, seconds: float) -> Iterator[Job]:
        """Yields the jobs that ended at least so many seconds ago."""
        latest = self._term.wall_time() - seconds
        for job in self._term.job_store.jobs.values():
            if 0 < job.ended_at < latest:
                yield job

    def _shrinkable(self) -> list[str]:
        """Returns the jobs to shrink now; none unless there is need."""
        elapsed = anyio.current_time() - self._shrunk_at
        if not self._is_pressed or elapsed < _SHRINK_INTERVAL_SECONDS:
            return []
        return [
            job.job_id
            for job in self._ended(_LATE_REPORTS_SECONDS)
            if job.is_shrinkable
        ]
