"""Connections to a worker that fell silent or has ended are given up together."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from mulberryhitch.errors import OutcomeUnknownError
from mulberryhitch.platform.client import PlatformClient
from tests.process_cell import LinkProxy

CONNECTIONS = 6
RESPONSE_SECONDS = 0.05
TIMEOUT_SECONDS = 0.5


async def _respond(stream: SocketStream) -> None:
    async with stream:
        async for _ in stream:
            await anyio.sleep(RESPONSE_SECONDS)
            await stream.send(b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}')


@asynccontextmanager
async def _proxied_server() -> AsyncIterator[LinkProxy]:
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0
    )
    port = listener.extra(SocketAttribute.local_port)
    proxy = LinkProxy('127.0.0.2', port, ('127.0.0.1', port))
    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(listener.serve, _respond)
        await proxy.run(tasks)
        yield proxy
        tasks.cancel_scope.cancel()


def test_idle_connections_that_fell_silent_together_cost_one_timeout() -> None:
    async def main() -> None:
        client = PlatformClient()

        async def send(address: str) -> int:
            response = await client.send(
                address, 'GET', '/', {}, TIMEOUT_SECONDS
            )
            return response.status

        async with _proxied_server() as proxy:
            async with anyio.create_task_group() as tasks:
                for _ in range(CONNECTIONS):
                    tasks.start_soon(send, proxy.address)
            proxy.stall_connections()
            with pytest.raises(OutcomeUnknownError):
                await send(proxy.address)
            assert await send(proxy.address) == 200

    anyio.run(main)


def test_workers_that_have_ended_leave_no_open_connections() -> None:
    async def main() -> None:
        client = PlatformClient()
        open_before = len(os.listdir('/proc/self/fd'))
        for _ in range(20):
            await _use_worker_until_it_ends(client)
        assert len(os.listdir('/proc/self/fd')) <= open_before + 5

    anyio.run(main)


async def _use_worker_until_it_ends(client: PlatformClient) -> None:
    listener = await anyio.create_tcp_listener(
        local_host='127.0.0.1', local_port=0
    )
    port = listener.extra(SocketAttribute.local_port)
    address = f'127.0.0.1:{port}'

    async def send() -> None:
        await client.send(address, 'GET', '/', {}, 5)

    async with listener, anyio.create_task_group() as server:
        server.start_soon(listener.serve, _respond)
        async with anyio.create_task_group() as tasks:
            for _ in range(CONNECTIONS):
                tasks.start_soon(send)
        server.cancel_scope.cancel()
    with pytest.raises(OutcomeUnknownError):
        await send()
