"""Endpoints for operators and the load balancer."""

import time
from contextlib import suppress

from starlette.requests import Request
from starlette.responses import Response

from mulberryhitch.configuration.models import CellDocument
from mulberryhitch.configuration.operations import (
    ChangeConfiguration,
    ConfigurationChanged,
    ConfigurationView,
    ReadConfiguration,
)
from mulberryhitch.configuration.overlays import parse_json
from mulberryhitch.errors import (
    ConflictError,
    InvalidInputError,
    MulberryhitchError,
    StoppingError,
)
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.routes import (
    json_body,
    json_response,
    principal_of,
    route,
    stored_header,
)
from mulberryhitch.http.workloads import data_centre_group
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.tenants.authentication import PrincipalRole

CELL_GROUP = 'cell'
_OPERATION_TIMEOUT_SECONDS = 8.0
_HISTOGRAM_TIMEOUT_SECONDS = 1.0


@route('/livez', 'GET')
async def live(entry: Entry, request: Request) -> Response:
    """Reports that the process is running."""
    return json_response({'live': True})


@route('/readyz', 'GET')
async def ready(entry: Entry, request: Request) -> Response:
    """Reports whether the load balancer may send clients to this entry."""
    if not entry.is_ready:
        raise StoppingError(
            'stopping' if entry.stopping else 'no configuration received yet'
        )
    return json_response({'ready': True})


@route('/v1/configuration', 'GET')
async def read_configuration(entry: Entry, request: Request) -> Response:
    """Returns the current configuration, or the one of ``?version=``."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    version = request.query_params.get('version', '0')
    if not version.isdigit():
        raise InvalidInputError(
            f'"{version}" is not a whole number', where='query: version'
        )
    view = await entry.leader_client.execute(
        CELL_GROUP,
        ReadConfiguration(int(version)),
        ConfigurationView,
        _OPERATION_TIMEOUT_SECONDS,
    )
    response = json_response(
        {
            'version': view.version,
            'author': view.author,
            'at': view.at,
            'configuration': parse_json(view.document, 'configuration'),
        }
    )
    response.headers['ETag'] = f'"{view.version}"'
    return response


@route('/v1/configuration', 'PUT')
async def change_configuration(entry: Entry, request: Request) -> Response:
    """Replaces the configuration if ``If-Match`` is the current version."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    expected = request.headers.get('if-match', '').strip('"')
    if not expected.isdigit():
        raise InvalidInputError(
            'must be the version that this change is based on, '
            f'not "{expected}"',
            where='If-Match',
        )
    document = await json_body(request, CellDocument)
    document.check(entry.settings.data_centre_names)
    changed = await entry.leader_client.execute(
        CELL_GROUP,
        ChangeConfiguration(
            document.model_dump_json(),
            int(expected),
            stored_header(request, 'Idempotency-Key'),
            stored_header(request, 'Mulberryhitch-Operator', 'operator'),
            time.time(),
        ),
        ConfigurationChanged,
        _OPERATION_TIMEOUT_SECONDS,
    )
    response = json_response({'version': changed.version})
    response.headers['ETag'] = f'"{changed.version}"'
    return response


@route('/v1/members', 'GET')
async def members(entry: Entry, request: Request) -> Response:
    """Lists members, their configuration version, and backend servers."""
    principal_of(entry, request)
    live = {heartbeat.member_id for heartbeat in entry.members.live()}
    heartbeats = [member.heartbeat for member in entry.members.all()]
    heartbeats.append(entry.make_heartbeat())
    member_rows = [
        {
            'member': heartbeat.member_id,
            'role': heartbeat.role,
            'data_centre': heartbeat.data_centre,
            'state': heartbeat.state
            if heartbeat.member_id in live
            or heartbeat.member_id == entry.member_id
            else 'silent',
            'configuration_version': heartbeat.configuration_version,
            'leads': [
                view.group
                for view in heartbeat.groups
                if view.leader.partition('#')[0] == heartbeat.vm
            ],
        }
        for heartbeat in sorted(
            heartbeats, key=lambda heartbeat: heartbeat.member_id
        )
    ]
    server_rows = [
        {
            'backend_server': server.announcement.backend_server_id,
            'service': server.announcement.service_name,
            'data_centre': server.announcement.data_centre,
            'state': server.announcement.state if server.is_fresh else 'silent',
            'owner': server.announcement.owner,
            'busy': server.announcement.busy,
        }
        for server in entry.directory.all()
    ]
    return json_response(
        {'members': member_rows, 'backend_servers': server_rows}
    )


@route('/v1/histograms', 'GET')
async def histograms(entry: Entry, request: Request) -> Response:
    """Returns wait and total times by tenant, and by service or urgency.

    Request times are those of this VM. Task times are those of the leader of
    its data centre; they are omitted if the leader can't be reached.
    """
    principal = principal_of(entry, request)
    summaries = entry.histograms.summaries()
    with suppress(MulberryhitchError):
        page = await entry.leader_client.execute(
            data_centre_group(entry.data_centre),
            ops.ReadHistograms(),
            ops.HistogramsView,
            _HISTOGRAM_TIMEOUT_SECONDS,
        )
        summaries.extend(page.summaries)
    if principal.role is not PrincipalRole.operator:
        own_tenant = principal.acting_tenant('')
        summaries = [
            summary for summary in summaries if summary.tenant == own_tenant
        ]
    return json_response({'vm': entry.member_id, 'histograms': summaries})


@route('/v1/voters/{data_centre}/{replica_id}', 'DELETE')
async def replace_voter(entry: Entry, request: Request) -> Response:
    """Removes a voter that has failed permanently."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    data_centre = request.path_params['data_centre']
    if data_centre not in entry.settings.data_centres:
        raise ConflictError('no such data centre', where=data_centre)
    await entry.leader_client.execute(
        data_centre_group(data_centre),
        ops.ReplaceVoter(request.path_params['replica_id']),
        ops.Done,
        _OPERATION_TIMEOUT_SECONDS,
    )
    return json_response({'removed': request.path_params['replica_id']})


@route('/v1/drain', 'POST')
async def drain(entry: Entry, request: Request) -> Response:
    """Drains this VM's entry: it completes requests and rejects new ones."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    entry.stopping = True
    entry.heartbeat_exchange.send_now()
    return json_response({'member': entry.member_id, 'stopping': True})
