"""Invalid input gets an error response with its code and location."""

import json
from typing import Any

import anyio
import pytest
from pydantic import ValidationError

from mulberryhitch.configuration.settings import load_settings
from mulberryhitch.errors import InvalidSettingsError
from mulberryhitch.http.announcements import BackendServerBody
from mulberryhitch.http.protocol import FirstRequestTimeoutProtocol
from mulberryhitch.workers.protocol import WorkerAnnouncement
from tests.local_cell import running_cell

PATH = '/v1/services/returns/x'
SIZE = {'millicores': 1, 'memory_mebibytes': 1}


async def _send_raw(port: int, sent: bytes, wait: float = 5) -> bytes:
    async with await anyio.connect_tcp('127.0.0.1', port) as stream:
        await stream.send(sent)
        received = bytearray()
        with anyio.move_on_after(wait):
            while True:
                try:
                    received.extend(await stream.receive())
                except anyio.EndOfStream:
                    break
        return bytes(received)


def _request(*lines: str) -> bytes:
    return '\r\n'.join(
        (*lines, 'Authorization: Bearer demo-north', '', '')
    ).encode()


async def _check_json_inputs(callers: Any) -> None:
    cases: list[tuple[Any, str, str]] = [
        (b'{"kind": ', 'invalid_input', 'body:1'),
        (b'[]', 'invalid_input', 'body: /'),
        ({'kind': 'odd', 'size': SIZE}, 'invalid_input', 'body: /kind'),
        ({'kind': 'batch', 'size': SIZE, 'x': 1}, 'invalid_input', 'body: /x'),
        (
            {'kind': 'batch', 'size': SIZE, 'data_centres': ['no']},
            'invalid_input',
            'body: /data_centres',
        ),
        ({'kind': 'batch', 'size': {}}, 'invalid_input', 'body: /size/millic'),
    ]
    for body, code, where in cases:
        _, headers, content = await callers['north'].call(
            'POST', '/v1/workloads', body
        )
        assert (content['code'], headers['mulberryhitch-outcome']) == (
            code,
            'not_run',
        )
        assert content['where'].startswith(where), content


async def _check_stored_headers(callers: Any) -> None:
    workload = {'kind': 'batch', 'size': SIZE}
    cases: list[tuple[str, str, Any, str]] = [
        ('north', 'POST', workload, 'Idempotency-Key'),
        ('operator', 'PUT', {}, 'Idempotency-Key'),
        ('operator', 'PUT', {}, 'Mulberryhitch-Operator'),
    ]
    for caller, method, body, name in cases:
        path = '/v1/workloads' if method == 'POST' else '/v1/configuration'
        headers = {name: 'k' * 256, 'If-Match': '0'}
        _, answer, content = await callers[caller].call(
            method, path, body, headers
        )
        assert (content['code'], content['where']) == ('invalid_input', name)
        assert answer['mulberryhitch-outcome'] == 'not_run'


async def _check_announced_ids(callers: Any) -> None:
    body = {
        'address': '10.0.0.1:80',
        'data_centre': 'home',
        'rack': 'r1',
        'size': SIZE,
        'incarnation': 1,
    }
    _, _, content = await callers['worker'].call(
        'PUT', f'/v1/workers/{"w" * 256}', body
    )
    assert (content['code'], content['where']) == ('invalid_input', 'path')


async def _check_header_inputs(callers: Any) -> None:
    cases = [
        ({'Mulberryhitch-Deadline': 'soon'}, 'Mulberryhitch-Deadline'),
        ({'Mulberryhitch-Deadline': '-1'}, 'Mulberryhitch-Deadline'),
        ({'Mulberryhitch-Idempotent': 'perhaps'}, 'Mulberryhitch-Idempotent'),
        ({'Mulberryhitch-Idempotent': 'false'}, 'Idempotency-Key'),
    ]
    for headers, where in cases:
        _, _, content = await callers['north'].call('GET', PATH, None, headers)
        assert (content['code'], content['where']) == ('invalid_input', where)
    _, _, content = await callers['north'].call('GET', '/v1/services/none/x')
    assert content['code'] == 'not_found'
    _, _, content = await callers['worker'].call('GET', PATH)
    assert content['code'] == 'forbidden'


