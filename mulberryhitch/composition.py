"""The composition root: wires the parts of every program."""

import random
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import uvicorn

from mulberryhitch.backend_servers.directory import BackendServerDirectory
from mulberryhitch.backend_servers.ownership import choose_by_rendezvous_hash
from mulberryhitch.configuration.cell import CellState
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.models import CellConfiguration
from mulberryhitch.configuration.settings import Settings
from mulberryhitch.constants import (
    CALLER_KEEPALIVE_SECONDS,
    READINESS_DELAY_SECONDS,
    REQUEST_HEADER_LIMIT_BYTES,
)
from mulberryhitch.http.app import make_app
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.operators import CELL_GROUP
from mulberryhitch.http.workloads import data_centre_group
from mulberryhitch.http.protocol import FirstRequestTimeoutProtocol
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.membership.members import MemberRole, MemberState
from mulberryhitch.membership.node import Identity, Node, SchedulerConnections
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.placement.orders import (
    CapacityShares,
    ClassWeights,
    TenantShare,
)
from mulberryhitch.replication.interfaces import StateMachine
from mulberryhitch.replication.loading import load_state
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from mulberryhitch.requests.ledger_client import LeaderLedgerClient
from mulberryhitch.requests.owned_servers import OwnedServerTracker
from mulberryhitch.requests.ports import Owner
from mulberryhitch.requests.router import Router
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.scheduler.host import CellService, ReplicaHost
from mulberryhitch.scheduler.service import DataCentreService
from mulberryhitch.scheduler.state import DataCentreState
from mulberryhitch.tenants.authentication import Authenticator
from mulberryhitch.tls import TlsFiles
from mulberryhitch.workers.gateway import HttpWorkerGateway
from mulberryhitch.workloads.model import Size


@dataclass(slots=True)
class Environment:
    """What one process is given to run in.

    Attributes:
        vm: The VM's name in the settings.
        stop: Set when the process is to shut down gracefully.
    """

    settings: Settings
    vm: str
    stop: anyio.Event
    chance: random.Random

    @property
    def data_centre(self) -> str:
        """The VM's data centre."""
        return self.settings.data_centre_of(self.vm)

    def metrics(self, role: MemberRole) -> Metrics:
        """The metrics of a process of this VM."""
        statsd = self.settings.statsd
        prefix = f'mulberryhitch.{self.settings.cell}.{role.value}.{self.vm}'
        if statsd is None:
            return Metrics(prefix)
        return Metrics(prefix, str(statsd.address), statsd.port)

    def tls(self) -> TlsFiles:
        """The TLS contexts, which follow their files."""
        return TlsFiles(self.settings.tls)


def member_id(role: MemberRole, vm: str) -> str:
    """The id of a process of ours."""
    return f'{role.value}@{vm}'


def _rpc_port(settings: Settings, role: MemberRole, vm: str) -> int:
    own = settings.vm(vm)
    if role is MemberRole.entry:
        return own.entry_port or settings.entry_port
    return own.scheduler_port or settings.scheduler_port


def _http_address(settings: Settings, vm: str) -> str:
    own = settings.vm(vm)
    return f'{own.address}:{own.http_port or settings.http_port}'


def make_node(environment: Environment, role: MemberRole) -> Node:
    """Wires the part that every process has."""
    settings = environment.settings
    vm = environment.vm
    own_id = member_id(role, vm)
    log = Log(own_id)
    tls = environment.tls()
    peers: dict[str, PeerConnection] = {}
    for name in settings.vm_names():
        roles = [MemberRole.entry]
        if settings.vm(name).disk:
            roles.append(MemberRole.scheduler)
        for peer_role in roles:
            peer_id = member_id(peer_role, name)
            if peer_id != own_id:
                peers[peer_id] = PeerConnection(
                    own_id,
                    str(settings.vm(name).address),
                    _rpc_port(settings, peer_role, name),
                    tls.client,
                )
    port = _rpc_port(settings, role, vm)
    identity = Identity(
        own_id,
        role,
        environment.data_centre,
        vm,
        f'{settings.vm(vm).address}:{port}',
        _http_address(settings, vm),
    )
    return Node(
        identity,
        ConfigurationHolder(environment.data_centre),
        peers,
        RpcServer(log, tls.server),
        log,
    )


