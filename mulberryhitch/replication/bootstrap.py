"""Bootstraps a new group, or requests to join an existing one."""

from collections.abc import Callable
from contextlib import suppress

import anyio

from mulberryhitch.errors import DiskFullError, MulberryhitchError
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.members import Members, vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import HelloReply, HelloRequest

# The leader forgets a request to join after four election times.
_HELLO_ELECTION_TIMES = 3


class Bootstrap:
    """Sends hello requests until this replica is a member of its group.

    A group is bootstrapped once, when the replicas of all initial VMs have
    replied and none of them has a log. A replica whose folder was lost has a
    new id; the existing group does not list it, and it waits to be added.

    Args:
        state: The replica's state.
        transport: Carries calls to the other replicas.
        initial_vms: The VMs whose replicas bootstrap the group.
        options: Timing settings, and whether bootstrapping is allowed.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        initial_vms: tuple[str, ...],
        options: ReplicationOptions,
    ) -> None:
        """Initialises the bootstrap with only the initial VMs known."""
        self._known_vms: set[str] = set()
        self._state = state
        self._transport = transport
        self._initial_vms = initial_vms
        self._options = options
        self._own_vm = state.replica_id.partition('#')[0]

    async def run(self, is_detached: Callable[[], bool]) -> None:
        """Sends hello requests while unconfigured or detached.

        Args:
            is_detached: Returns whether this replica is not a member of its
                group or has lost contact with the leader.
        """
        while True:
            if not self._state.configured:
                with suppress(DiskFullError):
                    await self._try_bootstrap()
            elif is_detached():
                await self._query_peers()
            await anyio.sleep(self._options.election_seconds / 2)

    async def _try_bootstrap(self) -> None:
        replies = await self._query_peers()
        if self._own_vm not in self._initial_vms:
            return
        for reply in replies:
            is_voter = self._state.replica_id in reply.voters
            if reply.configured and is_voter:
                await self._bootstrap_group(tuple(reply.voters))
                return
        if any(reply.configured for reply in replies):
            return
        if not self._options.may_bootstrap:
            return
        initial_replies = [
            reply
            for reply in replies
            if vm_of(reply.replica_id) in self._initial_vms
        ]
        if len(initial_replies) == len(self._initial_vms) - 1:
            ids = [reply.replica_id for reply in initial_replies]
            await self._bootstrap_group((*ids, self._state.replica_id))

    async def _bootstrap_group(self, voters: tuple[str, ...]) -> None:
        async with self._state.lock:
            if not self._state.configured:
                await self._state.bootstrap(Members(tuple(sorted(voters))))

    async def _query_peers(self) -> list[HelloReply]:
        replies: list[HelloReply] = []
        async with anyio.create_task_group() as tasks:
            for vm in self._peer_vms():
                if vm != self._own_vm:
                    tasks.start_soon(self._query, vm, replies)
        for reply in replies:
            self._known_vms.update(map(vm_of, (*reply.voters, *reply.learners)))
        return replies

    def _peer_vms(self) -> tuple[str, ...]:
        member_vms = map(vm_of, self._state.members.replica_ids)
        vms = (*self._initial_vms, *sorted(self._known_vms), *member_vms)
        return tuple(dict.fromkeys(vms))

    async def _query(self, vm: str, replies: list[HelloReply]) -> None:
        request = HelloRequest(
            self._state.group, self._state.replica_id, self._state.configured
        )
        try:
            reply = await self._transport.call(
                vm,
                'hello',
                request,
                self._options.election_seconds * _HELLO_ELECTION_TIMES,
            )
        except MulberryhitchError:
            return
        if isinstance(reply, HelloReply):
            replies.append(reply)
