"""Workload specifications and the states of their tasks."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from mulberryhitch.errors import ConflictError, InvariantError, NotFoundError


class Kind(str, Enum):  # noqa: WPS600
    """The kind of a workload."""

    service = 'service'
    batch = 'batch'
    gang = 'gang'


class Urgency(str, Enum):  # noqa: WPS600
    """Urgency classes, least urgent first."""

    deferrable = 'deferrable'
    normal = 'normal'
    high = 'high'
    urgent = 'urgent'

    @property
    def rank(self) -> int:
        """Position in the order of urgency; zero is the least urgent."""
        return _RANKS[self]


_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


class TaskState(str, Enum):  # noqa: WPS600
    """The state of a task."""

    queued = 'queued'
    leased = 'leased'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'
    unknown = 'unknown'

    @property
    def ended(self) -> bool:
        """Whether the state is final."""
        return self not in {TaskState.queued, TaskState.leased}


@dataclass(frozen=True, slots=True)
class Size:
    """An amount of each resource.

    Attributes:
        millicores: Thousandths of a processor core.
        memory_mebibytes: Memory in MiB.
        accelerators: Whole accelerators.
    """

    millicores: int = 0
    memory_mebibytes: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Size') -> 'Size':
        """Returns the sum of each resource."""
        return Size(
            self.millicores + other.millicores,
            self.memory_mebibytes + other.memory_mebibytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Size') -> 'Size':
        """Returns the difference of each resource."""
        return Size(
            self.millicores - other.millicores,
            self.memory_mebibytes - other.memory_mebibytes,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Size':
        """Returns this size multiplied by a count."""
        return Size(
            self.millicores * count,
            self.memory_mebibytes * count,
            self.accelerators * count,
        )

    def fits(self, available: 'Size') -> bool:
        """Whether no resource exceeds the available amount."""
        return (
            self.millicores <= available.millicores
            and self.memory_mebibytes <= available.memory_mebibytes
            and self.accelerators <= available.accelerators
        )

    def dominant_share(self, total: 'Size') -> float:
        """Returns the largest share of the total among the resources."""
        share = float()
        if total.millicores:
            share = self.millicores / total.millicores
        if total.memory_mebibytes:
            memory_share = self.memory_mebibytes / total.memory_mebibytes
            share = max(share, memory_share)
        if total.accelerators:
            share = max(share, self.accelerators / total.accelerators)
        return share


@dataclass(frozen=True, slots=True)
class WorkloadSpec:
    """A workload as submitted.

    Attributes:
        run_seconds: Declared run time of a task; zero for unlimited.
        start_within_seconds: Time from acceptance after which tasks that
            have not started are cancelled; zero for never.
        accepted_at: Seconds since the epoch, at the accepting VM.
        key: The idempotency key; may be empty.
        program: What the worker runs; opaque to the scheduler.
    """

    workload_id: str
    tenant: str
    kind: Kind
    urgency: Urgency
    task_count: int
    size: Size
    run_seconds: float = 0
    restartable: bool = False
    checkpointable: bool = False
    start_within_seconds: float = 0
    accepted_at: float = 0
    key: str = ''
    program: str = ''

    @property
    def preemptible(self) -> bool:
        """Whether a task may be stopped and started again."""
        return self.restartable or self.checkpointable


@dataclass(slots=True)
class Task:
    """A task of a workload; its attempts are numbered from one.

    Attributes:
        reason: Why the last attempt stopped, or why the task ended.
        failed_workers: Worker of each failed attempt.
    """

    number: int
    state: TaskState = TaskState.queued
    attempt: int = 0
    worker_id: str = ''
    reason: str = ''
    failures: int = 0
    failed_workers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Workload:
    """A workload and its tasks.

    Attributes:
        ended_at: When the last task ended, in seconds since the epoch; zero
            before that.
        open_tasks: Number of tasks that have not ended.
    """

    spec: WorkloadSpec
    tasks: list[Task]
    cancelled: bool = False
    ended_at: float = 0
    open_tasks: int = 0

    @classmethod
    def create(cls, spec: WorkloadSpec) -> 'Workload':
        """Creates a workload with all tasks queued."""
        tasks = [Task(number) for number in range(spec.task_count)]
        return cls(spec, tasks, open_tasks=len(tasks))

    @property
    def ended(self) -> bool:
        """Whether every task has ended."""
        return self.open_tasks == 0

    def task(self, number: int) -> Task:
        """Returns a task.

        Raises:
            NotFoundError: There is no such task.
        """
        if not 0 <= number < len(self.tasks):
            raise NotFoundError(
                f'no such task: {number}', where=self.spec.workload_id
            )
        return self.tasks[number]

    def queued(self) -> Iterator[Task]:
        """Returns the queued tasks."""
        return (task for task in self.tasks if task.state is TaskState.queued)

    def leased(self) -> Iterator[Task]:
        """Returns the tasks that have a lease."""
        return (task for task in self.tasks if task.state is TaskState.leased)

    def lease(self, number: int, attempt: int, worker_id: str) -> None:
        """Records the lease of the next attempt to a worker.

        Raises:
            ConflictError: The task is not queued.
            InvariantError: The attempt number does not follow the last one.
        """
        task = self.task(number)
        if task.state is not TaskState.queued:
            raise ConflictError(
                f'the task is {task.state.value}, not queued',
                where=str(number),
            )
        if attempt != task.attempt + 1:
            raise InvariantError(
                f'attempt {attempt} does not follow attempt {task.attempt}'
            )
        task.state = TaskState.leased
        task.attempt = attempt
        task.worker_id = worker_id

    def requeue(self, number: int, reason: str) -> None:
        """Queues a task again after its attempt was stopped.

        Raises:
            InvariantError: The task is not leased.
        """
        task = self.task(number)
        if task.state is not TaskState.leased:
            raise InvariantError(
                f'task {number} to requeue is {task.state.value}, not leased'
            )
        task.state = TaskState.queued
        task.reason = reason

    def end(
        self, number: int, state: TaskState, reason: str, at: float
    ) -> None:
        """Moves a task to a final state.

        Raises:
            InvariantError: The task has already ended, or the new state is
                not final.
        """
        task = self.task(number)
        if task.state.ended or not state.ended:
            raise InvariantError(
                f'the task cannot change from {task.state} to {state}'
            )
        task.state = state
        task.reason = reason
        self.open_tasks -= 1
        if self.ended:
            self.ended_at = at