def make_schedulers(
    environment: Environment, node: Node
) -> SchedulerConnections:
    """Wires the connections to all schedulers, other than heartbeats'."""
    settings = environment.settings
    tls = environment.tls()
    connections = {
        vm: PeerConnection(
            node.identity.member_id,
            str(settings.vm(vm).address),
            _rpc_port(settings, MemberRole.scheduler, vm),
            tls.client,
        )
        for vm in settings.vm_names()
        if settings.vm(vm).disk
    }
    voters = {
        data_centre_group(name): settings.data_centre_voters(name)
        for name in settings.data_centres
    }
    voters[CELL_GROUP] = settings.cell_voters()
    return SchedulerConnections(connections, node.members, voters)


class EntryProcess:
    """The program ``mulberryhitch-entry``.

    Args:
        environment: What it runs in.
    """

    def __init__(self, environment: Environment) -> None:
        """Wires the parts."""
        self._environment = environment
        self.node = make_node(environment, MemberRole.entry)
        self._schedulers = make_schedulers(environment, self.node)
        self.entry = self._make_entry()
        self._keeper = OwnedServerTracker(
            self.node.identity.member_id,
            self.entry.directory,
            self.entry.router,
            self.node.configuration,
        )
        self._tell()

    async def run(self) -> None:
        """Serves until the environment's stop event, then drains."""
        settings = self._environment.settings
        vm = self._environment.vm
        identity = self.node.identity
        own = settings.vm(vm)
        listening = listen(
            str(own.address), own.http_port or settings.http_port
        )
        server = self._make_server()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            tasks.start_soon(self._schedulers.run)
            tasks.start_soon(self._keeper.run)
            tasks.start_soon(
                self.node.server.serve,
                str(own.address),
                _rpc_port(settings, MemberRole.entry, vm),
            )
            tasks.start_soon(self._serve_http, server, listening)
            self.node.log.event('entry.started', http=identity.http_address)
            await self._environment.stop.wait()
            await self._drain()
            server.should_exit = True
            await self._http_ended.wait()
            tasks.cancel_scope.cancel()

    def _make_entry(self) -> Entry:
        environment = self._environment
        node = self.node
        metrics = environment.metrics(MemberRole.entry)
        histograms = Histograms()
        access = Authenticator()
        node.configuration.add_listener(access.update)
        leaders = LeaderClient(self._schedulers)
        router = Router(
            node.identity.member_id,
            node.configuration,
            self._owners,
            LeaderLedgerClient(leaders, node.log),
            self._ledger_home,
            metrics,
            histograms,
            environment.chance,
        )
        return Entry(
            node.identity.member_id,
            environment.data_centre,
            environment.settings,
            node.configuration,
            access,
            node.members,
            node.exchange,
            BackendServerDirectory(),
            leaders,
            router,
            histograms,
            metrics,
            node.log,
            node.heartbeat,
        )

    def _tell(self) -> None:
        tellings = self.node.heartbeat_sources
        tellings.state = self._state
        tellings.announcements = self.entry.directory.direct_announcements
        tellings.loads = self._keeper.service_loads
        self.node.members.add_listener(self.entry.directory.record_heartbeat)
        self._http_ended = anyio.Event()

    def _state(self) -> MemberState:
        if self.entry.stopping:
            return MemberState.stopping
        if self.entry.is_ready:
            return MemberState.ready
        return MemberState.starting

    def _owners(self, service: str) -> list[Owner]:
        return [
            Owner(
                beat.member_id,
                beat.http_address,
                load.free_slots,
                load.queued,
                beat.data_centre == self._environment.data_centre,
            )
            for beat in self.node.members.live(MemberRole.entry)
            for load in beat.loads
            if load.service_name == service
        ]

    def _ledger_home(self, tenant: str, key: str) -> str:
        configured = self.node.configuration.current.tenants.get(tenant)
        if configured is not None and configured.ledger_home:
            return data_centre_group(configured.ledger_home)
        names = self._environment.settings.data_centre_names
        return data_centre_group(
            choose_by_rendezvous_hash(f'{tenant}|{key}', names)
        )

    def _make_server(self) -> HttpServer:
        tls = self._environment.settings.tls
        secured = tls is not None and tls.callers
        return HttpServer(
            uvicorn.Config(
                make_app(self.entry),
                loop='asyncio',
                http=FirstRequestTimeoutProtocol,
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                server_header=False,
                timeout_keep_alive=CALLER_KEEPALIVE_SECONDS,
                h11_max_incomplete_event_size=REQUEST_HEADER_LIMIT_BYTES,
                timeout_graceful_shutdown=max(
                    1, round(self._environment.settings.drain_seconds)
                ),
                ssl_certfile=tls.certificate if tls and secured else None,
                ssl_keyfile=tls.key if tls and secured else None,
            ),
        )

    async def _serve_http(
        self, server: HttpServer, listening: socket.socket
    ) -> None:
        await server.serve(sockets=[listening])
        self._http_ended.set()

    async def _drain(self) -> None:
        self.entry.stopping = True
        self.node.exchange.send_now()
        await anyio.sleep(READINESS_DELAY_SECONDS)
        with anyio.move_on_after(self._environment.settings.drain_seconds):
            while self.entry.router.in_flight:
                await anyio.sleep(READINESS_DELAY_SECONDS / 10)
        self.node.log.event(
            'entry.drained', cut_off=self.entry.router.in_flight
        )


