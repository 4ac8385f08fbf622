"""Scheduled jobs with more occurrences due than there is room for."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import orjson
import pytest

from mulberryhitch.dispatch.intake import StateRoom
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.errors import TooLargeError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, QueueTable, Step, TaskKey
from mulberryhitch.jobs.state import JobState, RunOutcome
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry
from tests.fake_workers import DispatcherHarness
from tests.replica_group import run_with_mock_clock
from tests.waiting_steps import QUEUE, make_worker

OCCURRENCES = 2000
# One occurrence of the job of 48 tasks, and the units beside it.
MOST_OPEN = 48 + 65_536
SHORT = Step(2, 500, 10, estimate_seconds=0.2)


def play(
    body: Callable[[DispatcherHarness], Awaitable[None]], workers: int = 8
) -> None:
    async def main() -> None:
        harness = DispatcherHarness(stretch=2)
        for number in range(workers):
            harness.fleet.add_worker(f'w{number}', 16000)
        async with harness.running():
            await body(harness)

    run_with_mock_clock(main)


def open_tasks(job_store: JobStore) -> int:
    return sum(
        len(execution.units)
        for job in job_store.jobs.values()
        for executions in job.occurrences.values()
        for execution in executions
    )


def test_all_occurrences_due_at_once_run_once_and_few_are_held() -> None:
    """Guards against creating all due occurrences at once and keeping them."""

    async def body(harness: DispatcherHarness) -> None:
        store = harness.job_store
        await harness.submit(
            'often', SHORT, repeat_count=OCCURRENCES, interval_seconds=0
        )
        most = 0
        with anyio.fail_after(120):
            while store.jobs['often'].state is not JobState.completed:
                most = max(most, open_tasks(store))
                await anyio.sleep(0.05)
        starts = Counter(task for task, _, _ in harness.fleet.starts)
        assert len(starts) == OCCURRENCES * SHORT.count
        assert set(starts.values()) == {1}
        # 128 that wait, and what 128 cores run.
        assert most <= 2 * 128 + 256 + 2 * 128

    play(body)


def test_an_ordinary_job_is_not_held_up_by_due_occurrences() -> None:
    """Guards against jobs that wait behind all that is due."""

    async def body(harness: DispatcherHarness) -> None:
        for number in range(40):
            await harness.submit(
                f'often{number}', SHORT, repeat_count=500, interval_seconds=0
            )
        await anyio.sleep(3)
        for number in range(5):
            await harness.submit(f'j{number}', SHORT)
            await harness.wait(f'j{number}', JobState.completed, 1)

    play(body)


def test_hundreds_of_jobs_due_at_once_stay_within_the_room() -> None:
    """Guards against many smaller jobs that together take all memory."""

    async def body(harness: DispatcherHarness) -> None:
        step = Step(48, 500, 10, estimate_seconds=1)
        for number in range(300):
            await harness.submit(
                f'often{number}', step, repeat_count=100, interval_seconds=0
            )
        for _ in range(40):
            await anyio.sleep(0.25)
            # One of each job, and a quarter of the state.
            shared = DispatchOptions().max_state_bytes / 4 / 90
            assert open_tasks(harness.job_store) <= 300 * 48 + shared

    play(body, workers=1)


def test_the_oldest_occurrences_are_opened_first() -> None:
    """Guards against occurrences of other jobs that go before older ones."""

    async def body(harness: DispatcherHarness) -> None:
        now = harness.wall_time()
        step = Step(1, 16000, 10, estimate_seconds=0.3)
        for name, ago in (('new', 100), ('old', 500)):
            await harness.submit(
                name,
                step,
                repeat_count=20,
                interval_seconds=1,
                first_due=now - ago,
            )
        with anyio.fail_after(30):
            while len(harness.fleet.starts) < 40:
                await anyio.sleep(0.1)
        names = [task.job_id for task, _, _ in harness.fleet.starts]
        assert names.count('old') == 20
        numbers = [
            task.occurrence
            for task, _, _ in harness.fleet.starts
            if task.job_id == 'old'
        ]
        assert numbers == sorted(numbers)
        assert 'new' not in names[1:20]

    play(body, workers=1)


def test_occurrences_that_no_worker_suits_keep_none_of_other_jobs() -> None:
    """Guards against room that is taken for good by what can't start."""

    async def body(harness: DispatcherHarness) -> None:
        for number in range(4):
            unsuited = Step(2, 500, 10, label='missing')
            await harness.submit(
                f'unsuited{number}', unsuited, repeat_count=2000
            )
        await anyio.sleep(1)
        await harness.submit('often', SHORT, repeat_count=20)
        await harness.wait('often', JobState.completed, 20)

    play(body)


