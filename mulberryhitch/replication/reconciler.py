"""Membership changes by the leader: failed voters are replaced by spares."""

import contextlib

import anyio

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import Members, vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState

_MAX_LAG_ENTRIES = 64


class MembershipReconciler:
    """Makes one membership change at a time to restore a complete group.

    A replica that asked to join becomes a learner. A learner that has caught
    up becomes a voter if the group lacks one. An unreachable voter is removed
    when a new replica on its VM has caught up, or, after ``repair_seconds``,
    when any other learner has.

    Args:
        state: The replica's state.
        leadership: The leadership that commits the changes.
        options: Timing settings.
        join_requests: Ids of replicas that asked to join, with the time of
            their latest request.
        target_voters: Number of voters in a complete group.
        log: Receives each change that is proposed.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        leadership: Leadership,
        options: ReplicationOptions,
        join_requests: dict[str, float],
        target_voters: int,
        log: Log,
    ) -> None:
        """Initialises the reconciler for the current leadership."""
        self._state = state
        self._leadership = leadership
        self._options = options
        self._join_requests = join_requests
        self._target_voters = target_voters
        self._log = log
        self._started_at = self._options.now()

    async def run(self) -> None:
        """Checks and changes the membership until cancelled."""
        while True:
            await anyio.sleep(self._options.reconcile_seconds)
            new_members = self._next_members()
            if new_members is None or not self._leadership.has_authority:
                continue
            self._log.event(
                'members.proposed',
                term=self._leadership.term,
                voters=list(new_members.voters),
                learners=list(new_members.learners),
                silent_seconds=self._leadership.silent_seconds(),
            )
            with contextlib.suppress(MulberryhitchError):
                await self._leadership.change_members(new_members)

    def _next_members(self) -> Members | None:
        members = self._state.members
        if not self._state.members_committed or not self._leadership.ready:
            return None
        caught_up = [
            learner
            for learner in members.learners
            if self._is_caught_up(learner)
        ]
        if caught_up and len(members.voters) < self._target_voters:
            return members.with_voter(caught_up[0])
        failed_voter = self._voter_to_remove(members, caught_up)
        if failed_voter:
            return members.without(failed_voter)
        new_learner = self._next_join_request(members)
        if new_learner:
            return members.with_learner(new_learner)
        return self._without_failed_learner(members)

    def _is_caught_up(self, replica_id: str) -> bool:
        peer = self._leadership.peers.get(replica_id)
        if peer is None or not self._is_alive(replica_id):
            return False
        lag = self._state.last_index - peer.match_index
        return peer.match_index > 0 and lag <= _MAX_LAG_ENTRIES

    def _is_alive(self, replica_id: str) -> bool:
        peer = self._leadership.peers.get(replica_id)
        if peer is None:
            return replica_id == self._state.replica_id
        elapsed = self._options.now() - peer.last_contact
        return elapsed < self._options.election_seconds * 2

    def _voter_to_remove(self, members: Members, caught_up: list[str]) -> str:
        caught_up_vms = {vm_of(learner) for learner in caught_up}
        now = self._options.now()
        for voter in members.voters:
            peer = self._leadership.peers.get(voter)
            if peer is None or self._is_alive(voter):
                continue
            elapsed = now - max(peer.last_contact, self._started_at)
            timed_out = caught_up and elapsed > self._options.repair_seconds
            if vm_of(voter) in caught_up_vms or timed_out:
                return voter
        return ''

    def _next_join_request(self, members: Members) -> str:
        now = anyio.current_time()
        for replica_id, received_at in tuple(self._join_requests.items()):
            expired = now - received_at > self._options.election_seconds * 4
            if expired or replica_id in members.replica_ids:
                self._join_requests.pop(replica_id)
            else:
                return replica_id
        return ''

    def _without_failed_learner(self, members: Members) -> Members | None:
        now = self._options.now()
        for learner in members.learners:
            peer = self._leadership.peers.get(learner)
            if peer is None:
                continue
            elapsed = now - max(peer.last_contact, self._started_at)
            if elapsed > self._options.repair_seconds:
                return members.without(learner)
        return None
