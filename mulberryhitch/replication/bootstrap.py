"""Bootstraps a new group, or requests to join an existing one."""

from collections.abc import Callable
from contextlib import suppress

import anyio

from mulberryhitch.errors import DiskFullError, MulberryhitchError
from mulberryhitch.replication.hello_records import HelloRecords
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

    Attributes:
        hello_records: What the others' requests and replies have told.
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
        self.hello_records = HelloRecords(options)
        self._own_vm = vm_of(state.replica_id)
        self._is_retiring = False
        self._retirement_began = anyio.Event()

    def retire(self) -> None:
        """Tells all others from now on that this replica's process will end."""
        self._is_retiring = True
        self._retirement_began.set()

    async def run(self, is_detached: Callable[[], bool]) -> None:
        """Sends hello requests while unconfigured, detached or retiring.

        Args:
            is_detached: Returns whether this replica is not a member of its
                group or has lost contact with the leader.
        """
        while True:
            if not self._state.configured:
                with suppress(DiskFullError):
                    await self._try_bootstrap()
            elif (
                self._is_retiring
                or is_detached()
                or self._lacks_a_data_centre()
            ):
                await self._query_peers()
            await self._wait_for_next_round()

    def _lacks_a_data_centre(self) -> bool:
        """Whether a member that may become or remain a voter is unplaced."""
        if not self._options.data_centre:
            return False
        others = set(self._state.members.replica_ids) - {self._state.replica_id}
        return not others <= set(self.hello_records.data_centres)

    async def _wait_for_next_round(self) -> None:
        """Waits half an election time, or until this replica retires."""
        with anyio.move_on_after(self._options.election_seconds / 2):
            await self._retirement_began.wait()
            self._retirement_began = anyio.Event()

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
            self._state.group,
            self._state.replica_id,
            self._state.configured,
            self._is_retiring,
            data_centre=self._options.data_centre,
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
            self.hello_records.record_reply(reply)
            replies.append(reply)
