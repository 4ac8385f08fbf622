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
    json_answer,
    json_body,
    principal_of,
    route,
)
from mulberryhitch.membership.members import MemberRole
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.tenants.authentication import Principal, PrincipalRole
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec

_ID_SEPARATOR = '.'
_OPERATION_SECONDS = 8.0
_LONGEST_POLL_SECONDS = 60.0
_POLL_STEP_SECONDS = 2.0
_PAGE_LIMIT = 100
_MOST_TASKS = 10_000


class _SizeBody(BaseModel):
    model_config = ConfigDict(extra='forbid')

    millicores: int = Field(ge=0, le=10_000_000)
    memory_mebibytes: int = Field(ge=0, le=1_000_000_000)
    accelerators: int = Field(default=0, ge=0, le=100_000)


class WorkloadBody(BaseModel):
    """What an operator sends to submit a workload."""

    model_config = ConfigDict(extra='forbid')

    kind: Kind
    size: _SizeBody
    tenant: str = ''
    urgency: Urgency = Urgency.normal
    task_count: int = Field(default=1, ge=1, le=_MOST_TASKS)
    run_seconds: float = Field(default=0, ge=0)
    restartable: bool = False
    checkpointable: bool = False
    start_within_seconds: float = Field(default=0, ge=0)
    data_centres: list[str] = Field(default_factory=list)
    program: str = Field(default='', max_length=65_536)


def group_of(data_centre: str) -> str:
    """The group of a data centre's log."""
    return f'dc:{data_centre}'


def group_of_workload(entry: Entry, workload_id: str) -> str:
    """The group that keeps a workload.

    Raises:
        NotFoundError: No data centre of this cell gave that id.
    """
    data_centre = workload_id.partition(_ID_SEPARATOR)[0]
    if data_centre not in entry.settings.data_centres:
        raise NotFoundError('no such workload', where=workload_id)
    return group_of(data_centre)


@route('/v1/workloads', 'POST')
async def submit(entry: Entry, request: Request) -> Response:
    """Accepts a workload."""
    principal = principal_of(entry, request)
    body = await json_body(request, WorkloadBody)
    tenant = principal.acting_tenant(
        body.tenant or request.headers.get('mulberryhitch-tenant', '')
    )
    if tenant not in entry.configuration.current.tenants:
        raise NotFoundError(f'no tenant named {tenant}', where='tenant')
    key = request.headers.get('idempotency-key', '')
    data_centre = choose_data_centre(entry, body, tenant, key)
    spec = _spec(body, tenant, key, data_centre)
    submitted = await entry.leaders.execute(
        group_of(data_centre),
        ops.Submit(spec),
        ops.Submitted,
        _OPERATION_SECONDS,
    )
    entry.metrics.count('workloads.accepted')
    return json_answer(
        {'id': submitted.workload_id, 'data_centre': data_centre}, 202
    )


@route('/v1/workloads', 'GET')
async def list_workloads(entry: Entry, request: Request) -> Response:
    """Lists a tenant's workloads, page by page."""
    principal = principal_of(entry, request)
    tenant = principal.acting_tenant(request.query_params.get('tenant', ''))
    after = request.query_params.get('after', '')
    limit = _whole_number(request, 'limit', _PAGE_LIMIT)
    names = sorted(entry.settings.data_centres)
    first = after.partition(_ID_SEPARATOR)[0]
    for data_centre in filter(first.__le__, names):
        page = await entry.leaders.execute(
            group_of(data_centre),
            ops.ListWorkloads(tenant, after, min(limit, _PAGE_LIMIT)),
            ops.WorkloadPage,
            _OPERATION_SECONDS,
        )
        if page.workloads:
            last = page.workloads[-1].workload_id
            more = page.more or data_centre != names[-1]
            return json_answer(
                {'workloads': page.workloads, 'next': last if more else ''}
            )
    return json_answer({'workloads': [], 'next': ''})


@route('/v1/workloads/{workload_id}', 'GET')
async def describe(entry: Entry, request: Request) -> Response:
    """Tells of one workload; with ``?wait=`` when it has ended."""
    workload_id = request.path_params['workload_id']
    principal = principal_of(entry, request)
    wait = min(_whole_number(request, 'wait', 0), _LONGEST_POLL_SECONDS)
    ends_at = anyio.current_time() + wait
    while True:
        left = max(ends_at - anyio.current_time(), 0)
        view = await entry.leaders.execute(
            group_of_workload(entry, workload_id),
            ops.Describe(workload_id, min(left, _POLL_STEP_SECONDS)),
            ops.WorkloadView,
            _OPERATION_SECONDS,
        )
        _check_tenant(principal, view.spec.tenant)
        if view.ended or left <= _POLL_STEP_SECONDS or entry.stopping:
            return json_answer(view_content(view))


@route('/v1/workloads/{workload_id}', 'DELETE')
async def cancel(entry: Entry, request: Request) -> Response:
    """Cancels one workload."""
    workload_id = request.path_params['workload_id']
    principal = principal_of(entry, request)
    group = group_of_workload(entry, workload_id)
    view = await entry.leaders.execute(
        group, ops.Describe(workload_id), ops.WorkloadView, _OPERATION_SECONDS
    )
    _check_tenant(principal, view.spec.tenant)
    await entry.leaders.execute(
        group, ops.Cancel(workload_id), ops.Done, _OPERATION_SECONDS
    )
    return json_answer({'id': workload_id, 'cancelled': True})


def choose_data_centre(
    entry: Entry, body: WorkloadBody, tenant: str, key: str
) -> str:
    """The data centre that is to keep and run a workload.

    With an idempotency key it follows from the key, so that a resend at any
    entry meets the first one; else the one with the most free room.

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
    return max(allowed, key=lambda name: _attraction(entry, name, body))


def _attraction(
    entry: Entry, data_centre: str, body: WorkloadBody
) -> tuple[bool, float, bool]:
    """Room for all tasks first, then the most free cores, then nearness."""
    room = False
    free_cores = -1.0
    for beat in entry.members.live(MemberRole.scheduler):
        for capacity in beat.capacities:
            if beat.data_centre == data_centre:
                needed = body.size.millicores * body.task_count
                queued = float(capacity.queued_tasks)
                room = needed <= capacity.processors and not queued
                free_cores = capacity.processors / (queued + 1)
    return (room, free_cores, data_centre == entry.data_centre)


def _spec(
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


def view_content(view: ops.WorkloadView) -> dict[str, object]:
    """A workload as callers see it."""
    states = [task.state.value for task in view.tasks]
    return {
        'id': view.spec.workload_id,
        'tenant': view.spec.tenant,
        'kind': view.spec.kind.value,
        'urgency': view.spec.urgency.value,
        'state': _overall(states, view.ended),
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


def _overall(states: list[str], ended: bool) -> str:
    if not ended:
        return 'running' if 'leased' in states else 'queued'
    for worst in ('unknown', 'failed', 'cancelled'):
        if worst in states:
            return worst
    return 'completed'


def _check_tenant(principal: Principal, owner: str) -> None:
    if principal.role is not PrincipalRole.operator:
        principal.acting_tenant(owner)


def _whole_number(request: Request, name: str, default: int) -> int:
    text = request.query_params.get(name, str(default))
    if not text.isdigit():
        raise InvalidInputError(
            f'"{text}" is no whole number', where=f'query: {name}'
        )
    return int(text)
