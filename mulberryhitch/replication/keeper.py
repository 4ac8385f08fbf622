"""The leader's care for its members: lost voters are replaced by spares."""

import contextlib

import anyio

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import Members, vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState

_CAUGHT_UP_ENTRIES = 64


class MembersKeeper:
    """Makes one change of members at a time, each toward a whole group.

    An applicant becomes a learner. A learner that has caught up becomes a
    voter where a voter is missing. A voter is removed when its VM shows a new
    replica that has caught up, or after a long silence when a spare has.

    Args:
        state: The replica's state.
        leadership: The leader's term.
        options: Timings.
        applicants: Replicas that said hello, with the time of it.
        target_voters: How many voters a whole group has.
    """

    def __init__(
        self,
        state: ReplicaState,
        leadership: Leadership,
        options: ReplicationOptions,
        applicants: dict[str, float],
        target_voters: int,
    ) -> None:
        """Begins with what is known of the applicants."""
        self._state = state
        self._leadership = leadership
        self._options = options
        self._applicants = applicants
        self._target_voters = target_voters
        self._began = self._options.now()

    async def run(self) -> None:
        """Looks after the members until cancelled."""
        while True:
            await anyio.sleep(self._options.keeper_seconds)
            wanted = self._next_members()
            if wanted is None or not self._leadership.has_authority:
                continue
            with contextlib.suppress(MulberryhitchError):
                await self._leadership.change_members(wanted)

    def _next_members(self) -> Members | None:
        members = self._state.members
        if not self._state.members_settled or not self._leadership.ready:
            return None
        ready = [one for one in members.learners if self._caught_up(one)]
        if ready and len(members.voters) < self._target_voters:
            return members.with_voter(ready[0])
        replaced = self._replaced_voter(members, ready)
        if replaced:
            return members.without(replaced)
        applicant = self._applicant(members)
        if applicant:
            return members.with_learner(applicant)
        return self._without_dead_learner(members)

    def _caught_up(self, replica_id: str) -> bool:
        peer = self._leadership.peers.get(replica_id)
        if peer is None or not self._is_alive(replica_id):
            return False
        behind = self._state.last_index - peer.match_index
        return peer.match_index > 0 and behind <= _CAUGHT_UP_ENTRIES

    def _is_alive(self, replica_id: str) -> bool:
        peer = self._leadership.peers.get(replica_id)
        if peer is None:
            return replica_id == self._state.replica_id
        silence = self._options.now() - peer.contact
        return silence < self._options.election_seconds * 2

    def _replaced_voter(self, members: Members, ready: list[str]) -> str:
        ready_vms = {vm_of(one) for one in ready}
        now = self._options.now()
        for voter in members.voters:
            peer = self._leadership.peers.get(voter)
            if peer is None or self._is_alive(voter):
                continue
            silence = now - max(peer.contact, self._began)
            long_gone = ready and silence > self._options.repair_seconds
            if vm_of(voter) in ready_vms or long_gone:
                return voter
        return ''

    def _applicant(self, members: Members) -> str:
        now = anyio.current_time()
        for replica_id, heard in tuple(self._applicants.items()):
            stale = now - heard > self._options.election_seconds * 4
            if stale or replica_id in members.everyone:
                self._applicants.pop(replica_id)
            else:
                return replica_id
        return ''

    def _without_dead_learner(self, members: Members) -> Members | None:
        now = self._options.now()
        for learner in members.learners:
            peer = self._leadership.peers.get(learner)
            if peer is None:
                continue
            silence = now - max(peer.contact, self._began)
            if silence > self._options.repair_seconds:
                return members.without(learner)
        return None
