"""A leader's term against stand-in workers that check every order."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.tracked_worker import TrackedRun, TrackedWorker
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import (
    PermitPolicy,
    QueueTable,
    Step,
    TaskKey,
    WorkerRecord,
)
from mulberryhitch.jobs.state import JobState, RunOutcome
from tests.groups import run_at_once
from tests.fake_workers import FakePermitClient, FakeWorker, DispatcherHarness

SMALL = Step(1, 1000, 100, estimate_seconds=0.5)


def test_a_job_of_two_steps_runs_in_their_order() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            first = Step(3, 1000, 100, estimate_seconds=0.5)
            second = Step(2, 1000, 100, estimate_seconds=0.5, depends_on=(0,))
            await world.submit('j', first, second)
            await world.wait('j', JobState.completed)
            steps = [task.step for task, _, _ in world.fleet.starts]
            assert steps == [0, 0, 0, 1, 1]

    run_at_once(main)


def test_the_end_of_an_idle_worker_s_first_task_is_seen_at_once() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            await anyio.sleep(1)
            await world.submit('j', SMALL)
            assert await world.wait('j', JobState.completed) < 0.8

    run_at_once(main)


def test_a_worker_is_never_filled_over_its_room() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1', 2500)
        world.fleet.add_worker('w2', 1500)
        async with world.running():
            for number in range(8):
                await world.submit(f'j{number}', SMALL)
            for number in range(8):
                await world.wait(f'j{number}', JobState.completed)

    run_at_once(main)


def test_a_start_without_an_answer_never_runs_twice() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        world.fleet.add_worker('w2')
        async with world.running():
            for worker in world.fleet.workers.values():
                worker.unanswered_starts = 2
            await world.submit('j', SMALL)
            await world.wait('j', JobState.completed)
            await anyio.sleep(6)
            assert world.start_count('j') == 1

    run_at_once(main)


def test_a_task_that_fails_too_often_fails_its_job_and_no_more_starts() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            task = TaskKey('j', 0, 0, 0)
            for run in (1, 2, 3):
                world.fleet.outcomes[task, run] = RunOutcome.failed
            await world.submit('j', SMALL)
            await world.wait('j', JobState.failed)
            await anyio.sleep(3)
            assert world.start_count('j') == 2

    run_at_once(main)


def test_a_cancelled_job_is_stopped_and_starts_nothing_more() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1', 1000)
        async with world.running():
            await world.submit('j', Step(3, 1000, 100, estimate_seconds=5))
            await anyio.sleep(1)
            await world.cancel('j')
            await anyio.sleep(1)
            assert not world.fleet.active_runs
            assert world.start_count('j') == 1

    run_at_once(main)


def test_tasks_of_a_silent_worker_move_after_its_lease_only() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            await world.submit('j', Step(1, 1000, 100, estimate_seconds=8))
            await anyio.sleep(1)
            world.fleet.workers['w1'].unresponsive = True
            world.fleet.add_worker('w2')
            second = world.fleet.workers['w2']
            await world.dispatcher.handle_heartbeat(second.record, second.clock)
            waited = await world.wait('j', JobState.completed, 60)
            assert world.start_count('j') == 2
            assert waited < 25

    run_at_once(main)


def test_a_worker_started_again_under_its_id_runs_nothing_of_before() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            await world.submit('j', Step(1, 1000, 100, estimate_seconds=4))
            await anyio.sleep(1)
            for task, one in world.fleet.workers['w1'].running.items():
                world.fleet.record_end(task, one.run, RunOutcome.void)
            world.fleet.add_worker('w1', born=2)
            await anyio.sleep(1)
            again = world.fleet.workers['w1']
            await world.dispatcher.handle_heartbeat(again.record, again.clock)
            await world.wait('j', JobState.completed)
            assert world.start_count('j') == 2

    run_at_once(main)


def test_a_draining_worker_gets_nothing_new() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            worker = world.fleet.workers['w1']
            await world.dispatcher.handle_heartbeat(
                worker.record.as_draining(), worker.clock
            )
            # A heartbeat from before, held up on its way, changes nothing.
            await world.dispatcher.handle_heartbeat(worker.record, worker.clock)
            await world.submit('j', SMALL)
            await anyio.sleep(3)
            assert world.start_count('j') == 0

    run_at_once(main)


def test_a_gang_starts_whole_and_again_whole_when_a_member_fails() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1', 2000)
        world.fleet.add_worker('w2', 2000)
        async with world.running():
            gang = Step(4, 1000, 100, estimate_seconds=1, gang=True)
            world.fleet.outcomes[TaskKey('g', 0, 0, 1), 1] = RunOutcome.failed
            for number in (0, 2, 3):
                key = TaskKey('g', 0, 0, number)
                world.fleet.outcomes[key, 1] = RunOutcome.broken
            await world.submit('g', gang)
            await world.wait('g', JobState.completed)
            first = [start for start in world.fleet.starts if start[1] == 1]
            second = [start for start in world.fleet.starts if start[1] == 2]
            assert len(first) == len(second) == 4
            assert first[-1][2] - first[0][2] < 0.5

    run_at_once(main)


def test_a_new_leader_takes_over_what_runs_and_starts_nothing_twice() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(world.fleet.run)
            old = world.make_dispatcher(1)
            with anyio.CancelScope() as scope:
                tasks.start_soon(_run_in, old.run, scope)
                await anyio.sleep(0.1)
                worker = world.fleet.workers['w1']
                await old.handle_heartbeat(worker.record, worker.clock)
                await world.submit('j', Step(2, 1000, 9, estimate_seconds=3))
                await anyio.sleep(1)
            scope.cancel()
            # Runs that have shown no progress yet are no more stalled to a
            # new leader than they were to the old one.
            await anyio.sleep(2)
            for worker in world.fleet.workers.values():
                for one in worker.running.values():
                    one.began_at = anyio.current_time()
                    one.ends_at = one.began_at + 200
            new = world.make_dispatcher(2)
            tasks.start_soon(new.run)
            await anyio.sleep(1)
            for worker in world.fleet.workers.values():
                for one in worker.running.values():
                    one.ends_at = anyio.current_time() + 0.5
            await world.wait('j', JobState.completed)
            assert world.start_count('j') == 2
            tasks.cancel_scope.cancel()

    run_at_once(main)


async def _run_in(
    run: Callable[[], Awaitable[Any]], scope: anyio.CancelScope
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        while not scope.cancel_called:
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()


def test_permits_are_asked_for_and_workers_without_are_left_alone() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        world.fleet.permit_client = FakePermitClient(['w2'])
        for name in ('w1', 'w2', 'w3'):
            world.fleet.add_worker(name, 1000)
        async with world.running():
            await world.submit('j', Step(3, 1000, 100, estimate_seconds=1))
            await world.wait('j', JobState.completed)
            assert len(world.fleet.starts) == 3
            # Once the answer is known, only its workers are asked for again.
            assert set(world.fleet.permit_client.requests[-1]) == {'w2'}

    run_at_once(main)


@pytest.mark.parametrize('limit', [1, 2])
def test_no_more_tasks_of_a_step_on_one_worker_than_it_allows(
    limit: int,
) -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        world.fleet.add_worker('w2')
        async with world.running():
            step = Step(5, 1000, 100, estimate_seconds=1, spread_limit=limit)
            await world.submit('j', step)
            with anyio.fail_after(30):
                while world.job_store.jobs['j'].state is not JobState.completed:
                    for worker in world.fleet.workers.values():
                        assert len(worker.running) <= limit
                    await anyio.sleep(0.01)

    run_at_once(main)


def test_occurrences_start_when_they_are_due() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            due = world.wall_time() + 2
            await world.submit(
                'j', SMALL, repeat_count=3, first_due=due, interval_seconds=2
            )
            begun = anyio.current_time()
            await world.wait('j', JobState.completed)
            times = [at - begun for _, _, at in world.fleet.starts]
            assert len(times) == 3
            for number, at in enumerate(times):
                assert 2 * (number + 1) - 0.05 <= at < 2 * (number + 1) + 0.6

    run_at_once(main)


def test_a_list_asked_for_before_a_run_was_confirmed_does_not_end_it() -> None:
    listed = TrackedRun(run=1)
    listed.update_progress(10, '', now=5)
    # Asked for at 4, held up on its way, and read after the list of 5.
    assert not listed.ended_if_unlisted(requested_at=4)
    assert listed.ended_if_unlisted(requested_at=6)


def test_a_start_that_was_repeated_and_answered_is_not_uncertain() -> None:
    track = TrackedRun(run=1, uncertain=True)
    assert not track.ended_if_unlisted(requested_at=6)
    track.confirm(now=5)
    assert track.ended_if_unlisted(requested_at=6)


def test_a_worker_reborn_gets_nothing_before_it_has_described_itself() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1', 8000)
        async with world.running():
            await world.submit('long', Step(1, 1000, 9, estimate_seconds=2))
            await anyio.sleep(0.5)
            for task, one in world.fleet.workers['w1'].running.items():
                world.fleet.record_end(task, one.run, RunOutcome.void)
            world.fleet.add_worker('w1', 500, born=2)
            await anyio.sleep(4)
            assert world.start_count('long') == 1
            worker = world.fleet.workers['w1']
            await world.dispatcher.handle_heartbeat(worker.record, worker.clock)
            await world.submit('j', Step(1, 500, 100, estimate_seconds=0.5))
            await world.wait('j', JobState.completed)

    run_at_once(main)


def test_a_task_that_stands_still_is_moved_to_another_worker() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            world.fleet.runs_never_end = True
            await world.submit('j', Step(1, 1000, 100, estimate_seconds=0.5))
            await anyio.sleep(1)
            world.fleet.runs_never_end = False
            world.fleet.add_worker('w2')
            second = world.fleet.workers['w2']
            await world.dispatcher.handle_heartbeat(second.record, second.clock)
            await world.wait('j', JobState.completed, 8)
            assert world.start_count('j') == 2

    run_at_once(main)


def test_a_worker_on_which_work_is_slow_gets_nothing_new_for_a_while() -> None:
    live = TrackedWorker(
        WorkerRecord('w', 'w:1', 's', 'a', '', (), 1, 1, 0, 1),
        DispatchOptions(),
        began_at=0,
        listed=True,
    )
    track = TrackedRun(run=1, estimate_seconds=1)
    track.confirm(now=0)
    track.update_progress(20, '', now=1)
    ratio = track.slowdown(now=1)
    assert live.usable(now=1)
    # One run alone may have been estimated wrongly; two are evidence.
    assert not live.record_slowdowns([ratio], now=1)
    assert live.usable(now=1)
    assert live.record_slowdowns([ratio, ratio], now=1)
    assert not live.usable(now=2)
    assert live.usable(now=4)


def test_a_farewell_from_before_its_rebirth_does_not_end_a_worker() -> None:
    async def main() -> None:
        world = DispatcherHarness()
        world.fleet.add_worker('w1')
        async with world.running():
            await world.submit('j', Step(1, 1000, 100, estimate_seconds=2))
            await anyio.sleep(1)
            await world.dispatcher.handle_departure('w1')
            await world.wait('j', JobState.completed)
            assert world.start_count('j') == 1
            worker = world.fleet.workers['w1']
            await world.dispatcher.handle_heartbeat(
                worker.record.as_draining(), worker.clock
            )
            await world.dispatcher.handle_departure('w1')
            assert 'w1' not in world.job_store.workers

    run_at_once(main)


def test_leases_of_a_former_life_do_not_hold_up_those_of_the_next() -> None:
    record = WorkerRecord('w', 'w:1', 's', 'a', '', (), 1, 1, 0, 1)
    live = TrackedWorker(record, DispatchOptions(), began_at=0)
    live.record_contact(3_000_000, now=0)
    live.record_first_listing(3_000_000)
    live.extend_lease(now=0)
    live.record_restart(record.restarted(2), now=1)
    # The clock of the next life begins anew, far below the former one.
    live.record_contact(500, now=1)
    live.record_first_listing(500)
    live.extend_lease(now=1)
    assert not live.lease_expired(now=10)
    assert live.lease_expired(now=13)


def test_a_gang_whose_permits_have_run_out_gets_all_of_them_anew() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.3, 0.01, 1))
        names = [f'w{number}' for number in range(16)]
        world.fleet.permit_client = FakePermitClient(names, 0.4)
        for name in names:
            world.fleet.add_worker(name, 1000)
        async with world.running():
            gang = Step(16, 1000, 100, estimate_seconds=2.5, gang=True)
            await world.submit('first', gang)
            await anyio.sleep(0.1)
            await world.submit('second', gang)
            await world.wait('first', JobState.completed)
            assert await world.wait('second', JobState.completed) < 4

    run_at_once(main)


def test_a_worker_without_memory_does_not_hide_those_that_have_some() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.05, 0, 1.5), urgency=2)
        world.fleet.permit_client = FakePermitClient(['w1', 'w2'])
        world.fleet.add_worker('w1', 32_000, labels=('big',))
        world.fleet.add_worker('w2', 8_000)
        async with world.running():
            # Takes all the memory and few processors of the larger worker.
            large = Step(1, 1000, 60_000, estimate_seconds=20, label='big')
            await world.submit('filler', large)
            await anyio.sleep(0.5)
            await world.submit('j', Step(1, 1000, 10_000, estimate_seconds=1))
            assert await world.wait('j', JobState.completed) < 3

    run_at_once(main)


def test_the_last_room_is_asked_for_also_where_few_are_allowed() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.02, 0, 1.5), urgency=2)
        world.fleet.permit_client = FakePermitClient(['w9'], 0.02)
        for number in range(9):
            world.fleet.add_worker(f'w{number}', 1000)
        async with world.running():
            # Nobody is allowed: the share that was learned is low.
            await world.submit('none', Step(9, 1000, 100, estimate_seconds=1))
            await anyio.sleep(1)
            world.fleet.add_worker('w9', 1000)
            record = world.fleet.workers['w9'].record
            await world.dispatcher.handle_heartbeat(record, 1)
            await world.submit('j', Step(1, 1000, 100, estimate_seconds=1))
            assert await world.wait('j', JobState.completed, 60) < 15

    run_at_once(main)


def test_a_worker_reborn_without_a_label_gets_no_more_of_its_step() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        world.fleet.permit_client = FakePermitClient(['w1', 'w2'])
        world.fleet.add_worker('w1', 1000)
        world.fleet.add_worker('w2', 1000)
        async with world.running():
            step = Step(6, 1000, 100, estimate_seconds=0.5, label='k')
            await world.submit('j', step)
            await anyio.sleep(0.7)
            first = world.fleet.workers['w1']
            for task in tuple(first.running):
                world.fleet.active_runs.pop(task)
            record = replace(first.record, born=2, labels=('z',))
            world.fleet.workers['w1'] = FakeWorker(world.fleet, record)
            await world.dispatcher.handle_heartbeat(record, 1)
            await world.wait('j', JobState.completed)

    run_at_once(main)


def test_a_queue_sent_to_another_service_starts_nothing_on_the_first() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        world.fleet.permit_client = FakePermitClient(['w1', 'w2'])
        world.fleet.add_worker('w1', 1000)
        world.fleet.add_worker('w2', 1000, service='other')
        async with world.running():
            step = Step(6, 1000, 100, estimate_seconds=0.5)
            await world.submit('j', step)
            await anyio.sleep(0.7)
            queue = replace(world.queue, service='other')
            world.apply([changes.configure(QueueTable(2, '{}', (queue,)))])
            changed_at = anyio.current_time()
            await world.wait('j', JobState.completed)
            late = [at for _, _, at in world.fleet.starts if at > changed_at]
            assert len(late) >= 4
            assert len(world.fleet.workers['w1'].highest_runs) <= 2

    run_at_once(main)


def test_a_gang_asks_about_all_workers_that_have_room() -> None:
    async def main() -> None:
        world = DispatcherHarness(PermitPolicy(0.05, 0, 1.5))
        names = [f'w{number}' for number in range(20)]
        world.fleet.permit_client = FakePermitClient(names)
        for name in names:
            world.fleet.add_worker(name, 1000)
        async with world.running():
            gang = Step(2, 1000, 100, estimate_seconds=0.5, gang=True)
            await world.submit('j', gang)
            await world.wait('j', JobState.completed)
            assert set(world.fleet.permit_client.requests[0]) == set(names)

    run_at_once(main)
