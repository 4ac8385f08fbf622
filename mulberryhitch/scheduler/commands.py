"""Commands that are stored as entries in a data centre's log.

Each ``at`` is the time of the change, in seconds since the epoch.
"""

from dataclasses import dataclass

from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.rpc.records import record
from mulberryhitch.workers.leases import TaskKey, Worker
from mulberryhitch.workloads.model import TaskState, WorkloadSpec


@record('workload_accepted')
@dataclass(frozen=True, slots=True)
class WorkloadAccepted:
    """Adds an accepted workload."""

    spec: WorkloadSpec


@record('workload_cancelled')
@dataclass(frozen=True, slots=True)
class WorkloadCancelled:
    """Cancels a workload: its queued tasks end and none is started."""

    workload_id: str
    at: float


@record('worker_registered')
@dataclass(frozen=True, slots=True)
class WorkerRegistered:
    """Adds a worker or updates a known one."""

    worker: Worker


@record('worker_removed')
@dataclass(frozen=True, slots=True)
class WorkerRemoved:
    """Removes a worker permanently."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class Grant:
    """A lease to be granted."""

    task: TaskKey
    attempt: int
    worker_id: str
    incarnation: int


@record('leases_granted')
@dataclass(frozen=True, slots=True)
class LeasesGranted:
    """Grants leases atomically; the leases of a gang are never split."""

    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """The outcome of an attempt.

    Attributes:
        state: New state of the task; ``queued`` if it is to be retried.
        blames_worker: Whether the failure counts against the worker.
    """

    task: TaskKey
    attempt: int
    state: TaskState
    reason: str
    blames_worker: bool = False


@record('attempts_ended')
@dataclass(frozen=True, slots=True)
class AttemptsEnded:
    """Closes the leases of ended attempts."""

    ends: tuple[AttemptEnd, ...]
    at: float


@record('tasks_given_up')
@dataclass(frozen=True, slots=True)
class TasksGivenUp:
    """Cancels queued tasks that were not started in time."""

    tasks: tuple[TaskKey, ...]
    reason: str
    at: float


@record('request_begun')
@dataclass(frozen=True, slots=True)
class RequestBegun:
    """Records a non-idempotent request before it is sent."""

    entry: LedgerEntry


@record('request_finished')
@dataclass(frozen=True, slots=True)
class RequestFinished:
    """Records the response to a non-idempotent request."""

    tenant: str
    key: str
    request_id: str
    answer: StoredResponse


@record('request_released')
@dataclass(frozen=True, slots=True)
class RequestReleased:
    """Removes a non-idempotent request that is known not to have run."""

    tenant: str
    key: str
    request_id: str


@record('request_given_up')
@dataclass(frozen=True, slots=True)
class RequestGivenUp:
    """Records that a non-idempotent request's outcome stays unknown."""

    tenant: str
    key: str
    request_id: str


@record('history_pruned')
@dataclass(frozen=True, slots=True)
class HistoryPruned:
    """Removes workloads that ended before a time.

    Attributes:
        ended_before: The time, in seconds since the epoch.
    """

    ended_before: float
