"""A leader's view of how far one peer's log is replicated."""

import anyio


class Progress:
    """Replication progress of one peer.

    Args:
        replica_id: The peer's id.
        next_index: The index of the first entry to send.

    Attributes:
        last_contact: When the last request that got a reply was sent, in
            seconds.
        unreachable: Whether the last call failed; the peer is then
            contacted only once per heartbeat.
        probing: Whether the index up to which the logs match is unknown; the
            peer is then sent one append at a time.
        scope: Cancels the peer's replication task.
    """

    def __init__(self, replica_id: str, next_index: int) -> None:
        """Initialises the peer in the probing state."""
        self.replica_id = replica_id
        self.next_index = next_index
        self.match_index = 0
        self.last_contact = float()
        self.in_flight = 0
        self.probing = True
        self.sent_commit_index = 0
        self.last_sent = float()
        self.unreachable = False
        self.scope = anyio.CancelScope()
        self._woken = anyio.Event()

    def may_send(self, window: int) -> bool:
        """Whether another append may be sent now."""
        limit = 1 if self.probing else window
        return self.in_flight < limit

    def record_sent(self, entry_count: int, commit_index: int) -> None:
        """Records that an append is in flight."""
        self.in_flight += 1
        self.last_sent = anyio.current_time()
        self.sent_commit_index = commit_index
        if not self.probing:
            self.next_index += entry_count

    def record_match(self, index: int) -> None:
        """Records that the peer's log matches up to an index."""
        self.unreachable = False
        self.match_index = max(self.match_index, index)
        if self.probing:
            self.probing = False
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_rejection(self, hint: int) -> None:
        """Moves back to where the logs may match and probes from there."""
        self.unreachable = False
        self.probing = True
        hinted_index = min(hint + 1, self.next_index)
        self.next_index = max(self.match_index + 1, hinted_index)

    def record_failure(self) -> None:
        """Records a failed call; entries not known to match are resent."""
        self.probing = True
        self.unreachable = True
        self.next_index = self.match_index + 1
        self.sent_commit_index = 0

    def wake(self) -> None:
        """Wakes the peer's replication task."""
        self._woken.set()

    async def wait_until_woken(self) -> None:
        """Waits for :meth:`wake`."""
        await self._woken.wait()
        self._woken = anyio.Event()
