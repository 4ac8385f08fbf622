"""The whole path, over real sockets, in one process."""

import socket

import anyio

from mulberryhitch.http.server import listen
from tests.program import running_cell

SIZE = {'millicores': 1000, 'memory_mebibytes': 256}


def test_workloads_and_requests_run_and_are_told_of(tmp_path) -> None:
    async def main() -> None:
        async with running_cell(tmp_path) as callers:
            north = callers['north']
            for kind in ('batch', 'gang'):
                body = {'kind': kind, 'size': SIZE, 'task_count': 3}
                body['program'] = '{"run_seconds": 0.2}'
                status, told, content = await north.call(
                    'POST', '/v1/workloads', body
                )
                assert (status, told['mulberryhitch-outcome']) == (
                    202,
                    'completed',
                )
                path = f'/v1/workloads/{content["id"]}?wait=30'
                _, _, content = await north.call('GET', path)
                assert content['state'] == 'completed'
            status, told, content = await north.call(
                'GET', '/v1/services/returns/hello'
            )
            assert (status, content['path']) == (200, '/hello')
            assert told['mulberryhitch-outcome'] == 'completed'

    anyio.run(main)


def test_a_resend_of_a_non_idempotent_request_gets_the_answer(
    tmp_path,
) -> None:
    async def main() -> None:
        async with running_cell(tmp_path) as callers:
            headers = {
                'Mulberryhitch-Idempotent': 'false',
                'Idempotency-Key': 'the-key',
            }
            answers = []
            for _ in range(3):
                answers.append(
                    await callers['north'].call(
                        'POST', '/v1/services/returns/file', b'x', headers
                    )
                )
            assert [answer[2]['runs'] for answer in answers] == [1, 1, 1]
            assert answers[1][1]['mulberryhitch-replayed'] == 'true'
            other = await callers['north'].call(
                'POST', '/v1/services/returns/file', b'other', headers
            )
            assert (other[0], other[2]['code']) == (409, 'conflict')

    anyio.run(main)


def test_a_tenant_cannot_act_as_another(tmp_path) -> None:
    async def main() -> None:
        async with running_cell(tmp_path, servers=1) as callers:
            body = {'kind': 'batch', 'size': SIZE, 'tenant': 'south'}
            status, told, content = await callers['north'].call(
                'POST', '/v1/workloads', body
            )
            assert (status, content['code']) == (403, 'forbidden')
            assert told['mulberryhitch-outcome'] == 'not_run'
            status, _, content = await callers['north'].call(
                'POST', '/v1/workloads', b'{"kind": "batch"}'
            )
            assert (status, content['where']) == (400, 'body: /size')

    anyio.run(main)


def test_accepted_connections_send_without_delay() -> None:
    with listen('127.0.0.1', 0) as listening:
        assert listening.proto == socket.IPPROTO_TCP
