"""Workloads of a data centre while VMs, workers and links fail.

Each test guards against tasks that run twice, are lost or never end when a
process is killed, a worker is cut off, or a task itself fails.
"""

import anyio
import pytest

from mulberryhitch.errors import OverQuotaError
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.workloads.model import Kind, Size
from tests.data_centre import DataCentre, make_spec
from tests.replica_group import run_with_mock_clock


def test_work_of_each_kind_runs_once() -> None:
    async def main() -> None:
        async with DataCentre(seed=1).running() as data_centre:
            await data_centre.execute(ops.Submit(make_spec(1, task_count=5)))
            await data_centre.execute(
                ops.Submit(make_spec(2, kind=Kind.gang, task_count=6))
            )
            assert await data_centre.wait_ended('home.1') == ['completed'] * 5
            assert await data_centre.wait_ended('home.2') == ['completed'] * 6
            assert set(data_centre.run_monitor.start_counts.values()) == {1}

    run_with_mock_clock(main)


def test_a_killed_leader_starts_nothing_twice() -> None:
    async def main() -> None:
        async with DataCentre(seed=2).running() as data_centre:
            spec = make_spec(1, task_count=12, run_seconds=20)
            await data_centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            leader = data_centre.leader()
            assert leader is not None
            vm = leader.replica.replica_id.partition('#')[0]
            data_centre.kill(vm)
            await anyio.sleep(4)
            data_centre.start(vm)
            assert await data_centre.wait_ended('home.1') == ['completed'] * 12
            assert set(data_centre.run_monitor.start_counts.values()) == {1}

    run_with_mock_clock(main)


@pytest.mark.parametrize('seed', range(10))
def test_leases_are_rebuilt_from_workers_after_all_schedulers_restart(
    seed: int,
) -> None:
    async def main() -> None:
        async with DataCentre(seed=seed).running() as data_centre:
            spec = make_spec(1, task_count=8, run_seconds=30)
            await data_centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            for vm in data_centre.vms:
                data_centre.kill(vm)
            await anyio.sleep(1)
            for vm in data_centre.vms:
                data_centre.start(vm)
            assert await data_centre.wait_ended('home.1') == ['completed'] * 8
            assert set(data_centre.run_monitor.start_counts.values()) == {1}

    run_with_mock_clock(main)


def test_a_cut_off_worker_stops_before_its_work_runs_elsewhere() -> None:
    async def main() -> None:
        async with DataCentre(seed=4).running() as data_centre:
            spec = make_spec(1, task_count=8, run_seconds=15, restartable=True)
            await data_centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            for vm in data_centre.vms:
                data_centre.network.cut_links |= {
                    (vm, 'worker-1'),
                    ('worker-1', vm),
                }
            await anyio.sleep(12)
            assert not data_centre.fleet['worker-1'].running
            data_centre.network.heal()
            assert await data_centre.wait_ended('home.1') == ['completed'] * 8

    run_with_mock_clock(main)


def test_lost_work_that_is_not_restartable_ends_as_unknown() -> None:
    async def main() -> None:
        async with DataCentre(seed=5, workers=1).running() as data_centre:
            await data_centre.execute(ops.Submit(make_spec(1, run_seconds=60)))
            await anyio.sleep(3)
            data_centre.kill_worker('worker-1')
            assert await data_centre.wait_ended('home.1') == ['unknown']
            assert data_centre.run_monitor.start_counts['home.1', 0] == 1

    run_with_mock_clock(main)


def test_a_cancelled_workload_stops() -> None:
    async def main() -> None:
        async with DataCentre(seed=6).running() as data_centre:
            spec = make_spec(1, task_count=30, run_seconds=0)
            await data_centre.execute(ops.Submit(spec))
            await anyio.sleep(3)
            await data_centre.execute(ops.Cancel('home.1'))
            assert await data_centre.wait_ended('home.1') == ['cancelled'] * 30
            assert not data_centre.run_monitor.running

    run_with_mock_clock(main)


