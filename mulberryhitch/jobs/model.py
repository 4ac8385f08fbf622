"""What a job asks for, and the queues that jobs are sent to."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from mulberryhitch.errors import InvalidInputError

MAXIMUM_TASKS = 20_000


class TaskKey(NamedTuple):
    """Names one task: occurrence, step and number count from zero."""

    job_id: str
    occurrence: int
    step: int
    number: int


class StepKey(NamedTuple):
    """Names one step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class Resources(NamedTuple):
    """What a task takes or a worker has.

    Attributes:
        processors: Thousandths of a core.
        memory: Mebibytes.
        accelerators: Whole devices.
    """

    processors: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, free: 'Resources') -> bool:
        """Whether it fits into what is free."""
        return (
            self.processors <= free.processors
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Both together."""
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def times(self, copies: int) -> 'Resources':
        """So many of it."""
        return Resources(*(part * copies for part in self))

    def minus(self, other: 'Resources') -> 'Resources':
        """This less the other; may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class Step:
    """One step: tasks of the same size.

    Attributes:
        processors: Thousandths of a core for each task.
        memory: Mebibytes for each task.
        estimate_seconds: The submitter's guess of a task's run time.
        depends_on: Numbers of earlier steps that must end first.
        gang: The tasks start, work and end together.
        label: What a worker must be labelled with; empty for any.
        data_rack: The rack where the tasks run at full speed.
        spread_limit: The most tasks of the step on one worker; zero for any.
        speculative: A second copy of a running task is harmless.
        long_running: The tasks are started again however they end.
        target_seconds: The bound of a serving task's tail of answer times.
        fills: The tasks take only what the others leave of the processors.
        absence_allowance: How many tasks may be away by our own doing.
    """

    count: int
    processors: int = 0
    memory: int = 0
    accelerators: int = 0
    estimate_seconds: float = 0
    depends_on: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    spread_limit: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_seconds: float = 0
    fills: bool = False
    absence_allowance: int = 0

    @property
    def resources(self) -> Resources:
        """What one task takes of a worker."""
        processors = 0 if self.fills else self.processors
        return Resources(processors, self.memory, self.accelerators)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as its submitter described it.

    Attributes:
        argument: Handed to each task as it is.
        repeat_count: How often the steps run; zero for once, now.
        first_due: When the first occurrence is due, seconds since 1970.
        interval_seconds: The time between two occurrences.
    """

    argument: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due: float = 0
    interval_seconds: float = 0

    def validate(self) -> None:
        """Refuses what can't be run as described.

        Raises:
            InvalidInputError: Names the step and the field.
        """
        if not self.steps:
            raise InvalidInputError('a job has a step at least', where='steps')
        if sum(step.count for step in self.steps) > MAXIMUM_TASKS:
            raise InvalidInputError('too many tasks', where='steps')
        for number, step in enumerate(self.steps):
            if any(not 0 <= one < number for one in step.depends_on):
                raise InvalidInputError(
                    'a step depends on earlier steps only',
                    where=f'steps.{number}.depends_on',
                )


@dataclass(frozen=True, slots=True)
class PermitPolicy:
    """How a queue's permits behave.

    Attributes:
        decide_seconds: What each question takes.
        each_seconds: What each worker named adds.
        valid_seconds: How long a permit holds.
    """

    decide_seconds: float
    each_seconds: float
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs are sent to: a host and a prefix of the path.

    Attributes:
        urgency: Zero comes first.
        maximum_failures: A task that failed so often fails its job.
        stretch: Its objective is this times the longest chain of run times,
        target_seconds: and this much more.
    """

    name: str
    host: str
    prefix: str
    service: str
    urgency: int = 0
    maximum_failures: int = 1
    stretch: float = 1
    target_seconds: float = 0
    permits: PermitPolicy | None = None


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds on what callers send, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 3
    idle_seconds: float = 15


@dataclass(frozen=True, slots=True)
class QueueTable:
    """All queues of one version of the configuration.

    Attributes:
        document: The configuration as the operator sent it.
        unguarded: Services whose workers start whatever they are told to.
    """

    version: int
    document: str
    queues: tuple[Queue, ...]
    limits: Limits = field(default_factory=Limits)
    unguarded: tuple[str, ...] = ()

    def find(self, host: str, path: str) -> Queue | None:
        """The queue of the longest prefix that the path begins with."""
        found: Queue | None = None
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                if found is None or len(queue.prefix) > len(found.prefix):
                    found = queue
        return found


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """A worker as it last described itself.

    Attributes:
        address: IP number and port.
        rack: Its rack's label; empty if it names none.
        capacity: All that it has.
        born: When this life of it began, milliseconds since 1970.
        draining: It takes nothing new and will leave.
    """

    worker_id: str
    address: str
    service: str
    data_centre: str
    rack: str
    labels: tuple[str, ...]
    processors: int
    memory: int
    accelerators: int
    born: int
    draining: bool = False

    @property
    def capacity(self) -> Resources:
        """All that the worker has."""
        return Resources(self.processors, self.memory, self.accelerators)

    def restarted(self, born: int) -> 'WorkerRecord':
        """The same worker in a later life."""
        return replace(self, born=born, draining=False)

    def as_draining(self) -> 'WorkerRecord':
        """The same worker, taking nothing new."""
        return replace(self, draining=True)
