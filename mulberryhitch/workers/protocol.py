"""What a scheduler's leader and a worker say to each other, as JSON."""

from enum import Enum

from pydantic import BaseModel, ConfigDict, Field


class _Message(BaseModel):
    model_config = ConfigDict(extra='ignore', frozen=True)


class SizeModel(_Message):
    """An amount of each resource."""

    millicores: int = Field(ge=0)
    memory_mebibytes: int = Field(ge=0)
    accelerators: int = Field(default=0, ge=0)


class AttemptName(_Message):
    """Names one attempt of one task."""

    workload_id: str
    task: int
    attempt: int


class TaskStart(AttemptName):
    """An attempt to be begun under a lease."""

    size: SizeModel
    run_seconds: float
    program: str


class StopMode(str, Enum):  # noqa: WPS600
    """How a task is to be stopped."""

    stop = 'stop'
    checkpoint = 'checkpoint'


class TaskStop(AttemptName):
    """An attempt to be stopped."""

    mode: StopMode = StopMode.stop


class TaskThrottle(AttemptName):
    """An attempt to be kept to its declared size."""


class LeaseMessage(_Message):
    """The leader's message to a worker.

    Attributes:
        sequence: Grows with each message of a term.
        anchor: The worker's own clock in the last answer that the leader
            has heard; leases run from there, whenever this message arrives.
            Without an anchor nothing is renewed or started.
        acknowledged: Ended attempts that the worker may forget.
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
    """Where an attempt stands on its worker."""

    running = 'running'
    completed = 'completed'
    failed = 'failed'
    stopped = 'stopped'


class AttemptReport(AttemptName):
    """An attempt as its worker sees it.

    Attributes:
        checkpointed: Whether its progress was kept when it was stopped.
        used: What it lately used; the report may lag.
    """

    state: AttemptState
    reason: str = ''
    checkpointed: bool = False
    used: SizeModel | None = None
    ran_seconds: float = 0


class LeaseReply(_Message):
    """The worker's answer: its clock and all the attempts it holds.

    Attributes:
        accepted: False if the message's term or sequence was overtaken.
    """

    worker_id: str
    incarnation: int
    clock: float
    term: int
    accepted: bool
    attempts: list[AttemptReport] = Field(default_factory=list)


class WorkerAnnouncement(_Message):
    """What a worker says of itself, again and again."""

    address: str
    data_centre: str
    rack: str
    size: SizeModel
    incarnation: int
    leaving: bool = False
