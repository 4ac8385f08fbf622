"""Schedulers that are found, not listed: by their VMs' IP numbers."""

from collections.abc import Iterable

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import UnreachableError
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import Reply, Request


class PeerConnectionPool:
    """Connections to schedulers, made as they become known.

    Args:
        member_id: This process.
        port: The port that every scheduler listens on.
        seeds: The VMs to ask first.
    """

    def __init__(self, member_id: str, port: int, seeds: Iterable[str]) -> None:
        """Connects to nobody yet."""
        self._member_id = member_id
        self._port = port
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._leader = ''
        self._connections: dict[tuple[str, int], PeerConnection] = {}
        self._tasks: TaskGroup | None = None

    @property
    def candidate_vms(self) -> tuple[str, ...]:
        """All VMs that may run a scheduler of the group."""
        return tuple(dict.fromkeys((*self._members, *self._seeds)))

    async def run(self) -> None:
        """Serves calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for connection in self._connections.values():
                tasks.start_soon(connection.run)
            await anyio.sleep_forever()

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Takes other VMs to ask first."""
        self._seeds = tuple(seeds)

    def update_members(self, members: Iterable[str], leader: str) -> None:
        """Notes the group's VMs, and the one that leads."""
        self._members = tuple(members)
        if leader:
            self._leader = leader

    def connection(self, host: str, port: int) -> PeerConnection:
        """The connection to one process of ours.

        Raises:
            UnreachableError: This process is not running yet.
        """
        key = (host, port)
        found = self._connections.get(key)
        if found is None:
            if self._tasks is None:
                raise UnreachableError('not started', where=host)
            found = PeerConnection(self._member_id, host, port)
            self._connections[key] = found
            self._tasks.start_soon(found.run)
        return found

    def scheduler(self, vm: str) -> PeerConnection:
        """The connection to a VM's scheduler.

        Raises:
            UnreachableError: This process is not running yet.
        """
        return self.connection(vm, self._port)

    async def call(
        self, vm: str, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls the scheduler of a VM.

        Raises:
            UnreachableError: Nothing was sent.
        """
        found = self.scheduler(vm)
        return await found.call(method, request, timeout_seconds)

    def leader_of(self, group: str) -> str:
        """The VM that is thought to lead the group; may be empty."""
        return self._leader

    def voters_of(self, group: str) -> tuple[str, ...]:
        """The VMs that may lead the group."""
        return self.candidate_vms
