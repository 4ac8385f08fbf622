"""Answers the vote and pre-vote requests of candidates."""

from collections.abc import Callable

from mulberryhitch.replication.contact import LeaderContact
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.reporting import ReplicationReporter
from mulberryhitch.replication.roles import Roles
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import VoteReply, VoteRequest


class Voter:
    """Votes for a candidate, or refuses with the reason.

    Args:
        state: The replica's state.
        contact: When the replica last heard from a leader.
        roles: The replica's roles.
        fail_stop: Stops the replica if its disk fails.
        reporter: Logs the votes.
        on_pre_vote: Called with each pre-vote request that is granted.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        contact: LeaderContact,
        roles: Roles,
        fail_stop: FailStop,
        reporter: ReplicationReporter,
        on_pre_vote: Callable[[VoteRequest], None],
    ) -> None:
        """Initialises the voter."""
        self._state = state
        self._contact = contact
        self._roles = roles
        self._fail_stop = fail_stop
        self._reporter = reporter
        self._on_pre_vote = on_pre_vote

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Handles a vote or pre-vote request.

        Raises:
            StorageError: This replica's disk failed.
        """
        if not self._state.configured:
            return self._refusal('not configured')
        if request.pre_vote:
            return self._answer_pre_vote(request)
        async with self._state.lock:
            if self._has_voted_for(request):
                return VoteReply(self._state.term, granted=True)
            return await self._vote_locked(request)

    def _has_voted_for(self, request: VoteRequest) -> bool:
        vote = (self._state.term, self._state.voted_for)
        return vote == (request.term, request.candidate)

    def _has_lost(self, candidate: str, term: int) -> bool:
        """Whether the candidate that got the vote begins another term."""
        return candidate == self._state.voted_for and term > self._state.term

    def _refusal(self, reason: str) -> VoteReply:
        return VoteReply(self._state.term, granted=False, reason=reason)

    def _refusal_for_leader(self, request: VoteRequest) -> VoteReply | None:
        # A promise to a leader is to vote for no other than that leader.
        if request.transfer or request.candidate == self._roles.leader_id:
            return None
        if self._has_lost(request.candidate, request.term):
            self._contact.end_wait_for_candidate()
        if self._roles.has_lease or self._contact.is_live:
            return self._refusal(f'live leader {self._roles.leader_id}')
        return None

    def _answer_pre_vote(self, request: VoteRequest) -> VoteReply:
        refusal = self._refusal_for_leader(request)
        if refusal:
            return refusal
        if request.term <= self._state.term:
            return self._refusal('newer term')
        if not self._is_up_to_date(request):
            return self._refusal('log behind')
        self._on_pre_vote(request)
        return VoteReply(self._state.term, granted=True)

    async def _vote_locked(self, request: VoteRequest) -> VoteReply:
        refusal = self._refusal_for_leader(request)
        if refusal:
            return refusal
        if request.term < self._state.term:
            return self._refusal('newer term')
        if request.term == self._state.term and self._state.voted_for:
            return self._refusal(f'voted for {self._state.voted_for}')
        is_up_to_date = self._is_up_to_date(request)
        voted_for = request.candidate if is_up_to_date else ''
        with self._fail_stop:
            await self._roles.enter_term(request.term, voted_for)
        if not is_up_to_date:
            return self._refusal('log behind')
        self._reporter.report_vote(request.candidate)
        self._contact.record(request.election_seconds)
        return VoteReply(self._state.term, granted=True)

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        return self._state.is_not_newer_than(
            request.last_term, request.last_index
        )
