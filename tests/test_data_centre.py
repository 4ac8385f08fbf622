"""A data centre's work under kills, cuts, pauses and failing workers."""

import anyio
import pytest

from mulberryhitch.errors import OverQuotaError
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.workloads.model import Kind, Size
from tests.centres import DataCentre, a_spec
from tests.groups import run_at_once


def test_work_of_each_kind_runs_once() -> None:
    async def main() -> None:
        async with DataCentre(seed=1).running() as centre:
            await centre.execute(ops.Submit(a_spec(1, task_count=5)))
            await centre.execute(
                ops.Submit(a_spec(2, kind=Kind.gang, task_count=6))
            )
            assert await centre.wait_ended('home.1') == ['completed'] * 5
            assert await centre.wait_ended('home.2') == ['completed'] * 6
            assert set(centre.watch.begun.values()) == {1}

    run_at_once(main)


def test_a_killed_leader_starts_nothing_twice() -> None:
    async def main() -> None:
        async with DataCentre(seed=2).running() as centre:
            spec = a_spec(1, task_count=12, run_seconds=20)
            await centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            leader = centre.leader()
            assert leader is not None
            vm = leader.replica.replica_id.partition('#')[0]
            centre.kill(vm)
            await anyio.sleep(4)
            centre.start(vm)
            assert await centre.wait_ended('home.1') == ['completed'] * 12
            assert set(centre.watch.begun.values()) == {1}

    run_at_once(main)


def test_all_schedulers_lost_and_leases_are_rebuilt_from_workers() -> None:
    async def main() -> None:
        async with DataCentre(seed=3).running() as centre:
            spec = a_spec(1, task_count=8, run_seconds=30)
            await centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            for vm in centre.vms:
                centre.kill(vm)
            await anyio.sleep(1)
            for vm in centre.vms:
                centre.start(vm)
            assert await centre.wait_ended('home.1') == ['completed'] * 8
            assert set(centre.watch.begun.values()) == {1}

    run_at_once(main)


def test_a_cut_off_worker_stops_before_its_work_runs_elsewhere() -> None:
    async def main() -> None:
        async with DataCentre(seed=4).running() as centre:
            spec = a_spec(1, task_count=8, run_seconds=15, restartable=True)
            await centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            for vm in centre.vms:
                centre.network.cut |= {(vm, 'worker-1'), ('worker-1', vm)}
            await anyio.sleep(12)
            assert not centre.fleet['worker-1'].running
            centre.network.heal()
            assert await centre.wait_ended('home.1') == ['completed'] * 8

    run_at_once(main)


def test_lost_work_that_may_not_run_again_ends_as_unknown() -> None:
    async def main() -> None:
        async with DataCentre(seed=5, workers=1).running() as centre:
            await centre.execute(ops.Submit(a_spec(1, run_seconds=60)))
            await anyio.sleep(3)
            centre.kill_worker('worker-1')
            assert await centre.wait_ended('home.1') == ['unknown']
            assert centre.watch.begun['home.1', 0] == 1

    run_at_once(main)


def test_a_cancelled_workload_stops() -> None:
    async def main() -> None:
        async with DataCentre(seed=6).running() as centre:
            spec = a_spec(1, task_count=30, run_seconds=0)
            await centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            await centre.execute(ops.Cancel('home.1'))
            assert await centre.wait_ended('home.1') == ['cancelled'] * 30
            assert not centre.watch.running

    run_at_once(main)


def test_a_worker_that_fails_everything_is_told_from_a_bad_job() -> None:
    async def main() -> None:
        async with DataCentre(seed=7).running() as centre:
            centre.fleet['worker-1'].fails_all_tasks = True
            for number in range(1, 21):
                spec = a_spec(number, run_seconds=1, restartable=True)
                await centre.execute(ops.Submit(spec))
            bad = a_spec(99, restartable=True, program='{"fail": "bad"}')
            await centre.execute(ops.Submit(bad))
            for number in range(1, 21):
                ended = await centre.wait_ended(f'home.{number}')
                assert ended == ['completed']
            assert await centre.wait_ended('home.99') == ['failed']

    run_at_once(main)


def test_an_impossible_job_is_refused_and_blocks_nobody() -> None:
    async def main() -> None:
        async with DataCentre(seed=8).running() as centre:
            await anyio.sleep(5)
            assert not await centre.submit(a_spec(1, size=Size(99_000, 1)))
            assert await centre.submit(a_spec(2))
            assert await centre.wait_ended('home.2') == ['completed']

    run_at_once(main)


def test_work_that_could_not_start_in_time_is_given_up() -> None:
    async def main() -> None:
        async with DataCentre(seed=9, workers=1).running() as centre:
            long = a_spec(1, task_count=4, run_seconds=60)
            await centre.execute(ops.Submit(long))
            await anyio.sleep(3)
            late = a_spec(2, start_within_seconds=5)
            await centre.execute(ops.Submit(late))
            assert await centre.wait_ended('home.2', 20) == ['cancelled']
            view = await centre.execute(ops.Describe('home.2'))
            assert view.tasks[0].reason == 'not started before its deadline'
            assert await centre.wait_ended('home.1') == ['completed'] * 4

    run_at_once(main)


def test_a_tenant_beyond_its_bound_is_told_not_run() -> None:
    async def main() -> None:
        async with DataCentre(seed=10, workers=1).running() as centre:
            centre.queue_limit = 5
            await centre.execute(ops.Submit(a_spec(1, task_count=5)))
            with pytest.raises(OverQuotaError) as caught:
                await centre.execute(ops.Submit(a_spec(2, task_count=9)))
            assert caught.value.retry_after_seconds > 0
            assert await centre.wait_ended('home.1') == ['completed'] * 5

    run_at_once(main)


def test_a_task_over_its_declared_size_is_stopped_and_told() -> None:
    async def main() -> None:
        async with DataCentre(seed=11, workers=1).running() as centre:
            program = '{"use_millicores": 9000, "run_seconds": 500}'
            spec = a_spec(1, program=program, run_seconds=500)
            await centre.execute(ops.Submit(spec))
            assert await centre.wait_ended('home.1', 60) == ['unknown']
            view = await centre.execute(ops.Describe('home.1'))
            assert view.tasks[0].reason

    run_at_once(main)


def test_a_gang_that_loses_a_task_starts_again_together() -> None:
    async def main() -> None:
        async with DataCentre(seed=12, workers=3).running() as centre:
            spec = a_spec(
                1,
                kind=Kind.gang,
                task_count=6,
                run_seconds=20,
                restartable=True,
            )
            await centre.execute(ops.Submit(spec))
            await anyio.sleep(4)
            assert len(centre.watch.running) == 6
            lost = centre.watch.running['home.1', 0]
            centre.kill_worker(lost)
            centre.start_worker(lost)
            assert await centre.wait_ended('home.1') == ['completed'] * 6
            assert set(centre.watch.begun.values()) == {2}

    run_at_once(main)