async def _check_raw_inputs(port: int) -> None:
    head = f'POST {PATH} HTTP/1.1'
    oversize = _request(head, 'Host: x', 'Content-Length: 999999999')
    assert b'413' in (await _send_raw(port, oversize, 2)).split(b'\r\n')[0]
    slow = _request(
        head, 'Host: x', 'Content-Length: 10', 'Mulberryhitch-Deadline: 0.3'
    )
    response = await _send_raw(port, slow, 2)
    assert b'504' in response.split(b'\r\n')[0]
    assert b'mulberryhitch-outcome: not_run' in response
    for garbage in (
        b'\x00\x01\x02\r\n\r\n',
        _request('GET / HTTP/9.9', 'Host: x'),
        _request(head, 'Host: x', 'Content-Length: -5'),
        _request(head, 'Host: x', f'Big: {"x" * 100_000}'),
    ):
        first = (await _send_raw(port, garbage, 2)).split(b'\r\n')[0]
        assert not first or b' 4' in first, first


def test_invalid_input_is_reported_and_the_entry_keeps_serving(
    tmp_path,
) -> None:
    async def main() -> None:
        async with running_cell(tmp_path, workers=1, servers=1) as callers:
            await _check_json_inputs(callers)
            await _check_header_inputs(callers)
            await _check_stored_headers(callers)
            await _check_announced_ids(callers)
            await _check_raw_inputs(callers['north'].port)
            status, _, _ = await callers['north'].call('GET', PATH)
            assert status == 200

    anyio.run(main)


def test_a_large_body_is_streamed_both_ways(tmp_path) -> None:
    async def main() -> None:
        async with running_cell(tmp_path, workers=1, servers=1) as callers:
            body = b'x' * 3_000_000
            _, headers, content = await callers['north'].call(
                'POST', PATH, body
            )
            assert content['body_bytes'] == len(body)
            _, _, response = await callers['north'].call(
                'GET', f'{PATH}?size=3000000'
            )
            assert len(response) == 3_000_000

    anyio.run(main)


@pytest.mark.parametrize('kind', ['base.json', 'muscat.json'])
def test_settings_errors_name_file_and_path(tmp_path, kind: str) -> None:
    vm = {'address': '127.0.0.1', 'disk': True}
    base = {'data_centres': {'muscat': {'vms': {'m-1': vm}}}}
    (tmp_path / 'base.json').write_text(json.dumps(base))
    (tmp_path / 'muscat.json').write_text('{}')
    load_settings(tmp_path, 'muscat')
    bad = {'data_centres': {'muscat': {'vms': {'m-1': {'address': 'host'}}}}}
    (tmp_path / kind).write_text(json.dumps(bad))
    with pytest.raises(InvalidSettingsError) as caught:
        load_settings(tmp_path, 'muscat')
    assert 'base.json' in caught.value.where
    assert '/data_centres/muscat/vms/m-1/address' in caught.value.where


def test_a_connection_that_sends_no_request_is_closed(
    tmp_path, monkeypatch
) -> None:
    monkeypatch.setattr(
        FirstRequestTimeoutProtocol, 'first_request_timeout_seconds', 0.3
    )

    async def main() -> None:
        async with running_cell(tmp_path, workers=1, servers=1) as callers:
            port = callers['north'].port
            for sent in (b'GET', b'GET /livez HTTP/1.1\r\nHost: x\r\n'):
                with anyio.fail_after(10):
                    assert await _send_raw(port, sent, 60) == b''

    anyio.run(main)


@pytest.mark.parametrize(
    'name', ['slots', 'connections', 'busy', 'incarnation', 'sequence']
)
def test_an_announced_number_that_no_heartbeat_can_carry_is_refused(
    name: str,
) -> None:
    announcement: dict[str, Any] = {
        'service': 'returns',
        'data_centre': 'home',
        'address': '10.0.0.1:80',
        'incarnation': 1,
        'sequence': 1,
    }
    BackendServerBody.model_validate(announcement)
    with pytest.raises(ValidationError, match=name):
        BackendServerBody.model_validate({**announcement, name: 2**63})


@pytest.mark.parametrize('name', ['service', 'owner'])
def test_an_announced_name_of_any_length_is_not_sent_to_all_members(
    name: str,
) -> None:
    announcement: dict[str, Any] = {
        'service': 'returns',
        'data_centre': 'home',
        'address': '10.0.0.1:80',
        'incarnation': 1,
        'sequence': 1,
    }
    with pytest.raises(ValidationError, match=name):
        BackendServerBody.model_validate({**announcement, name: 'x' * 256})


def test_an_announced_rack_of_any_length_is_not_written_to_the_log() -> None:
    announcement: dict[str, Any] = {
        'address': '10.0.0.1:80',
        'data_centre': 'home',
        'rack': 'r1',
        'size': SIZE,
        'incarnation': 1,
    }
    WorkerAnnouncement.model_validate(announcement)
    with pytest.raises(ValidationError, match='rack'):
        WorkerAnnouncement.model_validate({**announcement, 'rack': 'x' * 256})
