"""Test data for admission: queues, jobs, backlogs and a controller."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, TypeVar

from mulberryhitch.dispatch.admission.backlog import (
    Backlog,
    ServiceLoad,
    WaitingWork,
)
from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.admission.controller import AdmissionController
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.admission.options import AdmissionOptions
from mulberryhitch.dispatch.admission.ports import (
    NoTenantShares,
    TenantShareSource,
)
from mulberryhitch.dispatch.admission.work import Work
from mulberryhitch.jobs.model import JobSpec, Queue, Step
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import LineRateLimiter, Log

_Key = TypeVar('_Key')

SERVICE = 'svc'
# Objective of a job of 1 s: 2 s; it is too late after 6 s.
QUEUE = Queue('q', 'h', '/q/', SERVICE, urgency=1, stretch=2)
SETTLED_SECONDS = 4.0
# As much as any job of these tests needs.
MISSED_CORE_SECONDS = 20.0
CORES = 10


def make_spec(seconds: float = 1, count: int = 1, **fields: Any) -> JobSpec:
    """Returns a job of one step, whose tasks take one core each."""
    step = Step(count, 1000, 100, estimate_seconds=seconds, **fields)
    return JobSpec('argument', (step,))


def cores(amount: float) -> Work:
    """Returns core-seconds, or cores, of work that needs nothing else."""
    return Work(amount)


def make_backlog(
    waiting: Mapping[int, float], used: float = CORES, **fields: Any
) -> Backlog:
    """Returns a backlog of a service of ten cores.

    Args:
        waiting: Waiting core-seconds that can be in time, by urgency.
        used: Cores that runs take.
        **fields: Other fields of the backlog.
    """
    missed = {
        name: [MISSED_CORE_SECONDS] * 9 for name in ('q', 'urgent', 'later')
    }
    return Backlog(
        services={SERVICE: ServiceLoad(cores(CORES), cores(used))},
        waiting={
            (SERVICE, urgency): WaitingWork(cores(work))
            for urgency, work in waiting.items()
        },
        **{'missed': missed, **fields},
    )


def _copied(
    waiting_work: Mapping[_Key, WaitingWork],
) -> dict[_Key, WaitingWork]:
    return {key: replace(work) for key, work in waiting_work.items()}


@dataclass
class FixedBacklog:
    """Provides the same backlog each time, and counts how often."""

    backlog: Backlog
    reads: int = 0

    def read(self, now: float) -> Backlog:
        self.reads += 1
        return replace(
            self.backlog,
            taken_at=now,
            waiting=_copied(self.backlog.waiting),
            tenants={
                tenant: _copied(waiting)
                for tenant, waiting in self.backlog.tenants.items()
            },
            values={},
        )


class BrokenBacklog:
    """Fails to provide a backlog."""

    def read(self, now: float) -> Backlog:
        raise ZeroDivisionError


@dataclass
class OverShare:
    """Shares that some tenants are over."""

    tenants: set[str] = field(default_factory=set)

    def is_over_share(self, tenant: str) -> bool:
        return tenant in self.tenants


def make_controller(
    source: FixedBacklog | BrokenBacklog,
    shares: TenantShareSource | None = None,
    completed: CompletedWork | None = None,
    rounds: int = 10,
    histograms: Histograms | None = None,
) -> tuple[AdmissionController, Log]:
    """Returns a controller after some rounds, and its log."""
    log = Log('test', LineRateLimiter(0))
    sizes: dict[str, JobSizes] = {}
    controller = AdmissionController(
        source,
        completed or CompletedWork(),
        sizes,
        shares or NoTenantShares(),
        AdmissionOptions(),
        log,
        histograms or Histograms(),
    )
    for _ in range(rounds):
        controller.record_round()
    return controller, log
