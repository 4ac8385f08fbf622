"""Job specifications, queues and worker records."""

from dataclasses import dataclass, field, replace
from typing import NamedTuple

from mulberryhitch.errors import InvalidInputError

MAX_TASKS = 20_000


class TaskKey(NamedTuple):
    """Identifies a task; occurrence, step and number start at zero."""

    job_id: str
    occurrence: int
    step: int
    number: int


class StepKey(NamedTuple):
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class Resources(NamedTuple):
    """Amounts of resources that a task takes or a worker has.

    Attributes:
        processors: Thousandths of a core.
        memory: Mebibytes.
        accelerators: Whole devices.
    """

    processors: int = 0
    memory: int = 0
    accelerators: int = 0

    def fits(self, free: 'Resources') -> bool:
        """Whether these resources fit into the free ones."""
        return (
            self.processors <= free.processors
            and self.memory <= free.memory
            and self.accelerators <= free.accelerators
        )

    def plus(self, other: 'Resources') -> 'Resources':
        """Returns the sum of both."""
        return Resources(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def times(self, copies: int) -> 'Resources':
        """Returns the resources of several copies."""
        return Resources(*(part * copies for part in self))

    def minus(self, other: 'Resources') -> 'Resources':
        """Returns the difference, which may be negative."""
        return Resources(
            self.processors - other.processors,
            self.memory - other.memory,
            self.accelerators - other.accelerators,
        )


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a job: tasks of the same size.

    Attributes:
        processors: Thousandths of a core for each task.
        memory: Mebibytes for each task.
        estimate_seconds: The submitter's estimate of a task's run time.
        depends_on: Numbers of earlier steps that must be done first.
        gang: Whether the tasks start, run and end together.
        checkpointing: Whether a run can resume from an earlier checkpoint.
        same_rack: Whether a gang is placed on one rack if possible.
        label: Label that a worker must have; empty for any worker.
        data_rack: Rack on which the tasks run at full speed.
        spread_limit: Maximum number of its tasks on one worker; zero for any.
        speculative: Whether a second copy of a running task is harmless.
        long_running: Whether the tasks are restarted however they end.
        target_seconds: Upper bound on the tail latency of a serving task.
        fills: Whether the tasks use only processors left idle by others.
        absence_allowance: Maximum number of tasks that the scheduler may stop
            at a time.
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
        """Resources that one task takes on a worker."""
        processors = 0 if self.fills else self.processors
        return Resources(processors, self.memory, self.accelerators)


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job by its submitter.

    Attributes:
        argument: Passed to each task unchanged.
        repeat_count: Number of occurrences; zero for a single immediate one.
        first_due: When the first occurrence is due, in seconds since 1970.
        interval_seconds: Time between two occurrences.
    """

    argument: str
    steps: tuple[Step, ...]
    repeat_count: int = 0
    first_due: float = 0
    interval_seconds: float = 0

    def validate(self) -> None:
        """Validates the specification.

        Raises:
            InvalidInputError: The specification is invalid; names the field.
        """
        if not self.steps:
            raise InvalidInputError(
                'a job needs at least one step', where='steps'
            )
        if sum(step.count for step in self.steps) > MAX_TASKS:
            raise InvalidInputError(
                f'a job may have at most {MAX_TASKS} tasks', where='steps'
            )
        for number, step in enumerate(self.steps):
            if any(not 0 <= one < number for one in step.depends_on):
                raise InvalidInputError(
                    'a step may depend on earlier steps only',
                    where=f'steps.{number}.depends_on',
                )


@dataclass(frozen=True, slots=True)
class PermitPolicy:
    """Timing of a queue's permits.

    Attributes:
        decide_seconds: Time that each permit request takes.
        each_seconds: Additional time for each worker in the request.
        valid_seconds: How long a permit is valid.
    """

    decide_seconds: float
    each_seconds: float
    valid_seconds: float


@dataclass(frozen=True, slots=True)
class Queue:
    """A job queue, addressed by a host and a path prefix.

    The objective for a job's duration is `stretch` times its longest chain of
    estimated run times, plus `target_seconds`.

    Attributes:
        urgency: Priority; zero is the most urgent.
        maximum_failures: Number of failed runs of a task that fails its job.
        public: Whether calls need no key of a tenant.
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
    public: bool = True


@dataclass(frozen=True, slots=True)
class Tenant:
    """A client account.

    Attributes:
        key_digests: SHA-256 digests of its keys, hexadecimal.
        weight: Its share relative to other tenants when capacity is scarce.
        processors: Thousandths of a core that its runs may take on all workers
            together; zero for no limit, as for the next two.
        memory: Mebibytes.
        accelerators: Whole devices.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    weight: float = 1
    processors: int = 0
    memory: int = 0
    accelerators: int = 0

    @property
    def cap(self) -> Resources:
        """What its runs may take together; a part of zero is not limited."""
        return Resources(self.processors, self.memory, self.accelerators)


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on incoming requests, in bytes and seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_seconds: float = 3
    idle_seconds: float = 15


@dataclass(frozen=True, slots=True)
class QueueTable:
    """All queues of one version of the configuration.

    Attributes:
        document: The configuration as sent by the operator.
        unguarded: Services whose workers do not enforce their capacity.
        services: The services that it defines, also those without a queue.
        tenants: The client accounts; empty if it defines none.
    """

    version: int
    document: str
    queues: tuple[Queue, ...]
    limits: Limits = field(default_factory=Limits)
    unguarded: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()

    def named_services(self) -> frozenset[str]:
        """Returns the services that it defines or that a queue runs on."""
        return frozenset(self.services).union(
            queue.service for queue in self.queues
        )

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue with the longest matching path prefix."""
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
        address: IP address and port.
        rack: Label of its rack; empty if it reports none.
        capacity: Total resources.
        born: Start of this incarnation, in milliseconds since 1970.
        draining: Whether it accepts no new tasks and is about to shut down.
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
        """Total resources of the worker."""
        return Resources(self.processors, self.memory, self.accelerators)

    def restarted(self, born: int) -> 'WorkerRecord':
        """Returns the record of a later incarnation of the worker."""
        return replace(self, born=born, draining=False)

    def as_draining(self) -> 'WorkerRecord':
        """Returns the record of the worker when it is draining."""
        return replace(self, draining=True)
