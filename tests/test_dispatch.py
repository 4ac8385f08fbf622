"""A leader's dispatcher with fake workers.

The fake workers assert that no task runs twice, none runs again after it is
done, and no worker's capacity is exceeded.
"""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
import eliot
import pytest

from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.ports import WorkerAnswer
from mulberryhitch.dispatch.runs.run_times import RunTimes
from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun, TrackedWorker
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.clock import JobClock
from mulberryhitch.jobs.model import (
    PermitPolicy,
    QueueTable,
    Step,
    StepKey,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.state import JobState, RunOutcome
from tests.fake_workers import DispatcherHarness, FakePermitClient, FakeWorker
from tests.replica_group import run_with_mock_clock

SMALL = Step(1, 1000, 100, estimate_seconds=0.5)


def test_a_job_of_two_steps_runs_in_their_order() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            first = Step(3, 1000, 100, estimate_seconds=0.5)
            second = Step(2, 1000, 100, estimate_seconds=0.5, depends_on=(0,))
            await harness.submit('j', first, second)
            await harness.wait('j', JobState.completed)
            steps = [task.step for task, _, _ in harness.fleet.starts]
            assert steps == [0, 0, 0, 1, 1]

    run_with_mock_clock(main)


def test_the_end_of_an_idle_worker_s_first_task_is_seen_at_once() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            await anyio.sleep(1)
            await harness.submit('j', SMALL)
            assert await harness.wait('j', JobState.completed) < 0.8

    run_with_mock_clock(main)


def test_a_worker_never_exceeds_its_capacity() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 2500)
        harness.fleet.add_worker('w2', 1500)
        async with harness.running():
            for number in range(8):
                await harness.submit(f'j{number}', SMALL)
            for number in range(8):
                await harness.wait(f'j{number}', JobState.completed)

    run_with_mock_clock(main)


def test_an_unanswered_start_never_runs_twice() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('w2')
        async with harness.running():
            for worker in harness.fleet.workers.values():
                worker.unanswered_starts = 2
            await harness.submit('j', SMALL)
            await harness.wait('j', JobState.completed)
            await anyio.sleep(6)
            assert harness.start_count('j') == 1

    run_with_mock_clock(main)


def test_a_run_that_was_listed_is_not_given_up_when_its_start_fails() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('w2')
        async with harness.running():
            for worker in harness.fleet.workers.values():
                worker.lost_answers = 1
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=5))
            await anyio.sleep(2)
            for worker in harness.fleet.workers.values():
                worker.lost_answers = 0
                worker.refuses_starts = False
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 1

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    'refusal',
    [
        WorkerAnswer.refused,
        WorkerAnswer.expired,
        WorkerAnswer.no_room,
        WorkerAnswer.no_permit,
    ],
)
def test_a_listed_run_does_not_start_twice_when_its_repeated_start_is_refused(
    refusal: WorkerAnswer,
) -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('w2')
        async with harness.running():
            for worker in harness.fleet.workers.values():
                worker.lost_answers = 1
                # A list shows the run between the two starts.
                worker.answer_loss_seconds = 0.95
                worker.refusal = refusal
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=5))
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 1

    run_with_mock_clock(main)


def test_a_start_is_not_repeated_after_its_run_was_lost_in_a_restart() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.workers['w1'].lost_answers = 1
        harness.fleet.workers['w1'].answer_loss_seconds = 3
        async with harness.running():
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=5))
            await anyio.sleep(1.2)
            harness.fleet.add_worker('w2', born=2)
            harness.fleet.add_worker('w1', born=2)
            task = TaskKey('j', 0, 0, 0)
            harness.fleet.record_end(task, 1, RunOutcome.void)
            for worker in harness.fleet.workers.values():
                await harness.dispatcher.workers.handle_heartbeat(
                    worker.record.as_draining()
                    if worker.record.worker_id == 'w1'
                    else worker.record,
                    worker.clock,
                )
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 2

    run_with_mock_clock(main)


