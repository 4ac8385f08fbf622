"""Waiting workloads, running tasks and placement decisions."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TypeAlias

from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec


@dataclass(slots=True, eq=False)
class WaitingWorkload:
    """Waiting tasks of a workload.

    Attributes:
        waiting_since: When it began to wait, in seconds.
        avoided_workers: Workers on which a task of it failed.
        reserves_from: No workers are reserved for it before, in seconds.
    """

    spec: WorkloadSpec
    task_numbers: deque[int]
    waiting_since: float
    avoided_workers: set[str] = field(default_factory=set)
    reserves_from: float = 0

    @classmethod
    def create(
        cls,
        spec: WorkloadSpec,
        task_numbers: Iterable[int],
        waiting_since: float,
    ) -> 'WaitingWorkload':
        """Creates an entry for the given tasks of a workload."""
        return cls(spec, deque(task_numbers), waiting_since)

    @property
    def size(self) -> Size:
        """Resources of each task."""
        return self.spec.size

    @property
    def tenant(self) -> str:
        """Tenant that submitted the workload."""
        return self.spec.tenant

    @property
    def urgency(self) -> Urgency:
        """Urgency class of the workload."""
        return self.spec.urgency

    @property
    def gang_size(self) -> int:
        """Number of tasks that must start together."""
        if self.spec.kind is Kind.gang:
            return max(len(self.task_numbers), 1)
        return 1


@dataclass(frozen=True, slots=True)
class Placed:
    """Decision to start tasks together, each on its worker."""

    workload_id: str
    tasks: tuple[tuple[TaskKey, str], ...]


@dataclass(frozen=True, slots=True)
class Preempted:
    """Decision to checkpoint or stop a running task for another workload."""

    task: TaskKey
    worker_id: str
    on_behalf_of: str


Decision: TypeAlias = Placed | Preempted


@dataclass(slots=True)
class RunningTask:
    """Task that holds resources on a worker."""

    task: TaskKey
    worker_id: str
    spec: WorkloadSpec
    is_preempted: bool = False


RunningTasksByWorker: TypeAlias = dict[str, dict[TaskKey, RunningTask]]
