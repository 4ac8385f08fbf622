"""The platform's HTTP calls: end to end over loopback, and the parsers."""

from pathlib import Path

import anyio
import httpcore
import orjson
import pytest

from mulberryhitch.errors import (
    InvalidInputError,
    MulberryhitchError,
    NotFoundError,
    NotLeaderError,
    OutcomeUnknownError,
    ProtocolError,
    StorageError,
    UnreachableError,
)
from mulberryhitch.jobs.model import Step, WorkerRecord
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import http_status_of
from mulberryhitch.platform.client import PlatformClient
from mulberryhitch.platform.run_lists import read_worker_view
from mulberryhitch.platform.wire import (
    read_heartbeat,
    read_job,
    read_table,
)
from mulberryhitch.platform.workers import PlatformWorkerClient
from tests.fake_platform import (
    SCOPE,
    START,
    AnsweringClient,
    make_heartbeat,
    make_worker,
)
from tests.platform_harness import (
    ENTRY,
    SCHEDULERS,
    PlatformHarness,
    make_configuration,
)

JOB = {
    'spec': 'text',
    'steps': [
        {'count': 2, 'cpu': 1000, 'mem_mb': 100, 'estimate_ms': 300},
        {
            'count': 1,
            'cpu': 1000,
            'mem_mb': 100,
            'estimate_ms': 300,
            'depends_on': [0],
        },
    ],
}
JOB_ID = '5c0e7a21d94b36f8'


def test_a_posted_job_completes(tmp_path: Path) -> None:
    async def main() -> None:
        harness = PlatformHarness(tmp_path)
        harness.fleet.step_of = lambda task: Step(  # type: ignore[method-assign]
            1, 1000, 100, estimate_seconds=0.3
        )
        async with harness.running():
            await _run_one_job(harness)
            await _read_metrics(harness)
            await _change_configuration(harness)
            await _stop_first_scheduler(harness)

    anyio.run(main)


async def _run_one_job(harness: PlatformHarness) -> None:
    response = await harness.retry_until_status(
        503, harness.send_to_queue, 'POST', f'/q/{JOB_ID}', JOB
    )
    put_configuration = ('PUT', '/config', make_configuration(4))
    await harness.retry_until_status(
        200, harness.send, SCHEDULERS[0], *put_configuration
    )
    await harness.retry_until_status(
        200, harness.send_to_queue, 'POST', f'/q/{JOB_ID}', JOB
    )
    # A repeated submission does not create a second job.
    response = await harness.send_to_queue('POST', f'/q/{JOB_ID}', JOB)
    assert response.status == 200
    with anyio.fail_after(40):
        while response.content.get('state') != 'completed':
            response = await harness.send_to_queue('GET', f'/q/{JOB_ID}')
            await anyio.sleep(0.02)
    assert len(harness.fleet.starts) == 3
    assert (
        await harness.send_to_queue('GET', '/q/0000000000000000')
    ).status == 410
    assert (
        await harness.send_to_queue('DELETE', '/q/0000000000000000')
    ).status == 410
    assert (await harness.send_to_queue('GET', '/unknown/')).status == 404
    assert (await harness.send_to_queue('GET', '/q/')).content == {'pending': 0}
    assert (
        await harness.send_to_queue('POST', f'/q/{JOB_ID[::-1]}', {})
    ).status == 400


async def _read_metrics(harness: PlatformHarness) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        address = f'http://{ENTRY}:{harness.port + 4}/metrics'
        response = await pool.request('GET', address)
    text = response.content.decode()
    assert 'mulberryhitch_events_total{event="leader.found"} ' in text
    assert 'kind="200",quantile="0.99"' in text


async def _change_configuration(harness: PlatformHarness) -> None:
    first, second, third = SCHEDULERS
    invalid = make_configuration(9, service='none')
    assert (await harness.send(second, 'PUT', '/config', invalid)).status == 400
    newer = make_configuration(7, max_attempts=2)
    assert (await harness.send(second, 'PUT', '/config', newer)).status == 200
    # An older version is acknowledged but not applied.
    older = make_configuration(5)
    assert (await harness.send(third, 'PUT', '/config', older)).status == 200
    stored = await harness.send(first, 'GET', '/config')
    assert stored.content == newer


