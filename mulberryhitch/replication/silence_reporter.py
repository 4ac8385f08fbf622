"""Tells the members of a group which of them don't answer the leader.

A voter that is silent is replaced after a time, which would begin anew with
each change of the leader.
"""

from collections.abc import Callable
from contextlib import suppress

import anyio

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import HelloRequest


class SilenceReporter:
    """Sends the leader's list of silent members to all others.

    Args:
        state: The leader's state.
        transport: Carries calls to the other replicas.
        options: Timing settings.
        silent_members: Returns the silent members, and for how many seconds.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
        silent_members: Callable[[], dict[str, float]],
    ) -> None:
        """Initialises the reporter; :meth:`run` starts it."""
        self._state = state
        self._transport = transport
        self._options = options
        self._silent_members = silent_members

    async def run(self) -> None:
        """Reports silent members at each membership check until cancelled."""
        while True:
            await anyio.sleep(self._options.reconcile_seconds)
            await self._report()

    async def _report(self) -> None:
        silent = self._silent_members()
        if not silent:
            return
        request = HelloRequest(
            self._state.group,
            self._state.replica_id,
            configured=True,
            silent_ids=list(silent),
            silent_seconds=list(silent.values()),
            data_centre=self._options.data_centre,
        )
        not_called = {self._state.replica_id, *silent}
        async with anyio.create_task_group() as tasks:
            for replica_id in self._state.members.replica_ids:
                if replica_id not in not_called:
                    tasks.start_soon(self._send, vm_of(replica_id), request)

    async def _send(self, vm: str, request: HelloRequest) -> None:
        with suppress(MulberryhitchError):
            await self._transport.call(
                vm, 'hello', request, self._options.election_seconds
            )
