"""Heartbeats that name no worker to use leave the known workers at work."""

from collections.abc import Awaitable, Callable
from dataclasses import replace
from http import HTTPStatus
from typing import Any

import anyio
import orjson
import pytest

from mulberryhitch.dispatch.operations import Acknowledged, WorkerHeartbeat
from mulberryhitch.errors import (
    ConflictError,
    InvalidInputError,
    TooLargeError,
    UnknownServiceError,
)
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import QueueTable, Step, WorkerRecord
from mulberryhitch.jobs.state import JobState
from mulberryhitch.platform.asgi import HttpRequest
from mulberryhitch.platform.control import ControlHandler
from tests.fake_platform import make_heartbeat, make_worker
from tests.fake_workers import DispatcherHarness
from tests.replica_group import run_with_mock_clock

LONG_STEP = Step(1, 1000, 100, estimate_seconds=3)
OTHER_SERVICE = make_worker('agent', service='metrics-agent')


def _play(
    scenario: Callable[[DispatcherHarness], Awaitable[None]],
    workers: int = 2,
) -> None:
    """Plays a scenario on a leader with some workers of 8 cores each."""

    async def main() -> None:
        harness = DispatcherHarness()
        for number in range(workers):
            harness.fleet.add_worker(f'w{number}')
        async with harness.running():
            await scenario(harness)

    run_with_mock_clock(main)


def test_a_worker_of_a_service_that_is_not_configured_is_not_recorded() -> None:
    """Such a heartbeat was written to the log, and its address was called."""

    async def scenario(harness: DispatcherHarness) -> None:
        with pytest.raises(UnknownServiceError):
            await harness.dispatcher.workers.handle_heartbeat(OTHER_SERVICE, 1)
        assert 'agent' not in harness.job_store.workers
        assert 'agent' not in harness.dispatcher.tracked_workers

    _play(scenario)


def test_a_worker_is_recorded_once_its_service_is_configured() -> None:
    async def scenario(harness: DispatcherHarness) -> None:
        table = QueueTable(2, '{}', (), services=('metrics-agent',))
        harness.apply([changes.configure(table)])
        await harness.dispatcher.workers.handle_heartbeat(OTHER_SERVICE, 1)
        assert 'agent' in harness.job_store.workers

    _play(scenario)


def test_a_configuration_that_an_earlier_version_wrote_can_be_read() -> None:
    """Entries of the log without the defined services stay readable."""
    change = changes.configure(QueueTable(1, '{}', (), services=('svc',)))
    change[1].pop('services')
    assert changes.decode_queue_table(change[1]).named_services() == set()


def test_a_job_of_a_removed_queue_still_gets_new_workers() -> None:
    """Accepted work runs, though its queue is no longer configured."""

    async def scenario(harness: DispatcherHarness) -> None:
        await harness.submit('j', LONG_STEP)
        harness.apply([changes.configure(QueueTable(2, '{}', ()))])
        harness.fleet.add_worker('late')
        late = harness.fleet.workers['late']
        await harness.dispatcher.workers.handle_heartbeat(
            late.record, late.clock
        )
        await harness.wait('j', JobState.completed)

    _play(scenario, workers=0)


@pytest.mark.parametrize(
    'odd',
    [
        {'service': 'metrics-agent', 'born': 9},
        {'service': 'metrics-agent', 'born': 9, 'address': '10.9.9.9:1'},
        {'service': 'metrics-agent', 'draining': True},
    ],
)
def test_a_heartbeat_of_another_service_under_a_worker_s_id_changes_nothing(
    odd: dict[str, Any],
) -> None:
    """The worker counted as restarted; its lists were refused from then on."""

    async def scenario(harness: DispatcherHarness) -> None:
        await harness.submit('j', LONG_STEP)
        await anyio.sleep(0.5)
        known = harness.busy_worker().record
        with pytest.raises(UnknownServiceError):
            await harness.dispatcher.workers.handle_heartbeat(
                replace(known, **odd), 1
            )
        await harness.wait('j', JobState.completed, 4)
        assert harness.start_count('j') == 1
        assert harness.job_store.workers[known.worker_id] == known

    _play(scenario)


def test_an_incarnation_that_names_another_address_is_refused() -> None:
    """Calls went to whoever answers there, and its runs were given up."""

    async def scenario(harness: DispatcherHarness) -> None:
        await harness.submit('j', LONG_STEP)
        await anyio.sleep(0.5)
        odd = replace(harness.busy_worker().record, address='10.9.9.9:1')
        with pytest.raises(ConflictError):
            await harness.dispatcher.workers.handle_heartbeat(odd, 1)
        await harness.wait('j', JobState.completed, 4)
        assert harness.start_count('j') == 1

    _play(scenario)


class RefusingLeaderClient:
    """Accepts the heartbeats of one service and refuses all others."""

    def __init__(self) -> None:
        self.accepted: list[WorkerRecord] = []

    async def execute(
        self, group: str, operation: WorkerHeartbeat, *args: Any
    ) -> Acknowledged:
        if operation.worker.service != 'svc':
            raise UnknownServiceError('not used')
        self.accepted.append(operation.worker)
        return Acknowledged()


async def _send(control: ControlHandler, **fields: Any) -> None:
    body = orjson.dumps(make_heartbeat(**fields))
    request = HttpRequest('PUT', '', '/instances/i-1', body, 1)
    assert (await control.respond(request)).status == HTTPStatus.OK


@pytest.mark.parametrize(
    ('worker_id', 'fields'),
    [
        ('i-1', {'labels': ['x' * 1000] * 17}),
        ('i-1', {'zone': 'x' * 20_000}),
        ('i-' * 200, {}),
    ],
)
def test_a_heartbeat_of_any_size_is_not_written_to_the_log(
    worker_id: str, fields: dict[str, Any]
) -> None:
    async def main() -> None:
        leader_client = RefusingLeaderClient()
        control = ControlHandler(leader_client)  # type: ignore[arg-type]
        body = orjson.dumps(make_heartbeat(**fields))
        path = f'/instances/{worker_id}'
        with pytest.raises((InvalidInputError, TooLargeError)):
            await control.respond(HttpRequest('PUT', '', path, body, 1))
        assert not leader_client.accepted

    run_with_mock_clock(main)


def test_a_refused_heartbeat_does_not_hide_the_worker_s_own() -> None:
    """A high incarnation made a scheduler drop the worker's heartbeats."""

    async def main() -> None:
        leader_client = RefusingLeaderClient()
        control = ControlHandler(leader_client)  # type: ignore[arg-type]
        await _send(control, service='odd', born=2**50)
        await _send(control, sequence=5)
        assert len(leader_client.accepted) == 1

    run_with_mock_clock(main)


def test_a_worker_whose_time_of_day_went_back_is_heard_again() -> None:
    """A scheduler dropped its heartbeats for good, as if they were late."""

    async def main() -> None:
        leader_client = RefusingLeaderClient()
        control = ControlHandler(leader_client)  # type: ignore[arg-type]
        await _send(control, born=9, sequence=5)
        await _send(control, born=9, sequence=4)
        await _send(control, born=8)
        assert len(leader_client.accepted) == 1
        await anyio.sleep(31)
        await _send(control, born=8)
        assert len(leader_client.accepted) == 2

    run_with_mock_clock(main)
