"""Endpoints for the announcements of workers and backend servers."""

import anyio
from pydantic import BaseModel, ConfigDict, Field, field_validator
from starlette.requests import Request
from starlette.responses import Response

from mulberryhitch.backend_servers.directory import ServerState
from mulberryhitch.backend_servers.ownership import (
    OwnershipOffer,
    choose_by_rendezvous_hash,
)
from mulberryhitch.configuration.addresses import check_address
from mulberryhitch.constants import (
    ANNOUNCEMENT_INTERVAL_SECONDS,
    CONNECTIONS_PER_BACKEND_SERVER,
    SLOTS_PER_BACKEND_SERVER,
)
from mulberryhitch.errors import InvalidInputError
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.routes import (
    json_body,
    json_response,
    principal_of,
    route,
)
from mulberryhitch.http.workloads import data_centre_group
from mulberryhitch.membership.members import MemberRole, MemberState
from mulberryhitch.rpc.messages import Announcement
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.tenants.authentication import PrincipalRole
from mulberryhitch.workers.leases import Worker
from mulberryhitch.workers.protocol import WorkerAnnouncement
from mulberryhitch.workloads.model import Size

_OPERATION_TIMEOUT_SECONDS = 3.0
_MAX_NUMBER = 2**53
_MAX_NAME_CHARACTERS = 255


class BackendServerBody(BaseModel):
    """A backend server's periodic announcement of its state.

    Attributes:
        busy: Number of requests in progress.
        owner: Member identifier of its current owner; empty if none.
        owner_anchor: Anchor of that owner's latest lease.
        incarnation: Increases with each start of the server.
        sequence: Increases with each announcement of an incarnation.
    """

    model_config = ConfigDict(extra='forbid')

    service: str = Field(max_length=_MAX_NAME_CHARACTERS)
    data_centre: str
    address: str
    state: ServerState = ServerState.ready
    slots: int = Field(default=SLOTS_PER_BACKEND_SERVER, ge=1, le=_MAX_NUMBER)
    connections: int = Field(
        default=CONNECTIONS_PER_BACKEND_SERVER, ge=1, le=_MAX_NUMBER
    )
    busy: int = Field(default=0, ge=0, le=_MAX_NUMBER)
    owner: str = Field(default='', max_length=_MAX_NAME_CHARACTERS)
    owner_anchor: float = 0
    incarnation: int = Field(ge=0, le=_MAX_NUMBER)
    sequence: int = Field(ge=0, le=_MAX_NUMBER)

    @field_validator('address')
    @classmethod
    def _check_address(cls, address: str) -> str:
        return check_address(address)


@route('/v1/workers/{worker_id}', 'PUT')
async def announce_worker(entry: Entry, request: Request) -> Response:
    """Forwards a worker's announcement to the leader of its data centre."""
    principal_of(entry, request).require_role(PrincipalRole.worker)
    body = await json_body(request, WorkerAnnouncement)
    _check_data_centre(entry, body.data_centre)
    check_address(body.address)
    worker = Worker(
        _checked_id(request.path_params['worker_id']),
        body.address,
        body.data_centre,
        body.rack,
        Size(
            body.size.millicores,
            body.size.memory_mebibytes,
            body.size.accelerators,
        ),
        body.incarnation,
    )
    await entry.leader_client.execute(
        data_centre_group(body.data_centre),
        ops.AnnounceWorker(worker, body.leaving),
        ops.Done,
        _OPERATION_TIMEOUT_SECONDS,
    )
    return json_response({'again_seconds': 2 * ANNOUNCEMENT_INTERVAL_SECONDS})


@route('/v1/backend-servers/{backend_server_id}', 'PUT')
async def announce_backend_server(entry: Entry, request: Request) -> Response:
    """Records a backend server's announcement and offers it an owner."""
    principal_of(entry, request).require_role(PrincipalRole.backend_server)
    body = await json_body(request, BackendServerBody)
    _check_data_centre(entry, body.data_centre)
    announcement = Announcement(
        _checked_id(request.path_params['backend_server_id']),
        body.service,
        body.data_centre,
        body.address,
        body.state.value,
        body.slots,
        body.connections,
        body.busy,
        body.owner,
        body.owner_anchor,
        body.incarnation,
        body.sequence,
    )
    if entry.directory.record_announcement(announcement):
        entry.heartbeat_exchange.send_now()
    offer = make_ownership_offer(entry, announcement)
    return json_response(
        {
            'owner': offer.owner,
            'owner_anchor': offer.anchor,
            'lease_seconds': offer.lease_seconds,
            'again_seconds': ANNOUNCEMENT_INTERVAL_SECONDS,
        }
    )


def make_ownership_offer(
    entry: Entry, announcement: Announcement
) -> OwnershipOffer:
    """Returns the owner for a backend server, with a new lease."""
    entry_clocks = _candidate_clocks(entry, announcement.data_centre)
    owner = choose_by_rendezvous_hash(
        announcement.backend_server_id, entry_clocks
    )
    return OwnershipOffer(owner, entry_clocks.get(owner, 0))


def _candidate_clocks(entry: Entry, data_centre: str) -> dict[str, float]:
    """Returns the clocks of the entries that may own a server, by member.

    Entries of other data centres are returned only if the server's own data
    centre has none.
    """
    local: dict[str, float] = {}
    remote: dict[str, float] = {}
    for heartbeat in entry.members.live(MemberRole.entry):
        if heartbeat.state == MemberState.ready.value:
            candidates = (
                local if heartbeat.data_centre == data_centre else remote
            )
            candidates[heartbeat.member_id] = heartbeat.clock
    if entry.is_ready:
        candidates = local if entry.data_centre == data_centre else remote
        candidates[entry.member_id] = anyio.current_time()
    return local or remote


def _checked_id(name: str) -> str:
    if len(name) > _MAX_NAME_CHARACTERS:
        raise InvalidInputError(
            f'longer than {_MAX_NAME_CHARACTERS} characters', where='path'
        )
    return name


def _check_data_centre(entry: Entry, name: str) -> None:
    if name not in entry.settings.data_centres:
        raise InvalidInputError(
            f'no data centre named {name}', where='body: /data_centre'
        )
