"""Free resources of the workers during a placement round."""

from collections.abc import Container, Iterable, Iterator, Mapping
from dataclasses import dataclass

from mulberryhitch.dispatch.placement.gang_holds import StepTimes
from mulberryhitch.dispatch.placement.speed_order import SpeedOrder
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources
from mulberryhitch.jobs.store import JobStore

_UNLIMITED = 1_000_000

_FreeProcessors = list[tuple[int, TrackedWorker]]


def copies_that_fit(
    resources: Resources, free: Resources, maximum: int = 0
) -> int:
    """Returns how many tasks of a size fit into the free resources.

    Args:
        resources: Resources of one task.
        free: Free resources.
        maximum: Maximum number of tasks; zero for no limit.
    """
    processors, memory, accelerators = resources
    if free[0] < processors or free[1] < memory or free[2] < accelerators:
        return 0
    fitting = free[0] // processors if processors else _UNLIMITED
    if memory:
        fitting = min(fitting, free[1] // memory)
    if accelerators:
        fitting = min(fitting, free[2] // accelerators)
    return min(fitting, maximum) if maximum else fitting


@dataclass(slots=True)
class _Held:
    """A worker that is held for a gang.

    Attributes:
        until: When the gang is expected to start.
        spare: What the gang leaves free then.
        may_start_sooner: Whether it may, so that no step is known to end before.
    """

    until: float
    spare: Resources
    may_start_sooner: bool


class FreeCapacity:
    """The free resources of each worker that may receive new runs.

    Runs that may still be running and placements that are not yet committed
    count as used. A worker's free resources are computed on first use. On a
    worker that is held for a gang, a step that would not end before the gang
    starts has only what the gang leaves: see :meth:`consider`.

    Args:
        job_store: The committed state.
        workers: The workers that may receive new runs.
        uncommitted: Resources of placements that are not yet committed, by
            worker id.
        reserved: Ids of workers that gangs wait for; other steps try them last.
    """

    def __init__(
        self,
        job_store: JobStore,
        workers: Iterable[TrackedWorker],
        uncommitted: Mapping[str, Resources],
        reserved: Container[str] = (),
    ) -> None:
        """Initialises the capacity of the given workers."""
        self._job_store = job_store
        self._uncommitted = uncommitted
        self._free: dict[str, Resources] = {}
        self._held: dict[str, _Held] = {}
        self._times = StepTimes()
        self._reserved = reserved
        self._promised: dict[str, Resources] = {}
        self._mostly_free: dict[str, bool] = {}
        self._order: dict[tuple[str, SpeedOrder], list[_FreeProcessors]] = {}
        self.workers = {worker.record.worker_id: worker for worker in workers}

    def emptiest_first(
        self,
        service: str,
        minimum_processors: int = 0,
        speed_order: SpeedOrder = SpeedOrder.any,
    ) -> Iterator[TrackedWorker]:
        """Yields a service's workers, the most free processors first.

        Reserved workers come after all others, and workers of the preferred
        speed before others. The order is computed by the first call; later
        allocations do not change it.

        Args:
            service: The service.
            minimum_processors: Workers with fewer free processors are left
                out.
            speed_order: The preferred speed.
        """
        for group in self._ordered(service, speed_order):
            for processors, worker in group:
                if processors < minimum_processors:
                    # The workers behind it had even fewer.
                    break
                free = self.of_worker(worker.record.worker_id)
                if free.processors >= minimum_processors:
                    yield worker

    def consider(self, times: StepTimes) -> None:
        """Sets the times of the step that the next calls are made for."""
        self._times = times

    def of_worker(self, worker_id: str) -> Resources:
        """Returns the free resources of a worker for the present step."""
        free = self._unheld(worker_id)
        held = self._held.get(worker_id)
        if held is None or self._passes(held):
            return free
        return Resources(*map(min, free, held.spare))

    def is_held(self, worker_id: str) -> bool:
        """Whether a worker is held for a gang that comes before."""
        return worker_id in self._held

    def hold(
        self,
        worker_id: str,
        until: float,
        spare: Resources,
        *,
        may_start_sooner: bool = False,
    ) -> None:
        """Holds a worker for a gang from the steps that come after it.

        Args:
            worker_id: The worker.
            until: When the gang is expected to start, seconds on the local
                clock.
            spare: What the gang leaves free then.
            may_start_sooner: Whether it may start before.
        """
        self._held[worker_id] = _Held(until, spare, may_start_sooner)

    def is_mostly_free(self, service: str) -> bool:
        """Whether under half of a service's processors were in use.

        It is computed by the first call; later allocations do not change it.
        """
        is_free = self._mostly_free.get(service)
        if is_free is None:
            of_service = [
                worker
                for worker in self.workers.values()
                if worker.record.service == service
            ]
            whole = sum(worker.capacity.processors for worker in of_service)
            free = sum(
                self._unheld(worker.record.worker_id).processors
                for worker in of_service
            )
            is_free = free * 2 > whole
            self._mostly_free[service] = is_free
        return is_free

    def allocate(
        self, worker_id: str, resources: Resources, copies: int = 1
    ) -> None:
        """Allocates resources of a worker to a number of tasks of one size."""
        taken = resources.times(copies)
        self._free[worker_id] = self._unheld(worker_id).minus(taken)
        held = self._held.get(worker_id)
        if held is not None and self._times.ends_at > held.until:
            held.spare = held.spare.minus(taken)

    def promise(
        self, worker_id: str, resources: Resources, copies: int
    ) -> None:
        """Promises resources to tasks that wait for a permit.

        They can still be allocated to tasks that have one, but later steps
        request no permits for them.
        """
        promised = self._promised.get(worker_id, Resources())
        self._promised[worker_id] = promised.plus(resources.times(copies))

    def unpromised(self, worker_id: str) -> Resources:
        """Returns the free resources of a worker that are not promised."""
        promised = self._promised.get(worker_id, Resources())
        return self.of_worker(worker_id).minus(promised)

    def copies(
        self, worker_id: str, resources: Resources, maximum: int = 0
    ) -> int:
        """Returns how many tasks of a size fit on a worker now.

        Args:
            worker_id: The worker.
            resources: Resources of one task.
            maximum: Maximum number of tasks; zero for no limit.
        """
        return copies_that_fit(resources, self.of_worker(worker_id), maximum)

    def _passes(self, held: _Held) -> bool:
        """Whether the present step may use all that is free on a worker."""
        if self._times.ignores(held.until):
            return True
        return not held.may_start_sooner and self._times.ends_by(held.until)

    def _unheld(self, worker_id: str) -> Resources:
        free = self._free.get(worker_id)
        if free is None:
            free = self.workers[worker_id].capacity.minus(
                self._job_store.used_resources(worker_id)
            )
            planned = self._uncommitted.get(worker_id)
            if planned is not None:
                free = free.minus(planned)
            self._free[worker_id] = free
        return free

    def _ordered(
        self, service: str, speed_order: SpeedOrder
    ) -> list[_FreeProcessors]:
        """Returns the workers with their free processors at the first call.

        The most free ones come first; unreserved and reserved ones are apart,
        and so are the speeds, if they matter.
        """
        order = self._order.get((service, speed_order))
        if order is None:
            groups: dict[tuple[bool, float], _FreeProcessors] = {}
            for worker_id, worker in self.workers.items():
                if worker.record.service == service:
                    processors = self._unheld(worker_id).processors
                    reserved = worker_id in self._reserved
                    group = (reserved, speed_order.rank(worker))
                    groups.setdefault(group, []).append((processors, worker))
            order = [groups[group] for group in sorted(groups)]
            for rows in order:
                rows.sort(key=self._free_in_row, reverse=True)
            self._order[service, speed_order] = order
        return order

    def _free_in_row(self, row: tuple[int, TrackedWorker]) -> Resources:
        return self._unheld(row[1].record.worker_id)
