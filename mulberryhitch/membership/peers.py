"""Connections to schedulers that are discovered at run time."""

from collections.abc import Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import UnreachableError
from mulberryhitch.membership.known_group import KnownGroup
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import Reply, Request


class PeerConnectionPool:
    """Connections to processes, opened on first use.

    The VMs are named by their IP addresses.

    Args:
        member_id: This process's member id.
        port: The port that every scheduler listens on.
        seeds: VMs to contact before the group's members are known.
    """

    def __init__(self, member_id: str, port: int, seeds: Iterable[str]) -> None:
        """Initialises the pool with no connection."""
        self._member_id = member_id
        self._port = port
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._leader = ''
        self._known_group: Callable[[], KnownGroup] = KnownGroup
        self._connections: dict[tuple[str, int], PeerConnection] = {}
        self._tasks: TaskGroup | None = None

    @property
    def candidate_vms(self) -> tuple[str, ...]:
        """All VMs that may run one of the group's schedulers, seeds last."""
        own = self._known_group().member_vms
        return tuple(dict.fromkeys((*own, *self._members, *self._seeds)))

    def known_group(self) -> KnownGroup:
        """Returns what this process's own replica knows of its group."""
        return self._known_group()

    async def run(self) -> None:
        """Runs the connections until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for connection in self._connections.values():
                tasks.start_soon(connection.run)
            await anyio.sleep_forever()

    def replace_seeds(self, seeds: Iterable[str]) -> None:
        """Replaces the seed VMs."""
        self._seeds = tuple(seeds)

    def use_own_replica(self, known_group: Callable[[], KnownGroup]) -> None:
        """Sets the function that returns what this process's replica knows."""
        self._known_group = known_group

    def update_members(self, members: Iterable[str], leader: str) -> None:
        """Records the group's VMs, and its leader unless empty."""
        self._members = tuple(members)
        if leader:
            self._leader = leader

    def connection(self, host: str, port: int) -> PeerConnection:
        """Returns the connection to a process, creating it if needed.

        Raises:
            UnreachableError: The pool is not running yet.
        """
        key = (host, port)
        connection = self._connections.get(key)
        if connection is None:
            if self._tasks is None:
                raise UnreachableError(
                    'the connection pool is not running', where=host
                )
            connection = PeerConnection(self._member_id, host, port)
            self._connections[key] = connection
            self._tasks.start_soon(connection.run)
        return connection

    def scheduler(self, vm: str) -> PeerConnection:
        """Returns the connection to the scheduler on a VM.

        Raises:
            UnreachableError: The pool is not running yet.
        """
        return self.connection(vm, self._port)

    async def call(
        self, vm: str, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls the scheduler on a VM and returns its reply.

        Raises:
            UnreachableError: No connection could be made, or the pool is not
                running yet; nothing was sent.
            MulberryhitchError: The call failed or got no reply in time.
        """
        connection = self.scheduler(vm)
        return await connection.call(method, request, timeout_seconds)

    def leader_of(self, group: str) -> str:
        """Returns the VM of the last known leader; empty if none is known."""
        return self._known_group().leader_vm or self._leader

    def voters_of(self, group: str) -> tuple[str, ...]:
        """Returns the VMs that may lead the group."""
        return self.candidate_vms
