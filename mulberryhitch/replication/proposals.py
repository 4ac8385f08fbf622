"""Entries that are proposed to a leader, queued until they are written."""

from collections import deque
from typing import Any

import anyio

from mulberryhitch.errors import (
    MulberryhitchError,
    OverloadedError,
    TooLargeError,
)
from mulberryhitch.replication.entry_sizes import body_stored_bytes
from mulberryhitch.replication.members import MEMBERS_KIND
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import NOOP_KIND
from mulberryhitch.replication.storage import Storage

_MAX_QUEUED_PROPOSALS = 20_000
_RETRY_AFTER_SECONDS = 1.0
# The group needs these entries to work; they are small and few.
_EXEMPT_KINDS = frozenset((NOOP_KIND, MEMBERS_KIND))


class Proposal:
    """An entry waiting to be committed and applied."""

    def __init__(self, kind: str, body: bytes) -> None:
        """Initialises a pending proposal."""
        self.kind = kind
        self.body = body
        self.result: Any = None
        self.failure: MulberryhitchError | None = None
        self._completed = anyio.Event()

    @property
    def stored_bytes(self) -> int:
        """Returns about how many bytes its entry takes in a log file."""
        return body_stored_bytes(self.body)

    def complete(self, result: Any, failure: MulberryhitchError | None) -> None:
        """Sets the outcome and wakes the proposer."""
        self.result = result
        self.failure = failure
        self._completed.set()

    async def wait(self) -> Any:
        """Waits for the outcome and returns the state machine's result.

        Raises:
            MulberryhitchError: The proposal failed with this error.
        """
        await self._completed.wait()
        if self.failure is not None:
            raise self.failure
        return self.result


class ProposalQueue:
    """Proposals that wait to be written, bounded in number and bytes.

    The queue also keeps the log from growing beyond its limit. Entries that
    the group itself needs are always accepted.

    Args:
        storage: The storage whose log the proposals will be written to.
        options: The limits.
    """

    def __init__(self, storage: Storage, options: ReplicationOptions) -> None:
        """Initialises an empty queue."""
        self._storage = storage
        self._options = options
        self._queue: deque[Proposal] = deque()
        self._queued_bytes = 0
        self._added = anyio.Event()

    def __len__(self) -> int:
        """Returns the number of queued proposals."""
        return len(self._queue)

    def add(self, proposal: Proposal) -> None:
        """Queues a proposal.

        Raises:
            TooLargeError: The proposal exceeds the limit of one entry.
            OverloadedError: The queue or the log has no room for it now.
        """
        if proposal.kind not in _EXEMPT_KINDS:
            self._check_size(proposal)
            self._check_room(proposal)
        self._queue.append(proposal)
        self._queued_bytes += proposal.stored_bytes
        self._added.set()

    def add_first(self, proposal: Proposal) -> None:
        """Queues the entry that begins a term, before all others."""
        self._queue.appendleft(proposal)
        self._queued_bytes += proposal.stored_bytes
        self._added.set()

    async def wait(self) -> None:
        """Waits until a proposal is queued."""
        await self._added.wait()

    def take_batch(self) -> list[Proposal]:
        """Removes and returns the proposals to be written together.

        An entry that the group itself needs is alone, as kept room of the disk
        may be used for it.
        """
        batch: list[Proposal] = []
        size = 0
        while self._queue:
            size += self._queue[0].stored_bytes
            if batch and size > self._options.batch_bytes:
                break
            if batch and self._queue[0].kind in _EXEMPT_KINDS:
                break
            batch.append(self._queue.popleft())
            if batch[0].kind in _EXEMPT_KINDS:
                break
        self._queued_bytes -= sum(one.stored_bytes for one in batch)
        if not self._queue:
            self._added = anyio.Event()
        return batch

    def fail_all(self, failure: MulberryhitchError) -> None:
        """Fails and removes all proposals; none was written."""
        for proposal in self._queue:
            proposal.complete(None, failure)
        self._queue.clear()
        self._queued_bytes = 0

    def _check_size(self, proposal: Proposal) -> None:
        limit = self._options.max_proposal_bytes
        if proposal.stored_bytes > limit:
            raise TooLargeError(
                f'an entry of {proposal.stored_bytes} bytes exceeds the limit '
                f'of {limit} bytes'
            )

    def _check_room(self, proposal: Proposal) -> None:
        if len(self._queue) >= _MAX_QUEUED_PROPOSALS:
            raise _overloaded(
                f'{_MAX_QUEUED_PROPOSALS} proposals are already queued'
            )
        queued_bytes = self._queued_bytes + proposal.stored_bytes
        if self._queue and queued_bytes > self._options.max_queued_bytes:
            raise _overloaded(
                f'{self._queued_bytes} bytes of proposals are already queued'
            )
        log_bytes = self._storage.log_bytes
        if log_bytes + queued_bytes > self._options.max_log_bytes:
            raise _overloaded(
                f'the log has {log_bytes} of {self._options.max_log_bytes} '
                'bytes until its next snapshot'
            )


def _overloaded(what: str) -> OverloadedError:
    return OverloadedError(what, retry_after_seconds=_RETRY_AFTER_SECONDS)