def test_a_run_whose_row_cannot_be_read_does_not_start_twice() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('w2')
        async with harness.running():
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=5))
            for worker in harness.fleet.workers.values():
                worker.unreadable_until = anyio.current_time() + 3
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 1

    run_with_mock_clock(main)


def test_a_task_that_fails_too_often_fails_its_job_and_no_more_starts() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            task = TaskKey('j', 0, 0, 0)
            for run in (1, 2, 3):
                harness.fleet.outcomes[task, run] = RunOutcome.failed
            await harness.submit('j', SMALL)
            await harness.wait('j', JobState.failed)
            await anyio.sleep(3)
            assert harness.start_count('j') == 2

    run_with_mock_clock(main)


def test_a_cancelled_job_is_stopped_and_starts_nothing_more() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 1000)
        async with harness.running():
            await harness.submit('j', Step(3, 1000, 100, estimate_seconds=5))
            await anyio.sleep(1)
            await harness.cancel('j')
            await anyio.sleep(1)
            assert not harness.fleet.active_runs
            assert harness.start_count('j') == 1

    run_with_mock_clock(main)


def test_tasks_of_an_unresponsive_worker_move_only_after_its_lease() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=8))
            await anyio.sleep(1)
            harness.fleet.workers['w1'].unresponsive = True
            harness.fleet.add_worker('w2')
            second = harness.fleet.workers['w2']
            await harness.dispatcher.workers.handle_heartbeat(
                second.record, second.clock
            )
            waited = await harness.wait('j', JobState.completed, 60)
            assert harness.start_count('j') == 2
            assert waited < 25

    run_with_mock_clock(main)


def test_a_restarted_worker_with_the_same_id_loses_its_former_runs() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=4))
            await anyio.sleep(1)
            for task, active_run in harness.fleet.workers['w1'].running.items():
                harness.fleet.record_end(task, active_run.run, RunOutcome.void)
            harness.fleet.add_worker('w1', born=2)
            await anyio.sleep(1)
            restarted = harness.fleet.workers['w1']
            await harness.dispatcher.workers.handle_heartbeat(
                restarted.record, restarted.clock
            )
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 2

    run_with_mock_clock(main)


def test_a_draining_worker_gets_nothing_new() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            worker = harness.fleet.workers['w1']
            await harness.dispatcher.workers.handle_heartbeat(
                worker.record.as_draining(), worker.clock
            )
            # A delayed heartbeat from before the drain is ignored.
            await harness.dispatcher.workers.handle_heartbeat(
                worker.record, worker.clock
            )
            await harness.submit('j', SMALL)
            await anyio.sleep(3)
            assert harness.start_count('j') == 0

    run_with_mock_clock(main)


def test_a_gang_starts_together_and_restarts_together_on_a_failure() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 2000)
        harness.fleet.add_worker('w2', 2000)
        async with harness.running():
            gang = Step(4, 1000, 100, estimate_seconds=1, gang=True)
            harness.fleet.outcomes[TaskKey('g', 0, 0, 1), 1] = RunOutcome.failed
            for number in (0, 2, 3):
                key = TaskKey('g', 0, 0, number)
                harness.fleet.outcomes[key, 1] = RunOutcome.broken
            await harness.submit('g', gang)
            await harness.wait('g', JobState.completed)
            first = [start for start in harness.fleet.starts if start[1] == 1]
            second = [start for start in harness.fleet.starts if start[1] == 2]
            assert len(first) == len(second) == 4
            assert first[-1][2] - first[0][2] < 0.5

    run_with_mock_clock(main)


