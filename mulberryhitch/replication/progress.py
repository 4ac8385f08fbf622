"""How far one peer's log is, as its leader knows."""

import anyio


class Progress:
    """One peer of a leader.

    Args:
        replica_id: The peer's replica id.
        next_index: The index to send first.

    Attributes:
        last_contact: When the last answered append was sent, in seconds.
        unreachable: Whether the last call got no answer; then nothing but
            heartbeats is sent.
        probing: Whether the place where the logs match is still sought;
            then one append at a time is sent.
    """

    def __init__(self, replica_id: str, next_index: int) -> None:
        """Starts by probing."""
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
        """Whether one more append may be on its way."""
        limit = 1 if self.probing else window
        return self.in_flight < limit

    def record_sent(self, entries: int, commit_index: int) -> None:
        """Notes an append on its way."""
        self.in_flight += 1
        self.last_sent = anyio.current_time()
        self.sent_commit_index = commit_index
        if not self.probing:
            self.next_index += entries

    def record_match(self, index: int) -> None:
        """Notes that the peer's log matches up to an index."""
        self.unreachable = False
        self.match_index = max(self.match_index, index)
        if self.probing:
            self.probing = False
            self.next_index = self.match_index + 1
        self.next_index = max(self.next_index, self.match_index + 1)

    def record_rejection(self, hint: int) -> None:
        """Goes back to where the peer's log may match."""
        self.unreachable = False
        self.probing = True
        lower_bound = min(hint + 1, self.next_index)
        self.next_index = max(self.match_index + 1, lower_bound)

    def record_failure(self) -> None:
        """Sends all that is not known to match again."""
        self.probing = True
        self.unreachable = True
        self.next_index = self.match_index + 1
        self.sent_commit_index = 0

    def wake(self) -> None:
        """Lets the replicating task look again."""
        self._woken.set()

    async def wait_until_woken(self) -> None:
        """Waits for :meth:`wake`."""
        await self._woken.wait()
        self._woken = anyio.Event()
