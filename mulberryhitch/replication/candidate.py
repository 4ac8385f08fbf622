"""The election timer of a replica, and its campaigns for the leadership."""

import random

import anyio

from mulberryhitch.errors import DiskFullError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.contact import LeaderContact
from mulberryhitch.replication.election import Election
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.reporting import ReplicationReporter
from mulberryhitch.replication.roles import Roles
from mulberryhitch.replication.state import ReplicaState


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

    async def run(self) -> None:
        """Campaigns whenever the leader is silent, until cancelled."""
        while True:
            timeout = self._options.election_seconds
            timeout *= 1 + self._rng.random()
            elapsed = self._contact.silent_seconds
            if self._roles.leads or elapsed < timeout:
                await anyio.sleep(max(timeout - elapsed, timeout / 4))
            elif self._state.replica_id in self._state.members.voters:
                await self.campaign(None)
                await anyio.sleep(timeout / 4)
            else:
                await anyio.sleep(timeout)

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
            self._log.problem('replica.no_campaign', error.problem)

    async def _campaign(self, transferred_term: int | None) -> None:
        transfer = transferred_term is not None
        if self._roles.leads:
            return
        if not transfer and not await self._request_votes(
            self._state.term + 1, pre_vote=True, transfer=False
        ):
            return
        async with self._state.lock:
            if not self._may_vote_for_itself(transferred_term):
                return
            with self._fail_stop:
                term = self._state.term + 1
                await self._state.save_term(term, self._state.replica_id)
            self._roles.become_candidate()
        won = await self._request_votes(term, pre_vote=False, transfer=transfer)
        if won and self._state.term == term and self._roles.is_candidate:
            self._roles.become_leader()

    def _may_vote_for_itself(self, transferred_term: int | None) -> bool:
        if self._roles.leads:
            return False
        if transferred_term is None:
            return not self._contact.is_live
        return self._state.term == transferred_term

    async def _request_votes(
        self, term: int, *, pre_vote: bool, transfer: bool
    ) -> bool:
        election = Election(self._state, self._transport, self._options)
        result = await election.run(term, pre_vote=pre_vote, transfer=transfer)
        if not result.won:
            self._reporter.report_failed_election(
                term, result, pre_vote=pre_vote
            )
        if not result.won and result.highest_term > self._state.term:
            async with self._state.lock:
                with self._fail_stop:
                    await self._roles.enter_term(result.highest_term)
        return result.won
