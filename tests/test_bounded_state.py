"""Jobs, queues and a disk's parts are bounded by sizes that fit each other."""

from dataclasses import replace
from typing import Any

import anyio
import pytest

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.dispatch.operations import (
    Acknowledged,
    CancelJob,
    ChangeTable,
    JobReply,
    ReadJob,
    ReadTable,
    SubmitJob,
    TableReply,
)
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.errors import OverloadedError, TooLargeError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    QueueTable,
    Step,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.state import JobState, RunOutcome
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.outcomes import Outcome
from mulberryhitch.platform.asgi import http_status_of
from mulberryhitch.replication.disk_budget import DiskBudget
from mulberryhitch.replication.file_storage import RESERVE_BYTES
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.rpc.messages import LogEntry
from tests.jobs_group import GROUP, REQUEST_SECONDS, JobsGroup
from tests.replica_group import run_with_mock_clock

QUEUE = Queue('queue', 'host', '/q/', 'service', maximum_failures=2)
STATE_BYTES = 100_000
RETAIN_SECONDS = 5
OPTIONS = DispatchOptions(
    max_state_bytes=STATE_BYTES, retain_seconds=RETAIN_SECONDS
)


@pytest.mark.parametrize('mebibytes', [32, 64, 128, 1024])
def test_snapshots_logs_and_kept_room_fit_their_disk(mebibytes: int) -> None:
    disk_bytes = mebibytes * BYTES_PER_MEBIBYTE
    budget = DiskBudget(disk_bytes)
    options = ReplicationOptions(
        compact_bytes=budget.compact_bytes, max_log_bytes=budget.max_log_bytes
    )
    snapshots = 2 * budget.max_state_bytes
    rewritten_log = options.max_log_bytes + options.retained_bytes
    logs = options.max_follower_log_bytes + rewritten_log
    assert snapshots + logs + RESERVE_BYTES <= disk_bytes


def test_the_default_limits_are_those_of_the_default_disk() -> None:
    budget = DiskBudget(128 * BYTES_PER_MEBIBYTE)
    assert budget.max_log_bytes == ReplicationOptions().max_log_bytes
    assert budget.compact_bytes == ReplicationOptions().compact_bytes
    assert budget.max_state_bytes == DispatchOptions().max_state_bytes
    assert DiskBudget().max_log_bytes == budget.max_log_bytes
    assert DiskBudget(0, 64_000_000).max_state_bytes == 4_000_000


def _apply(store: JobStore, *batch: changes.Change) -> list[Any]:
    body = changes.encode_changes(batch)
    return store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))


def _store(document: str = '{}') -> JobStore:
    store = JobStore()
    _apply(store, changes.configure(QueueTable(1, document, (QUEUE,))))
    return store


@pytest.mark.parametrize(
    ('argument', 'step'),
    [
        ('x', Step(1)),
        ('x' * 4000, Step(1)),
        ('ä' * 2000, Step(30)),
        ('', Step(30, gang=True)),
    ],
)
def test_the_estimated_size_of_the_jobs_is_that_of_their_snapshot(
    argument: str, step: Step
) -> None:
    store = _store()
    empty_bytes = store.stored_bytes
    ids = [f'job-{number}' for number in range(200)]
    spec = JobSpec(argument, (step, step))
    for job_id in ids:
        _apply(store, changes.accept(job_id, 'queue', spec, 1))
    size = len(store.snapshot())
    assert 0.8 * size < store.stored_bytes < 1.6 * size
    restored = JobStore()
    restored.restore(store.snapshot())
    assert restored.stored_bytes == store.stored_bytes
    for job_id in ids:
        _apply(store, changes.cancel(job_id, 2))
    _apply(store, changes.delete_jobs(ids))
    assert store.stored_bytes == empty_bytes


def test_checkpoints_count_until_their_job_is_deleted() -> None:
    store = _store()
    empty_bytes = store.stored_bytes
    spec = JobSpec('', (Step(1, checkpointing=True),))
    _apply(store, changes.accept('job', 'queue', spec, 1))
    job_bytes = store.stored_bytes
    task = TaskKey('job', 0, 0, 0)
    for checkpoint in ('x' * 10, 'x' * 1000):
        change = changes.end_run(task, 0, RunOutcome.expired, checkpoint, 2)
        _apply(store, change)
        assert store.stored_bytes == job_bytes + len(checkpoint)
    _apply(store, changes.cancel('job', 3), changes.delete_jobs(['job']))
    assert store.stored_bytes == empty_bytes


async def _call(group: JobsGroup, request: object, reply: type[Any]) -> Any:
    return await group.leader_client.execute(
        GROUP, request, reply, REQUEST_SECONDS
    )


