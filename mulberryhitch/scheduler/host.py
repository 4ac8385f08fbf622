"""Hosts the replicas of a VM and dispatches calls to them by group."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio

from mulberryhitch.byte_budget import ByteBudget
from mulberryhitch.configuration.cell import CellState
from mulberryhitch.configuration.operations import (
    ChangeConfiguration,
    ConfigurationView,
    ReadConfiguration,
)
from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.errors import (
    MulberryhitchError,
    NotFoundError,
    NotLeaderError,
)
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.messages import (
    ExecuteReply,
    ExecuteRequest,
    GroupView,
)
from mulberryhitch.rpc.records import decode, encode, kind_of
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.scheduler.operations import Done, ReplaceVoter

_REPLICA_METHODS = ('hello', 'vote', 'append', 'install_snapshot', 'take_over')
_POLL_SECONDS = 0.05
_OPERATIONS_BYTES = 20 * BYTES_PER_MEBIBYTE
_SMALL_OPERATIONS_BYTES = 4 * BYTES_PER_MEBIBYTE


class GroupService(Protocol):
    """Executes the operations of one replication group."""

    replica: Replica

    async def run(self) -> None:
        """Runs the group's replica until cancelled."""

    async def execute(self, request: Any) -> Any:
        """Executes an operation."""


class CellService:
    """Executes operations on the cell's configuration.

    Args:
        replica: This VM's replica of the cell's log.
        state: The state machine of the replica.
        apply_configuration: Called with the version and document of the
            newest committed configuration.
        initial_document: Version 1 of the configuration of a new cell.
    """

    def __init__(
        self,
        replica: Replica,
        state: CellState,
        apply_configuration: Callable[[int, str], None],
        initial_document: str,
    ) -> None:
        """Initialises the service without applying a configuration."""
        self.replica = replica
        self._state = state
        self._apply_configuration = apply_configuration
        self._initial_document = initial_document

    async def run(self) -> None:
        """Runs the replica and applies configurations until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._watch_configuration)
            await self.replica.run()

    async def execute(self, request: Any) -> Any:
        """Executes an operation.

        Raises:
            NotLeaderError: This VM is not the leader; nothing was done.
            NotFoundError: The operation is unknown.
            MulberryhitchError: The operation failed with this error.
        """
        if not self.replica.has_authority:
            raise NotLeaderError(
                'this VM is not the leader', where=self.replica.leader_id
            )
        if isinstance(request, ChangeConfiguration):
            return await self.replica.propose(kind_of(request), encode(request))
        if isinstance(request, ReadConfiguration):
            await self.replica.read_barrier()
            view: ConfigurationView = self._state.view(request.version)
            return view
        if isinstance(request, ReplaceVoter):
            await self.replica.replace_voter(request.replica_id)
            return Done()
        raise NotFoundError('unknown operation', where=kind_of(request))

    async def _watch_configuration(self) -> None:
        while True:
            newest = self._state.newest
            if newest is not None:
                self._apply_configuration(newest.version, newest.document)
            elif self.replica.has_authority:
                await self._propose_initial()
            await anyio.sleep(_POLL_SECONDS)

    async def _propose_initial(self) -> None:
        change = ChangeConfiguration(
            self._initial_document, 0, 'initial', 'settings', time.time()
        )
        try:
            await self.replica.propose(kind_of(change), encode(change))
        except MulberryhitchError:
            await anyio.sleep(_POLL_SECONDS)


class ReplicaHost:
    """The replication groups of which a VM is a member.

    Args:
        server: The RPC server that receives the calls of other VMs.
    """

    def __init__(self, server: RpcServer) -> None:
        """Registers the RPC methods; no group is hosted yet."""
        self._groups: dict[str, GroupService] = {}
        self._operations = ByteBudget(
            _OPERATIONS_BYTES, _SMALL_OPERATIONS_BYTES
        )
        for method in _REPLICA_METHODS:
            server.register(method, self._handler(method))
        server.register('execute', self._execute)

    @property
    def groups(self) -> dict[str, GroupService]:
        """The hosted groups by name."""
        return self._groups

    def add(self, service: GroupService) -> None:
        """Adds a group to the host."""
        self._groups[service.replica.group] = service

    def group_views(self) -> list[GroupView]:
        """Returns the term and leader of each group as seen by this VM."""
        return [
            GroupView(name, service.replica.term, service.replica.leader_id)
            for name, service in self._groups.items()
        ]

    async def run(self) -> None:
        """Runs and reports all groups added so far until cancelled."""
        async with anyio.create_task_group() as task_group:
            for service in self._groups.values():
                task_group.start_soon(service.run)
                task_group.start_soon(service.replica.report_status)

    async def retire(self) -> None:
        """Transfers the leadership of each group led here to another VM.

        The replicas of this VM decline to take over from now on.
        """
        async with anyio.create_task_group() as task_group:
            for service in self._groups.values():
                task_group.start_soon(service.replica.retire)

    def _service(self, group: str) -> GroupService:
        service = self._groups.get(group)
        if service is None:
            raise NotFoundError(
                'this VM is not a member of the group', where=group
            )
        return service

    def _handler(self, method: str) -> Callable[[Any], Awaitable[Any]]:
        async def dispatch(request: Any) -> Any:
            replica = self._service(request.group).replica
            return await getattr(replica, method)(request)

        return dispatch

    async def _execute(self, request: ExecuteRequest) -> ExecuteReply:
        service = self._service(request.group)
        with self._operations.reservation() as reservation:
            # Another replica refuses the operation and holds nothing of it.
            if service.replica.has_authority:
                reservation.grow_to(len(request.body))
            operation = decode(request.name, request.body)
            return ExecuteReply(encode(await service.execute(operation)))
