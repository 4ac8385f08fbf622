"""Stand-in for a backend server, with slots and ownership leases."""

import anyio
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

from mulberryhitch.backend_servers.directory import ServerState
from mulberryhitch.constants import OWNERSHIP_GUARD_SECONDS
from mulberryhitch.errors import InvariantError
from mulberryhitch.http.announcements import BackendServerBody


class StandinBackendServer:
    """Implements the published protocol of a backend server.

    ``?sleep=SECONDS`` delays the response and ``?size=BYTES`` sets its size;
    otherwise it contains how often the request's idempotency key has run.

    Args:
        server_id: Name of the server.
        service: Name of its service.
        data_centre: Name of its data centre.
        address: Address that it listens on.
        incarnation: Identifies this run of the server; grows with each restart.
        slots: Maximum number of concurrent requests.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        data_centre: str,
        address: str,
        incarnation: int,
        slots: int = 8,
    ) -> None:
        """Initialises the server without an owner."""
        self.server_id = server_id
        self.busy = 0
        self.peak_busy = 0
        self.served = 0
        self.runs_by_key: dict[str, int] = {}
        self.leaving = False
        self._service = service
        self._data_centre = data_centre
        self._address = address
        self._incarnation = incarnation
        self._slots = slots
        self._sequence = 0
        self._owner = ''
        self._owner_anchor = float()
        self._owner_lease_ends_at = float()

    @property
    def owner(self) -> str:
        """The current owner; empty if there is none."""
        return self._owner

    def announcement(self) -> BackendServerBody:
        """Returns the next announcement and increments its sequence."""
        self._sequence += 1
        return BackendServerBody(
            service=self._service,
            data_centre=self._data_centre,
            address=self._address,
            state=ServerState.leaving if self.leaving else ServerState.ready,
            slots=self._slots,
            busy=self.busy,
            owner=self._owner,
            owner_anchor=self._owner_anchor,
            incarnation=self._incarnation,
            sequence=self._sequence,
        )

    def take_offer(
        self, owner: str, anchor: float, lease_seconds: float
    ) -> None:
        """Renews the owner's lease, or changes the owner if it has expired."""
        if not owner:
            return
        now = anyio.current_time()
        if owner != self._owner:
            if now < self._owner_lease_ends_at + OWNERSHIP_GUARD_SECONDS:
                return
            self._owner = owner
            self._owner_anchor = anchor
        self._owner_anchor = max(self._owner_anchor, anchor)
        self._owner_lease_ends_at = now + lease_seconds

    async def serve(self, request: Request) -> Response:
        """Handles one request, or refuses it before any work.

        Raises:
            InvariantError: More requests run at once than there are slots.
        """
        requested_owner = request.headers.get('mulberryhitch-owner', '')
        if requested_owner not in {'', self._owner}:
            return _refusal('another owner')
        if self.busy >= self._slots:
            return _refusal('no slot is free')
        self.busy += 1
        self.peak_busy = max(self.peak_busy, self.busy)
        if self.busy > self._slots:
            raise InvariantError(
                f'{self.busy} concurrent requests, more than {self._slots} slots'
            )
        try:
            return await self._respond(request)
        finally:
            self.busy -= 1

    async def _respond(self, request: Request) -> Response:
        body = await request.body()
        key = request.headers.get('idempotency-key', '')
        if key:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        await anyio.sleep(float(request.query_params.get('sleep', '0')))
        self.served += 1
        size = int(request.query_params.get('size', '0'))
        if size:
            return Response(b'x' * size)
        return JSONResponse(
            {
                'server': self.server_id,
                'service': self._service,
                'method': request.method,
                'path': request.url.path,
                'body_bytes': len(body),
                'tenant': request.headers.get('mulberryhitch-tenant', ''),
                'runs': self.runs_by_key.get(key, 0),
            }
        )


def _refusal(reason: str) -> Response:
    return JSONResponse(
        {'refused': reason}, 503, headers={'Mulberryhitch-Refused': reason}
    )
