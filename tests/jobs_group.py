"""A group of schedulers on fake disks, called through the leader client."""

from typing import Any

import anyio

from mulberryhitch.dispatch.operations import (
    Acknowledged,
    CancelJob,
    ChangeTable,
    JobReply,
    SubmitJob,
    WorkerHeartbeat,
)
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.service import JobsService
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs.clock import JobClock
from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    QueueTable,
    Step,
    TaskKey,
)
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import ExecuteReply, ExecuteRequest
from mulberryhitch.rpc.records import decode, encode
from tests.fake_workers import (
    START_WALL_TIME,
    FakeFleet,
    FakePermitClient,
    FakeWorker,
)
from tests.fakes import FakeNetwork
from tests.replica_group import QUICK_OPTIONS, ReplicaGroup

GROUP = 'group'
REQUEST_SECONDS = 2.0
RETRY_SECONDS = 0.25
INTERVAL_SECONDS = 0.4
HEARTBEAT_SECONDS = 0.5
SHORT = Step(1, 500, 100, estimate_seconds=0.4)
LONG = Step(1, 500, 100, estimate_seconds=60)


def _wall_time() -> float:
    return START_WALL_TIME + anyio.current_time()


class SchedulerNode:
    """The RPC methods of one scheduler."""

    def __init__(self, service: JobsService) -> None:
        self._service = service

    def __getattr__(self, method: str) -> Any:
        return getattr(self._service.replica, method)

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        operation = decode(request.name, request.body)
        return ExecuteReply(encode(await self._service.execute(operation)))


class NoPeers:
    """Connections to no process that could request permits."""

    def scheduler(self, vm: str) -> Any:
        return None


class EntryTransport:
    """Calls the schedulers from an entry, which is told of no leader."""

    def __init__(self, network: FakeNetwork, vms: tuple[str, ...]) -> None:
        self._transport = network.transport('entry')
        self._vms = vms

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        return await self._transport.call(vm, method, request, timeout_seconds)

    def leader_of(self, group: str) -> str:
        return ''

    def voters_of(self, group: str) -> tuple[str, ...]:
        return self._vms


class SchedulersFleet(FakeFleet):
    """Workers that look a task up in the stores of the schedulers."""

    def __init__(self, stores: dict[str, JobStore]) -> None:
        super().__init__()
        self._stores = stores

    def step_of(self, task: TaskKey) -> Step:
        specs = (
            store.jobs[task.job_id].spec
            for store in self._stores.values()
            if task.job_id in store.jobs
        )
        return next(specs).steps[task.step]


class JobsGroup(ReplicaGroup):
    """Schedulers that dispatch to fake workers while they lead."""

    def __init__(
        self,
        size: int,
        seed: int,
        spares: int,
        dispatch_options: DispatchOptions | None = None,
    ) -> None:
        super().__init__(size, seed, spares, QUICK_OPTIONS)
        self._dispatch_options = dispatch_options or DispatchOptions()
        self.stores: dict[str, JobStore] = {}
        self.fleet = SchedulersFleet(self.stores)
        self.leader_client = LeaderClient(
            EntryTransport(self.network, tuple(self.disks)), 0.6
        )

    def start(self, vm: str) -> None:
        store = JobStore()
        replica = Replica(
            ReplicaState(GROUP, self.disks[vm], store),
            self.network.transport(vm),
            self.vms,
            self.options,
            Log(vm),
            self.rng,
        )
        service = JobsService(
            replica,
            store,
            self.fleet,
            FakePermitClient(()),
            NoPeers(),
            self._dispatch_options,
            Log(vm),
            Histograms(),
        )
        service._clock = JobClock(_wall_time, anyio.current_time)
        self.stores[vm] = store
        self.replicas[vm] = replica
        self.network.nodes[vm] = SchedulerNode(service)
        self.cancel_scopes[vm] = anyio.CancelScope()
        self.task_group.start_soon(
            self._run, vm, service, self.cancel_scopes[vm]
        )

    async def leading_store(self) -> JobStore:
        leader = await self.wait_leader()
        return self.stores[vm_of(leader.replica_id)]