def test_a_new_leader_takes_over_what_runs_and_starts_nothing_twice() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(harness.fleet.run)
            old = harness.make_dispatcher(1)
            with anyio.CancelScope() as scope:
                tasks.start_soon(_run_in, old.run, scope)
                await anyio.sleep(0.1)
                worker = harness.fleet.workers['w1']
                await old.workers.handle_heartbeat(worker.record, worker.clock)
                await harness.submit('j', Step(2, 1000, 9, estimate_seconds=3))
                await anyio.sleep(1)
            scope.cancel()
            # The new leader must not treat a run without progress so far as
            # stalled any earlier than the old leader did.
            await anyio.sleep(2)
            for worker in harness.fleet.workers.values():
                for active_run in worker.running.values():
                    active_run.began_at = anyio.current_time()
                    active_run.ends_at = active_run.began_at + 200
            new = harness.make_dispatcher(2)
            tasks.start_soon(new.run)
            await anyio.sleep(1)
            for worker in harness.fleet.workers.values():
                for active_run in worker.running.values():
                    active_run.ends_at = anyio.current_time() + 0.5
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 2
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


async def _run_in(
    run: Callable[[], Awaitable[Any]], scope: anyio.CancelScope
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        while not scope.cancel_called:
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


def test_only_workers_with_a_permit_get_tasks() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        harness.fleet.permit_client = FakePermitClient(['w2'])
        for name in ('w1', 'w2', 'w3'):
            harness.fleet.add_worker(name, 1000)
        async with harness.running():
            await harness.submit('j', Step(3, 1000, 100, estimate_seconds=1))
            await harness.wait('j', JobState.completed)
            assert len(harness.fleet.starts) == 3
            # Later requests name only the workers whose permit was granted.
            assert set(harness.fleet.permit_client.requests[-1]) == {'w2'}

    run_with_mock_clock(main)


@pytest.mark.parametrize('limit', [1, 2])
def test_no_worker_runs_more_tasks_of_a_step_than_its_spread_limit(
    limit: int,
) -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('w2')
        async with harness.running():
            step = Step(5, 1000, 100, estimate_seconds=1, spread_limit=limit)
            await harness.submit('j', step)
            with anyio.fail_after(30):
                while (
                    harness.job_store.jobs['j'].state is not JobState.completed
                ):
                    for worker in harness.fleet.workers.values():
                        assert len(worker.running) <= limit
                    await anyio.sleep(0.01)

    run_with_mock_clock(main)


def test_occurrences_start_when_they_are_due() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            due = harness.wall_time() + 2
            await harness.submit(
                'j', SMALL, repeat_count=3, first_due=due, interval_seconds=2
            )
            begun = anyio.current_time()
            await harness.wait('j', JobState.completed)
            times = [at - begun for _, _, at in harness.fleet.starts]
            assert len(times) == 3
            for number, at in enumerate(times):
                assert 2 * (number + 1) - 0.05 <= at < 2 * (number + 1) + 0.6

    run_with_mock_clock(main)


def test_a_listing_older_than_the_confirmation_does_not_end_a_run() -> None:
    tracked_run = TrackedRun(run=1)
    tracked_run.update_progress(10, '', now=5)
    # Requested at 4, delayed, and read after the listing of 5.
    assert not tracked_run.ended_if_unlisted(requested_at=4)
    assert tracked_run.ended_if_unlisted(requested_at=6)


def test_a_repeated_start_is_not_uncertain_once_confirmed() -> None:
    tracked_run = TrackedRun(run=1, uncertain=True)
    assert not tracked_run.ended_if_unlisted(requested_at=6)
    tracked_run.confirm(now=5)
    assert tracked_run.ended_if_unlisted(requested_at=6)


def test_a_restarted_worker_gets_no_task_before_its_first_heartbeat() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 8000)
        async with harness.running():
            await harness.submit('long', Step(1, 1000, 9, estimate_seconds=2))
            await anyio.sleep(0.5)
            for task, active_run in harness.fleet.workers['w1'].running.items():
                harness.fleet.record_end(task, active_run.run, RunOutcome.void)
            harness.fleet.add_worker('w1', 500, born=2)
            await anyio.sleep(4)
            assert harness.start_count('long') == 1
            worker = harness.fleet.workers['w1']
            await harness.dispatcher.workers.handle_heartbeat(
                worker.record, worker.clock
            )
            await harness.submit('j', Step(1, 500, 100, estimate_seconds=0.5))
            await harness.wait('j', JobState.completed)

    run_with_mock_clock(main)


