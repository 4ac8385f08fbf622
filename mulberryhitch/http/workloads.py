"""Endpoints for workloads."""

import time
import uuid

import anyio
from pydantic import BaseModel, ConfigDict, Field
from starlette.requests import Request
from starlette.responses import Response

from mulberryhitch.backend_servers.ownership import choose_by_rendezvous_hash
from mulberryhitch.errors import InvalidInputError, NotFoundError
from mulberryhitch.http.entry import Entry
from mulberryhitch.http.routes import (
    json_body,
    json_response,
    principal_of,
    route,
    stored_header,
)
from mulberryhitch.membership.members import MemberRole
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.tenants.authentication import Principal, PrincipalRole
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec

_ID_SEPARATOR = '.'
_OPERATION_TIMEOUT_SECONDS = 8.0
_MAX_POLL_SECONDS = 60.0
_POLL_INTERVAL_SECONDS = 2.0
_MAX_PAGE_ITEMS = 100
_MAX_TASKS = 10_000


class _SizeBody(BaseModel):
    model_config = ConfigDict(extra='forbid')

    millicores: int = Field(ge=0, le=10_000_000)
    memory_mebibytes: int = Field(ge=0, le=1_000_000_000)
    accelerators: int = Field(default=0, ge=0, le=100_000)


class WorkloadBody(BaseModel):
    """Body of a request that submits a workload."""

    model_config = ConfigDict(extra='forbid')

    kind: Kind
    size: _SizeBody
    tenant: str = ''
    urgency: Urgency = Urgency.normal
    task_count: int = Field(default=1, ge=1, le=_MAX_TASKS)
    run_seconds: float = Field(default=0, ge=0)
    restartable: bool = False
    checkpointable: bool = False
    start_within_seconds: float = Field(default=0, ge=0)
    data_centres: list[str] = Field(default_factory=list)
    program: str = Field(default='', max_length=65_536)


def data_centre_group(data_centre: str) -> str:
    """Returns the replication group of a data centre."""
    return f'dc:{data_centre}'


def workload_group(entry: Entry, workload_id: str) -> str:
    """Returns the replication group that stores a workload.

    Raises:
        NotFoundError: The identifier names no data centre of this cell.
    """
    data_centre = workload_id.partition(_ID_SEPARATOR)[0]
    if data_centre not in entry.settings.data_centres:
        raise NotFoundError('no such workload', where=workload_id)
    return data_centre_group(data_centre)


@route('/v1/workloads', 'POST')
async def submit(entry: Entry, request: Request) -> Response:
    """Submits a workload."""
    principal = principal_of(entry, request)
    body = await json_body(request, WorkloadBody)
    tenant = principal.acting_tenant(
        body.tenant or request.headers.get('mulberryhitch-tenant', '')
    )
    if tenant not in entry.configuration.current.tenants:
        raise NotFoundError(f'no tenant named {tenant}', where='tenant')
    key = stored_header(request, 'Idempotency-Key')
    data_centre = choose_data_centre(entry, body, tenant, key)
    spec = _make_spec(body, tenant, key, data_centre)
    submitted = await entry.leader_client.execute(
        data_centre_group(data_centre),
        ops.Submit(spec),
        ops.Submitted,
        _OPERATION_TIMEOUT_SECONDS,
    )
    entry.metrics.count('workloads.accepted')
    return json_response(
        {'id': submitted.workload_id, 'data_centre': data_centre}, 202
    )


@route('/v1/workloads', 'GET')
async def list_workloads(entry: Entry, request: Request) -> Response:
    """Returns one page of a tenant's workloads."""
    principal = principal_of(entry, request)
    tenant = principal.acting_tenant(request.query_params.get('tenant', ''))
    after = request.query_params.get('after', '')
    limit = _integer_parameter(request, 'limit', _MAX_PAGE_ITEMS)
    data_centres = sorted(entry.settings.data_centres)
    first_data_centre = after.partition(_ID_SEPARATOR)[0]
    for data_centre in filter(first_data_centre.__le__, data_centres):
        page = await entry.leader_client.execute(
            data_centre_group(data_centre),
            ops.ListWorkloads(tenant, after, min(limit, _MAX_PAGE_ITEMS)),
            ops.WorkloadPage,
            _OPERATION_TIMEOUT_SECONDS,
        )
        if page.workloads:
            last = page.workloads[-1].workload_id
            more = page.more or data_centre != data_centres[-1]
            return json_response(
                {'workloads': page.workloads, 'next': last if more else ''}
            )
    return json_response({'workloads': [], 'next': ''})


