"""Workloads and requests end to end: a cell in one process, real sockets."""

import socket

import anyio

from mulberryhitch.http.server import listen
from tests.local_cell import running_cell

SIZE = {'millicores': 1000, 'memory_mebibytes': 256}


def test_workloads_and_requests_complete_with_an_outcome(tmp_path) -> None:
    async def main() -> None:
        async with running_cell(tmp_path) as clients:
            north = clients['north']
            for kind in ('batch', 'gang'):
                body = {'kind': kind, 'size': SIZE, 'task_count': 3}
                body['program'] = '{"run_seconds": 0.2}'
                status, response_headers, content = await north.call(
                    'POST', '/v1/workloads', body
                )
                assert (status, response_headers['mulberryhitch-outcome']) == (
                    202,
                    'completed',
                )
                path = f'/v1/workloads/{content["id"]}?wait=30'
                _, _, content = await north.call('GET', path)
                assert content['state'] == 'completed'
            status, response_headers, content = await north.call(
                'GET', '/v1/services/returns/hello'
            )
            assert (status, content['path']) == (200, '/hello')
            assert response_headers['mulberryhitch-outcome'] == 'completed'

    anyio.run(main)


def test_a_repeated_non_idempotent_request_gets_the_stored_response(
    tmp_path,
) -> None:
    async def main() -> None:
        async with running_cell(tmp_path) as clients:
            headers = {
                'Mulberryhitch-Idempotent': 'false',
                'Idempotency-Key': 'the-key',
            }
            responses = []
            for _ in range(3):
                responses.append(
                    await clients['north'].call(
                        'POST', '/v1/services/returns/file', b'x', headers
                    )
                )
            assert [response[2]['runs'] for response in responses] == [1, 1, 1]
            assert responses[1][1]['mulberryhitch-replayed'] == 'true'
            conflicting = await clients['north'].call(
                'POST', '/v1/services/returns/file', b'other', headers
            )
            assert (conflicting[0], conflicting[2]['code']) == (409, 'conflict')

    anyio.run(main)


def test_a_tenant_cannot_act_as_another(tmp_path) -> None:
    async def main() -> None:
        async with running_cell(tmp_path, servers=1) as clients:
            body = {'kind': 'batch', 'size': SIZE, 'tenant': 'south'}
            status, response_headers, content = await clients['north'].call(
                'POST', '/v1/workloads', body
            )
            assert (status, content['code']) == (403, 'forbidden')
            assert response_headers['mulberryhitch-outcome'] == 'not_run'
            status, _, content = await clients['north'].call(
                'POST', '/v1/workloads', b'{"kind": "batch"}'
            )
            assert (status, content['where']) == (400, 'body: /size')

    anyio.run(main)


def test_accepted_connections_send_without_delay() -> None:
    with listen('127.0.0.1', 0) as listening_socket:
        assert listening_socket.proto == socket.IPPROTO_TCP
