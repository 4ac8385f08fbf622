"""Composition root: creates and connects the components of the programs."""

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
    CLIENT_KEEPALIVE_SECONDS,
    READINESS_DELAY_SECONDS,
    REQUEST_HEADER_LIMIT_BYTES,
)
from mulberryhitch.http.app import make_app
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.operators import CELL_GROUP
from mulberryhitch.http.connection_limits import (
    accepted_at_once,
    connection_limit,
    machine_memory_bytes,
    waiting_limit,
)
from mulberryhitch.http.open_connections import OpenConnections
from mulberryhitch.http.server import HttpServer, bounded_protocol, listen
from mulberryhitch.http.workloads import data_centre_group
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
from mulberryhitch.rpc.accepted import accepted_limits
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.scheduler.host import CellService, ReplicaHost
from mulberryhitch.scheduler.service import DataCentreService
from mulberryhitch.scheduler.state import DataCentreState
from mulberryhitch.tenants.authentication import Authenticator
from mulberryhitch.tls import TlsContexts
from mulberryhitch.workers.gateway import HttpWorkerGateway
from mulberryhitch.workloads.model import Size


@dataclass(slots=True)
class Environment:
    """Inputs that a process is created from.

    Attributes:
        settings: The settings of the cell.
        vm: Name of the VM in the settings.
        stop: Set to request a graceful shutdown.
        rng: Random source.
    """

    settings: Settings
    vm: str
    stop: anyio.Event
    rng: random.Random

    @property
    def data_centre(self) -> str:
        """The VM's data centre."""
        return self.settings.data_centre_of(self.vm)

    def metrics(self, role: MemberRole) -> Metrics:
        """Creates the metrics of a process of this VM."""
        statsd = self.settings.statsd
        prefix = f'mulberryhitch.{self.settings.cell}.{role.value}.{self.vm}'
        if statsd is None:
            return Metrics(prefix)
        return Metrics(prefix, str(statsd.address), statsd.port)

    def tls(self) -> TlsContexts:
        """Creates the TLS contexts for connections between members."""
        return TlsContexts(self.settings.tls)


def member_id(role: MemberRole, vm: str) -> str:
    """Returns the member id of a process."""
    return f'{role.value}@{vm}'


def _rpc_port(settings: Settings, role: MemberRole, vm: str) -> int:
    vm_settings = settings.vm(vm)
    if role is MemberRole.entry:
        return vm_settings.entry_port or settings.entry_port
    return vm_settings.scheduler_port or settings.scheduler_port


def _http_address(settings: Settings, vm: str) -> str:
    vm_settings = settings.vm(vm)
    return (
        f'{vm_settings.address}:{vm_settings.http_port or settings.http_port}'
    )


def make_node(environment: Environment, role: MemberRole) -> Node:
    """Creates the node of a process, with connections to all peers."""
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
        RpcServer(log, tls.server, accepted_limits(machine_memory_bytes())),
        log,
    )