@route('/v1/workloads/{workload_id}', 'GET')
async def describe(entry: Entry, request: Request) -> Response:
    """Returns a workload; waits up to ``?wait=`` seconds for its end."""
    workload_id = request.path_params['workload_id']
    principal = principal_of(entry, request)
    wait_seconds = min(
        _integer_parameter(request, 'wait', 0), _MAX_POLL_SECONDS
    )
    deadline = anyio.current_time() + wait_seconds
    while True:
        remaining_seconds = max(deadline - anyio.current_time(), 0)
        view = await entry.leader_client.execute(
            workload_group(entry, workload_id),
            ops.Describe(
                workload_id, min(remaining_seconds, _POLL_INTERVAL_SECONDS)
            ),
            ops.WorkloadView,
            _OPERATION_TIMEOUT_SECONDS,
        )
        _check_tenant(principal, view.spec.tenant)
        if (
            view.ended
            or remaining_seconds <= _POLL_INTERVAL_SECONDS
            or entry.stopping
        ):
            return json_response(workload_content(view))


@route('/v1/workloads/{workload_id}', 'DELETE')
async def cancel(entry: Entry, request: Request) -> Response:
    """Cancels a workload."""
    workload_id = request.path_params['workload_id']
    principal = principal_of(entry, request)
    group = workload_group(entry, workload_id)
    view = await entry.leader_client.execute(
        group,
        ops.Describe(workload_id),
        ops.WorkloadView,
        _OPERATION_TIMEOUT_SECONDS,
    )
    _check_tenant(principal, view.spec.tenant)
    await entry.leader_client.execute(
        group, ops.Cancel(workload_id), ops.Done, _OPERATION_TIMEOUT_SECONDS
    )
    return json_response({'id': workload_id, 'cancelled': True})


def choose_data_centre(
    entry: Entry, body: WorkloadBody, tenant: str, key: str
) -> str:
    """Returns the data centre that will store and run a workload.

    With an idempotency key it is derived from the key, so that a retry at any
    entry reaches the same data centre; otherwise it is the one with the most
    free capacity.

    Raises:
        InvalidInputError: An allowed data centre does not exist.
    """
    allowed = body.data_centres or entry.settings.data_centre_names
    for name in allowed:
        if name not in entry.settings.data_centres:
            raise InvalidInputError(
                f'no data centre named {name}', where='body: /data_centres'
            )
    if key:
        return choose_by_rendezvous_hash(f'{tenant}|{key}', allowed)
    return max(
        allowed, key=lambda name: _placement_preference(entry, name, body)
    )


def _placement_preference(
    entry: Entry, data_centre: str, body: WorkloadBody
) -> tuple[bool, float, bool]:
    """Returns the sort key of a data centre; the highest is chosen.

    It holds whether all tasks fit now, the free millicores divided by the
    queued tasks plus one, and whether it is the local data centre.
    """
    fits = False
    free_millicores = -1.0
    for heartbeat in entry.members.live(MemberRole.scheduler):
        for capacity in heartbeat.capacities:
            if heartbeat.data_centre == data_centre:
                needed_millicores = body.size.millicores * body.task_count
                queued_tasks = float(capacity.queued_tasks)
                fits = (
                    needed_millicores <= capacity.processors
                    and not queued_tasks
                )
                free_millicores = capacity.processors / (queued_tasks + 1)
    return (fits, free_millicores, data_centre == entry.data_centre)


def _make_spec(
    body: WorkloadBody, tenant: str, key: str, data_centre: str
) -> WorkloadSpec:
    return WorkloadSpec(
        f'{data_centre}{_ID_SEPARATOR}{uuid.uuid4().hex}',
        tenant,
        body.kind,
        body.urgency,
        body.task_count,
        Size(
            body.size.millicores,
            body.size.memory_mebibytes,
            body.size.accelerators,
        ),
        body.run_seconds,
        body.restartable,
        body.checkpointable,
        body.start_within_seconds,
        time.time(),
        key,
        body.program,
    )


def workload_content(view: ops.WorkloadView) -> dict[str, object]:
    """Returns a workload as the JSON object sent to clients."""
    states = [task.state.value for task in view.tasks]
    return {
        'id': view.spec.workload_id,
        'tenant': view.spec.tenant,
        'kind': view.spec.kind.value,
        'urgency': view.spec.urgency.value,
        'state': _overall_state(states, view.ended),
        'cancelled': view.cancelled,
        'waiting_reason': view.waiting_reason,
        'tasks': [
            {
                'task': task.number,
                'state': task.state.value,
                'attempt': task.attempt,
                'worker': task.worker_id,
                'reason': task.reason,
            }
            for task in view.tasks
        ],
    }


def _overall_state(states: list[str], ended: bool) -> str:
    if not ended:
        return 'running' if 'leased' in states else 'queued'
    for state in ('unknown', 'failed', 'cancelled'):
        if state in states:
            return state
    return 'completed'


def _check_tenant(principal: Principal, owner: str) -> None:
    if principal.role is not PrincipalRole.operator:
        principal.acting_tenant(owner)


def _integer_parameter(request: Request, name: str, default: int) -> int:
    text = request.query_params.get(name, str(default))
    if not text.isdigit():
        raise InvalidInputError(
            f'"{text}" is not a whole number', where=f'query: {name}'
        )
    return int(text)
