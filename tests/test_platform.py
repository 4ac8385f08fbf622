"""The platform's calls, end to end over loopback and each by itself."""

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
    StorageError,
)
from mulberryhitch.jobs.model import Step
from mulberryhitch.platform.asgi import http_status_of
from mulberryhitch.platform.wire import (
    read_heartbeat,
    read_job,
    read_table,
    read_worker_view,
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
ID = '5c0e7a21d94b36f8'


def test_a_job_goes_from_its_post_to_completed(tmp_path: Path) -> None:
    async def main() -> None:
        world = PlatformHarness(tmp_path)
        world.fleet.step_of = lambda task: Step(  # type: ignore[method-assign]
            1, 1000, 100, estimate_seconds=0.3
        )
        async with world.running():
            await _serve_one_job(world)
            await _read_figures(world)
            await _change_configuration(world)
            await _survive_the_leader(world)

    anyio.run(main)


async def _serve_one_job(world: PlatformHarness) -> None:
    answer = await world.retry_until_status(
        503, world.send_to_queue, 'POST', f'/q/{ID}', JOB
    )
    put = ('PUT', '/config', make_configuration(4))
    await world.retry_until_status(200, world.send, SCHEDULERS[0], *put)
    await world.retry_until_status(
        200, world.send_to_queue, 'POST', f'/q/{ID}', JOB
    )
    # Sent again, it stays one job.
    answer = await world.send_to_queue('POST', f'/q/{ID}', JOB)
    assert answer.status == 200
    with anyio.fail_after(40):
        while answer.content.get('state') != 'completed':
            answer = await world.send_to_queue('GET', f'/q/{ID}')
            await anyio.sleep(0.02)
    assert len(world.fleet.starts) == 3
    assert (
        await world.send_to_queue('GET', '/q/0000000000000000')
    ).status == 410
    assert (
        await world.send_to_queue('DELETE', '/q/0000000000000000')
    ).status == 410
    assert (await world.send_to_queue('GET', '/unknown/')).status == 404
    assert (await world.send_to_queue('GET', '/q/')).content == {'pending': 0}
    assert (
        await world.send_to_queue('POST', f'/q/{ID[::-1]}', {})
    ).status == 400


async def _read_figures(world: PlatformHarness) -> None:
    async with httpcore.AsyncConnectionPool() as pool:
        address = f'http://{ENTRY}:{world.port + 4}/metrics'
        answer = await pool.request('GET', address)
    text = answer.content.decode()
    assert 'mulberryhitch_events_total{event="leader.found"} ' in text
    assert 'kind="200",quantile="0.99"' in text


async def _change_configuration(world: PlatformHarness) -> None:
    first, second, third = SCHEDULERS
    invalid = make_configuration(9, service='none')
    assert (await world.send(second, 'PUT', '/config', invalid)).status == 400
    newer = make_configuration(7, max_attempts=2)
    assert (await world.send(second, 'PUT', '/config', newer)).status == 200
    # An older one is acknowledged and changes nothing.
    older = make_configuration(5)
    assert (await world.send(third, 'PUT', '/config', older)).status == 200
    read = await world.send(first, 'GET', '/config')
    assert read.content == newer


async def _survive_the_leader(world: PlatformHarness) -> None:
    for vm in SCHEDULERS[:1]:
        world.stop_events[vm].set()
    await world.retry_until_status(
        200, world.send_to_queue, 'POST', f'/q/{ID[::-1]}', JOB
    )
    with anyio.fail_after(40):
        state = ''
        while state != 'completed':
            answer = await world.send_to_queue('GET', f'/q/{ID[::-1]}')
            state = answer.content.get('state', '')
            await anyio.sleep(0.05)
    assert await world.retry_until_status(
        200, world.send, SCHEDULERS[2], 'GET', '/config'
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
def test_a_job_that_can_t_be_read_is_refused_with_its_field(
    body: bytes,
) -> None:
    with pytest.raises(InvalidInputError) as caught:
        read_job(body)
    assert caught.value.where


@pytest.mark.parametrize(
    'broken',
    [
        {'version': 'x'},
        {'routes': 3},
        {'services': []},
        {'routes': [{'name': 'r'}]},
    ],
)
def test_an_invalid_configuration_is_refused(broken: dict) -> None:
    content = {**make_configuration(3), **broken}
    with pytest.raises(InvalidInputError):
        read_table(orjson.dumps(content))


def test_two_routes_of_one_place_and_no_time_are_refused() -> None:
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
    longer = {**content['routes'][0], 'name': 'long', 'path_prefix': '/q/a/'}
    content['routes'].append(longer)
    table = read_table(orjson.dumps(content))
    for path, name in (('/q/x', 'r'), ('/q/a/x', 'long')):
        found = table.find('queue.example', path)
        assert found is not None
        assert found.name == name
    assert table.find('other.example', '/q/x') is None


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'address': 'nowhere'},
        {'capacity': {'cpu': 'much', 'mem_mb': 1}},
        {'labels': 'a'},
        {'clock_ms': None},
        {'born': 1.5},
    ],
)
def test_a_heartbeat_of_another_writer_names_no_worker(change: dict) -> None:
    beat = {
        'service': 'svc',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'capacity': {'cpu': 1, 'mem_mb': 1},
        'labels': ['a', 'r1'],
        'clock_ms': 1,
        'sequence': 1,
        'born': 7,
    }
    record, _, _ = read_heartbeat('i-1', orjson.dumps(beat))
    assert (record.rack, record.born) == ('r1', 7)
    with pytest.raises(InvalidInputError):
        read_heartbeat('i-1', orjson.dumps({**beat, **change}))


def test_rows_that_can_t_be_read_leave_the_others() -> None:
    view, unread = read_worker_view(
        {
            'clock_ms': 5,
            'running': [['a.0.0.1', 1, '', 5, 9], ['nonsense', 1], 7],
            'ended': [[1, 'a.0.0.0', 1, 'done', ''], [2, 'b', 1, 'odd', '']],
        },
    )
    assert unread == 3
    assert [row.task.number for row in view.running] == [1]
    assert [row.number for row in view.ended] == [1]


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
def test_only_what_certainly_did_not_run_is_refused_as_such(
    error: MulberryhitchError, status: int
) -> None:
    assert http_status_of(error) == status


def test_platform_names_stay_in_the_adapter() -> None:
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
