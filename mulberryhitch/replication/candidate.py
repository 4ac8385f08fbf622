"""The election timer of a replica, and its campaigns for the leadership."""

import random

import anyio

from mulberryhitch.errors import DiskFullError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.contact import LeaderContact
from mulberryhitch.replication.election import Election
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leader_overview import LeaderOverview, Obstacle
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.reporting import ReplicationReporter
from mulberryhitch.replication.roles import Roles
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.unanswered_votes import UnansweredVotes
from mulberryhitch.rpc.messages import VoteRequest

_MAX_DOUBLINGS = 8


class Candidate:
    """Campaigns for the leadership when no leader was heard from.

    Args:
        state: The replica's state.
        transport: Carries calls to the voters.
        options: Timing settings.
        contact: When the replica last heard from a leader.
        roles: The replica's roles.
        fail_stop: Stops the replica if its disk fails.
        log: Receives failures of campaigns.
        rng: Randomises the election timeouts.

    Attributes:
        unanswered: Which voters have not answered since a leader was heard.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
        contact: LeaderContact,
        roles: Roles,
        fail_stop: FailStop,
        log: Log,
        rng: random.Random,
    ) -> None:
        """Initialises the candidate; :meth:`run` starts its timer."""
        self._state = state
        self._transport = transport
        self._options = options
        self._contact = contact
        self._roles = roles
        self._fail_stop = fail_stop
        self._log = log
        self._rng = rng
        self._reporter = ReplicationReporter(state, log)
        self.unanswered = UnansweredVotes()
        self._lost_elections = 0
        self._round_trip_seconds = float()
        self._requests_pre_votes = False
        self._gave_way_in_term = -1
        self._gives_way_until = float()
        self._election: Election | None = None
        self._ended_election: Election | None = None
        self._obstacle = Obstacle.none

    @property
    def overview(self) -> LeaderOverview:
        """The leader that the replica knows, or why it knows none."""
        roles = self._roles
        election = self._newest_election()
        if election and election.began_at < roles.leader_heard_at:
            election = None
        return LeaderOverview(
            roles.leads,
            roles.last_leader_id,
            self._leaderless_seconds(),
            election,
            self._obstacle,
        )

    async def run(self) -> None:
        """Campaigns whenever the leader is silent, until cancelled."""
        while True:
            await self._wait_for_silence()
            if self._state.replica_id in self._state.members.voters:
                await self.campaign(None)
            await anyio.sleep(self._pause_seconds())

    async def campaign(self, transferred_term: int | None) -> None:
        """Requests votes, and leads if a majority grants theirs.

        Args:
            transferred_term: The term whose leader requested this campaign,
                if one did.

        Raises:
            StorageError: This replica's disk failed.
        """
        try:
            await self._campaign(transferred_term)
        except DiskFullError as error:
            self._obstacle = Obstacle.disk_full
            self._log.problem('replica.no_campaign', error.problem)

    def give_way(self, request: VoteRequest) -> None:
        """Waits for another candidate, whose pre-vote this replica granted.

        It does so once in a term, as the other may lack a majority. Of two
        that request pre-votes at the same time, one waits for the other.
        """
        state = self._state
        other = (request.last_term, request.last_index, request.candidate)
        own = (state.last_term, state.last_index, state.replica_id)
        if self._requests_pre_votes and other < own:
            return
        if self._gave_way_in_term < self._state.term:
            self._gave_way_in_term = self._state.term
            seconds = self._options.election_seconds
            self._gives_way_until = anyio.current_time() + seconds

    def _leaderless_seconds(self) -> float:
        roles = self._roles
        follows = roles.leader_id and not roles.leads and self._contact.is_live
        if follows or roles.has_lease:
            return 0
        return anyio.current_time() - roles.leader_heard_at

    def _newest_election(self) -> Election | None:
        """Returns the last round, or a present one that voters had time for."""
        election = self._election
        if election is not None:
            elapsed = anyio.current_time() - election.began_at
            if elapsed > self._options.election_seconds / 2:
                return election
        return self._ended_election

    async def _wait_for_silence(self) -> None:
        """Waits until no leader was heard from for a random time."""
        if self._roles.leader_id:
            self._lost_elections = 0
        margin = self._options.election_seconds * self._rng.random()
        while True:
            remaining = self._contact.remaining_seconds + margin
            remaining = max(remaining, self._gives_way_seconds())
            if remaining <= 0 and not self._roles.leads:
                return
            await anyio.sleep(max(remaining, self._options.heartbeat_seconds))

    def _gives_way_seconds(self) -> float:
        return self._gives_way_until - anyio.current_time()

    def _pause_seconds(self) -> float:
        """Returns a random pause, longer after each election that was lost."""
        if not self._lost_elections:
            quarter = self._options.election_seconds / 4
            return quarter * (1 + self._rng.random())
        factor = 2.0 ** min(self._lost_elections, _MAX_DOUBLINGS)
        longest = 2 * self._round_trip_seconds * factor
        longest = max(longest, self._options.election_seconds)
        longest = min(longest, self._options.max_election_seconds)
        return longest * self._rng.random()

    async def _campaign(self, transferred_term: int | None) -> None:
        transfer = transferred_term is not None
        if self._roles.leads:
            return
        self.unanswered.forget_before(self._roles.leader_heard_at)
        term = (transferred_term or self._state.term) + 1
        if not transfer and not await self._request_votes(
            term, pre_vote=True, transfer=False
        ):
            return
        self._obstacle = Obstacle.state_in_use
        async with self._state.lock:
            self._obstacle = self._present_obstacle(term - 1, transfer=transfer)
            if self._obstacle:
                return
            await self._vote_for_itself(term)
        won = await self._request_votes(term, pre_vote=False, transfer=transfer)
        if won and self._state.term == term and self._roles.is_candidate:
            self._lost_elections = 0
            self._roles.become_leader(self._fitting_election_seconds())
        else:
            self._lost_elections += 1

    async def _vote_for_itself(self, term: int) -> None:
        self._obstacle = Obstacle.disk_silent
        with self._fail_stop:
            await self._state.save_term(term, self._state.replica_id)
        self._obstacle = Obstacle.none
        self._roles.become_candidate()

    def _present_obstacle(self, term: int, *, transfer: bool) -> Obstacle:
        if self._roles.leads or self._state.term != term:
            return Obstacle.newer_term
        if not transfer and self._contact.is_live:
            return Obstacle.leader_found
        if not transfer and self._gives_way_seconds() > 0:
            return Obstacle.another_candidate
        return Obstacle.none

    def _fitting_election_seconds(self) -> float:
        return self._options.fitting_election_seconds(self._round_trip_seconds)

    async def _request_votes(
        self, term: int, *, pre_vote: bool, transfer: bool
    ) -> bool:
        request = VoteRequest(
            self._state.group,
            '',
            term,
            self._state.replica_id,
            self._state.last_index,
            self._state.last_term,
            pre_vote,
            transfer,
            self._fitting_election_seconds(),
        )
        election = Election(
            self._state,
            self._transport,
            self._options,
            request,
            self.unanswered,
            lambda: self._is_over(term, pre_vote=pre_vote, transfer=transfer),
        )
        self._requests_pre_votes = pre_vote
        self._election = election
        result = await election.run()
        self._requests_pre_votes = False
        self._election = None
        self._ended_election = election
        self._round_trip_seconds = result.round_trip_seconds
        if not result.won:
            self._reporter.report_failed_election(
                term, result, pre_vote=pre_vote
            )
        if not result.won and result.highest_term > self._state.term:
            async with self._state.lock:
                with self._fail_stop:
                    await self._roles.enter_term(result.highest_term)
        return result.won

    def _is_over(self, term: int, *, pre_vote: bool, transfer: bool) -> bool:
        """Whether the replica has found a leader, or another term."""
        if self._contact.is_live and not transfer:
            return True
        if pre_vote and self._gives_way_seconds() > 0:
            return True
        return self._state.term != term - int(pre_vote)
