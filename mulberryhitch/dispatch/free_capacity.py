"""How much room the workers have left in one placement round."""

from collections.abc import Iterable, Mapping

from mulberryhitch.dispatch.tracked_worker import TrackedWorker
from mulberryhitch.jobs.book import JobBook
from mulberryhitch.jobs.model import Room

_UNLIMITED = 1_000_000


def copies_that_fit(room: Room, free: Room, maximum: int = 0) -> int:
    """How many tasks of a size fit into what is free.

    Args:
        room: Of one task.
        free: What there is.
        most: The most that may; zero for any number.
    """
    processors, memory, accelerators = room
    fitting = free[0] // processors if processors else _UNLIMITED
    if memory:
        fitting = min(fitting, free[1] // memory)
    if accelerators:
        fitting = min(fitting, free[2] // accelerators)
    return max(0, min(fitting, maximum) if maximum else fitting)


class FreeCapacity:
    """The free room of each worker that may get new runs.

    Every run that may still go on counts, and so does what is planned but not
    committed. Each worker's room is counted when it is first asked for.

    Args:
        book: The committed state.
        workers: The workers that may get new runs.
        reserved: Room planned but not yet committed, by worker.
    """

    def __init__(
        self,
        book: JobBook,
        workers: Iterable[TrackedWorker],
        uncommitted: Mapping[str, Room],
    ) -> None:
        """Counts nothing yet."""
        self._book = book
        self._uncommitted = uncommitted
        self._free: dict[str, Room] = {}
        self._order: dict[str, list[TrackedWorker]] = {}
        self.workers = {worker.record.worker_id: worker for worker in workers}

    def emptiest_first(self, service: str) -> list[TrackedWorker]:
        """A service's workers, those with the most free processors first.

        The order is that of the first call; what was taken since does not
        change it.
        """
        order = self._order.get(service)
        if order is None:
            order = [
                worker
                for worker in self.workers.values()
                if worker.record.service == service
            ]
            order.sort(
                key=lambda worker: self.of_worker(worker.record.worker_id),
                reverse=True,
            )
            self._order[service] = order
        return order

    def of_worker(self, worker_id: str) -> Room:
        """What is free there."""
        free = self._free.get(worker_id)
        if free is None:
            free = self.workers[worker_id].room.minus(
                self._book.used(worker_id)
            )
            planned = self._uncommitted.get(worker_id)
            if planned is not None:
                free = free.minus(planned)
            self._free[worker_id] = free
        return free

    def allocate(self, worker_id: str, room: Room, copies: int = 1) -> None:
        """Counts so many tasks of a size as placed there."""
        free = self.of_worker(worker_id)
        self._free[worker_id] = free.minus(room.times(copies))

    def allocate_all(self, worker_id: str) -> None:
        """Leaves nothing of a worker to steps that come later."""
        self._free[worker_id] = Room()

    def copies(self, worker_id: str, room: Room, maximum: int = 0) -> int:
        """How many tasks of a size fit there now.

        Args:
            worker_id: Where.
            room: Of one task.
            most: The most that may; zero for any number.
        """
        return copies_that_fit(room, self.of_worker(worker_id), maximum)
