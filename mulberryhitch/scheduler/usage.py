"""Tasks over their declared size: told, throttled, then stopped.

What was learned of run times and sizes is kept for each tenant and kind; no
placement rests on it.
"""

from dataclasses import dataclass, field

from mulberryhitch.workers.leases import Lease, TaskKey
from mulberryhitch.workers.protocol import AttemptReport
from mulberryhitch.workloads.model import Size, WorkloadSpec

_STOP_AFTER_SECONDS = 30.0
_MIN_SAMPLE_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class UsageAction:
    """What is to be done with a task that uses so much."""

    throttle: bool = False
    stop: bool = False


@dataclass(slots=True)
class UsageStatistics:
    """How a tenant's work of a kind compares with its declarations.

    Attributes:
        size_ratio: The used part of the declared memory or cores.
        run_seconds: How long tasks have run.
    """

    size_ratio: float = 1
    run_seconds: float = 0
    samples: int = 0

    def update(self, size_ratio: float, run_seconds: float) -> None:
        """Learns from one task."""
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / (self.samples + 1))
        self.size_ratio += weight * (size_ratio - self.size_ratio)
        self.run_seconds += weight * (run_seconds - self.run_seconds)
        self.samples += 1


@dataclass(slots=True)
class UsageMonitor:
    """Follows the usage of running tasks."""

    _over_since: dict[TaskKey, float] = field(default_factory=dict)
    _statistics: dict[tuple[str, str], UsageStatistics] = field(
        default_factory=dict
    )

    def statistics(self, tenant: str, kind: str) -> UsageStatistics:
        """What was learned of a tenant's work of a kind."""
        return self._statistics.setdefault((tenant, kind), UsageStatistics())

    def check(
        self,
        lease: Lease,
        spec: WorkloadSpec,
        report: AttemptReport,
        now: float,
    ) -> UsageAction:
        """Judges one report; reports may lag."""
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
        """Drops what is known of an ended task."""
        self._over_since.pop(task, None)
