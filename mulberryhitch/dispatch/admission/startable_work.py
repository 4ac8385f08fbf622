"""Which waiting work can ever take the room that other jobs wait for."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from mulberryhitch.dispatch.admission.work import Work
from mulberryhitch.dispatch.placement.plans import LATE_FACTOR
from mulberryhitch.dispatch.placement.cap_rules import is_single, limits_of
from mulberryhitch.dispatch.placement.free_capacity import copies_that_fit
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources, Step, Tenant


class _Shape(NamedTuple):
    """What a step needs to start.

    Attributes:
        tasks: Number of tasks that start together.
        spread_limit: Maximum number of them on one worker; zero for any.
    """

    service: str
    label: str
    resources: Resources
    tasks: int
    spread_limit: int


class StartableShapes:
    """Whether steps could start if all workers were idle.

    A step that no worker suits waits until its job is given up, and takes no
    room from others.

    Args:
        workers: The workers that are in contact.
    """

    def __init__(self, workers: Iterable[TrackedWorker]) -> None:
        """Initialises it; no shape has been looked at."""
        self._workers = tuple(workers)
        self._known: dict[_Shape, bool] = {}

    def suits(self, service: str, step: Step) -> bool:
        """Whether a task of a step, or a whole gang, fits on idle workers."""
        tasks = step.count if step.gang else 1
        spread_limit = step.spread_limit if step.gang else 0
        shape = _Shape(service, step.label, step.resources, tasks, spread_limit)
        known = self._known.get(shape)
        if known is None:
            known = self._fits(shape)
            self._known[shape] = known
        return known

    def _fits(self, shape: _Shape) -> bool:
        """Whether tasks fit, looking at no more workers than needed."""
        missing = shape.tasks
        for worker in self._workers:
            record = worker.record
            if record.service != shape.service:
                continue
            if shape.label and shape.label not in record.labels:
                continue
            missing -= copies_that_fit(
                shape.resources,
                worker.capacity,
                shape.spread_limit or missing,
            )
            if missing <= 0:
                return True
        return False


class CappedWork:
    """Holds the work that counts before other tenants' jobs to the caps.

    What a tenant has waiting beyond its cap does not start, however much room
    there is, so no other tenant waits for it.

    Args:
        caps: Work that a tenant's runs may do in a second, by name.
    """

    def __init__(self, caps: Mapping[str, Work]) -> None:
        """Initialises it; no work has been counted."""
        self._caps = caps
        self._counted: dict[str, Work] = {}

    def takes_room(self, tenant: str, work: Work, objective: float) -> bool:
        """Whether waiting work may start before it is too late; counts it.

        Args:
            tenant: The client account; empty if none.
            work: Work of a step.
            objective: That of the step's job, seconds.
        """
        cap = self._caps.get(tenant)
        if cap is None:
            return True
        counted = self._counted.get(tenant, Work())
        if counted.seconds_at(cap) >= objective * LATE_FACTOR:
            return False
        self._counted[tenant] = counted.plus(work)
        return True


def fits_cap(step: Step, tenant: Tenant | None) -> bool:
    """Whether a step's gang can run within its tenant's cap in force."""
    if tenant is None or is_single(step):
        return True
    return step.resources.times(step.count).fits(limits_of(tenant.cap))