def test_a_failing_worker_is_distinguished_from_a_failing_job() -> None:
    async def main() -> None:
        async with DataCentre(seed=7).running() as data_centre:
            data_centre.fleet['worker-1'].fails_all_tasks = True
            for number in range(1, 21):
                spec = make_spec(number, run_seconds=1, restartable=True)
                await data_centre.execute(ops.Submit(spec))
            bad = make_spec(99, restartable=True, program='{"fail": "bad"}')
            await data_centre.execute(ops.Submit(bad))
            for number in range(1, 21):
                ended = await data_centre.wait_ended(f'home.{number}')
                assert ended == ['completed']
            assert await data_centre.wait_ended('home.99') == ['failed']

    run_with_mock_clock(main)


def test_an_impossible_job_is_refused_and_blocks_no_other_job() -> None:
    async def main() -> None:
        async with DataCentre(seed=8).running() as data_centre:
            await anyio.sleep(5)
            assert not await data_centre.submit(
                make_spec(1, size=Size(99_000, 1))
            )
            assert await data_centre.submit(make_spec(2))
            assert await data_centre.wait_ended('home.2') == ['completed']

    run_with_mock_clock(main)


def test_work_not_started_before_its_deadline_is_cancelled() -> None:
    async def main() -> None:
        async with DataCentre(seed=9, workers=1).running() as data_centre:
            long = make_spec(1, task_count=4, run_seconds=60)
            await data_centre.execute(ops.Submit(long))
            await anyio.sleep(3)
            late = make_spec(2, start_within_seconds=5)
            await data_centre.execute(ops.Submit(late))
            assert await data_centre.wait_ended('home.2', 20) == ['cancelled']
            view = await data_centre.execute(ops.Describe('home.2'))
            assert view.tasks[0].reason == 'not started before its deadline'
            assert await data_centre.wait_ended('home.1') == ['completed'] * 4

    run_with_mock_clock(main)


def test_a_submission_over_the_tenant_quota_is_refused() -> None:
    async def main() -> None:
        async with DataCentre(seed=10, workers=1).running() as data_centre:
            data_centre.queue_limit = 5
            await data_centre.execute(ops.Submit(make_spec(1, task_count=5)))
            with pytest.raises(OverQuotaError) as caught:
                await data_centre.execute(
                    ops.Submit(make_spec(2, task_count=9))
                )
            assert caught.value.retry_after_seconds > 0
            assert await data_centre.wait_ended('home.1') == ['completed'] * 5

    run_with_mock_clock(main)


def test_a_task_over_its_declared_size_is_stopped_with_a_reason() -> None:
    async def main() -> None:
        async with DataCentre(seed=11, workers=1).running() as data_centre:
            program = '{"use_millicores": 9000, "run_seconds": 500}'
            spec = make_spec(1, program=program, run_seconds=500)
            await data_centre.execute(ops.Submit(spec))
            assert await data_centre.wait_ended('home.1', 60) == ['unknown']
            view = await data_centre.execute(ops.Describe('home.1'))
            assert view.tasks[0].reason

    run_with_mock_clock(main)


def test_a_gang_that_loses_a_task_restarts_together() -> None:
    async def main() -> None:
        async with DataCentre(seed=12, workers=3).running() as data_centre:
            spec = make_spec(
                1,
                kind=Kind.gang,
                task_count=6,
                run_seconds=20,
                restartable=True,
            )
            await data_centre.execute(ops.Submit(spec))
            await anyio.sleep(4)
            assert len(data_centre.run_monitor.running) == 6
            lost = data_centre.run_monitor.running['home.1', 0]
            data_centre.kill_worker(lost)
            data_centre.start_worker(lost)
            assert await data_centre.wait_ended('home.1') == ['completed'] * 6
            assert set(data_centre.run_monitor.start_counts.values()) == {2}

    run_with_mock_clock(main)
