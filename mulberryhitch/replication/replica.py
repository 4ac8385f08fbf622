"""A replica of a group, as follower, candidate or leader."""

import random
from enum import Enum
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import (
    ConflictError,
    DiskFullError,
    InvariantError,
    LostAuthorityError,
    NotLeaderError,
    StorageError,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.bootstrap import Bootstrap
from mulberryhitch.replication.compaction import Compaction
from mulberryhitch.replication.disk_watch import DiskWatch
from mulberryhitch.replication.election import Election
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.follower import Follower
from mulberryhitch.replication.handover import Handover
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.reconciler import MembershipReconciler
from mulberryhitch.replication.reporting import ReplicationReporter
from mulberryhitch.replication.state import ReplicaState
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


class Role(str, Enum):  # noqa: WPS600
    """The current role of a replica."""

    follower = 'follower'
    candidate = 'candidate'
    leader = 'leader'


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
        self._rng = rng
        self._role = Role.follower
        self._leader_id = ''
        self._leadership: Leadership | None = None
        self._last_contact = float()
        self._fatal_error: StorageError | None = None
        self._failed = anyio.Event()
        self._follower = Follower(state)
        self._fail_stop = FailStop(self._record_fatal_error)
        self._reporter = ReplicationReporter(state, log)
        self._compaction = Compaction(state, options, self._fail_stop, log)
        self._handover = Handover(state, transport, options, log)
        self._tasks: TaskGroup | None = None
        self._retiring = False
        self._target_voters = options.target_voters or len(initial_vms)
        self._bootstrap = Bootstrap(state, transport, initial_vms, options)
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
        return self._role

    @property
    def term(self) -> int:
        """Returns the highest known term."""
        return self._state.term

    @property
    def leader_id(self) -> str:
        """Returns the id of the current leader, or an empty string."""
        return self._leader_id

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
        leadership = self._leadership
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
        self._last_contact = anyio.current_time()
        self._reporter.report_loaded()
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_election_timer)
            tasks.start_soon(self._bootstrap.run, self._is_detached)
            tasks.start_soon(self._compaction.run)
            await self._failed.wait()
            tasks.cancel_scope.cancel()
        if self._fatal_error is not None:
            raise self._fatal_error

    def replicas_with(self, index: int) -> list[str]:
        """Returns the members that are known to have synced an entry.

        Empty if this replica does not lead.
        """
        if self._leadership is None:
            return []
        synced = self._leadership.synced_indexes()
        return [name for name, last in synced.items() if last >= index]

    async def report_status(self) -> None:
        """Logs each second, while this replica leads, what is synced where.

        Runs until cancelled.
        """
        while True:
            if self._leadership is not None:
                self._reporter.report_status(self._leadership)
            await anyio.sleep(_STATUS_INTERVAL_SECONDS)

    async def propose(self, kind: str, body: bytes) -> Any:
        """Commits an entry and returns the state machine's result.

        Raises:
            NotLeaderError: This replica does not lead; nothing was written.
            OutcomeUnknownError: The entry may or may not be committed.
        """
        return await self._require_leadership().propose(kind, body)

    async def read_barrier(self) -> None:
        """Waits until local reads see all entries committed before the call.

        Raises:
            NotLeaderError: This replica does not lead.
            LostAuthorityError: No majority confirmed the leader.
        """
        await self._require_leadership().confirm_authority()

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
        if self._leadership is not None:
            await self._handover.run(self._leadership)

    async def replace_voter(self, old_id: str) -> None:
        """Removes a voter that has failed permanently.

        Raises:
            ConflictError: A change is in progress, or the replica is not a
                member or is the last voter.
            NotLeaderError: This replica does not lead.
        """
        members = self._state.members.without(old_id)
        await self._require_leadership().change_members(members)

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
        if not self._state.configured or self._has_live_leader(request):
            return VoteReply(self._state.term, granted=False)
        if request.pre_vote:
            return VoteReply(self._state.term, self._would_vote(request))
        async with self._state.lock:
            return await self._vote_locked(request)

    async def append(self, request: AppendRequest) -> AppendReply:
        """Handles entries or a heartbeat from a leader.

        Raises:
            ConflictError: The request is for another replica.
            StorageError: This replica's disk failed.
        """
        self._check_target(request.target)
        async with self._state.lock:
            if request.term < self._state.term:
                return AppendReply(self._state.term, False, 0)
            await self._accept_leader(request.term, request.leader)
            with self._fail_stop:
                return await self._follower.append(request)

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
            await self._accept_leader(request.term, request.leader)
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
        self._tasks.start_soon(self._try_campaign, True)
        return TakeOverReply(accepted=True)

    def _require_leadership(self) -> Leadership:
        if self._leadership is None:
            raise NotLeaderError(
                f'{self.replica_id} does not lead {self.group}',
                where=self._leader_id,
            )
        return self._leadership

    def _complete_proposal(
        self, entry: LogEntry, result: Any, failure: Any
    ) -> None:
        self._reporter.report_applied(entry)
        if self._leadership is not None:
            self._leadership.complete_proposal(entry, result, failure)

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

    def _has_live_leader(self, request: VoteRequest) -> bool:
        if request.transfer:
            return False
        if self._leadership is not None and self._leadership.has_authority:
            return True
        elapsed = anyio.current_time() - self._last_contact
        return elapsed < self._options.election_seconds

    def _is_detached(self) -> bool:
        elapsed = anyio.current_time() - self._last_contact
        is_member = self.replica_id in self._state.members.replica_ids
        return not is_member or elapsed > self._options.election_seconds * 4

    def _would_vote(self, request: VoteRequest) -> bool:
        higher_term = request.term > self._state.term
        return higher_term and self._state.is_not_newer_than(
            request.last_term, request.last_index
        )

    async def _vote_locked(self, request: VoteRequest) -> VoteReply:
        if request.term < self._state.term:
            return VoteReply(self._state.term, granted=False)
        with self._fail_stop:
            await self._enter_term(request.term)
            up_to_date = self._state.is_not_newer_than(
                request.last_term, request.last_index
            )
            if not up_to_date or self._state.voted_for not in {
                '',
                request.candidate,
            }:
                return VoteReply(self._state.term, granted=False)
            await self._state.save_term(request.term, request.candidate)
        self._reporter.report_vote(request.candidate)
        self._last_contact = anyio.current_time()
        return VoteReply(self._state.term, granted=True)

    async def _enter_term(self, term: int) -> None:
        if term <= self._state.term:
            return
        self._become_follower()
        self._leader_id = ''
        await self._state.save_term(term, '')

    async def _accept_leader(self, term: int, leader: str) -> None:
        with self._fail_stop:
            await self._enter_term(term)
        if self._leadership is not None:
            raise InvariantError(
                f'two leaders in term {term}: {self.replica_id} and {leader}'
            )
        if self._leader_id not in {'', leader}:
            raise InvariantError(
                f'two leaders in term {term}: {self._leader_id} and {leader}'
            )
        self._role = Role.follower
        self._leader_id = leader
        self._last_contact = anyio.current_time()

    def _become_follower(self) -> None:
        self._role = Role.follower
        if self._leadership is not None:
            self._leadership.step_down()
            self._leadership = None

    async def _run_election_timer(self) -> None:
        while True:
            timeout = self._options.election_seconds
            timeout *= 1 + self._rng.random()
            elapsed = anyio.current_time() - self._last_contact
            if self._leadership is not None or elapsed < timeout:
                await anyio.sleep(max(timeout - elapsed, timeout / 4))
            elif self.replica_id in self._state.members.voters:
                await self._try_campaign(transfer=False)
                await anyio.sleep(timeout / 4)
            else:
                await anyio.sleep(timeout)

    async def _try_campaign(self, transfer: bool) -> None:
        try:
            await self._campaign(transfer)
        except DiskFullError as error:
            self._log.problem('replica.no_campaign', error.problem)

    async def _campaign(self, transfer: bool) -> None:
        if self._leadership is not None:
            return
        if not transfer and not await self._request_votes(
            self._state.term + 1, pre_vote=True, transfer=False
        ):
            return
        async with self._state.lock:
            if self._leadership is not None:
                return
            with self._fail_stop:
                term = self._state.term + 1
                await self._state.save_term(term, self.replica_id)
            self._role = Role.candidate
            self._leader_id = ''
        won = await self._request_votes(term, pre_vote=False, transfer=transfer)
        if won and self._state.term == term and self._role is Role.candidate:
            self._become_leader()

    async def _request_votes(
        self, term: int, *, pre_vote: bool, transfer: bool
    ) -> bool:
        election = Election(self._state, self._transport, self._options)
        result = await election.run(term, pre_vote=pre_vote, transfer=transfer)
        if not result.won and result.highest_term > self._state.term:
            async with self._state.lock:
                with self._fail_stop:
                    await self._enter_term(result.highest_term)
        return result.won

    def _become_leader(self) -> None:
        if self._tasks is None:
            return
        self._role = Role.leader
        self._leader_id = self.replica_id
        leadership = Leadership(self._state, self._transport, self._options)
        self._leadership = leadership
        self._log.event('replica.leads', group=self.group, term=self.term)
        self._tasks.start_soon(self._run_leadership, leadership)

    async def _run_leadership(self, leadership: Leadership) -> None:
        reconciler = MembershipReconciler(
            self._state,
            leadership,
            self._options,
            self._transport,
            self._bootstrap.hello_records,
            self._target_voters,
            self._log,
        )
        disk_watch = DiskWatch(
            self.group,
            leadership,
            self._options,
            self._log,
            self.transfer_leadership,
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(reconciler.run)
                tasks.start_soon(disk_watch.run)
                if self._retiring:
                    tasks.start_soon(self._transfer_when_ready, leadership)
                with self._fail_stop:
                    await leadership.run()
                tasks.cancel_scope.cancel()
        finally:
            self._last_contact = anyio.current_time()
            self._clear_leadership(leadership)

    async def _transfer_when_ready(self, leadership: Leadership) -> None:
        await leadership.wait_ready()
        await self.transfer_leadership()

    def _clear_leadership(self, leadership: Leadership) -> None:
        if self._leadership is leadership:
            self._leadership = None
            self._leader_id = ''
            self._role = Role.follower
        self._log.event(
            'replica.leads_no_more', group=self.group, term=leadership.term
        )