def make_scheduler_connections(
    environment: Environment, node: Node
) -> SchedulerConnections:
    """Creates connections to all schedulers, not shared with heartbeats."""
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
        environment: Settings, VM, stop event and random source.
    """

    def __init__(self, environment: Environment) -> None:
        """Creates the components."""
        self._environment = environment
        self.node = make_node(environment, MemberRole.entry)
        self._scheduler_connections = make_scheduler_connections(
            environment, self.node
        )
        self.entry = self._make_entry()
        self._owned_servers = OwnedServerTracker(
            self.node.identity.member_id,
            self.entry.directory,
            self.entry.router,
            self.node.configuration,
        )
        self._connect_heartbeat_sources()

    async def run(self) -> None:
        """Serves until the environment's stop event is set, then drains."""
        settings = self._environment.settings
        vm = self._environment.vm
        identity = self.node.identity
        vm_settings = settings.vm(vm)
        http_socket = listen(
            str(vm_settings.address),
            vm_settings.http_port or settings.http_port,
        )
        server = self._make_server()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            tasks.start_soon(self._scheduler_connections.run)
            tasks.start_soon(self._owned_servers.run)
            tasks.start_soon(
                self.node.server.serve,
                str(vm_settings.address),
                _rpc_port(settings, MemberRole.entry, vm),
            )
            tasks.start_soon(self._serve_http, server, http_socket)
            self.node.log.event('entry.started', http=identity.http_address)
            await self._environment.stop.wait()
            await self._drain()
            server.should_exit = True
            await self._http_stopped.wait()
            tasks.cancel_scope.cancel()

    def log_cut_off(self) -> None:
        """Logs how many requests an immediate exit cuts off."""
        self.node.log.event(
            'entry.cut_off', requests=self.entry.router.in_flight
        )

    def _make_entry(self) -> Entry:
        environment = self._environment
        node = self.node
        metrics = environment.metrics(MemberRole.entry)
        histograms = Histograms()
        authenticator = Authenticator()
        node.configuration.add_listener(authenticator.update)
        leader_client = LeaderClient(
            self._scheduler_connections, count=metrics.count
        )
        router = Router(
            node.identity.member_id,
            node.configuration,
            self._service_owners,
            LeaderLedgerClient(leader_client, node.log),
            self._ledger_home,
            metrics,
            histograms,
            environment.rng,
        )
        return Entry(
            node.identity.member_id,
            environment.data_centre,
            environment.settings,
            node.configuration,
            authenticator,
            node.members,
            node.heartbeat_exchange,
            BackendServerDirectory(),
            leader_client,
            router,
            histograms,
            metrics,
            node.log,
            node.heartbeat,
        )

    def _connect_heartbeat_sources(self) -> None:
        sources = self.node.heartbeat_sources
        sources.state = self._member_state
        sources.announcements = self.entry.directory.direct_announcements
        sources.loads = self._owned_servers.service_loads
        self.node.members.add_listener(self.entry.directory.record_heartbeat)
        self._http_stopped = anyio.Event()

    def _member_state(self) -> MemberState:
        if self.entry.stopping:
            return MemberState.stopping
        if self.entry.is_ready:
            return MemberState.ready
        return MemberState.starting

    def _service_owners(self, service: str) -> list[Owner]:
        return [
            Owner(
                heartbeat.member_id,
                heartbeat.http_address,
                load.free_slots,
                load.queued,
                heartbeat.data_centre == self._environment.data_centre,
            )
            for heartbeat in self.node.members.live(MemberRole.entry)
            for load in heartbeat.loads
            if load.service_name == service
        ]

    def _ledger_home(self, tenant: str, key: str) -> str:
        tenant_configuration = self.node.configuration.current.tenants.get(
            tenant
        )
        if (
            tenant_configuration is not None
            and tenant_configuration.ledger_home
        ):
            return data_centre_group(tenant_configuration.ledger_home)
        names = self._environment.settings.data_centre_names
        return data_centre_group(
            choose_by_rendezvous_hash(f'{tenant}|{key}', names)
        )

    def _make_server(self) -> HttpServer:
        tls = self._environment.settings.tls
        use_tls = tls is not None and tls.callers
        memory_bytes = machine_memory_bytes()
        limit = connection_limit(memory_bytes, tls=use_tls)
        connections = OpenConnections(limit, self.node.log)
        return HttpServer(
            uvicorn.Config(
                make_app(self.entry),
                loop='asyncio',
                http=bounded_protocol(connections=connections),
                backlog=accepted_at_once(limit),
                ws='none',
                lifespan='off',
                log_config=None,
                access_log=False,
                server_header=False,
                timeout_keep_alive=CLIENT_KEEPALIVE_SECONDS,
                h11_max_incomplete_event_size=REQUEST_HEADER_LIMIT_BYTES,
                timeout_graceful_shutdown=max(
                    1, round(self._environment.settings.drain_seconds)
                ),
                ssl_certfile=tls.certificate if tls and use_tls else None,
                ssl_keyfile=tls.key if tls and use_tls else None,
            ),
            connections,
            waiting_limit(memory_bytes),
        )

    async def _serve_http(
        self, server: HttpServer, http_socket: socket.socket
    ) -> None:
        await server.serve(sockets=[http_socket])
        self._http_stopped.set()

    async def _drain(self) -> None:
        self.entry.stopping = True
        self.node.heartbeat_exchange.send_now()
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
        environment: Settings, VM, stop event and random source.
    """

    def __init__(self, environment: Environment) -> None:
        """Creates the components and loads the data folder."""
        self._environment = environment
        self.node = make_node(environment, MemberRole.scheduler)
        self._scheduler_connections = make_scheduler_connections(
            environment, self.node
        )
        self.host = ReplicaHost(self.node.server)
        self._metrics = environment.metrics(MemberRole.scheduler)
        self._capacity_shares = CapacityShares()
        self.node.configuration.add_listener(self._update_capacity_shares)
        self._local_service: DataCentreService | None = None
        self._add_cell()
        for name in environment.settings.data_centre_names:
            self._add_data_centre(name)
        sources = self.node.heartbeat_sources
        sources.groups = self.host.group_views
        sources.capacities = self._capacities

    async def run(self) -> None:
        """Runs the replicas until the environment's stop event is set.

        Raises:
            StorageError: Writing to the disk failed.
        """
        settings = self._environment.settings
        vm = self._environment.vm
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.node.run)
            tasks.start_soon(self._scheduler_connections.run)
            tasks.start_soon(self.host.run)
            tasks.start_soon(
                self.node.server.serve,
                str(settings.vm(vm).address),
                _rpc_port(settings, MemberRole.scheduler, vm),
            )
            self.node.log.event('scheduler.started')
            await self._environment.stop.wait()
            await self.host.retire()
            self.node.log.event('scheduler.stopped')
            tasks.cancel_scope.cancel()

    def log_cut_off(self) -> None:
        """Logs how many calls an immediate exit cuts off."""
        self.node.log.event(
            'scheduler.cut_off', calls=self.node.server.active_calls
        )

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
            self._capacity_shares,
            self._queue_limit,
            self.node.log,
            self._metrics,
            Histograms(),
        )
        self.host.add(service)
        if name == self._environment.data_centre:
            self._local_service = service

    def _make_replica(
        self, group: str, machine: StateMachine, voters: tuple[str, ...]
    ) -> Replica:
        folder = Path(self._environment.settings.data_folder)
        replica_folder = folder / self._environment.vm / group.replace(':', '-')
        state = load_state(
            group, replica_folder, self._environment.vm, machine, self.node.log
        )
        return Replica(
            state,
            self._scheduler_connections,
            voters,
            ReplicationOptions(),
            self.node.log,
            self._environment.rng,
        )

    def _queue_limit(self, tenant: str) -> int:
        tenant_configuration = self.node.configuration.current.tenants.get(
            tenant
        )
        return (
            tenant_configuration.maximum_queued_tasks
            if tenant_configuration
            else 0
        )

    def _update_capacity_shares(self, configuration: CellConfiguration) -> None:
        classes = configuration.classes
        self._capacity_shares.class_weights = ClassWeights(
            classes.deferrable, classes.normal, classes.high, classes.urgent
        )
        self._capacity_shares.tenant_shares = {
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
        if self._local_service is None:
            return []
        capacity = self._local_service.capacity()
        return [] if capacity is None else [capacity]
