"""A refused job never runs, and an accepted one is never refused."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.intake import JobIntake, StateRoom
from mulberryhitch.errors import (
    ConnectionLostError,
    DiskFullError,
    MulberryhitchError,
    NotFoundError,
    NotLeaderError,
    OutcomeUnknownError,
    OverloadedError,
    OverQuotaError,
    TooLargeError,
)
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable
from mulberryhitch.jobs.state import Job
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry
from tests.admission_builders import QUEUE, make_spec
from tests.replica_group import run_with_mock_clock

COMMIT_SECONDS = 0.1
MAX_BYTES = 100_000


class RefuseAll:
    """Refuses each job."""

    def check(
        self, job_id: str, queue: Queue, spec: JobSpec, tenant: str = ''
    ) -> None:
        raise OverloadedError('too late', retry_after_seconds=3)


class Intake:
    """An intake whose commits take time, or fail first."""

    def __init__(self, *failures: MulberryhitchError) -> None:
        self.store = JobStore()
        self.commits = 0
        self._failures = list(failures)
        self._apply([changes.configure(QueueTable(1, '{}', (QUEUE,)))])
        self.room = StateRoom(self.store, MAX_BYTES)
        self._intake = JobIntake(self.store, self._commit, lambda: 5.0)

    async def accept(
        self,
        *,
        refusing: bool,
        queue: Queue = QUEUE,
        check_limits: Callable[[], None] | None = None,
    ) -> Job:
        spec = make_spec()
        return await self._intake.accept(
            'job',
            queue,
            spec,
            '',
            check_limits or (lambda: self.room.check_job('job', spec)),
            RefuseAll() if refusing else None,
        )

    async def _commit(self, batch: list[changes.Change]) -> list[Any]:
        self.commits += 1
        await anyio.sleep(COMMIT_SECONDS)
        if self._failures:
            raise self._failures.pop(0)
        return self._apply(batch)

    def _apply(self, batch: list[changes.Change]) -> list[Any]:
        body = changes.encode_changes(batch)
        return self.store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))


def run(main: Callable[[], Awaitable[None]]) -> None:
    run_with_mock_clock(main)


def test_nothing_is_written_of_a_refused_job() -> None:
    """Guards against refused jobs that run."""

    async def main() -> None:
        intake = Intake()
        with pytest.raises(OverloadedError):
            await intake.accept(refusing=True)
        await anyio.sleep(1)
        assert not intake.commits
        assert not intake.store.jobs

    run(main)


def test_a_job_whose_acceptance_is_being_written_is_not_refused() -> None:
    """Guards against 503 to a repeated submission while the first commits."""

    async def main() -> None:
        intake = Intake()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: intake.accept(refusing=False))
            await anyio.sleep(COMMIT_SECONDS / 2)
            job = await intake.accept(refusing=True)
        assert job is intake.store.jobs['job']

    run(main)


def test_a_job_being_written_is_not_refused_for_lack_of_room() -> None:
    """Guards against 503 to a repeated submission that finds the state full."""

    async def main() -> None:
        intake = Intake(ConnectionLostError('no answer'))
        with pytest.raises(ConnectionLostError):
            await intake.accept(refusing=False)
        intake.room._max_bytes = 1
        assert await intake.accept(refusing=False)

    run(main)


@pytest.mark.parametrize(
    ('room_bytes', 'error'), [(1000, OverloadedError), (1, TooLargeError)]
)
def test_a_new_job_is_refused_for_lack_of_room(
    room_bytes: int, error: type[MulberryhitchError]
) -> None:
    """Guards against a state that grows without bound.

    The job takes 881 bytes: it may fit later into the larger room, and never
    into the smaller one.
    """

    async def main() -> None:
        intake = Intake()
        intake.room._max_bytes = room_bytes
        with pytest.raises(error):
            await intake.accept(refusing=False)
        assert not intake.commits

    run(main)


def test_a_job_that_may_have_been_written_is_not_refused() -> None:
    """Guards against 503 after a lost answer, of a job that runs later."""

    async def main() -> None:
        intake = Intake(ConnectionLostError('no answer'))
        with pytest.raises(ConnectionLostError):
            await intake.accept(refusing=False)
        assert await intake.accept(refusing=True)

    run(main)


@pytest.mark.parametrize(
    'error', [OverQuotaError('a gang is too wide'), OverloadedError('full')]
)
def test_a_job_being_written_is_accepted_beside_lowered_limits(
    error: MulberryhitchError,
) -> None:
    """Guards against 503 and 429 to a resend while the first one commits.

    The job fills the state itself, or its tenant's cap was just lowered.
    """

    def check_limits() -> None:
        raise error

    async def main() -> None:
        intake = Intake()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(lambda: intake.accept(refusing=False))
            await anyio.sleep(COMMIT_SECONDS / 2)
            job = await intake.accept(refusing=False, check_limits=check_limits)
        assert job is intake.store.jobs['job']

    run(main)


@pytest.mark.parametrize(
    'error', [OverloadedError('the log is full'), DiskFullError('no space')]
)
def test_a_resend_that_is_not_written_leaves_the_first_one_open(
    error: MulberryhitchError,
) -> None:
    """Guards against 503 to a resend after a lost answer, of a job that runs.

    The first submission may still be committed.
    """

    async def main() -> None:
        intake = Intake(ConnectionLostError('no answer'), error)
        with pytest.raises(ConnectionLostError):
            await intake.accept(refusing=False)
        with pytest.raises(OutcomeUnknownError, match=error.what):
            await intake.accept(refusing=False)

    run(main)


def test_a_resend_to_a_deposed_leader_looks_for_the_new_one() -> None:
    """Guards against callers that give up where another leader can answer."""

    async def main() -> None:
        intake = Intake(
            ConnectionLostError('no answer'), NotLeaderError('deposed')
        )
        with pytest.raises(ConnectionLostError):
            await intake.accept(refusing=False)
        with pytest.raises(NotLeaderError):
            await intake.accept(refusing=False)

    run(main)


def test_a_new_job_without_room_is_refused() -> None:
    """Guards against a full state that leaves the outcome of new jobs open."""

    def check_limits() -> None:
        raise OverloadedError('full')

    async def main() -> None:
        intake = Intake()
        with pytest.raises(OverloadedError, match='full'):
            await intake.accept(refusing=False, check_limits=check_limits)
        assert not intake.commits

    run(main)


def test_a_cancelled_submission_may_have_been_written() -> None:
    """Guards against 503 after a submission that was cut off."""

    async def main() -> None:
        intake = Intake()
        with anyio.move_on_after(COMMIT_SECONDS / 2):
            await intake.accept(refusing=False)
        assert await intake.accept(refusing=True)

    run(main)


def test_a_job_that_was_certainly_not_written_can_be_refused() -> None:
    """Guards against ids that are never refused after an error."""

    async def main() -> None:
        intake = Intake(OverloadedError('the log is full'))
        with pytest.raises(OverloadedError, match='full'):
            await intake.accept(refusing=False)
        with pytest.raises(OverloadedError, match='too late'):
            await intake.accept(refusing=True)

    run(main)


def test_a_job_of_a_removed_queue_is_not_found() -> None:
    """Guards against a job of a queue that a new configuration removed."""

    async def main() -> None:
        removed = Queue('removed', 'h', '/r/', 'svc')
        with pytest.raises(NotFoundError):
            await Intake().accept(refusing=False, queue=removed)

    run(main)
