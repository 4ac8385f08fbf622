"""Requests votes from all voters of a group in parallel."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.unanswered_votes import UnansweredVotes
from mulberryhitch.rpc.messages import VoteReply, VoteRequest

_PATIENCE_ROUND_TRIPS = 3


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
        round_trip_seconds: Within how long a majority answers; of several
            answers of a voter the fastest counts, as a call may have waited
            for a connection, or for a process that had just started.
    """

    won: bool
    highest_term: int
    granted: set[str]
    refused: dict[str, str] = field(default_factory=dict)
    failures: dict[str, str] = field(default_factory=dict)
    seconds: float = 0
    round_trip_seconds: float = 0


class Election:
    """One round of vote requests, or of pre-vote requests.

    A voter that doesn't answer is asked again each half election time, and late
    answers count. So the round needs no time that fits the group's speed.

    Args:
        state: The candidate's state.
        transport: Carries calls to the voters.
        options: Timing settings.
        request: What to request of each voter.
        unanswered: Records the requests and answers.
        is_over: Returns whether the candidate has lost its interest.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
        request: VoteRequest,
        unanswered: UnansweredVotes,
        is_over: Callable[[], bool],
    ) -> None:
        """Initialises the round with the candidate's own vote."""
        self._state = state
        self._transport = transport
        self._options = options
        self._request = request
        self._unanswered = unanswered
        self._is_over = is_over
        self._members = state.members
        self._began_at = float()
        self._fastest_answers: dict[str, float] = {}
        self._result = ElectionResult(
            won=False, highest_term=state.term, granted={state.replica_id}
        )

    @property
    def began_at(self) -> float:
        """When the round began, in seconds."""
        return self._began_at

    @property
    def voters(self) -> tuple[str, ...]:
        """The voters that are asked, with the candidate."""
        return self._members.voters

    @property
    def granted(self) -> frozenset[str]:
        """The voters that granted their votes until now."""
        return frozenset(self._result.granted)

    @property
    def refused(self) -> dict[str, str]:
        """The other voters that answered until now, with their reasons."""
        return dict(self._result.refused)

    async def run(self) -> ElectionResult:
        """Requests all votes and returns once the round is decided.

        It ends undecided if a majority has answered, and the others have had
        some times as long as the slowest of them and at least the election
        time; or after the longest election time.
        """
        self._began_at = anyio.current_time()
        with anyio.move_on_after(self._options.max_election_seconds):
            async with anyio.create_task_group() as tasks:
                for voter in self._members.voters:
                    if voter != self._state.replica_id:
                        tasks.start_soon(self._ask_until_granted, voter, tasks)
                tasks.start_soon(self._watch, tasks)
        self._result.seconds = anyio.current_time() - self._began_at
        self._result.won = self._members.has_quorum(self._result.granted)
        return self._result

    async def _watch(self, tasks: TaskGroup) -> None:
        """Ends the round when it is decided or no longer worth its time."""
        while not self._is_decided and not self._is_over():
            if self._is_patience_over:
                break
            await anyio.sleep(self._options.heartbeat_seconds / 2)
        tasks.cancel_scope.cancel()

    @property
    def _is_decided(self) -> bool:
        """Whether the votes that are not known can't change the result."""
        answered = {*self._result.refused, *self._result.failures}
        possible = set(self._members.voters) - answered
        return self._members.has_quorum(
            self._result.granted
        ) or not self._members.has_quorum(possible | self._result.granted)

    @property
    def _is_patience_over(self) -> bool:
        answered = {*self._result.granted, *self._result.refused}
        patience = max(
            self._options.election_seconds,
            self._slowest_voter_seconds * _PATIENCE_ROUND_TRIPS,
        )
        elapsed = anyio.current_time() - self._began_at
        return self._members.has_quorum(answered) and elapsed >= patience

    @property
    def _slowest_voter_seconds(self) -> float:
        return max(self._fastest_answers.values(), default=0)

    async def _ask_until_granted(self, voter: str, tasks: TaskGroup) -> None:
        while voter not in self._result.granted:
            tasks.start_soon(self._ask, voter, tasks)
            await anyio.sleep(self._options.election_seconds / 2)

    async def _ask(self, voter: str, tasks: TaskGroup) -> None:
        began_at = anyio.current_time()
        self._unanswered.record_request(voter)
        try:
            reply = await self._transport.call(
                vm_of(voter),
                'vote',
                replace(self._request, target=voter),
                self._options.max_election_seconds,
            )
        except MulberryhitchError as error:
            self._result.failures[voter] = error.problem.code
        else:
            if isinstance(reply, VoteReply):
                self._record(voter, reply, anyio.current_time() - began_at)
        if self._is_decided:
            tasks.cancel_scope.cancel()

    def _record(self, voter: str, reply: VoteReply, seconds: float) -> None:
        self._unanswered.record_answer(voter)
        result = self._result
        self._record_round_trip(voter, seconds)
        if reply.granted:
            result.granted.add(voter)
            result.refused.pop(voter, None)
        elif voter not in result.granted:
            result.refused[voter] = f'term {reply.term}: {reply.reason}'
            result.highest_term = max(result.highest_term, reply.term)
        result.failures.pop(voter, None)

    def _record_round_trip(self, voter: str, seconds: float) -> None:
        fastest = self._fastest_answers
        fastest[voter] = min(seconds, fastest.get(voter, seconds))
        needed = sorted(fastest.values())[: self._members.quorum - 1]
        self._result.round_trip_seconds = max(needed, default=0)
