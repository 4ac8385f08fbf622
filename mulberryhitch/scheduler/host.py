"""Hosts a VM's replicas and hands each call to its group's."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio

from mulberryhitch.configuration.cell import CellState
from mulberryhitch.configuration.operations import (
    ChangeConfiguration,
    ConfigurationView,
    ReadConfiguration,
)
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


class GroupService(Protocol):
    """What carries out operations for one group."""

    replica: Replica

    async def run(self) -> None:
        """Takes part until cancelled."""

    async def execute(self, request: Any) -> Any:
        """Carries out one operation."""


class CellService:
    """Carries out operations on the cell's configuration.

    Args:
        replica: This VM's replica of the cell's log.
        state: The state that the replica drives.
        offer: Puts a committed configuration in force in this process.
        initial: The document that becomes version 1 of a new cell.
    """

    def __init__(
        self,
        replica: Replica,
        state: CellState,
        offer: Callable[[int, str], None],
        initial: str,
    ) -> None:
        """Has nothing in force yet."""
        self.replica = replica
        self._state = state
        self._offer = offer
        self._initial = initial

    async def run(self) -> None:
        """Takes part until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._follow)
            await self.replica.run()

    async def execute(self, request: Any) -> Any:
        """Carries out one operation.

        Raises:
            NotLeaderError: This VM does not lead; nothing was done.
        """
        if not self.replica.has_authority:
            raise NotLeaderError('does not lead', where=self.replica.leader_id)
        if isinstance(request, ChangeConfiguration):
            return await self.replica.propose(kind_of(request), encode(request))
        if isinstance(request, ReadConfiguration):
            await self.replica.read_barrier()
            view: ConfigurationView = self._state.view(request.version)
            return view
        if isinstance(request, ReplaceVoter):
            await self.replica.replace_voter(request.replica_id)
            return Done()
        raise NotFoundError('no such operation', where=kind_of(request))

    async def _follow(self) -> None:
        while True:
            newest = self._state.newest
            if newest is not None:
                self._offer(newest.version, newest.document)
            elif self.replica.has_authority:
                await self._begin()
            await anyio.sleep(_POLL_SECONDS)

    async def _begin(self) -> None:
        change = ChangeConfiguration(
            self._initial, 0, 'initial', 'settings', time.time()
        )
        try:
            await self.replica.propose(kind_of(change), encode(change))
        except MulberryhitchError:
            await anyio.sleep(_POLL_SECONDS)


class ReplicaHost:
    """All groups that a VM takes part in.

    Args:
        server: Answers the other VMs' calls.
    """

    def __init__(self, server: RpcServer) -> None:
        """Hosts nothing yet."""
        self._groups: dict[str, GroupService] = {}
        for method in _REPLICA_METHODS:
            server.register(method, self._handler(method))
        server.register('execute', self._execute)

    @property
    def groups(self) -> dict[str, GroupService]:
        """The hosted groups by name."""
        return self._groups

    def add(self, service: GroupService) -> None:
        """Hosts one more group."""
        self._groups[service.replica.group] = service

    def views(self) -> list[GroupView]:
        """What this VM knows of each group's leader."""
        return [
            GroupView(name, service.replica.term, service.replica.leader_id)
            for name, service in self._groups.items()
        ]

    async def run(self) -> None:
        """Takes part in all groups until cancelled."""
        async with anyio.create_task_group() as tasks:
            for service in self._groups.values():
                tasks.start_soon(service.run)

    async def hand_over(self) -> None:
        """Gives all leaderships to others."""
        async with anyio.create_task_group() as tasks:
            for service in self._groups.values():
                tasks.start_soon(service.replica.transfer_leadership)

    def _service(self, group: str) -> GroupService:
        found = self._groups.get(group)
        if found is None:
            raise NotFoundError('not a member of the group', where=group)
        return found

    def _handler(self, method: str) -> Callable[[Any], Awaitable[Any]]:
        async def answer(request: Any) -> Any:
            replica = self._service(request.group).replica
            return await getattr(replica, method)(request)

        return answer

    async def _execute(self, request: ExecuteRequest) -> ExecuteReply:
        service = self._service(request.group)
        operation = decode(request.name, request.body)
        return ExecuteReply(encode(await service.execute(operation)))
