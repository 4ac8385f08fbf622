"""The entries of a data centre's log."""

from dataclasses import dataclass

from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.rpc.records import record
from mulberryhitch.workers.leases import TaskKey, Worker
from mulberryhitch.workloads.model import TaskState, WorkloadSpec


@record('workload_accepted')
@dataclass(frozen=True, slots=True)
class WorkloadAccepted:
    """A workload to be kept from now to its end."""

    spec: WorkloadSpec


@record('workload_cancelled')
@dataclass(frozen=True, slots=True)
class WorkloadCancelled:
    """No task of it will be started any more."""

    workload_id: str
    at: float


@record('worker_registered')
@dataclass(frozen=True, slots=True)
class WorkerRegistered:
    """A worker is new, or has changed."""

    worker: Worker


@record('worker_removed')
@dataclass(frozen=True, slots=True)
class WorkerRemoved:
    """A worker is gone for good."""

    worker_id: str


@dataclass(frozen=True, slots=True)
class Grant:
    """One lease to be granted."""

    task: TaskKey
    attempt: int
    worker_id: str
    incarnation: int


@record('leases_granted')
@dataclass(frozen=True, slots=True)
class LeasesGranted:
    """Leases that go into force together; a gang's are never split."""

    grants: tuple[Grant, ...]


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How one attempt ended.

    Attributes:
        state: ``queued`` if the task is to wait for another attempt.
        blames_worker: Whether the attempt failed on its worker.
    """

    task: TaskKey
    attempt: int
    state: TaskState
    reason: str
    blames_worker: bool = False


@record('attempts_ended')
@dataclass(frozen=True, slots=True)
class AttemptsEnded:
    """Leases that are over."""

    ends: tuple[AttemptEnd, ...]
    at: float


@record('tasks_given_up')
@dataclass(frozen=True, slots=True)
class TasksGivenUp:
    """Waiting tasks that will never start."""

    tasks: tuple[TaskKey, ...]
    reason: str
    at: float


@record('request_begun')
@dataclass(frozen=True, slots=True)
class RequestBegun:
    """The intent of a non-idempotent request."""

    entry: LedgerEntry


@record('request_finished')
@dataclass(frozen=True, slots=True)
class RequestFinished:
    """The answer of a non-idempotent request."""

    tenant: str
    key: str
    request_id: str
    answer: StoredResponse


@record('request_released')
@dataclass(frozen=True, slots=True)
class RequestReleased:
    """A non-idempotent request that certainly did not run."""

    tenant: str
    key: str
    request_id: str


@record('request_given_up')
@dataclass(frozen=True, slots=True)
class RequestGivenUp:
    """A non-idempotent request of which nothing more will be known."""

    tenant: str
    key: str
    request_id: str


@record('history_pruned')
@dataclass(frozen=True, slots=True)
class HistoryPruned:
    """Ended workloads older than this are forgotten."""

    ended_before: float
