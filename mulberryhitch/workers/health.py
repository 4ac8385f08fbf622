"""Distinguishes faulty workers from faulty tasks."""

from dataclasses import dataclass, field

_QUARANTINE_MIN_WORKLOADS = 3
_TASK_FAULT_MIN_WORKERS = 3
_FIRST_QUARANTINE_SECONDS = 30.0
_MAX_QUARANTINE_SECONDS = 900.0


@dataclass(slots=True)
class _FailureRecord:
    failed_workloads: set[str] = field(default_factory=set)
    quarantined_until: float = 0
    quarantine_seconds: float = _FIRST_QUARANTINE_SECONDS
    probing: bool = False


class WorkerHealth:
    """Quarantine state of the workers.

    A worker on which several workloads failed, with no success in between,
    gets no new tasks for a time. Then it is probed with one task: a success
    ends the quarantine, a failure doubles its length. Times are in seconds of
    a monotonic clock.
    """

    def __init__(self) -> None:
        """Initialises the state with no worker in quarantine."""
        self._records: dict[str, _FailureRecord] = {}

    def record_success(self, worker_id: str) -> None:
        """Records that a task completed on a worker."""
        self._records.pop(worker_id, None)

    def record_failure(
        self, worker_id: str, workload_id: str, now: float
    ) -> bool:
        """Records a failed task and returns whether quarantine starts."""
        record = self._records.setdefault(worker_id, _FailureRecord())
        record.failed_workloads.add(workload_id)
        limit_reached = (
            len(record.failed_workloads) >= _QUARANTINE_MIN_WORKLOADS
        )
        if not record.probing and not limit_reached:
            return False
        if record.probing:
            record.quarantine_seconds = min(
                record.quarantine_seconds * 2, _MAX_QUARANTINE_SECONDS
            )
        record.probing = False
        record.quarantined_until = now + record.quarantine_seconds
        return True

    def is_quarantined(self, worker_id: str, now: float) -> bool:
        """Returns whether the worker may not get new tasks."""
        record = self._records.get(worker_id)
        return record is not None and now < record.quarantined_until

    def may_probe(self, worker_id: str, now: float) -> bool:
        """Returns whether quarantine is over and a probe may start."""
        record = self._records.get(worker_id)
        if record is None or not record.quarantined_until:
            return False
        return now >= record.quarantined_until and not record.probing

    def begin_probe(self, worker_id: str) -> None:
        """Records that a probe task was assigned."""
        self._records.setdefault(worker_id, _FailureRecord()).probing = True

    def is_probing(self, worker_id: str) -> bool:
        """Returns whether a probe task is running."""
        record = self._records.get(worker_id)
        return record is not None and record.probing


def is_task_at_fault(failed_workers: list[str], known_workers: int) -> bool:
    """Returns whether a task failed on enough workers to be at fault."""
    distinct = len(set(failed_workers))
    return distinct >= min(_TASK_FAULT_MIN_WORKERS, max(known_workers, 1))
