"""A simulated data centre: schedulers and workers on a fake network."""

import random
import time
from collections import Counter
from contextlib import asynccontextmanager
from typing import Any

import anyio

from mulberryhitch.errors import (
    MulberryhitchError,
    NotLeaderError,
    StorageError,
    UnreachableError,
)
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.placement.orders import CapacityShares
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.scheduler.service import DataCentreService
from mulberryhitch.scheduler.state import DataCentreState
from mulberryhitch.standins.worker import StandinWorker
from mulberryhitch.workers.leases import Worker
from mulberryhitch.workers.protocol import AttemptState, LeaseMessage
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec
from tests.fakes import FakeDisk, FakeNetwork
from tests.replica_group import OPTIONS

WORKER_SIZE = Size(4000, 4096, 0)


def make_spec(number: int = 1, **changes: Any) -> WorkloadSpec:
    """Returns a workload of one batch task; keywords override its fields."""
    fields: dict[str, Any] = {
        'workload_id': f'home.{number}',
        'tenant': 'north',
        'kind': Kind.batch,
        'urgency': Urgency.normal,
        'task_count': 1,
        'size': Size(1000, 512),
        'run_seconds': 3.0,
        'accepted_at': time.time(),
    }
    fields.update(changes)
    return WorkloadSpec(**fields)


class TaskRunMonitor:
    """Counts task runs; asserts that no task runs twice at the same time."""

    def __init__(self) -> None:
        self.running: dict[tuple[str, int], str] = {}
        self.start_counts: Counter[tuple[str, int]] = Counter()
        self.completion_counts: Counter[tuple[str, int]] = Counter()

    def record_state(self, worker: str, name: Any, state: AttemptState) -> None:
        task = (name.workload_id, name.task)
        if state is AttemptState.running:
            assert task not in self.running, (
                f'{task} runs on {self.running[task]} and on {worker}'
            )
            self.running[task] = worker
            self.start_counts[task] += 1
            return
        self.running.pop(task, None)
        if state is AttemptState.completed:
            self.completion_counts[task] += 1


class FakeGateway:
    """Sends one VM's messages to the workers over the fake network."""

    def __init__(
        self, network: FakeNetwork, vm: str, fleet: dict[str, StandinWorker]
    ) -> None:
        self._network = network
        self._vm = vm
        self._fleet = fleet

    async def exchange(
        self, address: str, message: LeaseMessage, timeout_seconds: float
    ) -> Any:
        try:
            with anyio.fail_after(timeout_seconds):
                await self._network.transmit(self._vm, address)
                worker = self._fleet.get(address)
                if worker is None:
                    raise UnreachableError('connection refused', where=address)
                if self._network.rng.random() < self._network.duplicate_rate:
                    worker.exchange(message)
                response = worker.exchange(message)
                await self._network.transmit(address, self._vm)
                return response
        except TimeoutError as error:
            raise UnreachableError(
                'no response in time', where=address
            ) from error


class DataCentre:
    """A data centre whose VMs and workers can be killed and disconnected."""

    def __init__(self, seed: int, vms: int = 3, workers: int = 4) -> None:
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng)
        self.vms = tuple(f'vm-{number + 1}' for number in range(vms))
        self.disks = {vm: FakeDisk(vm) for vm in self.vms}
        self.services: dict[str, DataCentreService] = {}
        self.cancel_scopes: dict[str, anyio.CancelScope] = {}
        self.fleet: dict[str, StandinWorker] = {}
        self.worker_cancel_scopes: dict[str, anyio.CancelScope] = {}
        self.run_monitor = TaskRunMonitor()
        self.totals = CapacityShares()
        self.options = OPTIONS
        self.accepted: set[str] = set()
        self.queue_limit = 10_000
        self._names = [f'worker-{number + 1}' for number in range(workers)]
        self._incarnations: Counter[str] = Counter()
        self._task_group: Any = None

    @asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            for vm in self.vms:
                self.start(vm)
            for name in self._names:
                self.start_worker(name)
            tasks.start_soon(self._announce)
            yield self
            tasks.cancel_scope.cancel()

    def start(self, vm: str) -> None:
        state = DataCentreState()
        replica = Replica(
            ReplicaState('dc:home', self.disks[vm], state),
            self.network.transport(vm),
            self.vms,
            self.options,
            Log(vm),
            self.rng,
        )
        service = DataCentreService(
            replica,
            state,
            FakeGateway(self.network, vm, self.fleet),
            self.totals,
            lambda tenant: self.queue_limit,
            Log(vm),
            Metrics(''),
            Histograms(),
        )
        self.services[vm] = service
        self.network.nodes[vm] = replica
        scope = anyio.CancelScope()
        self.cancel_scopes[vm] = scope
        self._task_group.start_soon(self._run, vm, service, scope)

    async def _run(self, vm: str, service: Any, scope: Any) -> None:
        with scope:
            try:
                await service.run()
            except* StorageError:
                self.network.nodes.pop(vm, None)

    def kill(self, vm: str) -> None:
        self.cancel_scopes[vm].cancel()
        self.network.stop(vm)
        self.services.pop(vm, None)
        self.disks[vm].crash()

    def start_worker(self, name: str, size: Size = WORKER_SIZE) -> None:
        self._incarnations[name] += 1
        worker = StandinWorker(
            Worker(name, name, 'home', 'rack', size, self._incarnations[name]),
            self.run_monitor.record_state,
        )
        self.fleet[name] = worker
        scope = anyio.CancelScope()
        self.worker_cancel_scopes[name] = scope
        self._task_group.start_soon(self._run_worker, worker, scope)

    async def _run_worker(self, worker: StandinWorker, scope: Any) -> None:
        with scope:
            await worker.run()

    def kill_worker(self, name: str) -> None:
        worker = self.fleet.pop(name, None)
        if worker is not None:
            self.worker_cancel_scopes[name].cancel()
            worker.stop_all_tasks()

    async def _announce(self) -> None:
        while True:
            for worker in tuple(self.fleet.values()):
                await self.try_once(ops.AnnounceWorker(worker.worker, False))
            await anyio.sleep(1)

    def leader(self) -> DataCentreService | None:
        for service in self.services.values():
            if service.term is not None and service.replica.has_authority:
                return service
        return None

    async def try_once(self, operation: Any) -> Any:
        """Executes an operation; returns None if it fails."""
        leader = self.leader()
        if leader is None:
            return None
        try:
            with anyio.fail_after(5):
                return await leader.execute(operation)
        except (MulberryhitchError, TimeoutError):
            return None

    async def execute(self, operation: Any, seconds: float = 60) -> Any:
        """Executes an operation on the leader, once there is one."""
        with anyio.fail_after(seconds):
            while True:
                leader = self.leader()
                if leader is None:
                    await anyio.sleep(0.05)
                    continue
                try:
                    return await leader.execute(operation)
                except NotLeaderError:
                    await anyio.sleep(0.05)

    async def submit(self, spec: WorkloadSpec) -> bool:
        done = await self.try_once(ops.Submit(spec))
        if done is not None:
            self.accepted.add(done.workload_id)
        return done is not None

    async def states(self, workload_id: str) -> list[str]:
        view = await self.execute(ops.Describe(workload_id))
        return [task.state.value for task in view.tasks]

    async def wait_ended(
        self, workload_id: str, seconds: float = 120
    ) -> list[str]:
        with anyio.fail_after(seconds):
            while True:
                states = await self.states(workload_id)
                if not {'queued', 'leased'} & set(states):
                    return states
                await anyio.sleep(0.25)
