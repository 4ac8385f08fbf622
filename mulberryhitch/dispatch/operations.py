"""Operations on jobs, workers, queues and permits, and their replies."""

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
    """Submits a job; submitting it again has no effect.

    Attributes:
        path: The queue's path prefix followed by the job's id.
        key_digest: SHA-256 digest of the caller's key, hexadecimal; empty if
            the caller sent none.
    """

    host: str
    path: str
    spec: JobSpec
    key_digest: str = ''


@record('read_job')
@dataclass(frozen=True, slots=True)
class ReadJob:
    """Reads the state of a job, or the number of pending jobs of a queue.

    Attributes:
        key_digest: As that of :class:`SubmitJob`.
    """

    host: str
    path: str
    key_digest: str = ''


@record('cancel_job')
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Cancels a job: no more of its tasks start, and its runs are stopped.

    Attributes:
        key_digest: As that of :class:`SubmitJob`.
    """

    host: str
    path: str
    key_digest: str = ''


@dataclass(frozen=True, slots=True)
class JobReply:
    """The state of a job, or the number of pending jobs of a queue.

    Attributes:
        state: State of the job; empty if it does not exist.
        pending: Number of pending jobs of the queue; -1 if the path named a
            job.
    """

    state: str
    pending: int = -1


@record('hear_worker')
@dataclass(frozen=True, slots=True)
class WorkerHeartbeat:
    """A worker's heartbeat.

    Attributes:
        clock: Time on the worker's own clock, milliseconds.
    """

    worker: WorkerRecord
    clock: int


@record('leave_worker')
@dataclass(frozen=True, slots=True)
class WorkerDeparture:
    """Reports that a worker has shut down.

    Attributes:
        born: Incarnation that has shut down; zero if unknown.
    """

    worker_id: str
    born: int


@record('change_table')
@dataclass(frozen=True, slots=True)
class ChangeTable:
    """Applies a configuration if its version is newer than the active one."""

    table: QueueTable


@record('read_table')
@dataclass(frozen=True, slots=True)
class ReadTable:
    """Reads the active configuration."""


@dataclass(frozen=True, slots=True)
class TableReply:
    """The active configuration; version is -1 if there is none yet."""

    version: int
    document: str


@record('report_helper')
@dataclass(frozen=True, slots=True)
class ReportPermitProxy:
    """Reports that a process is alive and can request permits.

    Attributes:
        keys_version: Version of the configuration whose keys it was told; -1
            for none, and ``None`` if it needs none.
    """

    name: str
    host: str
    port: int
    keys_version: int | None = None


@dataclass(frozen=True, slots=True)
class CallerKeys:
    """Which callers a configuration lets in.

    Attributes:
        required: Whether there is a queue that is not public.
        digests: SHA-256 digests of all valid keys, hexadecimal.
        public_routes: Host and path prefix of each queue that needs no key;
            empty if none does.
    """

    required: bool
    digests: tuple[str, ...] = ()
    public_routes: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True, slots=True)
class GroupInfo:
    """The leader's reply to a report.

    Attributes:
        leader_vm: The VM of the leader.
        vms: The VMs of the group's members.
        version: Version of the active configuration; -1 if there is none yet.
        limits: Request limits of that configuration.
        caller_keys: Whom that configuration lets in; ``None`` if the reporter
            knows it or needs none.
    """

    leader_vm: str
    vms: tuple[str, ...]
    version: int
    limits: Limits
    caller_keys: CallerKeys | None = None


@record('ask_permits')
@dataclass(frozen=True, slots=True)
class AskPermits:
    """Requests permits from the permit service on behalf of the leader.

    Attributes:
        patience_seconds: Time-out of the request.
    """

    step: StepKey
    worker_ids: tuple[str, ...]
    patience_seconds: float


@dataclass(frozen=True, slots=True)
class PermitReply:
    """The tickets granted, by worker id."""

    tickets: dict[str, str]


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """Confirms that an operation was carried out."""
