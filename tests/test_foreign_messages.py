"""Messages of other writers, and malformed answers, end no process."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import anyio
import pytest

from mulberryhitch.configuration.addresses import parse_address
from mulberryhitch.dispatch.ports import WorkerAnswer
from mulberryhitch.errors import InvalidInputError, UnreachableError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import Step, StepKey, WorkerRecord
from mulberryhitch.jobs.state import JobState
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.client import PlatformClient
from mulberryhitch.platform.run_lists import read_worker_view
from mulberryhitch.platform.workers import (
    PlatformPermitClient,
    PlatformWorkerClient,
)
from mulberryhitch.workers.gateway import HttpWorkerGateway
from mulberryhitch.workers.protocol import LeaseMessage
from tests.fake_platform import (
    DEEPLY_NESTED,
    SCOPE,
    START,
    AnsweringClient,
    make_heartbeat,
    make_worker,
)
from tests.fake_workers import DispatcherHarness
from tests.platform_harness import (
    SCHEDULERS,
    PlatformHarness,
    make_configuration,
)
from tests.replica_group import run_with_mock_clock

JOB = {'steps': [{'count': 1, 'cpu': 1000, 'estimate_ms': 300}]}
JOB_PATH = '/q/5c0e7a21d94b36f8'
STEP = StepKey('a', 0, 0)
LONG_STEP = Step(1, 1000, 100, estimate_seconds=3)


def test_a_worker_in_the_log_that_cannot_be_called_ends_no_leader(
    tmp_path: Path,
) -> None:
    """An address that no library call accepts ended each leader in turn."""

    async def main() -> None:
        harness = PlatformHarness(tmp_path)
        harness.fleet.step_of = lambda task: Step(  # type: ignore[method-assign]
            1, 1000, 100, estimate_seconds=0.3
        )
        async with harness.running():
            await _configure(harness)
            odd = make_worker('i-odd', f'::1%{SCOPE}:80')
            await _write_to_log(harness, changes.register_worker(odd))
            harness.stop_leader()
            await harness.retry_until_status(
                200, harness.send_to_queue, 'POST', JOB_PATH, JOB
            )
            state = ''
            with anyio.fail_after(20):
                while state != 'completed':
                    answer = await harness.send_to_queue('GET', JOB_PATH)
                    state = answer.content.get('state', '')
                    await anyio.sleep(0.05)

    anyio.run(main)


def test_odd_heartbeats_get_their_answers_and_the_worker_stays(
    tmp_path: Path,
) -> None:
    """Through the real interface: refused, ignored, or contradicted."""
    answers = (
        ({'address': f'::1%{SCOPE}:80'}, HTTPStatus.BAD_REQUEST),
        ({'labels': [[]]}, HTTPStatus.BAD_REQUEST),
        ({'service': 'odd', 'born': 2**50}, HTTPStatus.OK),
        ({'born': 1, 'sequence': 2**40}, HTTPStatus.CONFLICT),
    )

    async def main() -> None:
        harness = PlatformHarness(tmp_path)
        async with harness.running():
            await _configure(harness)
            workers = harness.leader().service.job_store.workers
            with anyio.fail_after(10):
                while 'i-1' not in workers:
                    await anyio.sleep(0.05)
            known = workers['i-1']
            for fields, status in answers:
                answer = await harness.send(
                    SCHEDULERS[0],
                    'PUT',
                    '/instances/i-1',
                    make_heartbeat(**fields),
                )
                assert answer.status == status
            assert workers == {'i-1': known}

    anyio.run(main)


async def _configure(harness: PlatformHarness) -> None:
    configuration = make_configuration(1)
    await harness.retry_until_status(
        200, harness.send, SCHEDULERS[0], 'PUT', '/config', configuration
    )


async def _write_to_log(
    harness: PlatformHarness, change: changes.Change
) -> None:
    await harness.leader().service.replica.propose(
        changes.CHANGES_KIND, changes.encode_changes([change])
    )


def test_a_defect_met_with_one_worker_leaves_the_others_at_work() -> None:
    """An unexpected error of one poll ended the leader's whole term."""

    async def main() -> None:
        harness = DispatcherHarness()
        harness.fleet.add_worker('w1')
        harness.fleet.add_worker('odd')
        harness.fleet.poll = _raise_for('odd', harness.fleet.poll)  # type: ignore[method-assign]
        async with harness.running():
            await harness.submit('j', LONG_STEP)
            await harness.wait('j', JobState.completed)
            assert not harness.dispatcher.tracked_workers['odd'].listed

    run_with_mock_clock(main)