def apply(store: JobStore, *batch: changes.Change) -> list[Any]:
    body = changes.encode_changes(list(batch))
    return store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))


def make_store(spec: JobSpec) -> JobStore:
    """Returns a store with a worker and one job."""
    store = JobStore()
    apply(
        store,
        changes.configure(QueueTable(1, '{}', (QUEUE,))),
        changes.register_worker(make_worker('w', 16000).record),
        changes.accept('often', QUEUE.name, spec, 1, ''),
    )
    return store


def run_occurrence(store: JobStore, number: int) -> None:
    granted, _ = apply(
        store,
        changes.grant(task(number), 1, 'w'),
        changes.end_run(task(number), 1, RunOutcome.done, '', 2),
    )
    assert granted


def task(number: int) -> TaskKey:
    return TaskKey('often', number, 0, 0)


def restored(store: JobStore) -> JobStore:
    copy = JobStore()
    copy.restore(store.snapshot())
    return copy


@pytest.mark.parametrize('is_restored', [False, True])
def test_a_log_in_which_all_due_occurrences_were_opened_can_be_read(
    is_restored: bool,
) -> None:
    """Guards against a log of a former version that ends each scheduler.

    Its leader may go on to start the last of these occurrences at once.
    """
    spec = JobSpec('', (Step(48, 500, 10),), 20_000)
    store = make_store(spec)
    apply(
        store,
        *(changes.start_occurrence('often', one) for one in range(20_000)),
    )
    assert open_tasks(store) <= MOST_OPEN
    if is_restored:
        store = restored(store)
    assert open_tasks(store) <= MOST_OPEN
    granted = apply(store, changes.grant(task(19_999), 1, 'w'))
    assert granted == [True]


@pytest.mark.parametrize('is_restored', [False, True])
def test_an_occurrence_that_is_over_is_forgotten_and_never_runs_again(
    is_restored: bool,
) -> None:
    """Guards against a second run once the first one has left no trace."""
    store = make_store(JobSpec('', (Step(1, 500, 10),), 3))
    apply(store, changes.start_occurrence('often', 0))
    apply(store, changes.start_occurrence('often', 1))
    run_occurrence(store, 0)
    if is_restored:
        store = restored(store)
    assert list(store.jobs['often'].occurrences) == [1]
    apply(store, changes.start_occurrence('often', 0))
    assert apply(store, changes.grant(task(0), 2, 'w')) == [False]
    assert list(store.jobs['often'].unopened) == [2]


def test_a_snapshot_of_a_former_version_is_read() -> None:
    """Guards against occurrences that run again after an upgrade."""
    store = make_store(JobSpec('', (Step(1, 500, 10),), 3))
    apply(store, changes.start_occurrence('often', 0))
    apply(store, changes.start_occurrence('often', 1))
    content = orjson.loads(store.snapshot())
    row = content['jobs'][0]
    row['occurrences'] = row.pop('open_occurrences')
    row['occurrences']['0'][0]['units'][0].update(state='done', run=1)
    row['finished'] = 1
    for name in ('known_occurrences', 'postponed'):
        row.pop(name)
    copy = JobStore()
    copy.restore(orjson.dumps(content))
    assert list(copy.jobs['often'].occurrences) == [1]
    assert list(copy.jobs['often'].unopened) == [2]


def test_a_former_version_cant_take_what_is_forgotten_for_not_yet_due() -> None:
    """Guards against a follower of a former version that runs it again."""
    store = make_store(JobSpec('', (Step(1, 500, 10),), 3))
    apply(store, changes.start_occurrence('often', 0))
    run_occurrence(store, 0)
    row = orjson.loads(store.snapshot())['jobs'][0]
    assert 'occurrences' not in row


def test_a_job_that_never_fits_is_refused_for_good() -> None:
    """Guards against a refusal that tells the caller to come back in vain."""
    room = StateRoom(JobStore(), 100_000)
    spec = JobSpec('', (Step(2000, 500, 10),), 10)
    with pytest.raises(TooLargeError):
        room.check_job('often', spec)


def test_room_for_one_occurrence_of_each_job_is_kept_until_it_is_due() -> None:
    """Guards against jobs that are accepted and don't fit once they are due."""
    store = make_store(JobSpec('', (Step(100, 500, 10),), 3, 10**10))
    before = store.stored_bytes
    apply(store, changes.start_occurrence('often', 0))
    assert store.stored_bytes == before
    assert restored(store).stored_bytes == before
    apply(store, changes.start_occurrence('often', 1))
    assert store.stored_bytes == before + 100 * 90
    apply(store, changes.cancel('often', 3))
    assert restored(store).stored_bytes == store.stored_bytes
