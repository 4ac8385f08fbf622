"""Requests and answers as they pass through an entry."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from mulberryhitch.outcomes import Outcome

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class ServiceRequest:
    """A caller's request to a service.

    Attributes:
        target: Path and query, as the backend server gets them.
        deadline: When the caller stops waiting, on the local clock.
        body: The whole body if it was short; else its beginning.
        rest: What follows of a long body; a request with it is sent once.
        hop: The member that passed it on; empty if a caller sent it.
        authorization: The caller's token, for another entry only.
    """

    request_id: str
    tenant: str
    service: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    remaining_body: AsyncIterator[bytes] | None
    deadline: float
    idempotent: bool
    key: str = ''
    forwarded_by: str = ''
    authorization: bytes = b''
    tried: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ServiceResponse:
    """The answer of a backend server, or of a member that passed it on.

    Attributes:
        body: The whole body if it was short; else its beginning.
        rest: What follows of a long body.
    """

    status: int
    headers: HeaderList
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None
    outcome: Outcome = Outcome.completed

    def header(self, name: bytes) -> bytes:
        """One header's value; empty if there is none."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return b''
