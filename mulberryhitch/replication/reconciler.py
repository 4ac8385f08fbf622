"""Membership changes by the leader: failed voters are replaced by spares."""

from collections.abc import Iterable, Mapping

import anyio

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.hello_records import HelloRecords
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.member_contact import MemberContact
from mulberryhitch.replication.members import Members, vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.redundancy import (
    CHECK_SECONDS,
    Redundancy,
    RedundancyReporter,
    Repair,
    RepairState,
)
from mulberryhitch.replication.silence_reporter import SilenceReporter
from mulberryhitch.replication.spread import Spread
from mulberryhitch.replication.state import ReplicaState


class MembershipReconciler:
    """Makes one membership change at a time to restore a complete group.

    A replica that asked to join becomes a learner. A learner that has caught
    up becomes a voter if the group lacks one.

    A voter whose disk was lost is removed once the new replica on its VM has
    caught up. A voter that is silent for ``repair_seconds`` may still have its
    disk, so another learner becomes a voter before it is removed: with one
    voter fewer, even for a moment, fewer lost disks would lose the majority
    for good. A voter whose process is about to end is replaced likewise, at
    once.

    Args:
        state: The replica's state.
        leadership: The leadership that commits the changes.
        options: Timing settings.
        transport: Carries reports of silent members.
        hello_records: The replicas that asked to join, or that retire.
        silent_since: Since when members have not answered before this
            leadership.
        target_voters: Number of voters in a complete group.
        log: Receives each change that is proposed.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        leadership: Leadership,
        options: ReplicationOptions,
        transport: Transport,
        hello_records: HelloRecords,
        silent_since: Mapping[str, float],
        target_voters: int,
        log: Log,
    ) -> None:
        """Initialises the reconciler for the current leadership."""
        self._state = state
        self._leadership = leadership
        self._options = options
        self._hello_records = hello_records
        self._contact = MemberContact(state, leadership, options, silent_since)
        self._silence_reporter = SilenceReporter(
            state, transport, options, self._contact.silent_members
        )
        self._target_voters = target_voters
        self._log = log

    async def run(self) -> None:
        """Checks and changes the membership until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch_redundancy)
            tasks.start_soon(self._silence_reporter.run)
            await self._make_changes()

    async def _make_changes(self) -> None:
        while True:
            self._contact.record_log_growth()
            if not await self._make_next_change():
                await anyio.sleep(self._options.reconcile_seconds)

    async def _watch_redundancy(self) -> None:
        reporter = RedundancyReporter(
            self._target_voters, self._log, self._leadership.started_at
        )
        await anyio.sleep(min(self._contact.answer_seconds, CHECK_SECONDS))
        while True:
            members = self._state.members
            silent = self._contact.silent_members()
            redundancy = Redundancy.of(members, set(silent))
            repair = self._repair(members, silent)
            reporter.report(redundancy, repair, self._options.now())
            await anyio.sleep(self._options.reconcile_seconds)

    def _repair(self, members: Members, silent: dict[str, float]) -> Repair:
        synced = self._leadership.synced_indexes()
        last_index = self._state.last_index
        return Repair(
            self._repair_state(members),
            {one: silent[one] for one in members.voters if one in silent},
            self._contact.allowed_seconds,
            {one: last_index - synced.get(one, 0) for one in members.learners},
        )

    def _repair_state(self, members: Members) -> RepairState:
        if not self._leadership.ready:
            return RepairState.not_ready
        if not self._state.members_committed:
            return RepairState.change_open
        if self._next_members() is not None:
            return RepairState.due
        if not members.learners:
            return RepairState.no_learner
        if not any(map(self._contact.is_caught_up, members.learners)):
            return RepairState.learner_behind
        return RepairState.may_return

    async def _make_next_change(self) -> bool:
        """Returns whether a change was necessary and is committed."""
        new_members = self._next_members()
        if new_members is None or not self._leadership.has_authority:
            return False
        self._log.event(
            'members.proposed',
            term=self._leadership.term,
            voters=list(new_members.voters),
            learners=list(new_members.learners),
            silent_seconds=self._leadership.silent_seconds(),
        )
        try:
            await self._leadership.change_members(new_members)
        except MulberryhitchError as error:
            self._log.problem('members.not_changed', error.problem)
            return False
        return True

    def _next_members(self) -> Members | None:
        members = self._state.members
        if not self._state.members_committed or not self._leadership.ready:
            return None
        caught_up = [
            learner
            for learner in members.learners
            if self._contact.is_caught_up(learner)
            and self._contact.has_room(learner)
            and not self._is_retiring(learner)
        ]
        replaced = self._voter_to_remove(members)
        if replaced:
            return members.without(replaced)
        promoted = self._learner_to_promote(members, caught_up)
        if promoted:
            return members.with_voter(promoted)
        new_learner = self._next_join_request(members)
        if new_learner:
            return members.with_learner(new_learner)
        return self._without_failed_learner(members)

    def _voter_to_remove(self, members: Members) -> str:
        """Returns a voter that is superseded or surplus, or an empty string.

        If all voters of a group with a surplus one are alive, it is one of
        the data centre with most voters, the one that lags most.
        """
        unreachable = self._unreachable_voters(members)
        for voter in unreachable:
            if self._is_superseded(voter, members):
                return voter
        if len(members.voters) <= self._target_voters:
            return ''
        leaving = list(filter(self._is_leaving, members.voters))
        removable = leaving or unreachable
        if removable:
            return max(removable, key=self._contact.silent_seconds)
        peers = self._leadership.peers
        spread = self._spread(members.voters)
        return min(
            (voter for voter in members.voters if voter in peers),
            key=lambda voter: (
                -spread.voters_beside(voter),
                peers[voter].match_index,
            ),
        )

    def _learner_to_promote(
        self, members: Members, caught_up: list[str]
    ) -> str:
        """Returns a learner that the group lacks, or that replaces a voter.

        It is the one that spreads the voters best over the data centres.
        """
        if not caught_up or len(members.voters) > self._target_voters:
            return ''
        is_incomplete = len(members.voters) < self._target_voters
        staying = [
            voter for voter in members.voters if not self._is_leaving(voter)
        ]
        spread = self._spread(staying)
        best = min(caught_up, key=spread.voters_beside)
        if is_incomplete or len(staying) < len(members.voters):
            return best
        is_undisturbed = not self._unreachable_voters(members)
        return best if is_undisturbed and spread.improved_by(best) else ''

    def _spread(self, voters: Iterable[str]) -> Spread:
        own = {self._state.replica_id: self._options.data_centre}
        return Spread(voters, self._hello_records.data_centres | own)

    def _unreachable_voters(self, members: Members) -> list[str]:
        return [
            voter
            for voter in members.voters
            if not self._contact.is_alive(voter)
        ]

    def _is_superseded(self, replica_id: str, members: Members) -> bool:
        """Whether another replica on the same VM has caught up."""
        return any(
            vm_of(other) == vm_of(replica_id)
            and self._contact.is_caught_up(other)
            for other in members.replica_ids
            if other != replica_id
        )

    def _is_leaving(self, replica_id: str) -> bool:
        """Whether a replica is silent or full for too long, or about to end."""
        return (
            self._contact.is_timed_out(replica_id)
            or self._contact.is_full_for_long(replica_id)
            or self._is_retiring(replica_id)
        )

    def _is_retiring(self, replica_id: str) -> bool:
        return self._hello_records.is_retiring(replica_id)

    def _next_join_request(self, members: Members) -> str:
        for replica_id in self._hello_records.joining:
            if replica_id not in members.replica_ids:
                return replica_id
        return ''

    def _without_failed_learner(self, members: Members) -> Members | None:
        joining = self._hello_records.joining
        for learner in members.learners:
            if learner not in joining and self._contact.is_timed_out(learner):
                return members.without(learner)
        return None
