"""Runs stand-in workers and backend servers as small HTTP servers."""

import itertools
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeAlias

import anyio
import httpcore
import orjson
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from mulberryhitch.constants import (
    ANNOUNCEMENT_INTERVAL_SECONDS,
    CLIENT_KEEPALIVE_SECONDS,
)
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.standins.backend_server import StandinBackendServer
from mulberryhitch.standins.worker import StandinWorker
from mulberryhitch.workers.leases import Worker
from mulberryhitch.workers.protocol import (
    LeaseMessage,
    SizeModel,
    WorkerAnnouncement,
)
from mulberryhitch.workloads.model import Size

Endpoint: TypeAlias = Callable[[Request], Awaitable[Response]]
_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
_ANNOUNCE_TIMEOUT_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class AnnouncementTarget:
    """The entries to which stand-ins announce themselves, and the tokens.

    Attributes:
        entry_addresses: HTTP addresses of the entries; each announcement goes
            to one of them at random, as through a load balancer.
    """

    data_centre: str
    entry_addresses: tuple[str, ...]
    worker_token: str
    backend_server_token: str


class Announcer:
    """Sends announcements over HTTP, each to an entry chosen at random.

    Args:
        target: Where to announce.
        token: The bearer token.
    """

    def __init__(self, target: AnnouncementTarget, token: str) -> None:
        """Initialises the announcer without a connection."""
        self._target = target
        self._token = token
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=30)
        self._rng = random.Random()

    async def announce(self, path: str, body: bytes) -> dict[str, Any]:
        """Announces once; returns the response body, empty on any failure."""
        address = self._rng.choice(self._target.entry_addresses)
        try:
            with anyio.fail_after(_ANNOUNCE_TIMEOUT_SECONDS):
                response = await self._pool.request(
                    'PUT',
                    f'http://{address}{path}',
                    headers={'Authorization': f'Bearer {self._token}'},
                    content=body,
                )
        except (
            TimeoutError,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ):
            return {}
        if response.status != 200:
            return {}
        content: dict[str, Any] = orjson.loads(response.content)
        return content


async def run_worker(
    target: AnnouncementTarget,
    name: str,
    rack: str,
    size: Size,
    host: str,
    port: int,
) -> None:
    """Runs one stand-in worker until cancelled."""
    standin = StandinWorker(
        Worker(
            name,
            f'{host}:{port}',
            target.data_centre,
            rack,
            size,
            int(time.time() * 1000),
        )
    )

    async def leases(request: Request) -> Response:
        message = LeaseMessage.model_validate_json(await request.body())
        response = standin.exchange(message)
        return Response(response.model_dump_json(), 200)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(standin.run)
        tasks.start_soon(_announce_worker, target, standin)
        await _run_server([('/v1/leases', leases)], host, port)


async def run_backend_server(
    target: AnnouncementTarget, name: str, service: str, host: str, port: int
) -> None:
    """Runs one stand-in backend server until cancelled."""
    standin = StandinBackendServer(
        name,
        service,
        target.data_centre,
        f'{host}:{port}',
        int(time.time() * 1000),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_announce_backend_server, target, standin)
        await _run_server([('/{path:path}', standin.serve)], host, port)


async def run_fleet(
    target: AnnouncementTarget,
    prefix: str,
    host: str,
    first_port: int,
    workers: int,
    racks: int,
    size: Size,
    servers: int,
    service: str,
) -> None:
    """Runs a data centre's stand-ins until cancelled."""
    ports = itertools.count(first_port)
    async with anyio.create_task_group() as tasks:
        for number in range(workers):
            tasks.start_soon(
                run_worker,
                target,
                f'{prefix}worker-{number + 1}',
                f'{prefix}rack-{number % racks + 1}',
                size,
                host,
                next(ports),
            )
        for server_number in range(servers):
            tasks.start_soon(
                run_backend_server,
                target,
                f'{prefix}server-{server_number + 1}',
                service,
                host,
                next(ports),
            )


async def _announce_worker(
    target: AnnouncementTarget, standin: StandinWorker
) -> None:
    announcer = Announcer(target, target.worker_token)
    worker = standin.worker
    body = WorkerAnnouncement(
        address=worker.address,
        data_centre=worker.data_centre,
        rack=worker.rack,
        size=SizeModel(
            millicores=worker.size.millicores,
            memory_mebibytes=worker.size.memory_mebibytes,
            accelerators=worker.size.accelerators,
        ),
        incarnation=worker.incarnation,
    )
    path = f'/v1/workers/{worker.worker_id}'
    while True:
        response = await announcer.announce(
            path, body.model_dump_json().encode()
        )
        await anyio.sleep(
            float(response.get('again_seconds', ANNOUNCEMENT_INTERVAL_SECONDS))
        )


async def _announce_backend_server(
    target: AnnouncementTarget, standin: StandinBackendServer
) -> None:
    announcer = Announcer(target, target.backend_server_token)
    path = f'/v1/backend-servers/{standin.server_id}'
    while True:
        body = standin.announcement().model_dump_json().encode()
        response = await announcer.announce(path, body)
        if response:
            standin.take_offer(
                str(response['owner']),
                float(response['owner_anchor']),
                float(response['lease_seconds']),
            )
        await anyio.sleep(ANNOUNCEMENT_INTERVAL_SECONDS)


async def _run_server(
    routes: list[tuple[str, Endpoint]], host: str, port: int
) -> None:
    app = Starlette(
        routes=[
            Route(path, endpoint, methods=_METHODS) for path, endpoint in routes
        ]
    )
    server = HttpServer(
        uvicorn.Config(
            app,
            loop='asyncio',
            http='h11',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            timeout_keep_alive=CLIENT_KEEPALIVE_SECONDS,
            timeout_graceful_shutdown=1,
        )
    )
    await server.serve(sockets=[listen(host, port)])
