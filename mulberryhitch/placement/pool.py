"""The workers' free room, indexed so that a fit is found without a scan."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError, NotFoundError
from mulberryhitch.workloads.model import Size


@dataclass(slots=True)
class PoolWorker:
    """One worker as placement sees it.

    Attributes:
        is_schedulable: Whether new tasks may go there.
        held_for: The workload that the worker is held for; empty for none.
        accepts_backfill: Whether others that may be stopped may still start.
    """

    worker_id: str
    rack: str
    capacity: Size
    free: Size
    is_schedulable: bool = True
    held_for: str = ''
    accepts_backfill: bool = True

    def count_fitting(self, size: Size, room: Size | None = None) -> int:
        """How many tasks of a size the free or the given room takes."""
        room = self.free if room is None else room
        counts = []
        if size.millicores:
            counts.append(room.millicores // size.millicores)
        if size.memory_mebibytes:
            counts.append(room.memory_mebibytes // size.memory_mebibytes)
        if size.accelerators:
            counts.append(room.accelerators // size.accelerators)
        return max(min(counts), 0) if counts else 0


class WorkerPool:
    """All workers of a data centre."""

    def __init__(self) -> None:
        """Starts with no worker."""
        self._workers: dict[str, PoolWorker] = {}
        self._capacity = Size()
        self._without_accelerators: list[tuple[int, str]] = []
        self._with_accelerators: list[tuple[int, str]] = []
        self._round_robin_start = 0

    @property
    def capacity(self) -> Size:
        """What all workers hold together."""
        return self._capacity

    @property
    def free(self) -> Size:
        """What is free on open workers."""
        free = Size()
        for worker in self._workers.values():
            if worker.is_schedulable:
                free += worker.free
        return free

    def __iter__(self) -> Iterator[PoolWorker]:
        """All workers."""
        return iter(self._workers.values())

    def __contains__(self, worker_id: str) -> bool:
        """Whether the worker is known."""
        return worker_id in self._workers

    def worker(self, worker_id: str) -> PoolWorker:
        """One worker.

        Raises:
            NotFoundError: It is not known.
        """
        found = self._workers.get(worker_id)
        if found is None:
            raise NotFoundError('no such worker', where=worker_id)
        return found

    def add(self, worker_id: str, rack: str, size: Size) -> None:
        """Adds a worker, or changes its size; what it carries stays."""
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
        """Removes a worker, with whatever it carries."""
        worker = self.worker(worker_id)
        self._remove_from_index(worker)
        self._workers.pop(worker_id)
        self._capacity -= worker.capacity

    def allocate(self, worker_id: str, size: Size) -> None:
        """Takes room.

        Raises:
            InvariantError: There is not so much.
        """
        worker = self.worker(worker_id)
        if not size.fits(worker.free):
            raise InvariantError('more than is free', where=worker_id)
        self._set_free(worker, worker.free - size)

    def allocate_unchecked(self, worker_id: str, size: Size) -> None:
        """Takes room that is in use already, even beyond what is there."""
        worker = self.worker(worker_id)
        self._set_free(worker, worker.free - size)

    def release(self, worker_id: str, size: Size) -> PoolWorker:
        """Gives room back.

        Raises:
            InvariantError: More than was taken.
        """
        worker = self.worker(worker_id)
        free = worker.free + size
        if not free.fits(worker.capacity):
            raise InvariantError('more than was taken', where=worker_id)
        self._set_free(worker, free)
        return worker

    def candidates(self, size: Size) -> Iterator[PoolWorker]:
        """Open workers with room, those with the fewest free cores first.

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
        """So many workers, others at each call until all had their turn."""
        names = list(self._workers)
        start = self._round_robin_start % max(len(names), 1)
        self._round_robin_start = start + count
        chosen = (names + names)[start : start + min(count, len(names))]
        return [self._workers[name] for name in chosen]

    def could_fit(self, size: Size) -> bool:
        """Whether some worker could carry the size if it were empty."""
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
        place = bisect_left(index, (worker.free.millicores, worker.worker_id))
        index.pop(place)