def test_a_stalled_task_is_moved_to_another_worker() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            harness.fleet.runs_never_end = True
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=0.5))
            await anyio.sleep(1)
            harness.fleet.runs_never_end = False
            harness.fleet.add_worker('w2')
            second = harness.fleet.workers['w2']
            await harness.dispatcher.workers.handle_heartbeat(
                second.record, second.clock
            )
            await harness.wait('j', JobState.completed, 8)
            assert harness.start_count('j') == 2

    run_with_mock_clock(main)


def test_a_slow_worker_gets_no_new_tasks_for_a_while() -> None:
    tracked = TrackedWorker(
        WorkerRecord('w', 'w:1', 's', 'a', '', (), 1, 1, 0, 1),
        DispatchOptions(),
        began_at=0,
        listed=True,
    )
    tracked_run = TrackedRun(run=1, estimate_seconds=1)
    tracked_run.confirm(now=0)
    tracked_run.update_progress(20, '', now=1)
    step = StepKey('j', 0, 0)
    (ratio,) = RunTimes().slowdowns('w', {step: [tracked_run]}, now=1)
    assert tracked.usable(now=1)
    # A single step may have a wrong estimate; two slow steps are evidence.
    assert not tracked.record_slowdowns([ratio], now=1)
    assert tracked.usable(now=1)
    assert tracked.record_slowdowns([ratio, ratio], now=1)
    assert not tracked.usable(now=2)
    assert tracked.usable(now=4)


def test_a_wrong_estimate_does_not_make_healthy_workers_slow() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        for number in range(4):
            harness.fleet.add_worker(f'w{number}')
        async with harness.running():
            harness.fleet.slowdown = 5
            await harness.submit('j', Step(16, 1000, 100, estimate_seconds=1))
            for _ in range(40):
                await anyio.sleep(0.1)
                now = anyio.current_time()
                workers = harness.dispatcher.tracked_workers.values()
                assert all(worker.usable(now) for worker in workers)

    run_with_mock_clock(main)


def test_a_worker_is_slow_by_comparison_with_its_siblings() -> None:
    step = StepKey('j', 0, 0)
    run_times = RunTimes()
    ratios = []
    for worker_id, percent in (('w1', 50), ('w2', 50), ('w3', 5)):
        run = TrackedRun(run=1, estimate_seconds=10)
        run.confirm(now=0)
        run.update_progress(percent, '', now=1)
        ratios = run_times.slowdowns(worker_id, {step: [run]}, now=1)
    assert ratios == [pytest.approx(10)]


def test_a_departure_before_a_restart_does_not_remove_the_worker() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=2))
            await anyio.sleep(1)
            await harness.dispatcher.workers.handle_departure('w1', 1)
            await harness.wait('j', JobState.completed)
            assert harness.start_count('j') == 1
            worker = harness.fleet.workers['w1']
            await harness.dispatcher.workers.handle_heartbeat(
                worker.record.as_draining(), worker.clock
            )
            await harness.dispatcher.workers.handle_departure('w1', 1)
            assert 'w1' not in harness.job_store.workers

    run_with_mock_clock(main)


def test_leases_from_before_a_restart_do_not_delay_later_expiry() -> None:
    record = WorkerRecord('w', 'w:1', 's', 'a', '', (), 1, 1, 0, 1)
    tracked = TrackedWorker(record, DispatchOptions(), began_at=0)
    tracked.record_contact(3_000_000, now=0)
    tracked.record_first_listing(3_000_000)
    tracked.extend_lease(now=0)
    tracked.record_restart(record.restarted(2), now=1)
    # The restarted worker's clock starts again, far below the old one.
    tracked.record_contact(500, now=1)
    tracked.record_first_listing(500)
    tracked.extend_lease(now=1)
    assert not tracked.lease_expired(now=10)
    assert tracked.lease_expired(now=13)