def _raise_for(
    worker_id: str, poll: Callable[..., Awaitable[Any]]
) -> Callable[..., Awaitable[Any]]:
    async def poll_or_raise(record: WorkerRecord, *args: Any) -> Any:
        if record.worker_id == worker_id:
            raise RuntimeError('not foreseen')
        return await poll(record, *args)

    return poll_or_raise


@pytest.mark.parametrize(
    ('address', 'host', 'authority'),
    [
        ('10.0.0.1:80', '10.0.0.1', '10.0.0.1:80'),
        ('::1:80', '::1', '[::1]:80'),
        ('[::1]:80', '::1', '[::1]:80'),
    ],
)
def test_addresses_are_parsed_into_hosts_that_can_be_connected_to(
    address: str, host: str, authority: str
) -> None:
    parsed = parse_address(address)
    assert (parsed.host, parsed.port) == (host, 80)
    assert parsed.authority == authority


def test_the_gateway_reports_an_address_it_cannot_call_as_invalid() -> None:
    message = LeaseMessage(
        term=1, sequence=1, leader='a', lease_seconds=1, anchor=None
    )

    async def main() -> None:
        with pytest.raises(InvalidInputError):
            await HttpWorkerGateway().exchange(f'::1%{SCOPE}:80', message, 1)

    anyio.run(main)


def test_a_connection_that_is_reset_while_it_opens_is_a_typed_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Setting options of a socket that is closed by then ended the leader."""
    connect = anyio.connect_tcp

    async def connect_and_close(host: str, port: int) -> Any:
        stream = await connect(host, port)
        await anyio.aclose_forcefully(stream)
        await anyio.sleep(0.01)
        return stream

    async def main() -> None:
        async with await anyio.create_tcp_listener(
            local_host='127.0.0.1'
        ) as listener:
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            monkeypatch.setattr(anyio, 'connect_tcp', connect_and_close)
            with pytest.raises(UnreachableError):
                await PlatformClient().send(
                    f'127.0.0.1:{port}', 'POST', '/', {}, 1
                )

    anyio.run(main)


@pytest.mark.parametrize('odd', [DEEPLY_NESTED, 7, None, {'a': DEEPLY_NESTED}])
def test_a_start_refused_for_an_unreadable_reason_is_a_refusal(
    odd: object,
) -> None:
    """The text of a deeply nested reason ended the leader."""

    async def main() -> None:
        client = PlatformWorkerClient(
            AnsweringClient({'reason': odd}, HTTPStatus.CONFLICT),
            1,
            Log('test'),
        )
        answer, _ = await client.start(make_worker(), START)
        assert answer is WorkerAnswer.refused

    anyio.run(main)


@pytest.mark.parametrize('odd', [DEEPLY_NESTED, 7, None])
def test_permits_with_unreadable_names_or_tickets_are_skipped(
    odd: object,
) -> None:
    rows = [[odd, 't'], ['w1', odd], odd, ['w2', 't', odd]]

    async def main() -> None:
        client = PlatformPermitClient(
            AnsweringClient({'granted': rows}), '127.0.0.1:1'
        )
        assert await client.ask(STEP, ('w1', 'w2'), 1) == {'w2': 't'}

    anyio.run(main)


@pytest.mark.parametrize('odd', [DEEPLY_NESTED, 7, {'a': DEEPLY_NESTED}])
def test_an_unreadable_checkpoint_is_left_out_and_a_name_skips_the_row(
    odd: object,
) -> None:
    view, unreadable = read_worker_view(
        {
            'clock_ms': 5,
            'running': [['a.0.0.1', 1, odd, 5], [odd, 1, '', 5]],
            'ended': [[1, 'a.0.0.0', 1, 'done', odd], [2, odd, 1, 'done', '']],
        },
    )
    assert unreadable == 2
    assert [row.checkpoint for row in view.running] == ['']
    assert [row.checkpoint for row in view.ended] == ['']
