"""Composition root of the programs that run on the users' platform."""

import random
from collections.abc import Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

import anyio

from mulberryhitch.byte_budget import RequestBudgets, control_body_limit
from mulberryhitch.clocks import suspended_seconds
from mulberryhitch.constants import READINESS_DELAY_SECONDS
from mulberryhitch.dispatch.access import KnownKeys
from mulberryhitch.dispatch.operations import GroupInfo, ReportPermitProxy
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.permits.proxy import (
    JOBS_GROUP,
    LeaderReporter,
    PermitProxy,
)
from mulberryhitch.dispatch.service import JobsService
from mulberryhitch.errors import InvalidSettingsError
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.jobs.model import Limits
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.membership.peers import PeerConnectionPool
from mulberryhitch.membership.readiness import is_ready
from mulberryhitch.observability.event_loop import EventLoopMonitor
from mulberryhitch.observability.exposition import render_exposition
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import LineRateLimiter, Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    Handler,
    HttpRequest,
    HttpResponse,
)
from mulberryhitch.platform.client import PlatformClient
from mulberryhitch.platform.control import ControlHandler
from mulberryhitch.platform.http_servers import (
    LAST_ANSWER_SECONDS,
    HttpServers,
)
from mulberryhitch.platform.ingress import IngressHandler
from mulberryhitch.platform.settings import (
    PlatformSettings,
    load_platform_settings,
)
from mulberryhitch.platform.workers import (
    PlatformPermitClient,
    PlatformWorkerClient,
)
from mulberryhitch.replication.disk_budget import DiskBudget
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.accepted import accepted_limits
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.scheduler.host import ReplicaHost

_CALL_TIMEOUT_SECONDS = 1.0
_ELECTION_SECONDS = 0.5
_HEARTBEAT_SECONDS = 0.1
# Readiness and metrics are read without a body.
_READ_LIMITS = Limits(body_bytes=1024)
_SETTINGS_POLL_SECONDS = 1.0
# Longer than the exit after the last answer takes.
_EXIT_SECONDS = 0.5
_READINESS_NOTICE_SECONDS = 2.2
_COMMIT_NOTIFY_SECONDS = 0.15
_RECONCILE_SECONDS = 0.3
_REPAIR_SECONDS = 1.0
_LEASE_SECONDS = 5.0


class _SharedParts:
    """Parts of both programs: peers, RPC and metrics servers, settings."""

    def __init__(
        self, name: str, settings: PlatformSettings, stop: anyio.Event
    ) -> None:
        self.settings = settings
        self.stop = stop
        self.histograms = Histograms()
        self.log = Log(f'{name}@{settings.vm}', LineRateLimiter())
        self.scheduler_port = settings.first_port + 1
        own_port = (
            settings.first_port if name == 'entry' else self.scheduler_port
        )
        self.rpc_port = own_port
        self.peers = PeerConnectionPool(
            self.log.member_id, self.scheduler_port, settings.seed_vms
        )
        self.leader_client = LeaderClient(
            self.peers,
            _CALL_TIMEOUT_SECONDS,
            self.log.count,
            self.peers.known_group,
        )
        self._http_servers = HttpServers(
            settings.memory_bytes, self.log, self.limits
        )
        self._budgets = RequestBudgets()
        self.rpc = RpcServer(
            self.log, limits=accepted_limits(settings.memory_bytes)
        )
        self.client = PlatformClient()
        self.permit_client = PlatformPermitClient(
            self.client, settings.permit_address
        )
        self.group_info: GroupInfo | None = None
        self.known_keys = KnownKeys()
        self.reporter = LeaderReporter(
            ReportPermitProxy(name, settings.vm, own_port),
            self.leader_client,
            self.peers,
            self.log,
            self._set_group_info,
            self.known_keys,
        )

    async def start_tasks(self, tasks: Any) -> None:
        """Starts the background tasks of the shared parts."""
        tasks.start_soon(EventLoopMonitor(self.log, self.histograms).run)
        tasks.start_soon(self.peers.run)
        tasks.start_soon(self.rpc.serve, self.settings.vm, self.rpc_port)
        tasks.start_soon(self.reporter.run)
        tasks.start_soon(
            _run_server,
            self.make_server(self.make_application(self._respond_metrics)),
            [_listen(self.settings.metrics_address)],
        )
        if self.settings.source is not None:
            tasks.start_soon(self._watch_settings, self.settings.source)

    def make_application(
        self,
        handler: Handler,
        limits: Callable[[], Limits] = lambda: _READ_LIMITS,
    ) -> AsgiApplication:
        """Returns an application with this program's log and histograms.

        Args:
            handler: Handles the requests.
            limits: Returns the size limits; by default those of an address
                that takes no bodies.
        """
        return AsgiApplication(
            handler,
            self.log,
            limits,
            self.is_stopping,
            self.histograms,
            self._budgets,
        )

    def make_server(
        self, application: AsgiApplication, *, is_main: bool = False
    ) -> HttpServer:
        """Returns an HTTP server; the main one has most connections."""
        return self._http_servers.make(application, is_main=is_main)

    def limits(self) -> Limits:
        """Returns the limits of the configuration last told of."""
        return self.group_info.limits if self.group_info else Limits()

    def is_stopping(self) -> bool:
        """Whether the program is shutting down."""
        return self.stop.is_set()

    async def _respond_metrics(self, request: HttpRequest) -> HttpResponse:
        text = render_exposition(self.log.counts, self.histograms)
        return HttpResponse(HTTPStatus.OK, text.encode(), b'text/plain')

    def _set_group_info(self, group_info: GroupInfo) -> None:
        self.group_info = group_info

    async def _watch_settings(self, source: Path) -> None:
        """Reloads the seed VMs when the settings file changes."""
        seeds = self.settings.seed_vms
        while True:
            await anyio.sleep(_SETTINGS_POLL_SECONDS)
            try:
                reloaded = load_platform_settings(source)
            except InvalidSettingsError as error:
                self.log.problem('settings.unread', error.problem)
                continue
            if reloaded.seed_vms != seeds:
                seeds = reloaded.seed_vms
                self.peers.replace_seeds(seeds)
                self.log.event('settings.reloaded', seeds=list(seeds))


