"""Endpoints for operators and for the balancer."""

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
    json_answer,
    json_body,
    principal_of,
    route,
)
from mulberryhitch.http.workloads import group_of
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.tenants.authentication import PrincipalRole

CELL_GROUP = 'cell'
_OPERATION_SECONDS = 8.0
_HISTOGRAM_SECONDS = 1.0


@route('/livez', 'GET')
async def live(entry: Entry, request: Request) -> Response:
    """Tells that the process runs."""
    return json_answer({'live': True})


@route('/readyz', 'GET')
async def ready(entry: Entry, request: Request) -> Response:
    """Tells the balancer whether callers may be sent here."""
    if not entry.is_ready:
        raise StoppingError(
            'stopping' if entry.stopping else 'no configuration yet'
        )
    return json_answer({'ready': True})


@route('/v1/configuration', 'GET')
async def read_configuration(entry: Entry, request: Request) -> Response:
    """Tells the configuration in force, or with ``?version=`` an older."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    version = request.query_params.get('version', '0')
    if not version.isdigit():
        raise InvalidInputError('no whole number', where='query: version')
    view = await entry.leaders.execute(
        CELL_GROUP,
        ReadConfiguration(int(version)),
        ConfigurationView,
        _OPERATION_SECONDS,
    )
    response = json_answer(
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
    """Puts a configuration in force, if ``If-Match`` still holds."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    expected = request.headers.get('if-match', '').strip('"')
    if not expected.isdigit():
        raise InvalidInputError(
            'the version that this change is based on', where='If-Match'
        )
    document = await json_body(request, CellDocument)
    document.check(entry.settings.data_centre_names)
    changed = await entry.leaders.execute(
        CELL_GROUP,
        ChangeConfiguration(
            document.model_dump_json(),
            int(expected),
            request.headers.get('idempotency-key', ''),
            request.headers.get('mulberryhitch-operator', 'operator'),
            time.time(),
        ),
        ConfigurationChanged,
        _OPERATION_SECONDS,
    )
    response = json_answer({'version': changed.version})
    response.headers['ETag'] = f'"{changed.version}"'
    return response


@route('/v1/members', 'GET')
async def members(entry: Entry, request: Request) -> Response:
    """Tells who is alive and which configuration each has in force."""
    principal_of(entry, request)
    live = {beat.member_id for beat in entry.members.live()}
    beats = [member.heartbeat for member in entry.members.all()]
    beats.append(entry.heartbeat())
    listed = [
        {
            'member': beat.member_id,
            'role': beat.role,
            'data_centre': beat.data_centre,
            'state': beat.state
            if beat.member_id in live or beat.member_id == entry.member_id
            else 'silent',
            'configuration_version': beat.configuration_version,
            'leads': [
                view.group
                for view in beat.groups
                if view.leader.partition('#')[0] == beat.vm
            ],
        }
        for beat in sorted(beats, key=lambda one: one.member_id)
    ]
    servers = [
        {
            'backend_server': known.announcement.backend_server_id,
            'service': known.announcement.service_name,
            'data_centre': known.announcement.data_centre,
            'state': known.announcement.state if known.is_fresh else 'silent',
            'owner': known.announcement.owner,
            'busy': known.announcement.busy,
        }
        for known in entry.directory.all()
    ]
    return json_answer({'members': listed, 'backend_servers': servers})


@route('/v1/histograms', 'GET')
async def histograms(entry: Entry, request: Request) -> Response:
    """Tells waits and answers, for each tenant and class.

    Those of requests are this VM's, those of tasks the leader's of this data
    centre; without a leader they are left out.
    """
    principal = principal_of(entry, request)
    summaries = entry.histograms.summaries()
    with suppress(MulberryhitchError):
        page = await entry.leaders.execute(
            group_of(entry.data_centre),
            ops.ReadHistograms(),
            ops.HistogramsView,
            _HISTOGRAM_SECONDS,
        )
        summaries.extend(page.summaries)
    if principal.role is not PrincipalRole.operator:
        own = principal.acting_tenant('')
        summaries = [one for one in summaries if one.tenant == own]
    return json_answer({'vm': entry.member_id, 'histograms': summaries})


@route('/v1/voters/{data_centre}/{replica_id}', 'DELETE')
async def replace_voter(entry: Entry, request: Request) -> Response:
    """Removes a voter that will not come back."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    data_centre = request.path_params['data_centre']
    if data_centre not in entry.settings.data_centres:
        raise ConflictError('no such data centre', where=data_centre)
    await entry.leaders.execute(
        group_of(data_centre),
        ops.ReplaceVoter(request.path_params['replica_id']),
        ops.Done,
        _OPERATION_SECONDS,
    )
    return json_answer({'removed': request.path_params['replica_id']})


@route('/v1/drain', 'POST')
async def drain(entry: Entry, request: Request) -> Response:
    """Lets this VM's entry finish what it has and take nothing new."""
    principal_of(entry, request).require_role(PrincipalRole.operator)
    entry.stopping = True
    entry.exchange.send_now()
    return json_answer({'member': entry.member_id, 'stopping': True})
