"""Telling a worker that fails everything from a job that fails everywhere."""

from dataclasses import dataclass, field

_FAILURES_TO_QUARANTINE = 3
_FAILED_WORKERS_TO_END_TASK = 3
_FIRST_QUARANTINE_SECONDS = 30.0
_LONGEST_QUARANTINE_SECONDS = 900.0


@dataclass(slots=True)
class _Record:
    failed_workloads: set[str] = field(default_factory=set)
    quarantined_until: float = 0
    quarantine_seconds: float = _FIRST_QUARANTINE_SECONDS
    probing: bool = False


class WorkerHealth:
    """Who of the workers is in quarantine.

    A worker on which several workloads failed one after another, and none
    succeeded, gets nothing new for a while. Then it is probed with one task:
    a success lets it back, a failure doubles its quarantine.
    """

    def __init__(self) -> None:
        """Trusts every worker."""
        self._records: dict[str, _Record] = {}

    def succeeded(self, worker_id: str) -> None:
        """Notes a task that completed on a worker."""
        self._records.pop(worker_id, None)

    def failed(self, worker_id: str, workload_id: str, now: float) -> bool:
        """Notes a task that failed; tells whether quarantine begins."""
        found = self._records.setdefault(worker_id, _Record())
        found.failed_workloads.add(workload_id)
        enough = len(found.failed_workloads) >= _FAILURES_TO_QUARANTINE
        if not found.probing and not enough:
            return False
        if found.probing:
            found.quarantine_seconds = min(
                found.quarantine_seconds * 2, _LONGEST_QUARANTINE_SECONDS
            )
        found.probing = False
        found.quarantined_until = now + found.quarantine_seconds
        return True

    def is_quarantined(self, worker_id: str, now: float) -> bool:
        """Whether the worker gets nothing new now."""
        found = self._records.get(worker_id)
        return found is not None and now < found.quarantined_until

    def may_probe(self, worker_id: str, now: float) -> bool:
        """Whether the quarantine is over and one task may be tried."""
        found = self._records.get(worker_id)
        if found is None or not found.quarantined_until:
            return False
        return now >= found.quarantined_until and not found.probing

    def begin_probe(self, worker_id: str) -> None:
        """Notes that one task is tried."""
        self._records.setdefault(worker_id, _Record()).probing = True

    def is_probing(self, worker_id: str) -> bool:
        """Whether one task is being tried."""
        found = self._records.get(worker_id)
        return found is not None and found.probing


def fails_everywhere(failed_workers: list[str], known_workers: int) -> bool:
    """Whether a task failed on enough workers to blame the task itself."""
    distinct = len(set(failed_workers))
    return distinct >= min(_FAILED_WORKERS_TO_END_TASK, max(known_workers, 1))