async def _stop_first_scheduler(harness: PlatformHarness) -> None:
    for vm in SCHEDULERS[:1]:
        harness.stop_events[vm].set()
    await harness.retry_until_status(
        200, harness.send_to_queue, 'POST', f'/q/{JOB_ID[::-1]}', JOB
    )
    with anyio.fail_after(40):
        state = ''
        while state != 'completed':
            response = await harness.send_to_queue('GET', f'/q/{JOB_ID[::-1]}')
            state = response.content.get('state', '')
            await anyio.sleep(0.05)
    assert await harness.retry_until_status(
        200, harness.send, SCHEDULERS[2], 'GET', '/config'
    )


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{',
        b'[]',
        b'{"steps":[]}',
        b'{"steps":[{"count":-1}]}',
        b'{"steps":[{"count":"2"}]}',
        b'{"steps":[{"count":1,"depends_on":[0]}]}',
        b'{"steps":[{"count":1,"cpu":-5}]}',
        b'{"steps":[{"count":1}],"spec":"' + b'x' * 4001 + b'"}',
        b'{"steps":[{"count":1}],"repeat_count":-1}',
        b'\xff\xfe',
    ],
)
def test_an_invalid_job_is_refused_with_its_field(
    body: bytes,
) -> None:
    with pytest.raises(InvalidInputError) as caught:
        read_job(body)
    assert caught.value.where


@pytest.mark.parametrize(
    'invalid_fields',
    [
        {'version': 'x'},
        {'routes': 3},
        {'services': []},
        {'routes': [{'name': 'r'}]},
    ],
)
def test_an_invalid_configuration_is_refused(invalid_fields: dict) -> None:
    content = {**make_configuration(3), **invalid_fields}
    with pytest.raises(InvalidInputError):
        read_table(orjson.dumps(content))


def test_duplicate_routes_and_zero_timeouts_are_refused() -> None:
    content = make_configuration(3)
    content['routes'].append({**content['routes'][0], 'name': 'other'})
    with pytest.raises(InvalidInputError):
        read_table(orjson.dumps(content))
    with pytest.raises(InvalidInputError):
        read_table(orjson.dumps(make_configuration(3, timeout_ms=0)))
    with pytest.raises(InvalidInputError):
        read_table(orjson.dumps(make_configuration(3))[:-20])


def test_the_longest_prefix_selects_the_queue() -> None:
    content = make_configuration(3)
    longer_route = {
        **content['routes'][0],
        'name': 'long',
        'path_prefix': '/q/a/',
    }
    content['routes'].append(longer_route)
    table = read_table(orjson.dumps(content))
    for path, name in (('/q/x', 'r'), ('/q/a/x', 'long')):
        queue = table.find('queue.example', path)
        assert queue is not None
        assert queue.name == name
    assert table.find('other.example', '/q/x') is None


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'address': 'nowhere'},
        {'address': '10.0.0.1:99999'},
        {'address': '10.0.0.1:0'},
        {'address': '10.0.0.1:²'},
        {'address': '10.0.0.1\r\nX: y:80'},
        {'address': f'::1%{SCOPE}:80'},
        {'address': f'[fe80::1%{SCOPE}]:80'},
        {'address': '[::1:80'},
        {'address': '0.0.0.0:80'},
        {'address': '[::]:80'},
        {'address': '224.0.0.1:80'},
        {'capacity': {'cpu': 'much', 'mem_mb': 1}},
        {'labels': 'a'},
        {'clock_ms': None},
        {'clock_ms': 2**64 - 1},
        {'sequence': 2**64 - 1},
        {'born': 2**64 - 1},
        {'capacity': {'cpu': 2**64 - 1, 'mem_mb': 1}},
        {'born': 1.5},
    ],
)
def test_an_invalid_heartbeat_is_refused(change: dict) -> None:
    record, _, _ = read_heartbeat('i-1', orjson.dumps(make_heartbeat()))
    assert (record.rack, record.born) == ('r1', 7)
    with pytest.raises(InvalidInputError):
        read_heartbeat('i-1', orjson.dumps(make_heartbeat(**change)))


@pytest.mark.parametrize('depth', [10, 1000, 100_000])
@pytest.mark.parametrize('field', ['labels', 'service', 'capacity', 'born'])
def test_a_deeply_nested_heartbeat_is_refused(field: str, depth: int) -> None:
    body = orjson.dumps(make_heartbeat(**{field: 'NESTED'}))
    nested = b'[' * depth + b']' * depth
    with pytest.raises(InvalidInputError):
        read_heartbeat('i-1', body.replace(b'"NESTED"', nested))


