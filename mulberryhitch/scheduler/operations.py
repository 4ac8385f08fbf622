"""Requests to a data centre's leader, and its replies."""

from dataclasses import dataclass

from mulberryhitch.observability.histograms import HistogramSummary
from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.rpc.records import record
from mulberryhitch.workers.leases import Worker
from mulberryhitch.workloads.model import Task, WorkloadSpec


@record('submit')
@dataclass(frozen=True, slots=True)
class Submit:
    """Requests that a workload be stored and run."""

    spec: WorkloadSpec


@dataclass(frozen=True, slots=True)
class Submitted:
    """The id of the stored workload."""

    workload_id: str


@record('describe')
@dataclass(frozen=True, slots=True)
class Describe:
    """Requests a workload's state.

    Attributes:
        wait_seconds: How long to wait for the workload to end.
    """

    workload_id: str
    wait_seconds: float = 0


@record('cancel')
@dataclass(frozen=True, slots=True)
class Cancel:
    """Requests that a workload start no more tasks and stop running ones."""

    workload_id: str


@dataclass(frozen=True, slots=True)
class WorkloadView:
    """The current state of a workload.

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
    """Requests a page of a tenant's workloads, ordered by id.

    Attributes:
        after: Only workloads with a greater id are returned.
        limit: Maximum number of workloads.
    """

    tenant: str
    after: str
    limit: int


@dataclass(frozen=True, slots=True)
class WorkloadSummary:
    """A workload in a list, without its tasks."""

    workload_id: str
    kind: str
    urgency: str
    tasks: int
    open_tasks: int
    cancelled: bool


@dataclass(frozen=True, slots=True)
class WorkloadPage:
    """A page of workload summaries.

    Attributes:
        more: Whether further workloads follow.
    """

    workloads: tuple[WorkloadSummary, ...]
    more: bool


@record('announce_worker')
@dataclass(frozen=True, slots=True)
class AnnounceWorker:
    """Announces a worker, and whether it is leaving."""

    worker: Worker
    leaving: bool


@record('begin_request')
@dataclass(frozen=True, slots=True)
class BeginRequest:
    """Requests that a non-idempotent request be recorded before it runs."""

    entry: LedgerEntry


@record('finish_request')
@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Requests that the response to a non-idempotent request be stored."""

    tenant: str
    key: str
    request_id: str
    answer: StoredResponse


@record('release_request')
@dataclass(frozen=True, slots=True)
class ReleaseRequest:
    """Requests removal of a non-idempotent request that did not run."""

    tenant: str
    key: str
    request_id: str


@record('give_up_request')
@dataclass(frozen=True, slots=True)
class GiveUpRequest:
    """Reports that a non-idempotent request's outcome stays unknown."""

    tenant: str
    key: str
    request_id: str


@record('read_histograms')
@dataclass(frozen=True, slots=True)
class ReadHistograms:
    """Requests the task wait times by tenant and urgency class."""


@dataclass(frozen=True, slots=True)
class HistogramsView:
    """Summaries of all histograms of a leader."""

    summaries: tuple[HistogramSummary, ...]


@record('replace_voter')
@dataclass(frozen=True, slots=True)
class ReplaceVoter:
    """Requests removal of a voter that has failed permanently."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class Done:
    """An empty reply to a completed request."""
