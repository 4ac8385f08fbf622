"""Pool of workers, indexed by free cores to find a fit without a scan."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError, NotFoundError
from mulberryhitch.workloads.model import Size


@dataclass(slots=True)
class PoolWorker:
    """Worker in the pool.

    Attributes:
        is_schedulable: Whether new tasks may be placed on it.
        held_for: Id of the workload that it is held for; empty for none.
        accepts_backfill: Whether preemptible tasks of other workloads may
            start while it is held.
    """

    worker_id: str
    rack: str
    capacity: Size
    free: Size
    is_schedulable: bool = True
    held_for: str = ''
    accepts_backfill: bool = True

    def count_fitting(self, size: Size, available: Size | None = None) -> int:
        """Returns how many tasks of a size fit into the resources.

        Args:
            size: Resources of each task.
            available: Resources to use; None for the worker's free ones.
        """
        available = self.free if available is None else available
        counts = []
        if size.millicores:
            counts.append(available.millicores // size.millicores)
        if size.memory_mebibytes:
            counts.append(available.memory_mebibytes // size.memory_mebibytes)
        if size.accelerators:
            counts.append(available.accelerators // size.accelerators)
        return max(min(counts), 0) if counts else 0


class WorkerPool:
    """Workers of a data centre and their free resources."""

    def __init__(self) -> None:
        """Initialises an empty pool."""
        self._workers: dict[str, PoolWorker] = {}
        self._capacity = Size()
        self._without_accelerators: list[tuple[int, str]] = []
        self._with_accelerators: list[tuple[int, str]] = []
        self._round_robin_start = 0

    @property
    def capacity(self) -> Size:
        """Total resources of all workers."""
        return self._capacity

    @property
    def free(self) -> Size:
        """Total free resources of the schedulable workers."""
        free = Size()
        for worker in self._workers.values():
            if worker.is_schedulable:
                free += worker.free
        return free

    def __iter__(self) -> Iterator[PoolWorker]:
        """Iterates over all workers in the order of registration."""
        return iter(self._workers.values())

    def __contains__(self, worker_id: str) -> bool:
        """Whether the pool has the worker."""
        return worker_id in self._workers

    def worker(self, worker_id: str) -> PoolWorker:
        """Returns a worker.

        Raises:
            NotFoundError: The pool has no such worker.
        """
        found = self._workers.get(worker_id)
        if found is None:
            raise NotFoundError('no such worker', where=worker_id)
        return found

    def add(self, worker_id: str, rack: str, size: Size) -> None:
        """Adds a worker, or changes its capacity and keeps its allocations."""
        known = self._workers.get(worker_id)
        used = Size()
        if known is not None:
            used = known.capacity - known.free
            self._capacity -= known.capacity
            self._remove_from_index(known)
        worker = PoolWorker(worker_id, rack, size, size - used)
        if known is not None:
            worker.is_schedulable = known.is_schedulable
            worker.held_for = known.held_for
            worker.accepts_backfill = known.accepts_backfill
        self._workers[worker_id] = worker
        self._capacity += size
        self._add_to_index(worker)

    def remove(self, worker_id: str) -> None:
        """Removes a worker and its allocations.

        Raises:
            NotFoundError: The pool has no such worker.
        """
        worker = self.worker(worker_id)
        self._remove_from_index(worker)
        self._workers.pop(worker_id)
        self._capacity -= worker.capacity

    def allocate(self, worker_id: str, size: Size) -> None:
        """Allocates resources on a worker.

        Raises:
            InvariantError: The worker has less free.
        """
        worker = self.worker(worker_id)
        if not size.fits(worker.free):
            raise InvariantError(
                f'allocated {size}, but only {worker.free} is free',
                where=worker_id,
            )
        self._set_free(worker, worker.free - size)

    def allocate_unchecked(self, worker_id: str, size: Size) -> None:
        """Allocates resources already in use, even beyond the capacity."""
        worker = self.worker(worker_id)
        self._set_free(worker, worker.free - size)

    def release(self, worker_id: str, size: Size) -> PoolWorker:
        """Releases resources and returns the worker.

        Raises:
            InvariantError: Less was allocated.
        """
        worker = self.worker(worker_id)
        free = worker.free + size
        if not free.fits(worker.capacity):
            raise InvariantError(
                f'released {size}, more than was allocated', where=worker_id
            )
        self._set_free(worker, free)
        return worker

    def candidates(self, size: Size) -> Iterator[PoolWorker]:
        """Yields schedulable workers that fit, fewest free cores first.

        Workers with accelerators come last for tasks that need none.
        """
        indexes = [self._with_accelerators]
        if not size.accelerators:
            indexes = [self._without_accelerators, self._with_accelerators]
        for index in indexes:
            start = bisect_left(index, (size.millicores, ''))
            for _, worker_id in index[start:]:
                worker = self._workers[worker_id]
                if worker.is_schedulable and size.fits(worker.free):
                    yield worker

    def next_round_robin(self, count: int) -> list[PoolWorker]:
        """Returns the next workers, cycling through all over several calls."""
        worker_ids = list(self._workers)
        start = self._round_robin_start % max(len(worker_ids), 1)
        self._round_robin_start = start + count
        chosen = (worker_ids + worker_ids)[
            start : start + min(count, len(worker_ids))
        ]
        return [self._workers[worker_id] for worker_id in chosen]

    def could_fit(self, size: Size) -> bool:
        """Whether some worker would fit the size if it were idle."""
        return any(
            size.fits(worker.capacity) for worker in self._workers.values()
        )

    def _set_free(self, worker: PoolWorker, free: Size) -> None:
        self._remove_from_index(worker)
        worker.free = free
        self._add_to_index(worker)

    def _index(self, worker: PoolWorker) -> list[tuple[int, str]]:
        return (
            self._with_accelerators
            if worker.capacity.accelerators
            else self._without_accelerators
        )

    def _add_to_index(self, worker: PoolWorker) -> None:
        insort(self._index(worker), (worker.free.millicores, worker.worker_id))

    def _remove_from_index(self, worker: PoolWorker) -> None:
        index = self._index(worker)
        position = bisect_left(
            index, (worker.free.millicores, worker.worker_id)
        )
        index.pop(position)
