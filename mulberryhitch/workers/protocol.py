"""JSON messages between a scheduler's leader and a worker."""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field

# A float can hold each integer up to here.
_MAX_NAME_CHARACTERS = 255
_MAX_AMOUNT = 2**53


class _Message(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class SizeModel(_Message):
    """An amount of each resource."""

    millicores: int = Field(ge=0, le=_MAX_AMOUNT)
    memory_mebibytes: int = Field(ge=0, le=_MAX_AMOUNT)
    accelerators: int = Field(default=0, ge=0, le=_MAX_AMOUNT)


class AttemptName(_Message):
    """Identifies one attempt of a task."""

    workload_id: str
    task: int
    attempt: int


class TaskStart(AttemptName):
    """An attempt to start under a lease."""

    size: SizeModel
    run_seconds: float
    program: str


class StopMode(str, Enum):  # noqa: WPS600
    """How to stop a task."""

    stop = 'stop'
    checkpoint = 'checkpoint'


class TaskStop(AttemptName):
    """An attempt to stop."""

    mode: StopMode = StopMode.stop


class TaskThrottle(AttemptName):
    """An attempt to limit to its declared size."""


class LeaseMessage(_Message):
    """The leader's message to a worker.

    Attributes:
        sequence: Increases with each message of a term.
        anchor: The worker's own clock in the last response that the leader
            received. Leases run from that time, whenever this message
            arrives; without an anchor nothing is renewed or started.
        acknowledged: Ended attempts that the worker may stop reporting.
    """

    term: int
    sequence: int
    leader: str
    lease_seconds: float
    anchor: float | None
    renew: list[AttemptName] = Field(default_factory=list)
    start: list[TaskStart] = Field(default_factory=list)
    stop: list[TaskStop] = Field(default_factory=list)
    throttle: list[TaskThrottle] = Field(default_factory=list)
    acknowledged: list[AttemptName] = Field(default_factory=list)


class AttemptState(str, Enum):  # noqa: WPS600
    """The state of an attempt on its worker."""

    running = 'running'
    completed = 'completed'
    failed = 'failed'
    stopped = 'stopped'


class AttemptReport(AttemptName):
    """A worker's report on an attempt.

    Attributes:
        checkpointed: Whether its progress was saved when it was stopped.
        used: Recent resource usage; may be out of date.
    """

    state: AttemptState
    reason: str = ''
    checkpointed: bool = False
    used: SizeModel | None = None
    ran_seconds: float = 0


class LeaseResponse(_Message):
    """A worker's response: its clock and all attempts it keeps.

    Attributes:
        accepted: False if the message's term or sequence is outdated.
    """

    worker_id: str
    incarnation: int
    clock: float
    term: int
    accepted: bool
    attempts: list[AttemptReport] = Field(default_factory=list)


class WorkerAnnouncement(_Message):
    """The periodic announcement of a worker."""

    address: str
    data_centre: str
    rack: str = Field(max_length=_MAX_NAME_CHARACTERS)
    size: SizeModel
    incarnation: int
    leaving: bool = False
