"""Sends a leader's log to its peers, and a snapshot to those far behind."""

from collections.abc import Callable

import anyio
from anyio import lowlevel
from anyio.abc import TaskGroup

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.lease import Lease
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.progress import AppendInFlight, Progress
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    SnapshotReply,
    SnapshotRequest,
)


class LogSender:
    """Replicates a leader's log in the current term.

    Args:
        state: The leader's state.
        transport: Carries calls to the peers.
        options: Timing and size settings.
        lease: The lease, which the answers of the peers extend.
        on_match: Called when a peer has confirmed entries.
        on_newer_term: Called when a reply has a newer term.
    """

    def __init__(
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
        lease: Lease,
        *,
        on_match: Callable[[], None],
        on_newer_term: Callable[[], None],
    ) -> None:
        """Initialises the sender; :meth:`run` starts it for a peer."""
        self._term = state.term
        self._state = state
        self._transport = transport
        self._options = options
        self._lease = lease
        self._on_match = on_match
        self._on_newer_term = on_newer_term

    async def run(self, peer: Progress) -> None:
        """Replicates the log to a peer until the peer's scope is cancelled."""
        with peer.scope:
            async with anyio.create_task_group() as send_tasks:
                while True:
                    delay = self._seconds_until_send(peer)
                    if delay > 0:
                        with anyio.move_on_after(delay):
                            await peer.wait_until_woken()
                    else:
                        await self._send_next(peer, send_tasks)
                        await lowlevel.checkpoint()

    def _seconds_until_send(self, peer: Progress) -> float:
        interval = self._options.heartbeat_seconds
        answer_seconds = peer.resend_seconds(
            self._lease.election_seconds, interval * 2
        )
        if not peer.may_send(self._options.window, answer_seconds):
            return interval
        has_unsent_entries = peer.next_index <= self._state.last_index
        must_wait = (
            peer.unreachable or peer.is_log_full or peer.receives_snapshot
        )
        if has_unsent_entries and not must_wait and self._may_add(peer):
            return 0
        commit_unsent = peer.sent_commit_index < self._state.commit_index
        if commit_unsent and not peer.unreachable:
            interval = min(self._options.commit_notify_seconds, interval)
        return peer.last_sent + interval - anyio.current_time()

    async def _send_next(self, peer: Progress, send_tasks: TaskGroup) -> None:
        needs_snapshot = self._state.term_at(peer.next_index - 1) is None
        if needs_snapshot and not peer.receives_snapshot:
            peer.receives_snapshot = True
            send_tasks.start_soon(self._send_snapshot, peer)
        # A heartbeat keeps the peer's promise valid beside a snapshot.
        next_index = (
            self._state.last_index + 1
            if peer.receives_snapshot
            else peer.next_index
        )
        previous = next_index - 1
        entries = self._next_batch(next_index) if self._may_add(peer) else []
        request = AppendRequest(
            self._state.group,
            peer.replica_id,
            self._term,
            self._state.replica_id,
            previous,
            self._state.term_at(previous) or 0,
            self._state.commit_index,
            entries,
            self._lease.election_seconds,
            self._lease.epoch,
        )
        append = peer.record_sent(entries, self._state.commit_index)
        send_tasks.start_soon(self._send, peer, request, append)

    def _may_add(self, peer: Progress) -> bool:
        """Whether entries may be added to those in flight to a peer.

        Entries that may only be late are not sent twice over a slow link.
        """
        has_room = peer.in_flight_bytes < self._options.max_in_flight_bytes
        return has_room and not peer.is_probed

    def _next_batch(self, index: int) -> list[LogEntry]:
        """Returns the entries from an index on that one append may carry."""
        limit = self._options.batch_entries
        batch: list[LogEntry] = []
        size = 0
        for entry in self._state.entries_from(index, limit):
            size += len(entry.body)
            if batch and size > self._options.batch_bytes:
                break
            batch.append(entry)
        return batch

    async def _send(
        self, peer: Progress, request: AppendRequest, append: AppendInFlight
    ) -> None:
        sent_at = self._options.now()
        try:
            reply = await self._transport.call(
                vm_of(peer.replica_id),
                'append',
                request,
                self._lease.election_seconds * 2,
            )
        except MulberryhitchError:
            if peer.last_contact < sent_at:
                peer.record_failure()
            return
        finally:
            peer.record_end(append)
        if isinstance(reply, AppendReply):
            self._handle_append_reply(peer, request, reply, sent_at)

    def _handle_append_reply(
        self,
        peer: Progress,
        request: AppendRequest,
        reply: AppendReply,
        sent_at: float,
    ) -> None:
        if reply.term > self._term:
            self._on_newer_term()
            return
        promised = reply.promised_seconds or self._options.election_seconds
        self._lease.record_answer(peer, sent_at, request.lease_epoch, promised)
        peer.record_round_trip(self._options.now() - sent_at)
        peer.record_room(self._options.now(), is_short=reply.is_room_short)
        if reply.success:
            matched = request.previous_index + len(request.entries)
            if reply.last_index < matched:
                peer.record_partial_match(reply.last_index)
            else:
                peer.record_match(matched)
            self._on_match()
        else:
            peer.record_rejection(reply.last_index)
        peer.wake()

    async def _send_snapshot(self, peer: Progress) -> None:
        try:
            await self._send_chunks(peer)
        finally:
            peer.receives_snapshot = False
            peer.wake()

    async def _send_chunks(self, peer: Progress) -> None:
        """Sends the snapshot; a chunk that fails is sent again."""
        snapshot = self._state.snapshot
        offset = 0
        while snapshot is not None:
            end = offset + self._options.chunk_bytes
            done = end >= len(snapshot.state)
            request = SnapshotRequest(
                self._state.group,
                peer.replica_id,
                self._term,
                self._state.replica_id,
                snapshot.last_index,
                snapshot.last_term,
                list(snapshot.members.voters),
                list(snapshot.members.learners),
                snapshot.state[offset:end],
                offset,
                done,
            )
            reply = await self._send_chunk(peer, request)
            if reply is None:
                if self._state.snapshot is not snapshot:
                    return
                await anyio.sleep(self._options.heartbeat_seconds)
                continue
            if reply.term > self._term:
                self._on_newer_term()
                return
            if done and reply.next_offset >= len(snapshot.state):
                peer.record_match(snapshot.last_index)
                return
            offset = reply.next_offset

    async def _send_chunk(
        self, peer: Progress, request: SnapshotRequest
    ) -> SnapshotReply | None:
        """Returns the reply, or ``None`` if the call failed."""
        sent_at = self._options.now()
        try:
            reply = await self._transport.call(
                vm_of(peer.replica_id),
                'install_snapshot',
                request,
                self._options.call_seconds,
            )
        except MulberryhitchError:
            return None
        if not isinstance(reply, SnapshotReply):
            return None
        if reply.term == self._term:
            peer.record_promise(
                sent_at,
                self._options.lease_seconds(self._options.election_seconds),
            )
        return reply