class SchedulerProcess:
    """The program ``mulberryhitch-scheduler``.

    Args:
        environment: What it runs in.
    """

    def __init__(self, environment: Environment) -> None:
        """Wires the parts and loads the data folder."""
        self._environment = environment
        self.node = make_node(environment, MemberRole.scheduler)
        self._schedulers = make_schedulers(environment, self.node)
        self.host = ReplicaHost(self.node.server)
        self._metrics = environment.metrics(MemberRole.scheduler)
        self._totals = CapacityShares()
        self.node.configuration.add_listener(self._update_totals)
        self._own_service: DataCentreService | None = None
        self._add_cell()
        for name in environment.settings.data_centre_names:
            self._add_data_centre(name)
        tellings = self.node.heartbeat_sources
        tellings.groups = self.host.group_views
        tellings.capacities = self._capacities

    async def run(self) -> None:
        """Takes part until the environment's stop event.

        Raises:
            StorageError: The disk failed.
        """
        settings = self._environment.settings
        vm = self._environment.vm
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            tasks.start_soon(self._schedulers.run)
            tasks.start_soon(self.host.run)
            tasks.start_soon(
                self.node.server.serve,
                str(settings.vm(vm).address),
                _rpc_port(settings, MemberRole.scheduler, vm),
            )
            self.node.log.event('scheduler.started')
            await self._environment.stop.wait()
            await self.host.transfer_leadership()
            self.node.log.event('scheduler.stopped')
            tasks.cancel_scope.cancel()

    def _add_cell(self) -> None:
        settings = self._environment.settings
        state = CellState()
        replica = self._make_replica(CELL_GROUP, state, settings.cell_voters())
        initial = settings.configuration.model_dump_json()
        self.host.add(
            CellService(replica, state, self.node.apply_configuration, initial)
        )

    def _add_data_centre(self, name: str) -> None:
        settings = self._environment.settings
        vm = self._environment.vm
        voters = settings.data_centre_voters(name)
        if vm not in voters and vm not in settings.disk_vms(name):
            return
        state = DataCentreState()
        service = DataCentreService(
            self._make_replica(data_centre_group(name), state, voters),
            state,
            HttpWorkerGateway(settings.worker_token),
            self._totals,
            self._queue_limit,
            self.node.log,
            self._metrics,
            Histograms(),
        )
        self.host.add(service)
        if name == self._environment.data_centre:
            self._own_service = service

    def _make_replica(
        self, group: str, machine: StateMachine, voters: tuple[str, ...]
    ) -> Replica:
        folder = Path(self._environment.settings.data_folder)
        own = folder / self._environment.vm / group.replace(':', '-')
        state = load_state(
            group, own, self._environment.vm, machine, self.node.log
        )
        return Replica(
            state,
            self._schedulers,
            voters,
            ReplicationOptions(),
            self.node.log,
            self._environment.chance,
        )

    def _queue_limit(self, tenant: str) -> int:
        found = self.node.configuration.current.tenants.get(tenant)
        return found.maximum_queued_tasks if found else 0

    def _update_totals(self, configuration: CellConfiguration) -> None:
        classes = configuration.classes
        self._totals.class_weights = ClassWeights(
            classes.deferrable, classes.normal, classes.high, classes.urgent
        )
        self._totals.tenant_shares = {
            name: TenantShare(
                tenant.weight,
                Size(
                    tenant.quota.millicores,
                    tenant.quota.memory_mebibytes,
                    tenant.quota.accelerators,
                )
                if tenant.quota
                else None,
            )
            for name, tenant in configuration.tenants.items()
        }

    def _capacities(self) -> list[Any]:
        if self._own_service is None:
            return []
        capacity = self._own_service.capacity()
        return [] if capacity is None else [capacity]