def _submission(number: int) -> SubmitJob:
    spec = JobSpec('x' * 4000, (Step(1, 500, 100),))
    return SubmitJob('host', f'/q/job-{number}', spec)


async def _configure(group: JobsGroup, version: int, document: str) -> None:
    table = QueueTable(version, document, (QUEUE,))
    await _call(group, ChangeTable(table), Acknowledged)


async def _fill_with_jobs(group: JobsGroup) -> int:
    """Submits jobs until one is refused; returns how many were accepted."""
    for number in range(1000):
        try:
            await _call(group, _submission(number), JobReply)
        except OverloadedError as error:
            assert error.outcome is Outcome.not_run
            assert error.retry_after_seconds > 0
            assert http_status_of(error) == 503
            return number
    raise AssertionError('no job was refused')


def test_jobs_beyond_the_size_of_the_state_are_refused_until_some_are_deleted() -> (
    None
):
    async def main() -> None:
        group = JobsGroup(3, 1, 0, OPTIONS)
        async with group.running():
            await group.wait_leader()
            await _configure(group, 1, '{}')
            accepted = await _fill_with_jobs(group)
            store = await group.leading_store()
            assert len(store.snapshot()) < STATE_BYTES
            await _configure(group, 2, '{"version": 2}')
            table = await _call(group, ReadTable(), TableReply)
            assert table.version == 2
            job = await _call(group, ReadJob('host', '/q/job-0'), JobReply)
            assert job.state == 'queued'
            await _call(group, _submission(0), JobReply)
            for number in range(accepted):
                cancellation = CancelJob('host', f'/q/job-{number}')
                await _call(group, cancellation, JobReply)
            await anyio.sleep(RETAIN_SECONDS + 2)
            await _call(group, _submission(accepted), JobReply)

    run_with_mock_clock(main)


def test_a_configuration_too_large_for_the_state_is_refused() -> None:
    async def main() -> None:
        group = JobsGroup(3, 1, 0, OPTIONS)
        async with group.running():
            await group.wait_leader()
            await _configure(group, 1, '{}')
            with pytest.raises(TooLargeError) as raised:
                await _configure(group, 2, 'x' * STATE_BYTES)
            assert raised.value.outcome is Outcome.not_run
            assert http_status_of(raised.value) == 413
            table = await _call(group, ReadTable(), TableReply)
            assert table.version == 1

    run_with_mock_clock(main)


def test_ended_jobs_give_their_room_to_new_ones_and_stay_readable() -> None:
    async def main() -> None:
        options = replace(OPTIONS, retain_seconds=120)
        group = JobsGroup(3, 1, 0, options)
        async with group.running():
            await group.wait_leader()
            await _configure(group, 1, '{}')
            accepted = await _fill_with_jobs(group)
            for number in range(accepted):
                cancellation = CancelJob('host', f'/q/job-{number}')
                await _call(group, cancellation, JobReply)
            await anyio.sleep(7)
            await _call(group, _submission(accepted), JobReply)
            job = await _call(group, ReadJob('host', '/q/job-0'), JobReply)
            assert job.state == 'cancelled'

    run_with_mock_clock(main)


def test_a_shrunk_job_keeps_its_end_and_ignores_late_reports() -> None:
    store = _store()
    spec = JobSpec('x' * 100, (Step(1), Step(2, depends_on=(0,))))
    _apply(store, changes.accept('job', 'queue', spec, 1))
    _apply(store, changes.shrink_jobs(['job']))
    assert store.jobs['job'].spec == spec
    _apply(store, changes.cancel('job', 2), changes.shrink_jobs(['job']))
    late = changes.end_run(TaskKey('job', 0, 0, 0), 1, RunOutcome.done, '', 3)
    _apply(store, late)
    restored = JobStore()
    restored.restore(store.snapshot())
    for each in (store, restored):
        assert each.jobs['job'].state is JobState.cancelled
        assert each.stored_bytes < 1000
    assert restored.stored_bytes == store.stored_bytes
    assert not store.ready_steps


def test_a_job_with_open_runs_is_not_shrunk() -> None:
    store = _store()
    worker = WorkerRecord(
        'w', 'ip:1', 'service', 'dc', '', (), 1000, 1000, 0, 1
    )
    task = TaskKey('job', 0, 0, 0)
    _apply(
        store,
        changes.register_worker(worker),
        changes.accept('job', 'queue', JobSpec('', (Step(1, 500, 100),)), 1),
        changes.grant(task, 1, 'w'),
        changes.cancel('job', 2),
        changes.shrink_jobs(['job']),
    )
    assert store.open_runs['w'] == {task: 1}
    ended = changes.end_run(task, 1, RunOutcome.stopped, '', 3)
    _apply(store, ended, changes.shrink_jobs(['job']))
    assert not store.open_runs['w']
    assert not store.jobs['job'].occurrences
