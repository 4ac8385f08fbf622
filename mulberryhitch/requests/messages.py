"""Requests and responses that an entry routes."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from mulberryhitch.outcomes import Outcome

HeaderList = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class ServiceRequest:
    """A client's request to a service.

    Attributes:
        target: Path and query, as sent to the backend server.
        deadline: When the client stops waiting, on the local clock.
        body: The whole body if it is short; otherwise its beginning.
        remaining_body: Remainder of a long body; such a request is not
            retried.
        forwarded_by: Member that forwarded it; empty if a client sent it.
        authorization: The client's Authorization header, which is sent only
            to another entry.
        key: Idempotency key; may be empty if the request is idempotent.
        tried: Identifiers of the members and servers already tried.
        in_ledger: Whether the ledger has recorded this request, so that no
            earlier one with its key has run.
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
    in_ledger: bool = False


@dataclass(slots=True)
class ServiceResponse:
    """A response of a backend server, or of the member forwarded to.

    Attributes:
        body: The whole body if it is short; otherwise its beginning.
        remaining_body: Remainder of a long body.
    """

    status: int
    headers: HeaderList
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None
    outcome: Outcome = Outcome.completed

    def header(self, name: bytes) -> bytes:
        """Returns the value of a header; empty if it is absent."""
        for header_name, value in self.headers:
            if header_name.lower() == name:
                return value
        return b''
