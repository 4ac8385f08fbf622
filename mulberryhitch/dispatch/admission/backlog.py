"""A summary of the work that waits and of what can carry it."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from mulberryhitch.dispatch.admission.work import Work

# Below this share of its processors in use, a service has room.
_BUSY_SHARE = 0.7


@dataclass(slots=True)
class ServiceLoad:
    """What a service's workers can carry, and what they run.

    Attributes:
        rate: Work that they can do in a second.
        used: Work that their open runs do in a second.
    """

    rate: Work = Work()
    used: Work = Work()

    @property
    def is_busy(self) -> bool:
        """Whether most of some resource is in use."""
        return self.used.seconds_at(self.rate) >= _BUSY_SHARE


@dataclass(slots=True)
class WaitingWork:
    """Accepted work of one service and urgency that has not started.

    Attributes:
        in_time: Of jobs that can still be in time.
        late: Of jobs that can't, and are not past three times their objective.
        over_share: The part of both that belongs to tenants over their share.
    """

    in_time: Work = Work()
    late: Work = Work()
    over_share: Work = Work()

    def add(self, work: Work, *, is_late: bool, is_over_share: bool) -> None:
        """Adds the work of a job."""
        if is_over_share:
            self.over_share = self.over_share.plus(work)
        elif is_late:
            self.late = self.late.plus(work)
        else:
            self.in_time = self.in_time.plus(work)


@dataclass(slots=True)
class WaitingValue:
    """What the waiting jobs of a queue are worth, and the work they need."""

    worth: float = 0
    core_seconds: float = 0

    @property
    def density(self) -> float:
        """Value per core-second; zero if nothing waits."""
        if not self.core_seconds:
            return 0
        return self.worth / self.core_seconds


WaitingKey = tuple[str, int]


@dataclass(slots=True)
class Backlog:
    """Work that waits and the workers that can carry it, at one moment.

    Attributes:
        taken_at: When it was taken, seconds on the local clock.
        knows_workers: Whether nearly all workers have listed their runs.
        size: Number of waiting steps and workers that were summarised.
        services: Load by service.
        waiting: Waiting work by service and urgency.
        values: Value of what waits by queue name.
        missed: Core-seconds of each job that has not started, and in the last
            few seconds has become unable to be in time, by queue name.
        tenants: Waiting work of tenants with a cap, by name, then by urgency;
            what is over a share counts with the rest.
        caps: What these tenants' runs may do in a second, by name.
    """

    taken_at: float = 0
    knows_workers: bool = True
    size: int = 0
    services: dict[str, ServiceLoad] = field(default_factory=dict)
    waiting: dict[WaitingKey, WaitingWork] = field(default_factory=dict)
    values: dict[str, WaitingValue] = field(default_factory=dict)
    missed: dict[str, list[float]] = field(default_factory=dict)
    tenants: dict[str, dict[int, WaitingWork]] = field(default_factory=dict)
    caps: dict[str, Work] = field(default_factory=dict)

    def load_of(self, service: str) -> ServiceLoad:
        """Returns the load of a service."""
        return self.services.get(service, ServiceLoad())

    def waiting_of(self, service: str, urgency: int) -> WaitingWork:
        """Returns the waiting work of one urgency, to read or add to."""
        return self.waiting.setdefault((service, urgency), WaitingWork())

    def more_urgent(self, service: str, urgency: int) -> Iterable[WaitingWork]:
        """Returns the waiting work that is placed before that of an urgency."""
        return [
            waiting
            for key, waiting in self.waiting.items()
            if key[0] == service and key[1] < urgency
        ]

    def add_tenant_work(
        self, tenant: str, urgency: int, work: Work, *, is_late: bool
    ) -> None:
        """Adds waiting work of a tenant; without effect if it has no cap."""
        if tenant in self.caps:
            own = self.tenants.setdefault(tenant, {})
            waiting = own.setdefault(urgency, WaitingWork())
            waiting.add(work, is_late=is_late, is_over_share=False)

    def tenant_waiting(self, tenant: str, urgency: int) -> WaitingWork:
        """Returns what waits of one urgency of a tenant with a cap."""
        return self.tenants.get(tenant, {}).get(urgency, WaitingWork())

    def more_urgent_of_tenant(
        self, tenant: str, urgency: int
    ) -> Iterable[WaitingWork]:
        """Returns what waits of a tenant, and is placed before an urgency."""
        return [
            waiting
            for other, waiting in self.tenants.get(tenant, {}).items()
            if other < urgency
        ]

    def add_value(
        self, queue_name: str, job_value: float, core_seconds: float
    ) -> None:
        """Adds waiting work of a queue, and what it is worth."""
        values = self.values.setdefault(queue_name, WaitingValue())
        values.worth += job_value
        values.core_seconds += core_seconds

    def density_of(self, queue_name: str) -> float:
        """Returns what waits in a queue is worth per core-second."""
        return self.values.get(queue_name, WaitingValue()).density
