"""Workloads with tasks that wait, and what placement decides of them."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec


@dataclass(slots=True, eq=False)
class WaitingWorkload:
    """A workload's tasks that wait.

    Attributes:
        waiting_since: When it began to wait, in seconds.
        avoided_workers: Workers on which a task of it failed.
    """

    spec: WorkloadSpec
    task_numbers: deque[int]
    waiting_since: float
    avoided_workers: set[str] = field(default_factory=set)

    @classmethod
    def create(
        cls, spec: WorkloadSpec, task_numbers: Iterable[int], since: float
    ) -> 'WaitingWorkload':
        """The given tasks of a workload."""
        return cls(spec, deque(task_numbers), since)

    @property
    def size(self) -> Size:
        """The size of each task."""
        return self.spec.size

    @property
    def tenant(self) -> str:
        """Whose it is."""
        return self.spec.tenant

    @property
    def urgency(self) -> Urgency:
        """Its class."""
        return self.spec.urgency

    @property
    def gang_size(self) -> int:
        """How many tasks must start at once."""
        if self.spec.kind is Kind.gang:
            return max(len(self.task_numbers), 1)
        return 1


@dataclass(frozen=True, slots=True)
class Placed:
    """Tasks to be started together, each with its worker."""

    workload_id: str
    tasks: tuple[tuple[TaskKey, str], ...]


@dataclass(frozen=True, slots=True)
class Preempted:
    """A running task to be checkpointed or stopped for another."""

    task: TaskKey
    worker_id: str
    on_behalf_of: str


Decision: TypeAlias = Placed | Preempted


@dataclass(slots=True)
class RunningTask:
    """A task that holds room on a worker."""

    task: TaskKey
    worker_id: str
    spec: WorkloadSpec
    is_preempted: bool = False


RunningTasksByWorker: TypeAlias = dict[str, dict[TaskKey, RunningTask]]
