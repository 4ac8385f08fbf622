"""Runs a whole cell in one process, on free ports."""

import socket
from contextlib import asynccontextmanager
from typing import Any

import anyio
import httpcore
import orjson

from mulberryhitch.local import run_local

_PORT_COUNT = 20


def find_free_ports(count: int = _PORT_COUNT) -> int:
    """Returns the first of ``count`` consecutive free ports."""
    while True:
        with socket.create_server(('127.0.0.1', 0)) as probe:
            first_port = probe.getsockname()[1]
        try:
            sockets = [
                socket.create_server(('127.0.0.1', first_port + offset))
                for offset in range(count)
            ]
        except OSError:
            continue
        for listener in sockets:
            listener.close()
        return first_port


class ApiClient:
    """HTTP client of the cell's entry, authenticated by a token."""

    def __init__(self, port: int, token: str) -> None:
        self.port = port
        self._base = f'http://127.0.0.1:{port}'
        self._headers = [('Authorization', f'Bearer {token}')]
        self._pool = httpcore.AsyncConnectionPool()

    async def call(
        self,
        method: str,
        path: str,
        content: Any = None,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], Any]:
        body = content
        if content is not None and not isinstance(content, bytes):
            body = orjson.dumps(content)
        response = await self._pool.request(
            method,
            self._base + path,
            headers=self._headers + list((headers or {}).items()),
            content=body,
        )
        response_headers = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        content_type = response_headers.get('content-type', '')
        parsed_content = response.content
        if 'json' in content_type:
            parsed_content = orjson.loads(response.content)
        return response.status, response_headers, parsed_content


@asynccontextmanager
async def running_cell(folder: Any, workers: int = 3, servers: int = 2):
    """Starts a cell; yields a client for each demo token once it is ready."""
    port = find_free_ports()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_local, port, str(folder), workers, servers)
        clients = {
            name: ApiClient(port, f'demo-{name}')
            for name in ('operator', 'north', 'south', 'worker')
        }
        await wait_ready(clients['operator'], workers, servers)
        yield clients
        tasks.cancel_scope.cancel()


async def wait_ready(client: ApiClient, workers: int, servers: int) -> None:
    with anyio.fail_after(60):
        while True:
            await anyio.sleep(0.1)
            try:
                status, _, content = await client.call('GET', '/v1/members')
            except httpcore.ConnectError:
                continue
            if status != 200:
                continue
            owned_servers = [
                server
                for server in content['backend_servers']
                if server['owner']
            ]
            led_groups = [
                group
                for member in content['members']
                for group in member['leads']
            ]
            if len(owned_servers) == servers and len(led_groups) == 2:
                return