class Callers:
    """An operator, clients and workers, each of which tries until it is told.

    Attributes:
        longest_waits: The longest time until an acknowledgement, in seconds,
            by the kind of request.
        counts: Acknowledged requests by kind.
    """

    def __init__(self, group: JobsGroup) -> None:
        self.longest_waits: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self.version = 0
        self.accepted: list[str] = []
        self.cancelled: list[str] = []
        self._group = group
        self._job_count = 0
        self._open: dict[tuple[str, object], float] = {}

    def longest_open_seconds(self) -> float:
        """Returns how long the oldest open request has waited."""
        now = anyio.current_time()
        return max((now - at for at in self._open.values()), default=0)

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._change_tables)
            tasks.start_soon(self._repeat, tasks, self._run_job, SHORT)
            tasks.start_soon(self._repeat, tasks, self._cancel_job, LONG)
            for worker in self._group.fleet.workers.values():
                tasks.start_soon(self._send_heartbeats, worker)
            tasks.start_soon(self._watch_ends)

    async def change_table(self) -> None:
        """Sends the next configuration until it is acknowledged."""
        version = self.version + 1
        queue = Queue('q', 'h', '/q/', 'svc', maximum_failures=2)
        table = QueueTable(version, str(version), (queue,))
        await self._send('change', version, ChangeTable(table), Acknowledged)
        self.version = version

    async def _change_tables(self) -> None:
        while True:
            await self.change_table()
            await anyio.sleep(INTERVAL_SECONDS)

    async def _repeat(self, tasks: Any, job: Any, step: Step) -> None:
        while True:
            self._job_count += 1
            tasks.start_soon(job, f'job{self._job_count}', step)
            await anyio.sleep(INTERVAL_SECONDS)

    async def _run_job(self, job_id: str, step: Step) -> None:
        request = SubmitJob('h', f'/q/{job_id}', JobSpec('', (step,)))
        await self._send('submission', job_id, request, JobReply)
        self.accepted.append(job_id)

    async def _cancel_job(self, job_id: str, step: Step) -> None:
        await self._run_job(job_id, step)
        await anyio.sleep(self._group.rng.random())
        request = CancelJob('h', f'/q/{job_id}')
        await self._send('cancel', job_id, request, JobReply)
        self.cancelled.append(job_id)

    async def _send_heartbeats(self, worker: FakeWorker) -> None:
        while True:
            request = WorkerHeartbeat(worker.record, worker.clock)
            try:
                await self._group.leader_client.execute(
                    GROUP, request, Acknowledged, REQUEST_SECONDS
                )
            except MulberryhitchError:
                await anyio.sleep(RETRY_SECONDS)
            else:
                await anyio.sleep(HEARTBEAT_SECONDS)

    async def _watch_ends(self) -> None:
        while True:
            listed = {
                ('end', (name, row.number))
                for name, worker in self._group.fleet.workers.items()
                for row in worker.ended
            }
            for key in listed - set(self._open):
                self._open[key] = anyio.current_time()
            for key in tuple(self._open):
                if key[0] == 'end' and key not in listed:
                    self._record(key)
            await anyio.sleep(0.01)

    async def _send(
        self, kind: str, name: object, request: object, reply_type: type[Any]
    ) -> None:
        self._open[kind, name] = anyio.current_time()
        while True:
            try:
                await self._group.leader_client.execute(
                    GROUP, request, reply_type, REQUEST_SECONDS
                )
            except MulberryhitchError:
                await anyio.sleep(RETRY_SECONDS)
            else:
                self._record((kind, name))
                return

    def _record(self, key: tuple[str, object]) -> None:
        waited = anyio.current_time() - self._open.pop(key)
        kind = key[0]
        self.counts[kind] = self.counts.get(kind, 0) + 1
        longest = max(self.longest_waits.get(kind, 0), waited)
        self.longest_waits[kind] = longest
