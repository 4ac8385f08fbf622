"""Hands the leadership of a group over to another voter."""

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leadership import EndReason, Leadership
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import TakeOverReply, TakeOverRequest


class Handover:
    """Asks the other voters, one after another, to take over.

    Args:
        state: The leader's state.
        transport: Carries calls to the voters.
        log: Receives each voter that did not answer.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        log: Log,
    ) -> None:
        """Initialises the handover."""
        self._state = state
        self._transport = transport
        self._log = log

    async def run(self, leadership: Leadership) -> None:
        """Ends a leadership, if possible after a voter agreed to take over."""
        try:
            await self._find_successor(leadership)
        finally:
            leadership.step_down(EndReason.handed_over)

    async def _find_successor(self, leadership: Leadership) -> None:
        for successor in await leadership.prepare_transfer():
            if leadership.ended or await self._takes_over(
                successor, leadership
            ):
                return

    async def _takes_over(self, successor: str, leadership: Leadership) -> bool:
        """Returns whether a voter takes over."""
        request = TakeOverRequest(self._state.group, successor, leadership.term)
        try:
            reply = await self._transport.call(
                vm_of(successor),
                'take_over',
                request,
                leadership.needed_election_seconds,
            )
        except MulberryhitchError as error:
            self._log.problem('replica.hand_over', error.problem)
            return False
        return isinstance(reply, TakeOverReply) and reply.accepted
