"""The composition root of the programs that run on the users' platform."""

import random
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import anyio
import uvicorn

from mulberryhitch.clocks import suspended_seconds
from mulberryhitch.constants import READINESS_DELAY_SECONDS
from mulberryhitch.dispatch.operations import GroupInfo, ReportPermitProxy
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.permit_proxy import (
    JOBS_GROUP,
    LeaderReporter,
    PermitProxy,
)
from mulberryhitch.dispatch.service import JobsService
from mulberryhitch.errors import InvalidSettingsError
from mulberryhitch.http.protocol import BoundedProtocol
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.jobs.model import Limits
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.membership.peers import PeerConnectionPool
from mulberryhitch.observability.exposition import render_exposition
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import LineRateLimiter, Log
from mulberryhitch.platform.asgi import (
    Handler,
    HttpReply,
    HttpRequest,
    Interface,
)
from mulberryhitch.platform.client import PlatformClient
from mulberryhitch.platform.control import Control
from mulberryhitch.platform.ingress import Ingress
from mulberryhitch.platform.settings import (
    PlatformSettings,
    load_platform_settings,
)
from mulberryhitch.platform.workers import PlatformPermits, PlatformWorkers
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.scheduler.host import ReplicaHost

_CALL_SECONDS = 0.6
_ELECTION_SECONDS = 0.5
_HEARTBEAT_SECONDS = 0.1
_READY_SECONDS = 3.0
_CONTROL_LIMITS = Limits(body_bytes=8 * 1024 * 1024)
_SETTINGS_POLL_SECONDS = 1.0
_STOP_MARGIN_SECONDS = 1.5
_NOTICE_SECONDS = 2.2
_INFORM_SECONDS = 0.15
_KEEPER_SECONDS = 0.3
_REPAIR_SECONDS = 2.0
_MAXIMUM_LEASE_SECONDS = 5.0


class _Program:
    """What both programs have: peers, their own server, their settings."""

    def __init__(
        self, name: str, settings: PlatformSettings, stop: anyio.Event
    ) -> None:
        self.settings = settings
        self.stop = stop
        self.histograms = Histograms()
        self.log = Log(f'{name}@{settings.vm}', LineRateLimiter())
        self.scheduler_port = settings.port + 1
        own_port = settings.port if name == 'entry' else self.scheduler_port
        self.rpc_port = own_port
        self.peers = PeerConnectionPool(
            self.log.member_id, self.scheduler_port, settings.seed_vms
        )
        self.leaders = LeaderClient(self.peers, _CALL_SECONDS)
        self.rpc = RpcServer(self.log)
        self.client = PlatformClient()
        self.asker = PlatformPermits(self.client, settings.permit_address)
        self.answer: GroupInfo | None = None
        self.reporter = LeaderReporter(
            ReportPermitProxy(name, settings.vm, own_port),
            self.leaders,
            self.peers,
            self.log,
            self._told,
        )

    async def run_parts(self, tasks: Any) -> None:
        """Starts the parts."""
        tasks.start_soon(self.peers.run)
        tasks.start_soon(self.rpc.serve, self.settings.vm, self.rpc_port)
        tasks.start_soon(self.reporter.run)
        tasks.start_soon(
            _serve,
            self.make_server(self.interface(self._figures)),
            [_listen(self.settings.metrics_address)],
        )
        if self.settings.source is not None:
            tasks.start_soon(self._follow_settings, self.settings.source)

    def interface(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = lambda: _CONTROL_LIMITS,
    ) -> Interface:
        """An interface with this program's log, figures and end."""
        return Interface(
            handler, self.log, limits, self.is_stopping, self.histograms
        )

    def make_server(self, interface: Interface) -> HttpServer:
        """The HTTP server of the program."""
        return HttpServer(
            uvicorn.Config(
                interface,
                loop='asyncio',
                http=BoundedProtocol,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                server_header=False,
                date_header=False,
                timeout_keep_alive=60,
                timeout_graceful_shutdown=max(
                    1, int(self.settings.drain_seconds - 1)
                ),
            ),
        )

    def is_stopping(self) -> bool:
        """Whether the program is on its way out."""
        return self.stop.is_set()

    async def _figures(self, request: HttpRequest) -> HttpReply:
        text = render_exposition(self.log.counts, self.histograms)
        return HttpReply(HTTPStatus.OK, text.encode(), b'text/plain')

    def _told(self, answer: GroupInfo) -> None:
        self.answer = answer

    async def _follow_settings(self, source: Path) -> None:
        """Takes the seeds anew when the settings file changes."""
        seeds = self.settings.seed_vms
        while True:
            await anyio.sleep(_SETTINGS_POLL_SECONDS)
            try:
                read = load_platform_settings(source)
            except InvalidSettingsError as error:
                self.log.problem('settings.unread', error.problem)
                continue
            if read.seed_vms != seeds:
                seeds = read.seed_vms
                self.peers.replace_seeds(seeds)
                self.log.event('settings.reloaded', seeds=list(seeds))


