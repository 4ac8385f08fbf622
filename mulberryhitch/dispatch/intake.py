"""Accepts submitted jobs and bounds the size of the state."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any, Protocol

from mulberryhitch.dispatch.admission.undecided_jobs import UndecidedJobs
from mulberryhitch.errors import (
    MulberryhitchError,
    NotFoundError,
    NotLeaderError,
    OutcomeUnknownError,
    OverloadedError,
    TooLargeError,
)
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable
from mulberryhitch.jobs.sizes import (
    occurrence_bytes,
    spec_bytes,
    table_bytes,
)
from mulberryhitch.jobs.state import Job
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.outcomes import Outcome

RETRY_AFTER_SECONDS = 1.0

_Commit = Callable[[list[changes.Change]], Awaitable[list[Any]]]


class JobCheck(Protocol):
    """Decides whether a job is refused because of load."""

    def check(
        self, job_id: str, queue: Queue, spec: JobSpec, tenant: str = ''
    ) -> None:
        """Raises the error with which a job is refused, if it is."""


class StateRoom:
    """The room that jobs and queues may take.

    Args:
        job_store: The committed state.
        max_bytes: Size of the state beyond which no further job is accepted; a
            configuration may have half of it.
    """

    def __init__(self, job_store: JobStore, max_bytes: int) -> None:
        """Initialises the room."""
        self._job_store = job_store
        self._max_bytes = max_bytes

    def check_job(self, job_id: str, spec: JobSpec) -> None:
        """Checks that there is room for a job.

        A scheduled job takes room for one of its occurrences.

        Raises:
            OverloadedError: There is none now.
            TooLargeError: There never is.
        """
        stored_bytes = self._job_store.stored_bytes
        added_bytes = spec_bytes(job_id, spec) + occurrence_bytes(spec)
        if added_bytes > self._max_bytes:
            raise TooLargeError(
                f'the job takes {added_bytes} bytes as stored, more than '
                f'{self._max_bytes}'
            )
        if stored_bytes + added_bytes > self._max_bytes:
            raise OverloadedError(
                f'the jobs and queues take {stored_bytes} of '
                f'{self._max_bytes} bytes',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )

    def check_table(self, table: QueueTable) -> None:
        """Checks that there is room for a configuration.

        Raises:
            TooLargeError: There is none.
        """
        limit = self._max_bytes // 2
        size = table_bytes(table)
        if size > limit:
            raise TooLargeError(
                f'the configuration takes {size} bytes, more than {limit}'
            )


class JobIntake:
    """Accepts jobs whose ids are not known.

    Args:
        job_store: The committed state.
        commit: Commits changes and returns their results.
        now: Returns seconds since 1970.
    """

    def __init__(
        self, job_store: JobStore, commit: _Commit, now: Callable[[], float]
    ) -> None:
        """Initialises the intake; no job is being accepted."""
        self._job_store = job_store
        self._commit = commit
        self._now = now
        self._undecided = UndecidedJobs()

    async def accept(
        self,
        job_id: str,
        queue: Queue,
        spec: JobSpec,
        tenant: str,
        check_limits: Callable[[], None],
        admission: JobCheck | None,
    ) -> Job:
        """Commits a job unless it is refused, and returns it.

        A job that an earlier submission may have accepted is not refused, as
        a refusal says that the job never runs. Where such a job can't be
        accepted now, the answer leaves open what becomes of it.

        Args:
            job_id: Its id, which is not in the job store.
            queue: Its queue.
            spec: Its specification.
            tenant: The client account that submits it; empty if none.
            check_limits: Raises the error with which the job is refused if the
                state or its tenant's cap has no room for it.
            admission: Refuses jobs because of load; None if it is not running.

        Raises:
            OverloadedError: It is refused.
            OverQuotaError: It is refused because of its tenant.
            NotFoundError: Its queue is no longer configured.
            OutcomeUnknownError: It can't be accepted now, but an earlier
                submission may have been.
            MulberryhitchError: It could not be committed.
        """
        change = changes.accept(job_id, queue.name, spec, self._now(), tenant)
        if job_id in self._undecided:
            # It takes no further room if the earlier one was committed.
            with _earlier_submission_open():
                accepted = await self._commit_undecided(job_id, change)
        else:
            check_limits()
            if admission is not None:
                admission.check(job_id, queue, spec, tenant)
            accepted = await self._commit_undecided(job_id, change)
        if not accepted:
            raise NotFoundError(
                'queue is no longer configured', where=queue.name
            )
        return self._job_store.jobs[job_id]

    async def _commit_undecided(
        self, job_id: str, change: changes.Change
    ) -> bool:
        is_certain = False
        self._undecided.begin(job_id)
        try:
            outcomes = await self._commit([change])
        except MulberryhitchError as error:
            is_certain = error.outcome is Outcome.not_run
            raise
        else:
            is_certain = True
        finally:
            # Also if cancelled, when the change may still be written.
            self._undecided.end(job_id, is_certain=is_certain)
        return bool(outcomes[0])


@contextmanager
def _earlier_submission_open() -> Iterator[None]:
    """Raises an error that leaves the outcome open instead of a refusal.

    What refuses a submission says nothing about an earlier one of the same job.
    A caller that finds another leader learns more there.
    """
    try:
        yield
    except NotLeaderError:
        raise
    except MulberryhitchError as error:
        if error.outcome is not Outcome.not_run:
            raise
        raise OutcomeUnknownError(
            f'an earlier submission may be accepted: {error.what}',
            where=error.where,
        ) from error