def test_a_gang_with_expired_permits_requests_all_of_them_again() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.3, 0.01, 1))
        names = [f'w{number}' for number in range(16)]
        harness.fleet.permit_client = FakePermitClient(names, 0.4)
        for name in names:
            harness.fleet.add_worker(name, 1000)
        async with harness.running():
            gang = Step(16, 1000, 100, estimate_seconds=2.5, gang=True)
            await harness.submit('first', gang)
            await anyio.sleep(0.1)
            await harness.submit('second', gang)
            await harness.wait('first', JobState.completed)
            assert await harness.wait('second', JobState.completed) < 4

    run_with_mock_clock(main)


def test_a_worker_without_free_memory_does_not_hide_other_workers() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.05, 0, 1.5), urgency=2)
        harness.fleet.permit_client = FakePermitClient(['w1', 'w2'])
        harness.fleet.add_worker('w1', 32_000, labels=('big',))
        harness.fleet.add_worker('w2', 8_000)
        async with harness.running():
            # Uses all the memory and few processors of the larger worker.
            large = Step(1, 1000, 60_000, estimate_seconds=20, label='big')
            await harness.submit('filler', large)
            await anyio.sleep(0.5)
            await harness.submit('j', Step(1, 1000, 10_000, estimate_seconds=1))
            assert await harness.wait('j', JobState.completed) < 3

    run_with_mock_clock(main)


def test_the_last_free_worker_is_used_when_few_permits_are_granted() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.02, 0, 1.5), urgency=2)
        harness.fleet.permit_client = FakePermitClient(['w9'], 0.02)
        for number in range(9):
            harness.fleet.add_worker(f'w{number}', 1000)
        async with harness.running():
            # No permit is granted, so the learned share of grants is low.
            await harness.submit('none', Step(9, 1000, 100, estimate_seconds=1))
            await anyio.sleep(1)
            harness.fleet.add_worker('w9', 1000)
            record = harness.fleet.workers['w9'].record
            await harness.dispatcher.workers.handle_heartbeat(record, 1)
            await harness.submit('j', Step(1, 1000, 100, estimate_seconds=1))
            assert await harness.wait('j', JobState.completed, 60) < 15

    run_with_mock_clock(main)


def test_a_worker_restarted_without_a_label_gets_no_tasks_needing_it() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        harness.fleet.permit_client = FakePermitClient(['w1', 'w2'])
        harness.fleet.add_worker('w1', 1000)
        harness.fleet.add_worker('w2', 1000)
        async with harness.running():
            step = Step(6, 1000, 100, estimate_seconds=0.5, label='k')
            await harness.submit('j', step)
            await anyio.sleep(0.7)
            first = harness.fleet.workers['w1']
            first.crash()
            record = replace(first.record, born=2, labels=('z',))
            harness.fleet.workers['w1'] = FakeWorker(harness.fleet, record)
            await harness.dispatcher.workers.handle_heartbeat(record, 1)
            await harness.wait('j', JobState.completed)

    run_with_mock_clock(main)


def test_a_queue_moved_to_another_service_starts_nothing_on_the_first() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        harness.fleet.permit_client = FakePermitClient(['w1', 'w2'])
        harness.fleet.add_worker('w1', 1000)
        harness.fleet.add_worker('w2', 1000, service='other')
        async with harness.running():
            step = Step(6, 1000, 100, estimate_seconds=0.5)
            await harness.submit('j', step)
            await anyio.sleep(0.7)
            queue = replace(harness.queue, service='other')
            harness.apply([changes.configure(QueueTable(2, '{}', (queue,)))])
            changed_at = anyio.current_time()
            await harness.wait('j', JobState.completed)
            late = [at for _, _, at in harness.fleet.starts if at > changed_at]
            assert len(late) >= 4
            assert len(harness.fleet.workers['w1'].highest_runs) <= 2

    run_with_mock_clock(main)


