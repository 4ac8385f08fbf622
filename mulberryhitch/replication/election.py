"""Requests votes from all voters of a group in parallel."""

from dataclasses import dataclass, replace

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import VoteReply, VoteRequest


@dataclass(frozen=True, slots=True)
class ElectionResult:
    """Whether a majority granted its vote, and the highest term seen."""

    won: bool
    highest_term: int


class Election:
    """One round of vote requests, or of pre-vote requests.

    Args:
        state: The candidate's state.
        transport: Carries calls to the voters.
        options: Timing settings.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
    ) -> None:
        """Initialises the round with the candidate's own vote."""
        self._state = state
        self._transport = transport
        self._options = options
        self._members = state.members
        self._granted = {state.replica_id}
        self._highest_term = state.term

    async def run(
        self, term: int, *, pre_vote: bool, transfer: bool
    ) -> ElectionResult:
        """Requests all votes and returns once a majority has granted theirs.

        Returns after ``election_seconds`` at the latest.
        """
        request = VoteRequest(
            self._state.group,
            '',
            term,
            self._state.replica_id,
            self._state.last_index,
            self._state.last_term,
            pre_vote,
            transfer,
        )
        with anyio.move_on_after(self._options.election_seconds):
            async with anyio.create_task_group() as tasks:
                self._request_votes(request, tasks)
        won = self._members.has_quorum(self._granted)
        return ElectionResult(won, self._highest_term)

    def _request_votes(self, request: VoteRequest, tasks: TaskGroup) -> None:
        for voter in self._members.voters:
            if voter != self._state.replica_id:
                voter_request = replace(request, target=voter)
                tasks.start_soon(self._request_vote, voter_request, tasks)
        if self._members.has_quorum(self._granted):
            tasks.cancel_scope.cancel()

    async def _request_vote(
        self, request: VoteRequest, tasks: TaskGroup
    ) -> None:
        try:
            reply = await self._transport.call(
                vm_of(request.target),
                'vote',
                request,
                self._options.election_seconds,
            )
        except MulberryhitchError:
            return
        if not isinstance(reply, VoteReply):
            return
        if reply.granted:
            self._granted.add(request.target)
        else:
            self._highest_term = max(self._highest_term, reply.term)
        if self._members.has_quorum(self._granted):
            tasks.cancel_scope.cancel()
