"""Replicated log on files: ``python -m benchmarks.bench_replication``.

Runs three and five voters in one process over loopback TCP, each with its own
files: commits per second, latency, share of time in sync, and failover. Then
measures recovery from a long log and from a snapshot.
"""

import random
import sys
import tempfile
import time
from pathlib import Path

import anyio
import orjson

from benchmarks.helpers import quantile
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
from tests.local_cell import find_free_ports

RPC_METHODS = ('hello', 'vote', 'append', 'install_snapshot', 'take_over')


class Counter:
    """State machine that counts the entries applied."""

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
    """File storage that measures its syncs."""

    def __init__(self, folder: Path, vm: str) -> None:
        super().__init__(folder, vm)
        self.sync_seconds = 0.0
        self.syncs = 0

    async def sync(self) -> None:
        started_at = time.perf_counter()
        await super().sync()
        self.sync_seconds += time.perf_counter() - started_at
        self.syncs += 1


async def measure_commits(voters: int) -> None:
    """Prints commits per second for 1, 8 and 64 proposers, and the failover."""
    port = find_free_ports(voters)
    vms = {f'vm-{offset}': port + offset for offset in range(voters)}
    with tempfile.TemporaryDirectory() as folder:
        async with anyio.create_task_group() as task_group:
            replicas: dict[str, Replica] = {}
            storages: dict[str, TimedStorage] = {}
            for vm in vms:
                storages[vm] = TimedStorage(Path(folder, vm), vm)
                replicas[vm] = await _start_replica(
                    vm, vms, storages[vm], task_group
                )
            leader = await _wait_for_leader(replicas)
            storage = storages[leader.replica_id.partition('#')[0]]
            for proposers in (1, 8, 64):
                storage.sync_seconds = 0
                storage.syncs = 0
                latencies = await _measure_proposals(leader, proposers, 3)
                print(
                    f'{voters} voters {proposers:3} at once '
                    f'{len(latencies) / 3:8.0f} commits/s  median '
                    f'{quantile(latencies, 0.5) * 1000:6.2f} ms  p99 '
                    f'{quantile(latencies, 0.99) * 1000:6.2f} ms  '
                    f'{len(latencies) / max(storage.syncs, 1):5.1f} a sync  '
                    f'{storage.sync_seconds / 3:.2f} of the time in sync'
                )
            await _measure_failover(replicas, leader)
            task_group.cancel_scope.cancel()


async def _start_replica(
    vm: str, vms: dict[str, int], storage: FileStorage, task_group: object
) -> Replica:
    log = Log(vm)
    connections = {
        name: PeerConnection(vm, '127.0.0.1', port)
        for name, port in vms.items()
    }
    transport = SchedulerConnections(connections, MemberList(vm), {})
    replica = Replica(
        ReplicaState('group', storage, Counter()),
        transport,
        tuple(vms),
        ReplicationOptions(compact_entries=1_000_000),
        log,
        random.Random(),
    )
    server = RpcServer(log)
    for method in RPC_METHODS:
        server.register(method, getattr(replica, method))
    task_group.start_soon(server.serve, '127.0.0.1', vms[vm])
    task_group.start_soon(transport.run)
    task_group.start_soon(replica.run)
    return replica


async def _wait_for_leader(replicas: dict[str, Replica]) -> Replica:
    while True:
        for replica in replicas.values():
            if replica.has_authority:
                return replica
        await anyio.sleep(0.005)


async def _measure_proposals(
    leader: Replica, proposers: int, seconds: float
) -> list[float]:
    latencies: list[float] = []
    deadline = time.perf_counter() + seconds

    async def propose_repeatedly() -> None:
        while time.perf_counter() < deadline:
            started_at = time.perf_counter()
            await leader.propose('count', b'x' * 200)
            latencies.append(time.perf_counter() - started_at)

    async with anyio.create_task_group() as task_group:
        for _ in range(proposers):
            task_group.start_soon(propose_repeatedly)
    return latencies


async def _measure_failover(
    replicas: dict[str, Replica], leader: Replica
) -> None:
    started_at = time.perf_counter()
    leader._record_fatal_error(None)  # noqa: SLF001
    vm = leader.replica_id.partition('#')[0]
    remaining = {
        name: replica for name, replica in replicas.items() if name != vm
    }
    await _wait_for_leader(remaining)
    print(
        f'  no leader for {time.perf_counter() - started_at:.2f} s after a stop'
    )


def measure_recovery(entries: int) -> None:
    """Prints the load time of a log and of a snapshot of its state."""
    with tempfile.TemporaryDirectory() as folder:
        storage = FileStorage(Path(folder, 'vm'), 'vm')
        storage.load()
        snapshot = Snapshot(1, 0, Members(('vm#0',)), b'0')
        anyio.run(storage.save_snapshot, snapshot, [])
        anyio.run(storage.save_vote, 1, '')
        storage.write(
            [
                LogEntry(index, 1, 'count', b'x' * 200)
                for index in range(2, entries + 2)
            ]
        )
        anyio.run(storage.sync)
        storage.close()
        started_at = time.perf_counter()
        state = ReplicaState(
            'g', FileStorage(Path(folder, 'vm'), 'vm'), Counter()
        )
        state.commit(state.last_index)
        load_seconds = time.perf_counter() - started_at
        anyio.run(state.compact)
        started_at = time.perf_counter()
        ReplicaState('g', FileStorage(Path(folder, 'vm'), 'vm'), Counter())
        print(
            f'recovery of {entries} entries {load_seconds:.2f} s, '
            f'from a snapshot {time.perf_counter() - started_at:.3f} s'
        )


def main() -> int:
    """Runs the benchmark."""
    for voters in (3, 5):
        anyio.run(measure_commits, voters)
    for entries in (10_000, 100_000):
        measure_recovery(entries)
    return 0


if __name__ == '__main__':
    sys.exit(main())
