"""Opens the due occurrences of scheduled jobs as there is room for them.

Load answered: jobs with thousands of occurrences that are due at once. Each job
has room for one open occurrence from when it is accepted. The others share a part
of the state, and few of them may wait for workers at a time, as each round looks
at all that wait.
"""

import heapq
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.dispatch.term import Term
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.sizes import occurrence_bytes, unit_count
from mulberryhitch.jobs.state import Job
from mulberryhitch.jobs.store import JobStore

_SHARED_PART = 0.25
_MAX_WAITING_STEPS = 256
_MAX_WAITING_STEPS_OF_JOB = 128
# All replicas create the units of an entry at once.
_MAX_UNITS_PER_ENTRY = 2000
_MAX_ENTRIES = 4


@dataclass(order=True, slots=True)
class _Due:
    """The next occurrence of a job that is due, and those after it."""

    due_at: float
    job_id: str
    number: int
    later: Iterator[int]


class SharedRoom:
    """The room for more than one open occurrence of each scheduled job.

    Args:
        job_store: The committed state.
        max_state_bytes: Size of the state beyond which no job is accepted.
    """

    def __init__(self, job_store: JobStore, max_state_bytes: int) -> None:
        """Initialises the room with what the open occurrences leave."""
        self._shared_bytes = max_state_bytes * _SHARED_PART
        self._state_bytes = max_state_bytes - job_store.stored_bytes
        self._open: Counter[str] = Counter()
        for job in job_store.scheduled_jobs.values():
            self._open[job.job_id] = len(job.occurrences)
            if len(job.occurrences) > 1:
                more = len(job.occurrences) - 1
                self._shared_bytes -= more * occurrence_bytes(job.spec)
        self._waiting = Counter(
            key.job_id
            for key in job_store.ready_steps
            if key.job_id in job_store.scheduled_jobs
        )
        self._waiting_of_all = sum(
            waiting - 1 for waiting in self._waiting.values()
        )

    def take(self, job: Job) -> bool:
        """Takes the room for an occurrence; returns whether there is any."""
        if self._open[job.job_id]:
            size = occurrence_bytes(job.spec)
            if not self._has_room(job.job_id, size):
                return False
            self._shared_bytes -= size
            self._state_bytes -= size
            self._waiting_of_all += 1
        self._open[job.job_id] += 1
        self._waiting[job.job_id] += 1
        return True

    def _has_room(self, job_id: str, size: int) -> bool:
        if size > min(self._shared_bytes, self._state_bytes):
            return False
        if self._waiting[job_id] >= _MAX_WAITING_STEPS_OF_JOB:
            return False
        return self._waiting_of_all < _MAX_WAITING_STEPS


class DueOccurrences:
    """Opens occurrences that are due, the oldest first.

    Args:
        term: The leader's term.
    """

    def __init__(self, term: Term) -> None:
        """Initialises it; nothing is opened yet."""
        self._term = term

    async def open_with_room(self) -> None:
        """Opens those that are due as far as there is room."""
        for _ in range(_MAX_ENTRIES):
            batch = self._next_batch()
            if not batch:
                return
            if not await self._term.commit_or_log(batch):
                return

    def _find_due(self, wall_time: float) -> Iterator[_Due]:
        """Yields the first occurrence to open of each job with one due."""
        for job in self._term.job_store.scheduled_jobs.values():
            # Most jobs are passed over here, at little cost.
            is_due = job.due_at(job.known_occurrences) <= wall_time
            found = None
            if is_due or job.postponed:
                found = _due_of(job, job.unopened)
            if found is not None:
                yield found

    def _next_batch(self) -> list[changes.Change]:
        """Returns the changes of one entry of the log."""
        job_store = self._term.job_store
        wall_time = self._term.wall_time()
        due = list(self._find_due(wall_time))
        if not due:
            return []
        heapq.heapify(due)
        room = SharedRoom(job_store, self._term.options.max_state_bytes)
        batch: list[changes.Change] = []
        units = 0
        while due and units < _MAX_UNITS_PER_ENTRY:
            first = heapq.heappop(due)
            job = job_store.jobs[first.job_id]
            if not room.take(job):
                # The later ones of this job wait as well.
                continue
            batch.append(changes.start_occurrence(job.job_id, first.number))
            units += unit_count(job.spec)
            after = _due_of(job, first.later)
            if after is not None and after.due_at <= wall_time:
                heapq.heappush(due, after)
        return batch


def _due_of(job: Job, numbers: Iterator[int]) -> _Due | None:
    """Returns the first of some occurrences; None if there is none."""
    number = next(numbers, None)
    if number is None:
        return None
    return _Due(job.due_at(number), job.job_id, number, numbers)
