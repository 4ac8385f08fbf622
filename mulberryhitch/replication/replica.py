"""A replica of a group, as follower, candidate or leader."""

import random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import (
    ConflictError,
    LostAuthorityError,
    StorageError,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.bootstrap import Bootstrap
from mulberryhitch.replication.candidate import Candidate
from mulberryhitch.replication.contact import LeaderContact
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.follower import Follower
from mulberryhitch.replication.handover import Handover
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leader_overview import LeaderOverview
from mulberryhitch.replication.leader_tasks import LeaderTasks
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.reporting import ReplicationReporter
from mulberryhitch.replication.roles import Role, Roles
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.upkeep import StorageUpkeep
from mulberryhitch.replication.voter import Voter
from mulberryhitch.rpc.messages import (
    AppendReply,
    AppendRequest,
    HelloReply,
    HelloRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
    TakeOverReply,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)

_STATUS_INTERVAL_SECONDS = 1.0


class Replica:
    """A replica of a replicated log.

    Args:
        state: The loaded state.
        transport: Carries calls to the other replicas.
        initial_vms: The VMs whose replicas bootstrap the group.
        options: Timing and size settings.
        log: Receives events such as leadership changes.
        rng: Randomises the election timeouts.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        initial_vms: tuple[str, ...],
        options: ReplicationOptions,
        log: Log,
        rng: random.Random,
    ) -> None:
        """Initialises the replica as a follower; :meth:`run` starts it."""
        self._state = state
        self._transport = transport
        self._options = options
        self._log = log
        self._roles = Roles(state, self._begin_leadership)
        self._contact = LeaderContact(state, options)
        self._fatal_error: StorageError | None = None
        self._failed = anyio.Event()
        self._follower = Follower(state, options)
        self._fail_stop = FailStop(self._record_fatal_error)
        self._reporter = ReplicationReporter(state, log)
        self._upkeep = StorageUpkeep(state, options, self._fail_stop, log)
        self._handover = Handover(state, transport, log)
        self._candidate = Candidate(
            state,
            transport,
            options,
            self._contact,
            self._roles,
            self._fail_stop,
            log,
            rng,
        )
        self._voter = Voter(
            state,
            self._contact,
            self._roles,
            self._fail_stop,
            self._reporter,
            self._candidate.give_way,
        )
        self._tasks: TaskGroup | None = None
        self._retiring = False
        self._bootstrap = Bootstrap(state, transport, initial_vms, options)
        self._leader_tasks = LeaderTasks(
            state,
            transport,
            options,
            self._bootstrap.hello_records,
            self._candidate.unanswered,
            options.target_voters or len(initial_vms),
            log,
            self.transfer_leadership,
        )
        state.set_applied_callback(self._complete_proposal)

    @property
    def group(self) -> str:
        """Returns the group's name."""
        return self._state.group

    @property
    def replica_id(self) -> str:
        """Returns this replica's id."""
        return self._state.replica_id

    @property
    def role(self) -> Role:
        """Returns the current role."""
        return self._roles.role

    @property
    def term(self) -> int:
        """Returns the highest known term."""
        return self._state.term

    @property
    def leader_id(self) -> str:
        """Returns the id of the current leader, or an empty string."""
        return self._roles.leader_id

    @property
    def overview(self) -> LeaderOverview:
        """Returns which leader this replica knows, or why it knows none."""
        return self._candidate.overview

    @property
    def members(self) -> Members:
        """Returns the latest members in the log, committed or not."""
        return self._state.members

    @property
    def state(self) -> ReplicaState:
        """Returns the state; callers must not change it."""
        return self._state

    @property
    def has_authority(self) -> bool:
        """Whether this replica leads, is ready and has a valid lease.

        It is ready once an entry of its own term is committed.
        """
        leadership = self._roles.leadership
        return (
            leadership is not None
            and leadership.ready
            and leadership.has_authority
        )

    def require_authority(self) -> None:
        """Checks that this replica may act as the leader.

        Raises:
            LostAuthorityError: The replica does not lead, or its lease has
                expired.
        """
        if not self.has_authority:
            raise LostAuthorityError(
                'no valid leader lease', where=self._state.group
            )

    async def run(self) -> None:
        """Participates in the group until cancelled.

        Raises:
            StorageError: The disk failed; the process must stop.
        """
        self._contact.start()
        self._roles.start()
        self._reporter.report_loaded()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._candidate.run)
            tasks.start_soon(self._bootstrap.run, self._is_detached)
            self._upkeep.start(tasks)
            await self._failed.wait()
            tasks.cancel_scope.cancel()
        if self._fatal_error is not None:
            raise self._fatal_error

    def replicas_with(self, index: int) -> list[str]:
        """Returns the members that are known to have synced an entry.

        Empty if this replica does not lead.
        """
        if self._roles.leadership is None:
            return []
        synced = self._roles.leadership.synced_indexes()
        return [name for name, last in synced.items() if last >= index]

    async def report_status(self) -> None:
        """Logs each second, while this replica leads, what is synced where.

        Runs until cancelled.
        """
        while True:
            if self._roles.leadership is not None:
                self._reporter.report_status(self._roles.leadership)
            await anyio.sleep(_STATUS_INTERVAL_SECONDS)

    async def propose(self, kind: str, body: bytes) -> Any:
        """Commits an entry and returns the state machine's result.

        Raises:
            NotLeaderError: This replica does not lead; nothing was written.
            OutcomeUnknownError: The entry may or may not be committed.
        """
        return await self._roles.require_leadership().propose(kind, body)

    async def read_barrier(self) -> None:
        """Waits until local reads see all entries committed before the call.

        Raises:
            NotLeaderError: This replica does not lead.
            LostAuthorityError: No majority confirmed the leader.
        """
        await self._roles.require_leadership().confirm_authority()

    async def retire(self) -> None:
        """Transfers leadership, now and whenever this replica leads again.

        From now on the replica declines to take over. To be called before
        the process ends.
        """
        self._retiring = True
        self._bootstrap.retire()
        await self.transfer_leadership()

    async def transfer_leadership(self) -> None:
        """Transfers leadership to another voter if this replica leads."""
        if self._roles.leadership is not None:
            await self._handover.run(self._roles.leadership)

    async def replace_voter(self, old_id: str) -> None:
        """Removes a voter that has failed permanently.

        Raises:
            ConflictError: A change is in progress, or the replica is not a
                member or is the last voter.
            NotLeaderError: This replica does not lead.
        """
        members = self._state.members.without(old_id)
        await self._roles.require_leadership().change_members(members)

    async def hello(self, request: HelloRequest) -> HelloReply:
        """Returns the identity and members, and records the request."""
        self._bootstrap.hello_records.record(request)
        return HelloReply(
            self.replica_id,
            self._state.configured,
            list(self._state.members.voters),
            list(self._state.members.learners),
            self._state.last_index,
            self._options.data_centre,
        )

    async def vote(self, request: VoteRequest) -> VoteReply:
        """Handles a vote or pre-vote request.

        Raises:
            ConflictError: The request is for another replica.
            StorageError: This replica's disk failed.
        """
        self._check_target(request.target)
        return await self._voter.vote(request)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Handles entries or a heartbeat from a leader.

        Raises:
            ConflictError: The request is for another replica.
            StorageError: This replica's disk failed.
        """
        self._check_target(request.target)
        if request.term >= self._state.term:
            self._contact.record(request.election_seconds)
        async with self._state.lock:
            if request.term < self._state.term:
                return AppendReply(self._state.term, False, 0)
            self._contact.begin_lease_epoch(
                request.term, request.lease_epoch, request.election_seconds
            )
            promised_seconds = await self._accept_leader(
                request.term, request.leader, request.election_seconds
            )
            with self._fail_stop:
                reply = await self._follower.append(request, promised_seconds)
            self._contact.record(promised_seconds)
            return reply

    async def install_snapshot(self, request: SnapshotRequest) -> SnapshotReply:
        """Handles a snapshot chunk from a leader.

        Raises:
            ConflictError: The request is for another replica.
            StorageError: This replica's disk failed.
        """
        self._check_target(request.target)
        async with self._state.lock:
            if request.term < self._state.term:
                return SnapshotReply(self._state.term, 0)
            await self._accept_leader(
                request.term, request.leader, self._contact.election_seconds
            )
            with self._fail_stop:
                return await self._follower.receive_chunk(request)

    async def take_over(self, request: TakeOverRequest) -> TakeOverReply:
        """Starts an election immediately at the leader's request.

        Raises:
            ConflictError: The request is for another replica.
            StorageError: This replica's disk failed.
        """
        self._check_target(request.target)
        if (
            request.term != self._state.term
            or self._tasks is None
            or self._retiring
        ):
            return TakeOverReply(accepted=False)
        self._tasks.start_soon(self._candidate.campaign, request.term)
        return TakeOverReply(accepted=True)

    def _begin_leadership(self, election_seconds: float) -> Leadership | None:
        if self._tasks is None:
            return None
        leadership = Leadership(
            self._state, self._transport, self._options, election_seconds
        )
        self._log.event('replica.leads', group=self.group, term=self.term)
        self._tasks.start_soon(self._run_leadership, leadership)
        return leadership

    def _complete_proposal(
        self, entry: LogEntry, result: Any, failure: Any
    ) -> None:
        self._reporter.report_applied(entry)
        if self._roles.leadership is not None:
            self._roles.leadership.complete_proposal(entry, result, failure)

    def _check_target(self, target: str) -> None:
        if self._fatal_error is not None:
            raise self._fatal_error
        if target != self.replica_id:
            raise ConflictError(
                f'request is for replica {target}', where=self.replica_id
            )

    def _record_fatal_error(self, error: StorageError) -> None:
        self._fatal_error = error
        self._failed.set()

    def _is_detached(self) -> bool:
        if self._roles.leads:
            return False
        elapsed = self._contact.silent_seconds
        is_member = self.replica_id in self._state.members.replica_ids
        return not is_member or elapsed > self._options.election_seconds * 4

    async def _accept_leader(
        self, term: int, leader: str, election_seconds: float
    ) -> float:
        """Follows a leader; returns for how long it votes for no other."""
        with self._fail_stop:
            await self._roles.follow(term, leader)
            return await self._contact.promise(election_seconds)

    async def _run_leadership(self, leadership: Leadership) -> None:
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._leader_tasks.run, leadership)
                if self._retiring:
                    tasks.start_soon(self._transfer_when_ready, leadership)
                with self._fail_stop:
                    await leadership.run()
                tasks.cancel_scope.cancel()
        finally:
            self._end_leadership(leadership)

    async def _transfer_when_ready(self, leadership: Leadership) -> None:
        await leadership.wait_ready()
        await self.transfer_leadership()

    def _end_leadership(self, leadership: Leadership) -> None:
        self._contact.record()
        self._roles.end(leadership)
        self._reporter.report_leads_no_more(leadership)
