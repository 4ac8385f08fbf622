"""The ledger of non-idempotent requests, which run at most once per key.

An intent is committed before the first byte is sent. A repeated request with
the same key gets the stored response, or an error if the first one is in
progress or its outcome is unknown; it never runs a second time.
"""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.errors import (
    ConflictError,
    InvariantError,
    NotFoundError,
    OverloadedError,
)

_RETRY_AFTER_SECONDS = 30
_MAX_STORED_BYTES = 16 * BYTES_PER_MEBIBYTE


class EntryState(str, Enum):  # noqa: WPS600
    """State of a request in the ledger."""

    in_progress = 'in_progress'
    completed = 'completed'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """A response stored for repeated requests.

    Attributes:
        whole: Whether the body is stored: it was short enough, and not
            removed to make room.
    """

    __pydantic_config__ = {  # noqa: RUF012
        'ser_json_bytes': 'base64',
        'val_json_bytes': 'base64',
    }

    status: int
    content_type: str
    body: bytes
    whole: bool

    @property
    def size_bytes(self) -> int:
        """Bytes of the parts that have no fixed length."""
        return len(self.content_type) + len(self.body)

    def is_same(self, other: 'StoredResponse') -> bool:
        """Whether both are of one response, with or without its body."""
        if self.whole and other.whole:
            return self == other
        return self.status == other.status

    def without_body(self) -> 'StoredResponse':
        """Returns the response with its status only."""
        return StoredResponse(self.status, '', b'', whole=False)


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """A request in the ledger.

    Attributes:
        fingerprint: Digest of the service, method, target and body.
        request_id: Identifier of the only request that may run.
        begun_at: Start time, in seconds since the epoch.
        expires_at: When an in-progress request becomes unknown, in seconds
            since the epoch.
    """

    tenant: str
    key: str
    fingerprint: str
    request_id: str
    begun_at: float
    expires_at: float
    state: EntryState = EntryState.in_progress
    answer: StoredResponse | None = None


class Ledger:
    """All non-idempotent requests of a home data centre.

    Args:
        retention_seconds: How long an entry is kept.
        max_entries: Maximum number of entries; more are refused.
        max_stored_bytes: Maximum size of all stored responses; beyond it, the
            bodies of the oldest requests are removed.
    """

    def __init__(
        self,
        retention_seconds: float,
        max_entries: int,
        max_stored_bytes: int = _MAX_STORED_BYTES,
    ) -> None:
        """Initialises an empty ledger."""
        self._retention_seconds = retention_seconds
        self._max_entries = max_entries
        self._max_stored_bytes = max_stored_bytes
        self._entries: OrderedDict[tuple[str, str], LedgerEntry] = OrderedDict()
        self._stored_bytes = 0
        # Start times and keys of the requests with a response.
        self._answered: list[tuple[float, tuple[str, str]]] = []

    def __iter__(self) -> Iterator[LedgerEntry]:
        """Returns all entries, the oldest first."""
        return iter(self._entries.values())

    def __len__(self) -> int:
        """Returns the number of entries."""
        return len(self._entries)

    def begin(self, entry: LedgerEntry) -> LedgerEntry:
        """Records an intent, or returns the existing entry of its key.

        The caller may send the request only if the returned entry has its
        request id.

        Raises:
            ConflictError: The key was used for a different request.
            OverloadedError: The ledger is full.
        """
        self._prune(entry.begun_at)
        tenant_key = (entry.tenant, entry.key)
        existing = self._entries.get(tenant_key)
        if existing is not None:
            if existing.fingerprint != entry.fingerprint:
                raise ConflictError(
                    'this key was used for a different request',
                    where='Idempotency-Key',
                )
            return self._apply_expiry(tenant_key, existing, entry.begun_at)
        if len(self._entries) >= self._max_entries:
            raise OverloadedError(
                f'the request ledger is full: {self._max_entries} entries',
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        self._entries[tenant_key] = entry
        self._record_stored(entry)
        return entry

    def finish(
        self, tenant: str, key: str, request_id: str, response: StoredResponse
    ) -> None:
        """Stores the response of the request that ran.

        Raises:
            NotFoundError: The request is not in the ledger.
            InvariantError: It already has a different response.
        """
        existing = self._require_entry(tenant, key, request_id)
        if existing.answer is not None:
            if existing.answer.is_same(response):
                return
            raise InvariantError(
                'the request already has a different response', where=key
            )
        finished = replace(
            existing, state=EntryState.completed, answer=response
        )
        self._entries[tenant, key] = finished
        self._record_stored(finished)

    def mark_unknown(self, tenant: str, key: str, request_id: str) -> None:
        """Marks the outcome of a request in progress as unknown.

        Raises:
            NotFoundError: The request is not in the ledger.
        """
        existing = self._require_entry(tenant, key, request_id)
        if existing.state is EntryState.in_progress:
            self._entries[tenant, key] = replace(
                existing, state=EntryState.unknown
            )

    def release(self, tenant: str, key: str, request_id: str) -> None:
        """Removes a request that did not run.

        Raises:
            NotFoundError: The request is not in the ledger.
            InvariantError: It is no longer in progress.
        """
        existing = self._require_entry(tenant, key, request_id)
        if existing.state is not EntryState.in_progress:
            raise InvariantError(
                'the request is no longer in progress', where=key
            )
        self._entries.pop((tenant, key))

    def _require_entry(
        self, tenant: str, key: str, request_id: str
    ) -> LedgerEntry:
        existing = self._entries.get((tenant, key))
        if existing is None or existing.request_id != request_id:
            raise NotFoundError('the request is not in the ledger', where=key)
        return existing

    def _apply_expiry(
        self, tenant_key: tuple[str, str], existing: LedgerEntry, now: float
    ) -> LedgerEntry:
        is_late = now > existing.expires_at
        if existing.state is EntryState.in_progress and is_late:
            existing = replace(existing, state=EntryState.unknown)
            self._entries[tenant_key] = existing
        return existing

    def _prune(self, now: float) -> None:
        while self._entries:
            tenant_key, oldest = next(iter(self._entries.items()))
            if now - oldest.begun_at <= self._retention_seconds:
                return
            self._entries.pop(tenant_key)
            self._stored_bytes -= _stored_bytes(oldest)
            self._forget_removed()

    def _forget_removed(self) -> None:
        while self._answered and not self._has_body(*self._answered[0]):
            heapq.heappop(self._answered)

    def _has_body(self, begun_at: float, tenant_key: tuple[str, str]) -> bool:
        entry = self._entries.get(tenant_key)
        if entry is None or entry.begun_at != begun_at:
            return False
        return _stored_bytes(entry) > 0

    def _record_stored(self, entry: LedgerEntry) -> None:
        """Counts an entry's response; removes bodies to keep to the limit."""
        if not _stored_bytes(entry):
            return
        self._stored_bytes += _stored_bytes(entry)
        tenant_key = (entry.tenant, entry.key)
        heapq.heappush(self._answered, (entry.begun_at, tenant_key))
        while self._stored_bytes > self._max_stored_bytes:
            self._remove_oldest_body()

    def _remove_oldest_body(self) -> None:
        begun_at, tenant_key = heapq.heappop(self._answered)
        if not self._has_body(begun_at, tenant_key):
            return
        entry = self._entries[tenant_key]
        self._stored_bytes -= _stored_bytes(entry)
        if entry.answer is not None:
            self._entries[tenant_key] = replace(
                entry, answer=entry.answer.without_body()
            )


def _stored_bytes(entry: LedgerEntry) -> int:
    return entry.answer.size_bytes if entry.answer else 0