class EntryProgram:
    """The entry, which forwards clients' requests to the leader.

    Args:
        settings: Settings of the process.
        stop: Set when the program is to shut down gracefully.
    """

    def __init__(self, settings: PlatformSettings, stop: anyio.Event) -> None:
        """Creates the parts and connects them."""
        self._shared = _SharedParts('entry', settings, stop)
        self._settings = settings
        self._ingress = IngressHandler(
            self._shared.leader_client,
            self._shared.known_keys,
            self._shared.log.count,
        )
        PermitProxy(self._shared.rpc, self._shared.permit_client)
        self._application = self._shared.make_application(
            self._respond, self._shared.limits
        )
        self._readiness_application = self._shared.make_application(
            self._respond_readiness
        )

    async def run(self) -> None:
        """Serves until the program is stopped."""
        settings = self._settings
        sockets = [_listen(settings.frontend_address)]
        readiness_sockets = [_listen(settings.readiness_address)]
        server = self._shared.make_server(self._application, is_main=True)
        readiness_server = self._shared.make_server(self._readiness_application)
        async with anyio.create_task_group() as tasks:
            await self._shared.start_tasks(tasks)
            self._shared.log.event('entry.started', address=settings.vm)
            tasks.start_soon(_run_server, readiness_server, readiness_sockets)
            tasks.start_soon(self._shut_down, server, readiness_server)
            await server.serve(sockets=sockets)
            self._shared.log.event('entry.stopped')
            tasks.cancel_scope.cancel()

    def log_cut_off(self) -> None:
        """Logs how many requests an immediate exit cuts off."""
        self._shared.log.event(
            'entry.cut_off', requests=self._application.in_flight
        )

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        return await self._ingress.respond(request)

    async def _respond_readiness(self, request: HttpRequest) -> HttpResponse:
        group_info = self._shared.group_info
        ready = is_ready(
            anyio.current_time() - self._shared.reporter.reached_at,
            group_info.version if group_info else -1,
            stopping=self._shared.is_stopping(),
        )
        return HttpResponse(
            HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        )

    async def _shut_down(
        self, server: HttpServer, readiness_server: HttpServer
    ) -> None:
        await self._shared.stop.wait()
        exit_seconds = LAST_ANSWER_SECONDS + _EXIT_SECONDS
        drain_timeout = max(self._settings.drain_seconds - exit_seconds, 0)
        with anyio.move_on_after(drain_timeout):
            await anyio.sleep(min(_READINESS_NOTICE_SECONDS, drain_timeout))
            while self._application.in_flight:
                await anyio.sleep(READINESS_DELAY_SECONDS / 10)
        server.should_exit = True
        readiness_server.should_exit = True


