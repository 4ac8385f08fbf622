"""What entries and schedulers ask of the leader, and what it answers."""

from dataclasses import dataclass

from mulberryhitch.jobs.model import (
    JobSpec,
    Limits,
    QueueTable,
    StepKey,
    WorkerRecord,
)
from mulberryhitch.rpc.records import record


@record('submit_job')
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Keep a job and run it; sent again, it stays one job.

    Attributes:
        path: The queue's prefix and the job's id.
    """

    host: str
    path: str
    spec: JobSpec


@record('read_job')
@dataclass(frozen=True, slots=True)
class ReadJob:
    """Tell how far a job is, or how many wait in a queue."""

    host: str
    path: str


@record('cancel_job')
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Start nothing more of a job and stop what runs."""

    host: str
    path: str


@dataclass(frozen=True, slots=True)
class JobAnswer:
    """How a job stands.

    Attributes:
        state: Empty if there is no such job.
        pending: How many jobs of the queue wait; -1 where a job was named.
    """

    state: str
    pending: int = -1


@record('hear_worker')
@dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """A worker's heartbeat.

    Attributes:
        clock: The worker's own clock, milliseconds.
    """

    worker: WorkerRecord
    clock: int


@record('leave_worker')
@dataclass(frozen=True, slots=True)
class LeaveWorker:
    """A worker has ended."""

    worker_id: str
    born: int


@record('change_table')
@dataclass(frozen=True, slots=True)
class ChangeTable:
    """Put a configuration in force, unless a newer one is."""

    table: QueueTable


@record('read_table')
@dataclass(frozen=True, slots=True)
class ReadTable:
    """Tell the newest configuration."""


@dataclass(frozen=True, slots=True)
class TableAnswer:
    """The newest configuration; version -1 before the first."""

    version: int
    document: str


@record('report_helper')
@dataclass(frozen=True, slots=True)
class ReportPermitProxy:
    """A process of ours is alive and can ask for permits."""

    name: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class GroupInfo:
    """What the leader tells each process about the group.

    Attributes:
        vms: The VMs of the group's members.
    """

    leader_vm: str
    vms: tuple[str, ...]
    version: int
    limits: Limits


@record('ask_permits')
@dataclass(frozen=True, slots=True)
class AskPermits:
    """Ask the permit service, for the leader."""

    step: StepKey
    worker_ids: tuple[str, ...]
    patience_seconds: float


@dataclass(frozen=True, slots=True)
class PermitAnswer:
    """The permits by worker."""

    tickets: dict[str, str]


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """It is done."""
