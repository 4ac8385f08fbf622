"""The ledger of non-idempotent requests: each runs at most once.

An intent is committed before the first byte goes out. Whoever sends the same
key again gets the stored answer, or hears that the request is in progress, or
that its outcome is unknown; never a second run.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

from mulberryhitch.errors import (
    ConflictError,
    InvariantError,
    NotFoundError,
    OverloadedError,
)

_RETRY_AFTER_SECONDS = 30


class EntryState(str, Enum):  # noqa: WPS600
    """Where a request in the ledger stands."""

    in_progress = 'in_progress'
    completed = 'completed'
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """An answer kept for resends.

    Attributes:
        whole: Whether the body was short enough to be kept whole.
    """

    __pydantic_config__ = {  # noqa: RUF012
        'ser_json_bytes': 'base64',
        'val_json_bytes': 'base64',
    }

    status: int
    content_type: str
    body: bytes
    whole: bool


@dataclass(frozen=True, slots=True)
class LedgerEntry:
    """One request.

    Attributes:
        fingerprint: A digest of what was asked.
        request_id: The one request that may run.
        begun_at: Seconds since the epoch.
        expires_at: When a request in progress counts as unknown.
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
        maximum_entries: How many entries are kept; more are refused.
    """

    def __init__(self, retention_seconds: float, maximum_entries: int) -> None:
        """Starts empty."""
        self._retention_seconds = retention_seconds
        self._maximum_entries = maximum_entries
        self._entries: OrderedDict[tuple[str, str], LedgerEntry] = OrderedDict()

    def __iter__(self) -> Iterator[LedgerEntry]:
        """All entries, the oldest first."""
        return iter(self._entries.values())

    def __len__(self) -> int:
        """How many entries are kept."""
        return len(self._entries)

    def begin(self, entry: LedgerEntry) -> LedgerEntry:
        """Notes an intent, or returns what is known of the key.

        Only the caller whose request id comes back may send the request.

        Raises:
            ConflictError: The key was used for another request.
            OverloadedError: The ledger is full.
        """
        self._prune(entry.begun_at)
        tenant_key = (entry.tenant, entry.key)
        existing = self._entries.get(tenant_key)
        if existing is not None:
            if existing.fingerprint != entry.fingerprint:
                raise ConflictError(
                    'this key was used for another request',
                    where='Idempotency-Key',
                )
            return self._expire(tenant_key, existing, entry.begun_at)
        if len(self._entries) >= self._maximum_entries:
            raise OverloadedError(
                'the ledger is full', retry_after_seconds=_RETRY_AFTER_SECONDS
            )
        self._entries[tenant_key] = entry
        return entry

    def finish(
        self, tenant: str, key: str, request_id: str, response: StoredResponse
    ) -> None:
        """Keeps the answer of the request that ran.

        Raises:
            NotFoundError: That request is not in the ledger.
            InvariantError: It has another answer.
        """
        existing = self._require_entry(tenant, key, request_id)
        if existing.answer is not None and existing.answer != response:
            raise InvariantError('a second answer', where=key)
        self._entries[tenant, key] = replace(
            existing, state=EntryState.completed, answer=response
        )

    def mark_unknown(self, tenant: str, key: str, request_id: str) -> None:
        """Notes that nobody will learn what became of the request."""
        existing = self._require_entry(tenant, key, request_id)
        if existing.state is EntryState.in_progress:
            self._entries[tenant, key] = replace(
                existing, state=EntryState.unknown
            )

    def release(self, tenant: str, key: str, request_id: str) -> None:
        """Forgets a request that certainly did not run.

        Raises:
            NotFoundError: That request is not in the ledger.
            InvariantError: It is known to have run.
        """
        existing = self._require_entry(tenant, key, request_id)
        if existing.state is not EntryState.in_progress:
            raise InvariantError('a finished request', where=key)
        self._entries.pop((tenant, key))

    def _require_entry(
        self, tenant: str, key: str, request_id: str
    ) -> LedgerEntry:
        existing = self._entries.get((tenant, key))
        if existing is None or existing.request_id != request_id:
            raise NotFoundError('not in the ledger', where=key)
        return existing

    def _expire(
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