def test_a_gang_requests_permits_for_all_workers_with_free_capacity() -> None:
    async def main() -> None:
        harness = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        names = [f'w{number}' for number in range(20)]
        harness.fleet.permit_client = FakePermitClient(names)
        for name in names:
            harness.fleet.add_worker(name, 1000)
        async with harness.running():
            gang = Step(2, 1000, 100, estimate_seconds=0.5, gang=True)
            await harness.submit('j', gang)
            await harness.wait('j', JobState.completed)
            assert set(harness.fleet.permit_client.requests[0]) == set(names)

    run_with_mock_clock(main)


def test_the_status_report_says_what_each_queue_waits_for() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 1000)
        async with harness.running():
            await harness.submit('j', Step(3, 1000, 100, estimate_seconds=3))
            await anyio.sleep(1.5)
            await harness.cancel('j')
            await anyio.sleep(1)

    lines: list[dict[str, Any]] = []
    eliot.add_destinations(lines.append)
    lines.clear()
    try:
        run_with_mock_clock(main)
    finally:
        eliot.remove_destination(lines.append)
    terms = [
        line for line in lines if line['message_type'] == 'dispatch.status'
    ]
    queues = [line for line in lines if line['message_type'] == 'queue.status']
    assert len(terms) == 2 and terms[0]['usable'] == 1
    assert queues[0]['waiting'] == 2
    assert queues[0]['blocked'] == {'room': 2}
    assert queues[0]['cores'] == 1
    assert queues[1]['stopped'] == {'job ended': 1}
    assert queues[1]['ended'] == {'stopped': 1}
    assert not queues[1]['blocked']


@pytest.mark.parametrize('step_seconds', [-1350, 2400])
def test_a_step_of_the_time_of_day_delays_no_job(step_seconds: float) -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 1000)
        async with harness.running():
            await harness.submit('before', SMALL)
            await harness.wait('before', JobState.completed)
            await harness.submit('waiting', SMALL)
            harness.time_of_day_step = step_seconds
            await anyio.sleep(1)
            await harness.submit('during', SMALL)
            harness.time_of_day_step = 0
            await harness.wait('waiting', JobState.completed)
            await harness.wait('during', JobState.completed)
            assert 'before' in harness.job_store.jobs

    run_with_mock_clock(main)


def test_a_leader_whose_clock_is_behind_starts_accepted_jobs() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1', 1000)
        await harness.submit('j', SMALL)
        harness.time_of_day_step = -1350
        harness.clock = JobClock(harness.time_of_day, anyio.current_time)
        harness.clock.advance_to(harness.job_store.latest_time)
        async with harness.running():
            await harness.wait('j', JobState.completed)

    run_with_mock_clock(main)


def test_a_full_disk_is_not_tried_again_in_each_placement_round() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        async with harness.running():
            await harness.submit('j', SMALL)
            harness.is_disk_full = True
            await anyio.sleep(3)
            assert 3 <= harness.refused_commits <= 3 / 0.2 + 1
            harness.is_disk_full = False
            assert await harness.wait('j', JobState.completed) < 1.2

    run_with_mock_clock(main)


def test_ends_of_many_workers_do_not_each_try_a_full_disk() -> None:
    async def main() -> None:
        harness = DispatcherHarness()
        for number in range(15):
            harness.fleet.add_worker(f'w{number}', 1000)
        async with harness.running():
            await harness.submit('j', Step(15, 1000, 100, estimate_seconds=0.5))
            await anyio.sleep(0.3)
            harness.is_disk_full = True
            await anyio.sleep(3)
            assert 3 <= harness.refused_commits <= 3 / 0.2 + 15
            harness.is_disk_full = False
            assert await harness.wait('j', JobState.completed) < 0.5

    run_with_mock_clock(main)
