"""The lease table: no task in two places, no worker overcommitted."""

from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError, NotFoundError
from mulberryhitch.workloads.model import Size


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker as it announced itself.

    Attributes:
        address: Its IP number and port.
        incarnation: Grows with each start of the worker.
    """

    worker_id: str
    address: str
    data_centre: str
    rack: str
    size: Size
    incarnation: int


@dataclass(frozen=True, slots=True)
class TaskKey:
    """Names one task."""

    workload_id: str
    number: int


@dataclass(frozen=True, slots=True)
class Lease:
    """The right of one worker to run one attempt of a task.

    Attributes:
        term: The leader's term when it was granted.
        incarnation: The worker's incarnation when it was granted.
    """

    task: TaskKey
    attempt: int
    worker_id: str
    incarnation: int
    term: int
    size: Size


class LeaseTable:
    """All open leases of a data centre."""

    def __init__(self) -> None:
        """Starts with no worker and no lease."""
        self._workers: dict[str, Worker] = {}
        self._leases: dict[TaskKey, Lease] = {}
        self._by_worker: dict[str, dict[TaskKey, Lease]] = {}
        self._used: dict[str, Size] = {}

    @property
    def workers(self) -> dict[str, Worker]:
        """The known workers by id."""
        return self._workers

    def __iter__(self) -> Iterator[Lease]:
        """All open leases."""
        return iter(self._leases.values())

    def __len__(self) -> int:
        """How many leases are open."""
        return len(self._leases)

    def register(self, worker: Worker) -> None:
        """Notes a worker, or what changed of it.

        A worker that shrank keeps its leases; it gets no new one until it
        can carry it.
        """
        self._workers[worker.worker_id] = worker
        self._by_worker.setdefault(worker.worker_id, {})
        self._used.setdefault(worker.worker_id, Size())

    def unregister(self, worker_id: str) -> None:
        """Removes a worker.

        Raises:
            InvariantError: It still holds leases.
        """
        if self._by_worker.get(worker_id):
            raise InvariantError('the worker holds leases', where=worker_id)
        self._workers.pop(worker_id, None)
        self._by_worker.pop(worker_id, None)
        self._used.pop(worker_id, None)

    def get(self, task: TaskKey) -> Lease | None:
        """The open lease of a task, if there is one."""
        return self._leases.get(task)

    def of_worker(self, worker_id: str) -> tuple[Lease, ...]:
        """The open leases of a worker."""
        return tuple(self._by_worker.get(worker_id, {}).values())

    def used(self, worker_id: str) -> Size:
        """What the open leases of a worker take."""
        return self._used.get(worker_id, Size())

    def grant(self, lease: Lease) -> None:
        """Opens a lease.

        Raises:
            NotFoundError: The worker is not known.
            InvariantError: The task has a lease, or the worker no room.
        """
        worker = self._workers.get(lease.worker_id)
        if worker is None:
            raise NotFoundError('no such worker', where=lease.worker_id)
        if lease.task in self._leases:
            raise InvariantError(
                'a second lease of one task', where=str(lease.task)
            )
        used = self._used[lease.worker_id] + lease.size
        if not used.fits(worker.size):
            raise InvariantError(
                'more than the worker holds', where=lease.worker_id
            )
        self._used[lease.worker_id] = used
        self._leases[lease.task] = lease
        self._by_worker[lease.worker_id][lease.task] = lease

    def close(self, task: TaskKey, attempt: int) -> Lease:
        """Closes a lease.

        Raises:
            NotFoundError: That attempt has no open lease.
        """
        lease = self._leases.get(task)
        if lease is None or lease.attempt != attempt:
            raise NotFoundError('no such lease', where=str(task))
        self._leases.pop(task)
        self._by_worker[lease.worker_id].pop(task)
        self._used[lease.worker_id] -= lease.size
        return lease
