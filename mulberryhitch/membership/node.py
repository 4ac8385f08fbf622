"""The cluster node in each process: identity, peers and configuration."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.errors import MulberryhitchError, UnreachableError
from mulberryhitch.membership.heartbeat_exchange import HeartbeatExchange
from mulberryhitch.membership.members import (
    MemberList,
    MemberRole,
    MemberState,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import (
    Announcement,
    Capacity,
    ConfigurationReply,
    ConfigurationRequest,
    GroupView,
    Heartbeat,
    Reply,
    Request,
    ServiceLoad,
)
from mulberryhitch.rpc.server import RpcServer

_FETCH_TIMEOUT_SECONDS = 1.0
_FETCH_RETRY_SECONDS = 0.2


@dataclass(frozen=True, slots=True)
class Identity:
    """The identity of a process.

    Attributes:
        incarnation: Start time, in milliseconds since the epoch.
    """

    member_id: str
    role: MemberRole
    data_centre: str
    vm: str
    rpc_address: str
    http_address: str
    incarnation: int = field(
        default_factory=lambda: int(time.time() * MILLISECONDS_PER_SECOND)
    )


@dataclass(slots=True)
class HeartbeatSources:
    """Functions that return the variable parts of a heartbeat."""

    state: Callable[[], MemberState] = lambda: MemberState.ready
    groups: Callable[[], list[GroupView]] = list
    announcements: Callable[[], list[Announcement]] = list
    loads: Callable[[], list[ServiceLoad]] = list
    capacities: Callable[[], list[Capacity]] = list


class Node:
    """This process as a member of the cluster.

    Args:
        identity: This process's identity.
        configuration: Holds the active configuration.
        peers: Connections to the other processes, by member id.
        server: Serves the calls of other processes.
        log: Receives the events.
    """

    def __init__(
        self,
        identity: Identity,
        configuration: ConfigurationHolder,
        peers: dict[str, PeerConnection],
        server: RpcServer,
        log: Log,
    ) -> None:
        """Registers the RPC methods and the heartbeat listener."""
        self.identity = identity
        self.configuration = configuration
        self.members = MemberList(identity.member_id)
        self.heartbeat_sources = HeartbeatSources()
        self.heartbeat_exchange = HeartbeatExchange(
            self.members, self.heartbeat, list(peers.values())
        )
        self.server = server
        self.log = log
        self._peers = peers
        self._newer_version_seen = anyio.Event()
        self._newer_version_member_id = ''
        self.members.add_listener(self._check_version)
        server.register('exchange', self.heartbeat_exchange.handle_heartbeat)
        server.register('fetch_configuration', self._handle_fetch)

    async def run(self) -> None:
        """Exchanges heartbeats and configurations until cancelled."""
        async with anyio.create_task_group() as tasks:
            for peer in self._peers.values():
                tasks.start_soon(peer.run)
            tasks.start_soon(self.heartbeat_exchange.run)
            tasks.start_soon(self._fetch_newer_configurations)

    def heartbeat(self) -> Heartbeat:
        """Returns this process's current heartbeat."""
        identity = self.identity
        return Heartbeat(
            identity.member_id,
            identity.incarnation,
            identity.role.value,
            identity.data_centre,
            identity.vm,
            identity.rpc_address,
            identity.http_address,
            self.heartbeat_sources.state().value,
            self.configuration.version,
            self.heartbeat_sources.groups(),
            self.heartbeat_sources.announcements(),
            self.heartbeat_sources.loads(),
            self.heartbeat_sources.capacities(),
            anyio.current_time(),
        )

    def apply_configuration(self, version: int, document: str) -> None:
        """Activates a newer configuration and sends heartbeats at once.

        Raises:
            InvariantError: The active version has another document.
            InvalidInputError: The document is invalid.
        """
        if self.configuration.apply_if_newer(version, document):
            self.log.event('configuration.in_force', version=version)
            self.heartbeat_exchange.send_now()

    def _check_version(self, heartbeat: Heartbeat) -> None:
        if heartbeat.configuration_version > self.configuration.version:
            self._newer_version_member_id = heartbeat.member_id
            self._newer_version_seen.set()

    async def _handle_fetch(
        self, request: ConfigurationRequest
    ) -> ConfigurationReply:
        document = self.configuration.document.encode()
        if request.known_version >= self.configuration.version:
            document = b''
        return ConfigurationReply(self.configuration.version, document)

    async def _fetch_newer_configurations(self) -> None:
        while True:
            await self._newer_version_seen.wait()
            self._newer_version_seen = anyio.Event()
            try:
                await self._fetch_from(self._newer_version_member_id)
            except MulberryhitchError as error:
                self.log.problem('configuration.fetch', error.problem)
                await anyio.sleep(_FETCH_RETRY_SECONDS)

    async def _fetch_from(self, member_id: str) -> None:
        peer = self._peers.get(member_id)
        if peer is None:
            return
        reply = await peer.call(
            'fetch_configuration',
            ConfigurationRequest(self.configuration.version),
            _FETCH_TIMEOUT_SECONDS,
        )
        if isinstance(reply, ConfigurationReply) and reply.document:
            self.apply_configuration(reply.version, reply.document.decode())


class SchedulerConnections:
    """Connections to the schedulers listed in the settings.

    Args:
        connections: Connections by VM.
        members: Source of the current leaders.
        voters: The VMs that may lead each group, by group.
    """

    def __init__(
        self,
        connections: dict[str, PeerConnection],
        members: MemberList,
        voters: dict[str, tuple[str, ...]],
    ) -> None:
        """Initialises the object; calls need ``run``."""
        self._connections = connections
        self._members = members
        self._voters = voters

    async def run(self) -> None:
        """Runs the connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            for connection in self._connections.values():
                tasks.start_soon(connection.run)

    async def call(
        self, vm: str, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls the scheduler on a VM and returns its reply.

        Raises:
            UnreachableError: The VM has no scheduler or no connection could
                be made; nothing was sent.
            MulberryhitchError: The call failed or got no reply in time.
        """
        connection = self._connections.get(vm)
        if connection is None:
            raise UnreachableError(
                'no scheduler is configured on this VM', where=vm
            )
        return await connection.call(method, request, timeout_seconds)

    def leader_of(self, group: str) -> str:
        """Returns the VM of the last known leader; empty if none is known."""
        return self._members.leader(group)

    def voters_of(self, group: str) -> tuple[str, ...]:
        """Returns the VMs that may lead a group."""
        return self._voters[group]
