"""Conversion between the platform's JSON bodies and internal types.

The platform calls a queue a route, and its permit policy advice.
"""

import re
from typing import Annotated, TypeVar

import orjson
from pydantic import (
    BaseModel,
    ConfigDict,
    FailFast,
    Field,
    ValidationError,
)

from mulberryhitch.configuration.addresses import check_address
from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.dispatch.access import digest_of
from mulberryhitch.errors import InvalidInputError, TooLargeError
from mulberryhitch.json_size import check_parsed_size
from mulberryhitch.jobs.model import (
    JobSpec,
    Limits,
    PermitPolicy,
    Queue,
    QueueTable,
    Step,
    StepKey,
    TaskKey,
    Tenant,
    WorkerRecord,
)

_MAX_ARGUMENT_BYTES = 4000
_MAX_COUNT = 20_000
_MAX_HEARTBEAT_BYTES = 16 * 1024
_MAX_WORKER_ID_CHARACTERS = 255
# A link of 2 Mbit/s carries the digests of so many keys in about a second.
_MAX_KEYS = 4000
_MAX_NUMBER = 2**53
_HEADER_TEXT = re.compile('[!-~]+')
_READY = 'ready'
_DRAINING = 'draining'

BodyType = TypeVar('BodyType', bound=BaseModel)
_ItemType = TypeVar('_ItemType')
# Each invalid item that is reported takes a kilobyte or more.
_List = Annotated[list[_ItemType], FailFast()]


class _Body(BaseModel):
    model_config = ConfigDict(strict=True, extra='ignore')


class _StepBody(_Body):
    count: int = Field(1, ge=1, le=_MAX_COUNT)
    cpu: int = Field(0, ge=0, le=_MAX_NUMBER)
    mem_mb: int = Field(0, ge=0, le=_MAX_NUMBER)
    gpu: int = Field(0, ge=0, le=_MAX_NUMBER)
    estimate_ms: float = Field(0, ge=0, le=_MAX_NUMBER)
    depends_on: _List[int] = Field([], max_length=_MAX_COUNT)
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ''
    data_rack: str = ''
    anti_affinity: int = Field(0, ge=0)
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: float = Field(0, ge=0, le=_MAX_NUMBER)
    fills: bool = False
    miss_allowance: int = Field(0, ge=0)


class _JobBody(_Body):
    spec: str = ''
    steps: _List[_StepBody] = Field(min_length=1, max_length=_MAX_COUNT)
    repeat_count: int = Field(0, ge=0, le=_MAX_COUNT)
    first_ms: float = Field(0, ge=0, le=_MAX_NUMBER)
    interval_ms: float = Field(0, ge=0, le=_MAX_NUMBER)


class _AdviceBody(_Body):
    decide_ms: float = Field(ge=0)
    each_ms: float = Field(ge=0)
    valid_ms: float = Field(ge=0)


class _RouteBody(_Body):
    name: str
    host: str
    path_prefix: str
    timeout_ms: float = Field(gt=0)
    service: str
    target_duration_ms: float = Field(0, ge=0)
    priority: int = 0
    max_attempts: int = Field(1, ge=1)
    stretch: float = Field(1, ge=0)
    advice: _AdviceBody | None = None
    public: bool = False


class _ServiceBody(_Body):
    name: str
    enforces_capacity: bool = False


class _LimitsBody(_Body):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15_000


class _CapBody(_Body):
    cpu: int = Field(0, ge=0, le=_MAX_NUMBER)
    mem_mb: int = Field(0, ge=0, le=_MAX_NUMBER)
    gpu: int = Field(0, ge=0, le=_MAX_NUMBER)


class _TenantBody(_Body):
    name: str = Field(min_length=1)
    api_keys: _List[Annotated[str, Field(min_length=1)]] = []
    weight: float = Field(1, ge=0, le=_MAX_NUMBER)
    cap: _CapBody = Field(default_factory=_CapBody.model_construct)