class SchedulerProgram:
    """A replica of the job store, which dispatches jobs while it leads.

    Args:
        settings: Settings of the process.
        stop: Set when the program is to shut down gracefully.
    """

    def __init__(self, settings: PlatformSettings, stop: anyio.Event) -> None:
        """Creates the parts and loads the data folder."""
        self._shared = _SharedParts('scheduler', settings, stop)
        self._settings = settings
        self._host = ReplicaHost(self._shared.rpc)
        self.service = self._make_service()
        self._host.add(self.service)
        self._shared.peers.use_own_replica(self.service.known_group)
        control = ControlHandler(self._shared.leader_client)
        limits = Limits(body_bytes=control_body_limit(settings.memory_bytes))
        self._application = self._shared.make_application(
            control.respond, lambda: limits
        )

    async def run(self) -> None:
        """Runs the replica and serves until the program is stopped.

        Raises:
            StorageError: The disk failed.
        """
        sockets = [_listen(self._settings.control_address)]
        server = self._shared.make_server(self._application, is_main=True)
        async with anyio.create_task_group() as tasks:
            await self._shared.start_tasks(tasks)
            tasks.start_soon(self._host.run)
            self._shared.log.event(
                'scheduler.started',
                address=self._settings.vm,
                replica=self.service.replica.replica_id,
                term=self.service.replica.term,
                first_start=self._settings.first_start,
            )
            tasks.start_soon(self._shut_down, server)
            await server.serve(sockets=sockets)
            self._shared.log.event('scheduler.stopped')
            tasks.cancel_scope.cancel()

    def log_cut_off(self) -> None:
        """Logs how many requests and calls an immediate exit cuts off."""
        self._shared.log.event(
            'scheduler.cut_off',
            requests=self._application.in_flight,
            calls=self._shared.rpc.active_calls,
        )

    def _make_service(self) -> JobsService:
        settings = self._settings
        log = self._shared.log
        store = JobStore()
        budget = DiskBudget(settings.disk_bytes, settings.memory_bytes)
        options = DispatchOptions(
            lease_seconds=min(_LEASE_SECONDS, settings.maximum_lease_seconds),
            maximum_lease_seconds=settings.maximum_lease_seconds,
            retain_seconds=settings.retain_seconds * 2,
            required_retain_seconds=settings.retain_seconds,
            max_state_bytes=budget.max_state_bytes,
        )
        folder = Path(settings.data_folder) / JOBS_GROUP
        state = load_state(JOBS_GROUP, folder, settings.vm, store, log)
        replica = Replica(
            state,
            self._shared.peers,
            settings.seed_vms,
            ReplicationOptions(
                heartbeat_seconds=_HEARTBEAT_SECONDS,
                election_seconds=_ELECTION_SECONDS,
                commit_notify_seconds=_COMMIT_NOTIFY_SECONDS,
                reconcile_seconds=_RECONCILE_SECONDS,
                repair_seconds=_REPAIR_SECONDS,
                compact_bytes=budget.compact_bytes,
                max_log_bytes=budget.max_log_bytes,
                target_voters=settings.target_voters,
                data_centre=settings.data_centre,
                may_bootstrap=settings.first_start,
                suspended=suspended_seconds,
            ),
            log,
            random.Random(),
        )
        return JobsService(
            replica,
            store,
            PlatformWorkerClient(
                self._shared.client, options.command_timeout_seconds, log
            ),
            self._shared.permit_client,
            self._shared.peers,
            options,
            log,
            self._shared.histograms,
        )

    async def _shut_down(self, server: HttpServer) -> None:
        await self._shared.stop.wait()
        with anyio.move_on_after(self._settings.drain_seconds / 2):
            await self._host.retire()
        await anyio.sleep(READINESS_DELAY_SECONDS)
        server.should_exit = True


def _listen(address: str) -> Any:
    host, _, port = address.rpartition(':')
    return listen(host, int(port))


async def _run_server(server: HttpServer, sockets: list[Any]) -> None:
    await server.serve(sockets=sockets)


PROGRAMS: dict[str, Callable[[PlatformSettings, anyio.Event], Any]] = {
    'entry': EntryProgram,
    'scheduler': SchedulerProgram,
}
