"""The replicated log on real files: ``python -m benchmarks.bench_replication``.

Three and five voters in one process, over loopback TCP, each with files of
its own: commits a second and latency, and the share of syncing; recovery
from a long log and from a snapshot.
"""

import random
import sys
import tempfile
import time
from pathlib import Path

import anyio
import orjson

from benchmarks.program import quantile
from mulberryhitch.membership.members import MemberList
from mulberryhitch.membership.node import SchedulerConnections
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.storage import Snapshot
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.rpc.server import RpcServer
from tests.local_cell import free_ports

METHODS = ('hello', 'vote', 'append', 'install_snapshot', 'take_over')


class Counter:
    """Counts the entries that it applied."""

    def __init__(self) -> None:
        self.count = 0

    def apply(self, entry: LogEntry) -> int:
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        return orjson.dumps(self.count)

    def restore(self, state: bytes) -> None:
        self.count = orjson.loads(state)


class TimedStorage(FileStorage):
    """Notes how long syncs take."""

    def __init__(self, folder: Path, vm: str) -> None:
        super().__init__(folder, vm)
        self.sync_seconds = 0.0
        self.syncs = 0

    async def sync(self) -> None:
        began = time.perf_counter()
        await super().sync()
        self.sync_seconds += time.perf_counter() - began
        self.syncs += 1


async def measure(voters: int) -> None:
    """Prints commits a second for 1, 8 and 64 proposers."""
    port = free_ports(voters)
    vms = {f'vm-{place}': port + place for place in range(voters)}
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as tasks:
            replicas: dict[str, Replica] = {}
            disks: dict[str, TimedStorage] = {}
            for vm in vms:
                disks[vm] = TimedStorage(Path(folder, vm), vm)
                replicas[vm] = await _start(vm, vms, disks[vm], tasks)
            leader = await _leader(replicas)
            disk = disks[leader.replica_id.partition('#')[0]]
            for proposers in (1, 8, 64):
                disk.sync_seconds = 0
                disk.syncs = 0
                times = await _propose(leader, proposers, 3)
                print(
                    f'{voters} voters {proposers:3} at once '
                    f'{len(times) / 3:8.0f} commits/s  median '
                    f'{quantile(times, 0.5) * 1000:6.2f} ms  p99 '
                    f'{quantile(times, 0.99) * 1000:6.2f} ms  '
                    f'{len(times) / max(disk.syncs, 1):5.1f} a sync  '
                    f'{disk.sync_seconds / 3:.2f} of the time in sync'
                )
            await _failover(replicas, leader)
            tasks.cancel_scope.cancel()


async def _start(
    vm: str, vms: dict[str, int], disk: FileStorage, tasks: object
) -> Replica:
    log = Log(vm)
    connections = {
        name: PeerConnection(vm, '127.0.0.1', port)
        for name, port in vms.items()
    }
    transport = SchedulerConnections(connections, MemberList(vm), {})
    replica = Replica(
        ReplicaState('group', disk, Counter()),
        transport,
        tuple(vms),
        ReplicationOptions(compact_entries=1_000_000),
        log,
        random.Random(),
    )
    server = RpcServer(log)
    for method in METHODS:
        server.register(method, getattr(replica, method))
    tasks.start_soon(server.serve, '127.0.0.1', vms[vm])
    tasks.start_soon(transport.run)
    tasks.start_soon(replica.run)
    return replica


async def _leader(replicas: dict[str, Replica]) -> Replica:
    while True:
        for replica in replicas.values():
            if replica.has_authority:
                return replica
        await anyio.sleep(0.005)


async def _propose(
    leader: Replica, proposers: int, seconds: float
) -> list[float]:
    times: list[float] = []
    ends_at = time.perf_counter() + seconds

    async def proposer() -> None:
        while time.perf_counter() < ends_at:
            began = time.perf_counter()
            await leader.propose('count', b'x' * 200)
            times.append(time.perf_counter() - began)

    async with anyio.create_task_group() as tasks:
        for _ in range(proposers):
            tasks.start_soon(proposer)
    return times


async def _failover(replicas: dict[str, Replica], leader: Replica) -> None:
    began = time.perf_counter()
    leader._fail(None)  # noqa: SLF001
    vm = leader.replica_id.partition('#')[0]
    others = {name: one for name, one in replicas.items() if name != vm}
    await _leader(others)
    print(f'  no leader for {time.perf_counter() - began:.2f} s after a stop')


def recovery(entries: int) -> None:
    """Prints how long loading a log takes, and a snapshot of its state."""
    with tempfile.TemporaryDirectory() as folder:
        storage = FileStorage(Path(folder, 'vm'), 'vm')
        storage.load()
        first = Snapshot(1, 0, Members(('vm#0',)), b'0')
        anyio.run(storage.save_snapshot, first, [])
        anyio.run(storage.save_vote, 1, '')
        storage.write(
            [
                LogEntry(index, 1, 'count', b'x' * 200)
                for index in range(2, entries + 2)
            ]
        )
        anyio.run(storage.sync)
        storage.close()
        began = time.perf_counter()
        state = ReplicaState(
            'g', FileStorage(Path(folder, 'vm'), 'vm'), Counter()
        )
        state.commit(state.last_index)
        loaded = time.perf_counter() - began
        anyio.run(state.compact)
        began = time.perf_counter()
        ReplicaState('g', FileStorage(Path(folder, 'vm'), 'vm'), Counter())
        print(
            f'recovery of {entries} entries {loaded:.2f} s, '
            f'from a snapshot {time.perf_counter() - began:.3f} s'
        )


def main() -> int:
    """Runs all of it."""
    for voters in (3, 5):
        anyio.run(measure, voters)
    for entries in (10_000, 100_000):
        recovery(entries)
    return 0


if __name__ == '__main__':
    sys.exit(main())
