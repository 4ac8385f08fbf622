"""Interfaces and data types that the router depends on."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.requests.messages import (
    HeaderList,
    ServiceRequest,
    ServiceResponse,
)


@dataclass(frozen=True, slots=True)
class Owner:
    """A member that owns backend servers of a service.

    Attributes:
        is_same_data_centre: Whether it is in this data centre.
    """

    member_id: str
    http_address: str
    free_slots: int
    queued: int
    is_same_data_centre: bool


class UpstreamLike(Protocol):
    """A pool of connections to one address."""

    async def send(
        self,
        request: ServiceRequest,
        target: bytes,
        extra_headers: HeaderList,
        on_end: Callable[[bool], None],
    ) -> ServiceResponse:
        """Sends a request; see :meth:`Upstream.send`."""

    async def aclose(self) -> None:
        """Closes all connections."""


class LedgerClient(Protocol):
    """Records non-idempotent requests in the ledger of their home group."""

    async def begin(
        self, home: str, entry: LedgerEntry, timeout_seconds: float
    ) -> LedgerEntry:
        """Records an intent, or returns the existing entry of its key."""

    async def finish(
        self, home: str, entry: LedgerEntry, response: StoredResponse
    ) -> None:
        """Stores a response."""

    async def release(self, home: str, entry: LedgerEntry) -> None:
        """Removes a request that did not run."""

    async def mark_unknown(self, home: str, entry: LedgerEntry) -> None:
        """Marks the outcome of a request as unknown."""