@pytest.mark.parametrize('worker_id', ['', 'i 1', 'i\n1', 'é', 'i-1\x00'])
def test_a_worker_id_that_no_header_can_carry_is_refused(
    worker_id: str,
) -> None:
    with pytest.raises(InvalidInputError):
        read_heartbeat(worker_id, orjson.dumps(make_heartbeat()))


@pytest.mark.parametrize(
    'worker',
    [
        make_worker(address='127.0.0.1:99999'),
        make_worker(address=f'::1%{SCOPE}:80'),
        make_worker('i\n1'),
        make_worker('é'),
    ],
)
def test_a_worker_that_no_request_can_name_is_unreachable(
    worker: WorkerRecord,
) -> None:
    async def main() -> None:
        client = PlatformWorkerClient(PlatformClient(), 1, Log('test'))
        with pytest.raises(UnreachableError):
            await client.start(worker, START)

    anyio.run(main)


def test_unreadable_rows_are_counted_and_skipped() -> None:
    view, unreadable = read_worker_view(
        {
            'clock_ms': 5,
            'running': [['a.0.0.1', 1, '', 5, 9], ['nonsense', 1], 7],
            'ended': [[1, 'a.0.0.0', 1, 'done', ''], [2, 'b', 1, 'odd', '']],
        },
    )
    assert unreadable == 3
    assert not view.complete
    assert [row.task.number for row in view.running] == [1]
    assert [row.number for row in view.ended] == [1]


def test_rows_of_any_other_type_are_counted_and_skipped() -> None:
    rows = [[7, 1, '', 5], {'task': 'a.0.0.1'}, None, ['a.0.0.1', 2**64, '', 5]]
    view, unreadable = read_worker_view(
        {'clock_ms': 5, 'running': rows, 'ended': rows}
    )
    assert unreadable == 2 * len(rows)
    assert (view.running, view.ended) == ((), ())


@pytest.mark.parametrize('name', ['a.{}.0.0', 'a.0.{}.0', 'a.0.0.{}'])
def test_a_row_whose_task_no_change_can_name_is_skipped(name: str) -> None:
    row = [1, name.format(2**64), 1, 'done', '']
    view, unreadable = read_worker_view(
        {'clock_ms': 5, 'running': [row[1:]], 'ended': [row]}
    )
    assert unreadable == 2
    assert (view.running, view.ended) == ((), ())


@pytest.mark.parametrize(
    'change',
    [
        {'running': None},
        {'running': 5},
        {'ended': None},
        {'ended': True},
        {'clock_ms': None},
        {'clock_ms': [1]},
        {'clock_ms': 2**64 - 1},
        {'born': None},
    ],
)
def test_a_malformed_list_of_runs_is_a_typed_error(change: dict) -> None:
    view = {'clock_ms': 5, 'running': [], 'ended': [], 'born': 1}
    with pytest.raises(ProtocolError):
        read_worker_view({**view, **change})


@pytest.mark.parametrize('clock', [None, 'soon', [], {}, 2**64 - 1])
def test_a_start_answered_with_a_malformed_clock_is_uncertain(
    clock: object,
) -> None:
    async def main() -> None:
        client = PlatformWorkerClient(
            AnsweringClient({'clock_ms': clock}), 1, Log('test')
        )
        with pytest.raises(ProtocolError):
            await client.start(make_worker(), START)

    anyio.run(main)


@pytest.mark.parametrize(
    ('error', 'status'),
    [
        (OutcomeUnknownError('lost'), 502),
        (NotLeaderError('none'), 503),
        (StorageError('full'), 503),
        (NotFoundError('no queue'), 404),
        (InvalidInputError('bad'), 400),
    ],
)
def test_errors_map_to_http_statuses(
    error: MulberryhitchError, status: int
) -> None:
    """A request with an unknown outcome gets 502, not a refusal."""
    assert http_status_of(error) == status


def test_platform_names_occur_only_in_the_adapter() -> None:
    names = (
        'until_ms',
        'fencing_token',
        'last_seen',
        'mem_mb',
        'path_prefix',
        'heartbeat_url',
        'run-start',
        'X-Expect-Instance',
        'clock_ms',
    )
    package = Path(__file__).parents[1] / 'mulberryhitch'
    for path in package.rglob('*.py'):
        if path.parent.name != 'platform':
            text = path.read_text()
            assert not [name for name in names if name in text], path
