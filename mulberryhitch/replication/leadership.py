"""The work of a leader in one term: proposals, replication and its lease.

The leader's authority is a lease, see :mod:`.lease`.
"""

from enum import Enum
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.errors import (
    ConflictError,
    DiskFullError,
    LostAuthorityError,
    MulberryhitchError,
    NotLeaderError,
    OutcomeUnknownError,
)
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.lease import Lease
from mulberryhitch.replication.log_sender import LogSender
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.progress import Progress
from mulberryhitch.replication.proposals import Proposal, ProposalQueue
from mulberryhitch.replication.state import NOOP_KIND, ReplicaState
from mulberryhitch.rpc.messages import LogEntry


class EndReason(str, Enum):  # noqa: WPS600
    """Why a leadership ended."""

    newer_term = 'newer_term'
    no_contact = 'no_contact'
    handed_over = 'handed_over'
    disk_full = 'disk_full'
    removed = 'removed'
    stopped = 'stopped'


class Leadership:
    """The leader role of a replica in one term.

    Args:
        state: The replica's state.
        transport: Carries calls to the other replicas.
        options: Timing and size settings.
        election_seconds: The election time with which the term begins.

    Attributes:
        started_at: When the leadership began, in seconds.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
        election_seconds: float,
    ) -> None:
        """Initialises the leadership for the current term, without peers."""
        self.term = state.term
        self.end_reason = EndReason.stopped
        self._state = state
        self._options = options
        self._peers: dict[str, Progress] = {}
        self._lease = Lease(state, options, self._peers, election_seconds)
        self._sender = LogSender(
            state,
            transport,
            options,
            self._lease,
            on_match=self._advance_commit_index,
            on_newer_term=self._end_for_newer_term,
        )
        self._queue = ProposalQueue(state.storage, options)
        self._pending: dict[int, Proposal] = {}
        self._ended = anyio.Event()
        self._ready = anyio.Event()
        self.disk_full = anyio.Event()
        self._tasks: TaskGroup | None = None
        self.started_at = self._options.now()
        self._write_began_at: float | None = None
        self._transferring = False

    @property
    def authority_expires_at(self) -> float:
        """Returns when the lease expires, in seconds of the local clock."""
        if self._transferring or self.ended:
            return 0
        return self._lease.expires_at

    @property
    def election_seconds(self) -> float:
        """Returns the term's present election time, in seconds."""
        return self._lease.election_seconds

    @property
    def needed_election_seconds(self) -> float:
        """Returns the election time that the present answers need."""
        return self._lease.needed_election_seconds

    @property
    def in_contact_since(self) -> float:
        """Returns since when others answer, in seconds of local time."""
        return max(self.started_at, self._lease.regained_at)

    @property
    def has_authority(self) -> bool:
        """Whether the lease is valid now."""
        return self._options.now() < self.authority_expires_at

    @property
    def ended(self) -> bool:
        """Whether it has stepped down."""
        return self._ended.is_set()

    @property
    def ready(self) -> bool:
        """Whether an entry of this term is committed."""
        return self._ready.is_set()

    async def wait_ready(self) -> None:
        """Waits until an entry of this term is committed."""
        await self._ready.wait()

    @property
    def peers(self) -> dict[str, Progress]:
        """Returns each peer's replication progress, by replica id."""
        return self._peers

    @property
    def disk_stalled(self) -> bool:
        """Whether its own disk has held up a write for too long.

        A leader with authority has heard from a majority since, so the disks
        of enough others answer.
        """
        if self._write_began_at is None or not self.ready:
            return False
        waited = self._options.now() - self._write_began_at
        is_late = waited > self._options.disk_timeout_seconds
        is_alone = len(self._state.members.voters) == 1
        return is_late and self.has_authority and not is_alone

    @property
    def has_successor_with_room(self) -> bool:
        """Whether another voter's disk is not known to refuse entries."""
        return any(not peer.is_room_short for peer in self._other_voters())

    def synced_indexes(self) -> dict[str, int]:
        """Returns the last index that each member is known to have synced."""
        peers = {name: peer.match_index for name, peer in self._peers.items()}
        return {self._state.replica_id: self._state.synced_index, **peers}

    def silent_seconds(self) -> dict[str, float]:
        """Returns the time since each peer last answered, in seconds."""
        now = self._options.now()
        return {
            name: round(now - max(peer.last_contact, peer.added_at), 3)
            for name, peer in self._peers.items()
        }

    async def run(self) -> None:
        """Runs the leader role until :meth:`step_down`.

        Raises:
            StorageError: The disk failed to sync; the replica must stop.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                self._queue.add_first(Proposal(NOOP_KIND, b''))
                self._update_peers(self.started_at)
                tasks.start_soon(self._write_proposals)
                tasks.start_soon(self._check_quorum)
                await self._ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            self.step_down(EndReason.stopped)

    def step_down(self, reason: EndReason) -> None:
        """Ends the leadership and all proposals that are open."""
        if not self.ended:
            self.end_reason = reason
        self._ended.set()
        self._fail_pending()

    async def propose(self, kind: str, body: bytes) -> Any:
        """Commits an entry and returns the state machine's result.

        Raises:
            NotLeaderError: The leadership ended or is being transferred;
                nothing was written.
            TooLargeError: The entry is too large for the log; nothing was
                written.
            OverloadedError: The queue or the log is full; nothing was written.
            StorageError: The disk is full; nothing was written.
            OutcomeUnknownError: The leadership ended before the outcome was
                known; the entry may be committed.
        """
        if self.ended or self._transferring:
            raise NotLeaderError('no longer the leader')
        proposal = Proposal(kind, body)
        self._queue.add(proposal)
        return await proposal.wait()

    async def change_members(self, members: Members) -> None:
        """Commits a membership change.

        Raises:
            ConflictError: The previous change, or the term's first entry, is
                not yet committed.
            MulberryhitchError: The proposal failed; see :meth:`propose`.
        """
        if not self._state.members_committed or not self.ready:
            raise ConflictError(
                'a membership change or the first entry of the term is not '
                'committed yet'
            )
        await self.propose(MEMBERS_KIND, members.encode())

    async def confirm_authority(self) -> None:
        """Waits until a majority has confirmed this leader.

        Raises:
            LostAuthorityError: It has not within one election time.
        """
        with anyio.move_on_after(self.election_seconds):
            await self._ready.wait()
            while not self.has_authority:
                if self.ended:
                    break
                await anyio.sleep(self._options.heartbeat_seconds)
        if not self.ready or not self.has_authority:
            raise LostAuthorityError('no majority confirmed the leader')

    async def prepare_transfer(self) -> list[str]:
        """Ends this leader's authority and returns the possible successors.

        Waits up to one election time for open proposals. The successors are
        the other voters: first those that answer, of them those whose disks
        have room, of them the most up-to-date.
        """
        self._transferring = True
        with anyio.move_on_after(self.election_seconds):
            while self._pending or self._queue:
                await anyio.sleep(self._options.heartbeat_seconds / 2)
        successors = self._other_voters()
        successors.sort(key=self._eligibility, reverse=True)
        return [peer.replica_id for peer in successors]

    def complete_proposal(
        self, entry: LogEntry, result: Any, failure: Any
    ) -> None:
        """Completes the proposal of an applied entry."""
        if entry.term == self.term:
            self._ready.set()
        self._complete_pending(entry.index, result, failure)

    def _other_voters(self) -> list[Progress]:
        voters = self._state.members.voters
        return [peer for name, peer in self._peers.items() if name in voters]

    def _eligibility(self, peer: Progress) -> tuple[bool, bool, int, str]:
        """Returns the order of possible successors; the highest is first."""
        silent_seconds = self._options.now() - peer.last_contact
        answers = silent_seconds < self.needed_election_seconds / 2
        has_room = not peer.is_room_short
        return answers, has_room, peer.match_index, peer.replica_id

    def _update_peers(self, now: float) -> None:
        target_ids = set(self._state.members.replica_ids) - {
            self._state.replica_id
        }
        for replica_id in set(self._peers) - target_ids:
            self._peers.pop(replica_id).scope.cancel()
        for replica_id in sorted(target_ids - set(self._peers)):
            peer = Progress(replica_id, self._state.last_index + 1, now)
            self._peers[replica_id] = peer
            if self._tasks is not None:
                self._tasks.start_soon(self._sender.run, peer)

    async def _write_proposals(self) -> None:
        while True:
            await self._queue.wait()
            self._write_began_at = self._options.now()
            async with self._state.lock:
                if self._state.term != self.term:
                    self._end_for_newer_term()
                    return
                await self._state.sync()
                await self._write_batch()
            for peer in self._peers.values():
                peer.wake()
            await self._state.sync()
            self._write_began_at = None
            self._advance_commit_index()

    async def _write_batch(self) -> None:
        batch = self._queue.take_batch()
        if not batch:
            return
        entries = [
            LogEntry(
                self._state.last_index + position,
                self.term,
                proposal.kind,
                proposal.body,
            )
            for position, proposal in enumerate(batch, start=1)
        ]
        for entry, proposal in zip(entries, batch, strict=True):
            self._pending[entry.index] = proposal
        try:
            self._state.write(entries)
        except DiskFullError as error:
            # A loss of power must not bring back entries that were rejected.
            await self._state.sync()
            for rejected in entries:
                self._complete_pending(rejected.index, None, error)
            self.disk_full.set()
            if not self.ready:
                self.step_down(EndReason.disk_full)
            return
        if any(entry.kind == MEMBERS_KIND for entry in entries):
            self._update_peers(self._options.now())

    def _complete_pending(
        self, index: int, result: Any, failure: MulberryhitchError | None
    ) -> None:
        proposal = self._pending.pop(index, None)
        if proposal is not None:
            proposal.complete(result, failure)

    def _advance_commit_index(self) -> None:
        members = self._state.members
        matches = [
            self._state.synced_index
            if replica_id == self._state.replica_id
            else self._match_index_of(replica_id)
            for replica_id in members.voters
        ]
        matches.sort(reverse=True)
        index = matches[members.quorum - 1]
        if index <= self._state.commit_index:
            return
        if self._state.term_at(index) != self.term or self.ended:
            return
        self._state.commit(index)
        if not self._options.commit_notify_seconds:
            for peer in self._peers.values():
                peer.wake()
        voters = self._state.members.voters
        if (
            self._state.members_committed
            and self._state.replica_id not in voters
        ):
            self.step_down(EndReason.removed)

    def _match_index_of(self, replica_id: str) -> int:
        peer = self._peers.get(replica_id)
        return peer.match_index if peer else 0

    async def _check_quorum(self) -> None:
        while True:
            await anyio.sleep(self._options.heartbeat_seconds)
            self._lease.adapt()
            last_contact = max(self._lease.last_contact, self.started_at)
            silent_seconds = self._options.now() - last_contact
            if silent_seconds > 2 * self.election_seconds:
                self.step_down(EndReason.no_contact)

    def _end_for_newer_term(self) -> None:
        self.step_down(EndReason.newer_term)

    def _fail_pending(self) -> None:
        self._queue.fail_all(NotLeaderError('no longer the leader'))
        for proposal in self._pending.values():
            proposal.complete(
                None,
                OutcomeUnknownError(
                    f'leadership of term {self.term} ended before the outcome '
                    'was known'
                ),
            )
        self._pending.clear()
