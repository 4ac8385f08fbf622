"""The lease table: one lease per task, and no worker overcommitted."""

from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError, NotFoundError
from mulberryhitch.workloads.model import Size


@dataclass(frozen=True, slots=True)
class Worker:
    """A worker's announced data.

    Attributes:
        address: Its IP address and port.
        incarnation: Increases with each start of the worker.
    """

    worker_id: str
    address: str
    data_centre: str
    rack: str
    size: Size
    incarnation: int


@dataclass(frozen=True, slots=True)
class TaskKey:
    """Identifies a task."""

    workload_id: str
    number: int


@dataclass(frozen=True, slots=True)
class Lease:
    """The right of one worker to run one attempt of a task.

    Attributes:
        term: The leader's term when the lease was granted.
        incarnation: The worker's incarnation when the lease was granted.
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
        """Initialises a table with no workers or leases."""
        self._workers: dict[str, Worker] = {}
        self._leases: dict[TaskKey, Lease] = {}
        self._by_worker: dict[str, dict[TaskKey, Lease]] = {}
        self._used: dict[str, Size] = {}

    @property
    def workers(self) -> dict[str, Worker]:
        """The registered workers by id."""
        return self._workers

    def __iter__(self) -> Iterator[Lease]:
        """Iterates over all open leases."""
        return iter(self._leases.values())

    def __len__(self) -> int:
        """Returns the number of open leases."""
        return len(self._leases)

    def register(self, worker: Worker) -> None:
        """Adds or updates a worker.

        A worker whose size decreased keeps its leases; it gets a new one
        only when that fits.
        """
        self._workers[worker.worker_id] = worker
        self._by_worker.setdefault(worker.worker_id, {})
        self._used.setdefault(worker.worker_id, Size())

    def unregister(self, worker_id: str) -> None:
        """Removes a worker.

        Raises:
            InvariantError: The worker still holds leases.
        """
        if self._by_worker.get(worker_id):
            raise InvariantError(
                'the worker still holds leases', where=worker_id
            )
        self._workers.pop(worker_id, None)
        self._by_worker.pop(worker_id, None)
        self._used.pop(worker_id, None)

    def get(self, task: TaskKey) -> Lease | None:
        """Returns the open lease of a task, or None."""
        return self._leases.get(task)

    def of_worker(self, worker_id: str) -> tuple[Lease, ...]:
        """Returns the open leases of a worker."""
        return tuple(self._by_worker.get(worker_id, {}).values())

    def used(self, worker_id: str) -> Size:
        """Returns the total size of a worker's open leases."""
        return self._used.get(worker_id, Size())

    def grant(self, lease: Lease) -> None:
        """Opens a lease.

        Raises:
            NotFoundError: The worker is not registered.
            InvariantError: The task already has a lease, or the worker lacks
                free capacity.
        """
        worker = self._workers.get(lease.worker_id)
        if worker is None:
            raise NotFoundError(
                'the worker is not registered', where=lease.worker_id
            )
        if lease.task in self._leases:
            raise InvariantError(
                'the task already has a lease', where=str(lease.task)
            )
        used = self._used[lease.worker_id] + lease.size
        if not used.fits(worker.size):
            raise InvariantError(
                f'leases would use {used}, but the worker has {worker.size}',
                where=lease.worker_id,
            )
        self._used[lease.worker_id] = used
        self._leases[lease.task] = lease
        self._by_worker[lease.worker_id][lease.task] = lease

    def close(self, task: TaskKey, attempt: int) -> Lease:
        """Closes and returns a lease.

        Raises:
            NotFoundError: The attempt has no open lease.
        """
        lease = self._leases.get(task)
        if lease is None or lease.attempt != attempt:
            raise NotFoundError(
                f'attempt {attempt} has no open lease', where=str(task)
            )
        self._leases.pop(task)
        self._by_worker[lease.worker_id].pop(task)
        self._used[lease.worker_id] -= lease.size
        return lease