class _ConfigBody(_Body):
    version: int = Field(ge=0, le=_MAX_NUMBER)
    routes: _List[_RouteBody]
    services: _List[_ServiceBody]
    limits: _LimitsBody = _LimitsBody()
    tenants: _List[_TenantBody] = []


class _CapacityBody(_Body):
    cpu: int = Field(ge=0, le=_MAX_NUMBER)
    mem_mb: int = Field(ge=0, le=_MAX_NUMBER)
    gpu: int = Field(0, ge=0, le=_MAX_NUMBER)


_Integer = Annotated[int, Field(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


class _HeartbeatBody(_Body):
    service: str
    address: str
    zone: str
    state: str
    capacity: _CapacityBody
    labels: _List[str]
    clock_ms: _Integer
    sequence: _Integer
    born: _Integer = 0


def read_body(
    model: type[BodyType], content: bytes, body_name: str
) -> BodyType:
    """Parses a JSON body and validates it against its model.

    Raises:
        InvalidInputError: The body is not JSON, or a field is invalid; names
            the first one.
        TooLargeError: It has too many values.
    """
    check_parsed_size(content, body_name)
    try:
        return model.model_validate(orjson.loads(content))
    except orjson.JSONDecodeError as error:
        raise InvalidInputError(str(error), where=body_name) from error
    except ValidationError as error:
        first_error = error.errors(
            include_url=False, include_context=False, include_input=False
        )[0]
        path = '.'.join(map(str, first_error['loc']))
        raise InvalidInputError(
            str(first_error['msg']), where=f'{body_name}.{path}'
        ) from error


def read_job(content: bytes) -> JobSpec:
    """Parses a job.

    Raises:
        InvalidInputError: A field is invalid; names it.
    """
    body = read_body(_JobBody, content, 'job')
    if len(body.spec.encode()) > _MAX_ARGUMENT_BYTES:
        raise InvalidInputError(
            f'longer than {_MAX_ARGUMENT_BYTES} bytes', where='job.spec'
        )
    spec = JobSpec(
        body.spec,
        tuple(_step(step) for step in body.steps),
        body.repeat_count,
        body.first_ms / MILLISECONDS_PER_SECOND,
        body.interval_ms / MILLISECONDS_PER_SECOND,
    )
    spec.validate()
    return spec


def read_table(content: bytes) -> QueueTable:
    """Parses a configuration.

    Raises:
        InvalidInputError: A field is invalid; names it.
    """
    body = read_body(_ConfigBody, content, 'config')
    services = {service.name for service in body.services}
    prefixes: set[tuple[str, str]] = set()
    for index, route in enumerate(body.routes):
        where = f'config.routes.{index}'
        if route.service not in services:
            raise InvalidInputError(
                f'unknown service {route.service!r}', where=where
            )
        prefix = (route.host, route.path_prefix)
        if prefix in prefixes:
            raise InvalidInputError(
                f'path prefix {route.path_prefix!r} is used twice',
                where=where,
            )
        prefixes.add(prefix)
    _check_tenants(body.tenants)
    # Without tenants there are no keys that calls could carry.
    has_keys = 'tenants' in body.model_fields_set
    return QueueTable(
        body.version,
        content.decode(),
        tuple(
            _queue(route, public=route.public or not has_keys)
            for route in body.routes
        ),
        Limits(
            body.limits.max_header_bytes,
            body.limits.max_body_bytes,
            body.limits.header_timeout_ms / MILLISECONDS_PER_SECOND,
            body.limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
        ),
        tuple(
            service.name
            for service in body.services
            if not service.enforces_capacity
        ),
        tuple(sorted(services)),
        tuple(_tenant(row) for row in body.tenants),
    )


def read_heartbeat(
    worker_id: str, content: bytes
) -> tuple[WorkerRecord, int, int]:
    """Parses a heartbeat into record, clock (ms) and sequence number.

    Raises:
        InvalidInputError: A field is invalid; names it.
        TooLargeError: It is too large to be stored with each change.
    """
    body = read_body(_HeartbeatBody, content, 'heartbeat')
    if len(content) > _MAX_HEARTBEAT_BYTES:
        raise TooLargeError(
            f'{len(content)} bytes, over {_MAX_HEARTBEAT_BYTES}',
            where='heartbeat',
        )
    if body.state not in {_READY, _DRAINING}:
        raise InvalidInputError(
            f'unknown state {body.state!r}', where='heartbeat.state'
        )
    _check_worker_names(worker_id, body.address)
    # The first label is the worker's kind, the second its rack.
    rack = body.labels[1] if len(body.labels) > 1 else ''
    record = WorkerRecord(
        worker_id,
        body.address,
        body.service,
        body.zone,
        rack,
        tuple(body.labels),
        body.capacity.cpu,
        body.capacity.mem_mb,
        body.capacity.gpu,
        body.born,
        draining=body.state == _DRAINING,
    )
    return record, body.clock_ms, body.sequence


def _check_worker_names(worker_id: str, address: str) -> None:
    """Checks that a request can be sent to the worker under these names."""
    if not _HEADER_TEXT.fullmatch(worker_id):
        raise InvalidInputError(
            f'{worker_id!r} has characters other than visible ASCII',
            where='worker id',
        )
    if len(worker_id) > _MAX_WORKER_ID_CHARACTERS:
        raise InvalidInputError(
            f'longer than {_MAX_WORKER_ID_CHARACTERS} characters',
            where='worker id',
        )
    check_address(address)


def task_name(task: TaskKey) -> str:
    """Returns a task's name in the platform's messages."""
    return f'{task.job_id}.{task.occurrence}.{task.step}.{task.number}'


def step_name(step: StepKey) -> str:
    """Returns a step's name in the platform's messages."""
    return f'{step.job_id}.{step.occurrence}.{step.step}'


def _step(body: _StepBody) -> Step:
    return Step(
        body.count,
        body.cpu,
        body.mem_mb,
        body.gpu,
        body.estimate_ms / MILLISECONDS_PER_SECOND,
        tuple(body.depends_on),
        body.checkpointing,
        body.gang,
        body.same_rack,
        body.requires,
        body.data_rack,
        body.anti_affinity,
        body.speculative,
        body.long_running,
        body.image,
        body.target_ms / MILLISECONDS_PER_SECOND,
        body.fills,
        body.miss_allowance,
    )


def _check_tenants(rows: list[_TenantBody]) -> None:
    """Checks that no two tenants have one name or share a key.

    Raises:
        InvalidInputError: Two do, or there are too many keys.
    """
    names: set[str] = set()
    owners: dict[str, int] = {}
    for index, row in enumerate(rows):
        where = f'config.tenants.{index}'
        if row.name in names:
            raise InvalidInputError(
                f'the name {row.name!r} is used twice', where=f'{where}.name'
            )
        names.add(row.name)
        for place, key in enumerate(row.api_keys):
            if owners.setdefault(key, index) != index:
                raise InvalidInputError(
                    f'the key is also that of {rows[owners[key]].name!r}',
                    where=f'{where}.api_keys.{place}',
                )
    if len(owners) > _MAX_KEYS:
        raise InvalidInputError(
            f'{len(owners)} keys, over {_MAX_KEYS}', where='config.tenants'
        )


def _tenant(body: _TenantBody) -> Tenant:
    digests = {digest_of(key.encode()) for key in body.api_keys}
    return Tenant(
        body.name,
        tuple(sorted(digests)),
        body.weight,
        body.cap.cpu,
        body.cap.mem_mb,
        body.cap.gpu,
    )


def _queue(body: _RouteBody, *, public: bool) -> Queue:
    permits = None
    if body.advice is not None:
        permits = PermitPolicy(
            body.advice.decide_ms / MILLISECONDS_PER_SECOND,
            body.advice.each_ms / MILLISECONDS_PER_SECOND,
            body.advice.valid_ms / MILLISECONDS_PER_SECOND,
        )
    return Queue(
        body.name,
        body.host,
        body.path_prefix,
        body.service,
        body.priority,
        body.max_attempts,
        body.stretch,
        body.target_duration_ms / MILLISECONDS_PER_SECOND,
        permits,
        public,
    )
