"""Throttles, then stops, tasks that use more than their declared size.

Statistics on sizes and run times are kept by tenant and workload kind;
placement does not use them.
"""

from dataclasses import dataclass, field

from mulberryhitch.workers.leases import Lease, TaskKey
from mulberryhitch.workers.protocol import AttemptReport
from mulberryhitch.workloads.model import Size, WorkloadSpec

_STOP_AFTER_SECONDS = 30.0
_MIN_SAMPLE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class UsageAction:
    """What to do with a task, given its usage."""

    throttle: bool = False
    stop: bool = False


@dataclass(slots=True)
class UsageStatistics:
    """Moving averages of a tenant's usage for one kind of workload.

    Attributes:
        size_ratio: Used fraction of the declared size, for the resource
            with the largest fraction.
        run_seconds: Run time reported by tasks.
        samples: Number of reports included.
    """

    size_ratio: float = 1
    run_seconds: float = 0
    samples: int = 0

    def update(self, size_ratio: float, run_seconds: float) -> None:
        """Adds one report to the averages."""
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        self.size_ratio += weight * (size_ratio - self.size_ratio)
        self.run_seconds += weight * (run_seconds - self.run_seconds)
        self.samples += 1


@dataclass(slots=True)
class UsageMonitor:
    """Compares the usage of running tasks with their declared sizes."""

    _over_since: dict[TaskKey, float] = field(default_factory=dict)
    _statistics: dict[tuple[str, str], UsageStatistics] = field(
        default_factory=dict
    )

    def statistics(self, tenant: str, kind: str) -> UsageStatistics:
        """Returns the statistics of a tenant and kind; creates missing ones."""
        return self._statistics.setdefault((tenant, kind), UsageStatistics())

    def check(
        self,
        lease: Lease,
        spec: WorkloadSpec,
        report: AttemptReport,
        now: float,
    ) -> UsageAction:
        """Returns the action for a report, whose usage may be out of date."""
        if report.used is None:
            return UsageAction()
        used = Size(
            report.used.millicores,
            report.used.memory_mebibytes,
            report.used.accelerators,
        )
        statistics = self.statistics(spec.tenant, spec.kind.value)
        ratio = used.dominant_share(lease.size)
        statistics.update(ratio, report.ran_seconds)
        if used.fits(lease.size):
            self._over_since.pop(lease.task, None)
            return UsageAction()
        since = self._over_since.setdefault(lease.task, now)
        return UsageAction(True, now - since >= _STOP_AFTER_SECONDS)

    def remove(self, task: TaskKey) -> None:
        """Removes the record of an ended task."""
        self._over_since.pop(task, None)
