"""A worker's runs are given up on its own word only, not on another's."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.ports import WorkerAnswer
from mulberryhitch.jobs.model import Step, WorkerRecord
from mulberryhitch.jobs.state import JobState
from tests.fake_workers import DispatcherHarness, FakeWorker
from tests.replica_group import run_with_mock_clock

LONG_STEP = Step(1, 1000, 100, estimate_seconds=3)
LEASE_SECONDS = DispatchOptions().lease_seconds


def _play(
    scenario: Callable[[DispatcherHarness, FakeWorker], Awaitable[None]],
) -> None:
    """Plays a scenario on a leader with two workers, one of them busy.

    The fake workers assert that no task runs twice at a time.
    """

    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w0')
        harness.fleet.add_worker('w1')
        async with harness.running():
            # By then no lease of an earlier leader can last.
            await anyio.sleep(10)
            await harness.submit('j', LONG_STEP)
            await harness.wait_for_starts('j', 1)
            await anyio.sleep(0.5)
            await scenario(harness, harness.busy_worker())
            await harness.wait('j', JobState.completed)

    run_with_mock_clock(main)


def _claim(busy: FakeWorker, **fields: Any) -> WorkerRecord:
    """Returns another worker that claims the address of a busy one."""
    return replace(busy.record, worker_id='claimant', **fields)


@pytest.mark.parametrize('fields', [{'born': 9}, {'born': 0}])
def test_a_claimed_address_of_a_live_worker_leaves_its_runs_alone(
    fields: dict[str, Any],
) -> None:
    """The heartbeat alone voided the runs, which began elsewhere at once."""

    async def scenario(harness: DispatcherHarness, busy: FakeWorker) -> None:
        harness.fleet.answering[busy.record.address] = busy.record.worker_id
        await harness.dispatcher.workers.handle_heartbeat(
            _claim(busy, **fields), 1
        )
        await harness.wait('j', JobState.completed)
        assert harness.start_count('j') == 1
        tracked = harness.dispatcher.tracked_workers
        assert 'claimant' not in tracked
        assert tracked[busy.record.worker_id].usable(anyio.current_time())

    _play(scenario)


def test_the_tasks_of_a_replaced_worker_start_again_at_once() -> None:
    """Whoever answers at the address proves that the former one has ended."""

    async def scenario(harness: DispatcherHarness, busy: FakeWorker) -> None:
        busy.crash()
        harness.fleet.answering[busy.record.address] = 'claimant'
        record = _claim(busy, born=9)
        harness.fleet.workers['claimant'] = FakeWorker(harness.fleet, record)
        await harness.dispatcher.workers.handle_heartbeat(record, 1)
        await harness.wait_for_starts('j', 2, 0.5)

    _play(scenario)


def test_a_claimed_address_that_nobody_answers_waits_for_the_lease() -> None:
    """A worker that is cut off may still run its tasks."""

    async def scenario(harness: DispatcherHarness, busy: FakeWorker) -> None:
        busy.unresponsive = True
        busy.running[next(iter(busy.running))].ends_at += 100
        claimed_at = anyio.current_time()
        await harness.dispatcher.workers.handle_heartbeat(
            _claim(busy, born=9), 1
        )
        await harness.wait_for_starts('j', 2)
        assert anyio.current_time() - claimed_at > LEASE_SECONDS - 1

    _play(scenario)


def test_an_answer_from_a_worker_s_former_address_does_not_remove_it() -> None:
    """Its runs at the new address were given up while they ran."""

    async def scenario(harness: DispatcherHarness, busy: FakeWorker) -> None:
        busy.crash()
        former = busy.record
        harness.fleet.poll = _late_refusal(former, harness.fleet.poll)  # type: ignore[method-assign]
        # The next poll is already under way when the worker starts again.
        await anyio.sleep(1.2)
        record = replace(former, born=2, address='elsewhere:1')
        harness.fleet.workers[former.worker_id] = FakeWorker(
            harness.fleet, record
        )
        await harness.dispatcher.workers.handle_heartbeat(record, 1)
        await anyio.sleep(2)
        assert former.worker_id in harness.dispatcher.tracked_workers

    _play(scenario)


def _late_refusal(
    former: WorkerRecord, poll: Callable[..., Awaitable[Any]]
) -> Callable[..., Awaitable[Any]]:
    async def poll_late(record: WorkerRecord, *args: Any) -> Any:
        if record.address != former.address:
            return await poll(record, *args)
        if record.worker_id != former.worker_id:
            return await poll(record, *args)
        await anyio.sleep(1)
        return WorkerAnswer.replaced

    return poll_late


def test_a_departure_of_an_unknown_incarnation_is_checked_first() -> None:
    """A late report of an earlier shutdown voided the runs of the next."""

    async def scenario(harness: DispatcherHarness, busy: FakeWorker) -> None:
        worker_id = busy.record.worker_id
        draining = busy.record.as_draining()
        await harness.dispatcher.workers.handle_heartbeat(draining, busy.clock)
        await harness.dispatcher.workers.handle_departure(worker_id, 0)
        await anyio.sleep(1)
        assert harness.start_count('j') == 1
        busy.crash()
        await harness.dispatcher.workers.handle_departure(worker_id, 0)
        await harness.wait_for_starts('j', 2, 0.5)

    _play(scenario)