class EntryProgram:
    """Callers' requests come in here.

    Args:
        settings: As the platform told.
        stop: Set when the program is to shut down gracefully.
    """

    def __init__(self, settings: PlatformSettings, stop: anyio.Event) -> None:
        """Wires the parts."""
        self._base = _Program('entry', settings, stop)
        self._settings = settings
        self._ingress = Ingress(self._base.leaders)
        PermitProxy(self._base.rpc, self._base.asker)
        self._interface = self._base.interface(self._answer, self._limits)
        self._ready = self._base.interface(self._answer_ready)

    async def run(self) -> None:
        """Serves until the program is stopped."""
        settings = self._settings
        sockets = [_listen(settings.callers_address)]
        ready_sockets = [_listen(settings.ready_address)]
        server = self._base.make_server(self._interface)
        ready = self._base.make_server(self._ready)
        async with anyio.create_task_group() as tasks:
            await self._base.run_parts(tasks)
            self._base.log.event('entry.started', address=settings.vm)
            tasks.start_soon(_serve, ready, ready_sockets)
            tasks.start_soon(self._stop, server, ready)
            await server.serve(sockets=sockets)
            self._base.log.event('entry.stopped')
            tasks.cancel_scope.cancel()

    async def _answer(self, request: HttpRequest) -> HttpReply:
        return await self._ingress.answer(request)

    async def _answer_ready(self, request: HttpRequest) -> HttpReply:
        reached = anyio.current_time() - self._base.reporter.reached_at
        answer = self._base.answer
        ready = answer is not None and answer.version >= 0
        if ready and reached < _READY_SECONDS and not self._base.is_stopping():
            return HttpReply(HTTPStatus.OK)
        return HttpReply(HTTPStatus.SERVICE_UNAVAILABLE)

    def _limits(self) -> Limits:
        return self._base.answer.limits if self._base.answer else Limits()

    async def _stop(self, server: HttpServer, ready: HttpServer) -> None:
        await self._base.stop.wait()
        limit = self._settings.drain_seconds - _STOP_MARGIN_SECONDS
        with anyio.move_on_after(limit):
            await anyio.sleep(min(_NOTICE_SECONDS, limit))
            while self._interface.in_flight:
                await anyio.sleep(READINESS_DELAY_SECONDS / 10)
        server.should_exit = True
        ready.should_exit = True


class SchedulerProgram:
    """A replica of the job book, and the leader's work.

    Args:
        settings: As the platform told.
        stop: Set when the program is to shut down gracefully.
    """

    def __init__(self, settings: PlatformSettings, stop: anyio.Event) -> None:
        """Wires the parts and loads the data folder."""
        self._base = _Program('scheduler', settings, stop)
        self._settings = settings
        self._host = ReplicaHost(self._base.rpc)
        self.service = self._make_service()
        self._host.add(self.service)
        control = Control(self._base.leaders)
        self._interface = self._base.interface(control.answer)

    async def run(self) -> None:
        """Takes part until the program is stopped.

        Raises:
            StorageError: The disk failed.
        """
        sockets = [_listen(self._settings.control_address)]
        server = self._base.make_server(self._interface)
        async with anyio.create_task_group() as tasks:
            await self._base.run_parts(tasks)
            tasks.start_soon(self._host.run)
            self._base.log.event(
                'scheduler.started',
                address=self._settings.vm,
                replica=self.service.replica.replica_id,
                term=self.service.replica.term,
                first_start=self._settings.first_start,
            )
            tasks.start_soon(self._stop, server)
            await server.serve(sockets=sockets)
            self._base.log.event('scheduler.stopped')
            tasks.cancel_scope.cancel()

    def _make_service(self) -> JobsService:
        settings = self._settings
        log = self._base.log
        book = JobStore()
        options = DispatchOptions(
            lease_seconds=min(
                _MAXIMUM_LEASE_SECONDS, settings.maximum_lease_seconds
            ),
            maximum_lease_seconds=settings.maximum_lease_seconds,
            retain_seconds=settings.retain_seconds * 2,
        )
        folder = Path(settings.data_folder) / JOBS_GROUP
        state = load_state(JOBS_GROUP, folder, settings.vm, book, log)
        replica = Replica(
            state,
            self._base.peers,
            settings.seed_vms,
            ReplicationOptions(
                heartbeat_seconds=_HEARTBEAT_SECONDS,
                election_seconds=_ELECTION_SECONDS,
                commit_notify_seconds=_INFORM_SECONDS,
                reconcile_seconds=_KEEPER_SECONDS,
                repair_seconds=_REPAIR_SECONDS,
                target_voters=settings.voters,
                may_bootstrap=settings.first_start,
                suspended=suspended_seconds,
            ),
            log,
            random.Random(),
        )
        return JobsService(
            replica,
            book,
            PlatformWorkers(
                self._base.client, options.command_timeout_seconds, log
            ),
            self._base.asker,
            self._base.peers,
            options,
            log,
            self._base.histograms,
        )

    async def _stop(self, server: HttpServer) -> None:
        await self._base.stop.wait()
        await self._host.transfer_leadership()
        await anyio.sleep(READINESS_DELAY_SECONDS)
        server.should_exit = True


def _listen(address: str) -> Any:
    host, _, port = address.rpartition(':')
    return listen(host, int(port))


async def _serve(server: HttpServer, sockets: list[Any]) -> None:
    await server.serve(sockets=sockets)


PROGRAMS: dict[str, Callable[[PlatformSettings, anyio.Event], Any]] = {
    'entry': EntryProgram,
    'scheduler': SchedulerProgram,
}
