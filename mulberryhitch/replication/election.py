"""Requests votes from all voters of a group in parallel."""

from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import VoteReply, VoteRequest


@dataclass(slots=True)
class ElectionResult:
    """The answers to one round of vote or pre-vote requests.

    Attributes:
        won: Whether a majority granted its vote.
        highest_term: The highest term seen.
        granted: The voters that granted their votes, with the candidate.
        refused: The other voters that answered, with their term and reason.
        failures: The voters whose call failed, with the error's code.
        seconds: Duration of the round.
    """

    won: bool
    highest_term: int
    granted: set[str]
    refused: dict[str, str] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)
    seconds: float = 0


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
        self._result = ElectionResult(
            won=False, highest_term=state.term, granted={state.replica_id}
        )

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
        began_at = anyio.current_time()
        with anyio.move_on_after(self._options.election_seconds):
            async with anyio.create_task_group() as tasks:
                self._request_votes(request, tasks)
        self._result.seconds = anyio.current_time() - began_at
        self._result.won = self._members.has_quorum(self._result.granted)
        return self._result

    def _request_votes(self, request: VoteRequest, tasks: TaskGroup) -> None:
        for voter in self._members.voters:
            if voter != self._state.replica_id:
                voter_request = replace(request, target=voter)
                tasks.start_soon(self._request_vote, voter_request, tasks)
        if self._members.has_quorum(self._result.granted):
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
        except MulberryhitchError as error:
            self._result.failures[request.target] = error.problem.code
            return
        if isinstance(reply, VoteReply):
            self._record(request.target, reply)
        if self._members.has_quorum(self._result.granted):
            tasks.cancel_scope.cancel()

    def _record(self, voter: str, reply: VoteReply) -> None:
        if reply.granted:
            self._result.granted.add(voter)
            return
        self._result.refused[voter] = f'term {reply.term}: {reply.reason}'
        self._result.highest_term = max(self._result.highest_term, reply.term)
