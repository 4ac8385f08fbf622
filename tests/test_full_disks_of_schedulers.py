"""Schedulers whose disks are full in turn, called as entries call them."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from mulberryhitch.jobs.state import JobState
from tests.jobs_group import Callers, JobsGroup
from tests.replica_group import run_with_mock_clock

ACKNOWLEDGEMENT_SECONDS = 5
KINDS = {'change', 'submission', 'cancel', 'end'}
GROUPS = ((3, 0), (5, 1))


@asynccontextmanager
async def _busy_group(
    size: int, spares: int, seed: int
) -> AsyncIterator[JobsGroup]:
    """Runs schedulers with callers; at the end each must have been answered."""
    group = JobsGroup(size, seed, spares)
    for number in range(4):
        group.fleet.add_worker(f'w{number}')
    callers = Callers(group)
    async with group.running():
        group.task_group.start_soon(group.fleet.run)
        await callers.change_table()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(callers.run)
            await anyio.sleep(2)
            assert set(callers.counts) == KINDS
            callers.longest_waits.clear()
            yield group
            await anyio.sleep(ACKNOWLEDGEMENT_SECONDS)
            assert callers.longest_open_seconds() < ACKNOWLEDGEMENT_SECONDS
            tasks.cancel_scope.cancel()
        assert set(callers.longest_waits) == KINDS
        assert max(callers.longest_waits.values()) < ACKNOWLEDGEMENT_SECONDS
        await _assert_nothing_is_lost(group, callers)


async def _assert_nothing_is_lost(group: JobsGroup, callers: Callers) -> None:
    store = await group.leading_store()
    assert store.queue_table.version >= callers.version
    for job_id in callers.accepted:
        assert job_id in store.jobs
    for job_id in callers.cancelled:
        assert store.jobs[job_id].state is JobState.cancelled


async def _fill(group: JobsGroup, vm: str, seconds: float) -> None:
    group.disks[vm].fill()
    await anyio.sleep(seconds)
    group.disks[vm].free()


async def _leader_vm(group: JobsGroup) -> str:
    return group.vm_of(await group.wait_leader())


@pytest.mark.parametrize(('size', 'spares'), GROUPS)
def test_all_kinds_of_requests_go_on_while_disks_are_full_in_turn(
    size: int, spares: int
) -> None:
    async def main() -> None:
        async with _busy_group(size, spares, 0) as group:
            for vm in group.disks:
                await _fill(group, vm, 3)
                await anyio.sleep(group.rng.random())

    run_with_mock_clock(main)


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize(('size', 'spares'), GROUPS)
def test_all_kinds_of_requests_go_on_while_the_leader_s_disk_is_full(
    size: int, spares: int, seed: int
) -> None:
    async def main() -> None:
        async with _busy_group(size, spares, seed) as group:
            for seconds in (3, 3, 0.2, 0.35, 0.5, 3):
                await _fill(group, await _leader_vm(group), seconds)

    run_with_mock_clock(main)


@pytest.mark.parametrize('free_seconds', [0.05, 0.3])
@pytest.mark.parametrize('full_seconds', [0.32, 0.4])
def test_a_disk_may_be_full_again_while_its_leader_hands_over(
    full_seconds: float, free_seconds: float
) -> None:
    async def main() -> None:
        async with _busy_group(3, 0, 0) as group:
            for _ in range(2):
                vm = await _leader_vm(group)
                await _fill(group, vm, full_seconds)
                await anyio.sleep(free_seconds)
                await _fill(group, vm, 3)

    run_with_mock_clock(main)
