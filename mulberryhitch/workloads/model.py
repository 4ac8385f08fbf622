"""What a workload asks for, and what becomes of its tasks."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum

from mulberryhitch.errors import ConflictError, InvariantError, NotFoundError


class Kind(str, Enum):  # noqa: WPS600
    """The three kinds of workloads."""

    service = 'service'
    batch = 'batch'
    gang = 'gang'


class Urgency(str, Enum):  # noqa: WPS600
    """The classes of urgency, the least urgent first."""

    deferrable = 'deferrable'
    normal = 'normal'
    high = 'high'
    urgent = 'urgent'

    @property
    def rank(self) -> int:
        """Zero for the least urgent."""
        return _RANKS[self]


_RANKS = {urgency: rank for rank, urgency in enumerate(Urgency)}


class TaskState(str, Enum):  # noqa: WPS600
    """Where a task stands."""

    queued = 'queued'
    leased = 'leased'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'
    unknown = 'unknown'

    @property
    def ended(self) -> bool:
        """Whether nothing more will happen."""
        return self not in {TaskState.queued, TaskState.leased}


@dataclass(frozen=True, slots=True)
class Size:
    """An amount of each resource.

    Attributes:
        millicores: Thousandths of a processor.
        memory_mebibytes: Memory.
        accelerators: Whole accelerators.
    """

    millicores: int = 0
    memory_mebibytes: int = 0
    accelerators: int = 0

    def __add__(self, other: 'Size') -> 'Size':
        """The sum of each resource."""
        return Size(
            self.millicores + other.millicores,
            self.memory_mebibytes + other.memory_mebibytes,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: 'Size') -> 'Size':
        """The difference of each resource."""
        return Size(
            self.millicores - other.millicores,
            self.memory_mebibytes - other.memory_mebibytes,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> 'Size':
        """So many of this size."""
        return Size(
            self.millicores * count,
            self.memory_mebibytes * count,
            self.accelerators * count,
        )

    def fits(self, available: 'Size') -> bool:
        """Whether every resource is there."""
        return (
            self.millicores <= available.millicores
            and self.memory_mebibytes <= available.memory_mebibytes
            and self.accelerators <= available.accelerators
        )

    def dominant_share(self, total: 'Size') -> float:
        """The largest share of any resource of the total."""
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
    """What an operator asked for.

    Attributes:
        run_seconds: The declared run time of a task; zero for endless.
        start_within_seconds: When a task that has not started is given up;
            zero for never.
        accepted_at: Seconds since the epoch, at the accepting VM.
        key: The idempotency key; may be empty.
        program: What the worker is told to run, opaque to the scheduler.
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
        """Whether a task may be stopped and run again."""
        return self.restartable or self.checkpointable


@dataclass(slots=True)
class Task:
    """One task: its attempts are numbered from one."""

    number: int
    state: TaskState = TaskState.queued
    attempt: int = 0
    worker_id: str = ''
    reason: str = ''
    failures: int = 0
    failed_workers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Workload:
    """A workload and its tasks."""

    spec: WorkloadSpec
    tasks: list[Task]
    cancelled: bool = False
    ended_at: float = 0
    open_tasks: int = 0

    @classmethod
    def create(cls, spec: WorkloadSpec) -> 'Workload':
        """A new workload, all its tasks queued."""
        tasks = [Task(number) for number in range(spec.task_count)]
        return cls(spec, tasks, open_tasks=len(tasks))

    @property
    def ended(self) -> bool:
        """Whether every task has ended."""
        return self.open_tasks == 0

    def task(self, number: int) -> Task:
        """One task.

        Raises:
            NotFoundError: There is no such task.
        """
        if not 0 <= number < len(self.tasks):
            raise NotFoundError(
                f'no task {number}', where=self.spec.workload_id
            )
        return self.tasks[number]

    def queued(self) -> Iterator[Task]:
        """The tasks that wait."""
        return (task for task in self.tasks if task.state is TaskState.queued)

    def leased(self) -> Iterator[Task]:
        """The tasks that hold a lease."""
        return (task for task in self.tasks if task.state is TaskState.leased)

    def lease(self, number: int, attempt: int, worker_id: str) -> None:
        """Notes that an attempt is leased to a worker.

        Raises:
            ConflictError: The task does not wait any more.
            InvariantError: The attempt is not the next.
        """
        task = self.task(number)
        if task.state is not TaskState.queued:
            raise ConflictError('the task does not wait', where=str(number))
        if attempt != task.attempt + 1:
            raise InvariantError(f'attempt {attempt} after {task.attempt}')
        task.state = TaskState.leased
        task.attempt = attempt
        task.worker_id = worker_id

    def requeue(self, number: int, reason: str) -> None:
        """Lets a task whose attempt was stopped wait again.

        Raises:
            InvariantError: It is not leased, or may not run again.
        """
        task = self.task(number)
        if task.state is not TaskState.leased:
            raise InvariantError('a task that is not leased was stopped')
        task.state = TaskState.queued
        task.reason = reason

    def end(
        self, number: int, state: TaskState, reason: str, at: float
    ) -> None:
        """Ends a task for good.

        Raises:
            InvariantError: It has ended before.
        """
        task = self.task(number)
        if task.state.ended or not state.ended:
            raise InvariantError(f'{task.state} would become {state}')
        task.state = state
        task.reason = reason
        self.open_tasks -= 1
        if self.ended:
            self.ended_at = at
