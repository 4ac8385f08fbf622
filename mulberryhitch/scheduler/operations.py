"""What entries ask of a data centre's leader, and what it answers."""

from dataclasses import dataclass

from mulberryhitch.observability.histograms import HistogramSummary
from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.rpc.records import record
from mulberryhitch.workers.leases import Worker
from mulberryhitch.workloads.model import Task, WorkloadSpec


@record('submit')
@dataclass(frozen=True, slots=True)
class Submit:
    """Keep a workload and run it."""

    spec: WorkloadSpec


@dataclass(frozen=True, slots=True)
class Submitted:
    """The id under which the workload is kept."""

    workload_id: str


@record('describe')
@dataclass(frozen=True, slots=True)
class Describe:
    """Tell of a workload; wait until it ends, or so many seconds."""

    workload_id: str
    wait_seconds: float = 0


@record('cancel')
@dataclass(frozen=True, slots=True)
class Cancel:
    """Start no more tasks of a workload and stop those that run."""

    workload_id: str


@dataclass(frozen=True, slots=True)
class WorkloadView:
    """A workload as it stands.

    Attributes:
        waiting_reason: Why queued tasks have not started; may be empty.
    """

    spec: WorkloadSpec
    tasks: tuple[Task, ...]
    cancelled: bool
    ended: bool
    waiting_reason: str = ''


@record('list')
@dataclass(frozen=True, slots=True)
class ListWorkloads:
    """Tell of a tenant's workloads after one id, at most so many."""

    tenant: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class WorkloadSummary:
    """One line of a list."""

    workload_id: str
    kind: str
    urgency: str
    tasks: int
    open_tasks: int
    cancelled: bool


@dataclass(frozen=True, slots=True)
class WorkloadPage:
    """Some workloads, without their tasks."""

    workloads: tuple[WorkloadSummary, ...]
    more: bool


@record('announce_worker')
@dataclass(frozen=True, slots=True)
class AnnounceWorker:
    """A worker is there, or wants to leave."""

    worker: Worker
    leaving: bool


@record('begin_request')
@dataclass(frozen=True, slots=True)
class BeginRequest:
    """Keep the intent of a non-idempotent request."""

    entry: LedgerEntry


@record('finish_request')
@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Keep the answer of a non-idempotent request."""

    tenant: str
    key: str
    request_id: str
    answer: StoredResponse


@record('release_request')
@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Forget a non-idempotent request that did not run."""

    tenant: str
    key: str
    request_id: str


@record('give_up_request')
@dataclass(frozen=True, slots=True)
class GiveUpRequest:
    """Note that a non-idempotent request's outcome stays unknown."""

    tenant: str
    key: str
    request_id: str


@record('read_histograms')
@dataclass(frozen=True, slots=True)
class ReadHistograms:
    """Tell how long tasks have waited, by tenant and class."""


@dataclass(frozen=True, slots=True)
class HistogramPage:
    """The figures of all histograms of a leader."""

    summaries: tuple[HistogramSummary, ...]


@record('replace_voter')
@dataclass(frozen=True, slots=True)
class ReplaceVoter:
    """Remove a voter that will not come back."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class Done:
    """Nothing more to tell."""
