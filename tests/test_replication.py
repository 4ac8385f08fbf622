"""A replica group under crashes, partitions, lost disks and failed syncs."""

import anyio
import orjson
import pytest

from mulberryhitch.errors import StorageError
from tests.fakes import FrameLimitedTransport
from tests.replica_group import ReplicaGroup, run_with_mock_clock


def test_a_group_bootstraps_and_commits() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=1).running() as group:
            for number in range(20):
                assert await group.put('key', number)
            await group.wait_until_converged()
            for state_machine in group.state_machines.values():
                assert state_machine.applied[:20] == list(range(20))

    run_with_mock_clock(main)


def test_a_killed_leader_is_replaced_and_nothing_committed_is_lost() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=2).running() as group:
            assert await group.put('key', 1)
            leader = await group.wait_leader()
            vm = leader.replica_id.partition('#')[0]
            group.kill(vm)
            assert await group.put('key', 2)
            group.start(vm)
            await group.wait_until_converged()
            assert group.state_machines[vm].applied[:2] == [1, 2]

    run_with_mock_clock(main)


def test_an_isolated_leader_loses_authority_before_another_is_elected() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=3).running() as group:
            leader = await group.wait_leader()
            group.network.isolate(leader.replica_id.partition('#')[0])
            with anyio.fail_after(10):
                while True:
                    leaders = [
                        replica
                        for replica in group.replicas.values()
                        if replica.has_authority
                    ]
                    assert len(leaders) <= 1
                    if leaders and leaders[0] is not leader:
                        break
                    await anyio.sleep(0.01)
            group.network.heal()
            await group.wait_until_converged()

    run_with_mock_clock(main)


def test_a_replica_with_a_lost_disk_rejoins_as_a_new_voter() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=4).running() as group:
            for number in range(120):
                assert await group.put('key', number)
            group.kill('vm-1')
            group.disks['vm-1'].wipe()
            group.start('vm-1')
            with anyio.fail_after(60):
                while 'vm-1#1' not in group.replicas['vm-1'].members.voters:
                    await anyio.sleep(0.5)
            group.kill('vm-2')
            assert await group.put('key', 120)
            await group.wait_until_converged()
            assert group.state_machines['vm-1'].applied[:121] == list(
                range(121)
            )

    run_with_mock_clock(main)


def test_a_spare_replaces_a_voter_that_stays_down() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=5, spares=1).running() as group:
            assert await group.put('key', 1)
            await anyio.sleep(5)
            group.kill('vm-3')
            await anyio.sleep(60)
            leader = await group.wait_leader()
            assert 'spare-1#0' in leader.members.voters
            assert 'vm-3#0' not in leader.members.voters
            group.start('vm-3')
            await group.wait_until_converged()

    run_with_mock_clock(main)


def test_a_failed_sync_stops_the_replica() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=6).running() as group:
            leader = await group.wait_leader()
            vm = leader.replica_id.partition('#')[0]
            group.disks[vm].failing_operation = 'sync'
            await group.put('key', 1)
            await anyio.sleep(5)
            assert vm not in group.network.nodes
            group.replicas.pop(vm)
            assert await group.put('key', 2)
            await group.wait_until_converged()

    run_with_mock_clock(main)


def test_a_leader_that_cannot_begin_its_term_steps_down() -> None:
    """The first write of a term fails; commits resume once disks recover."""

    async def main() -> None:
        async with ReplicaGroup(3, seed=7).running() as group:
            assert await group.put('key', 1)
            old = await group.wait_leader()
            for disk in group.disks.values():
                disk.failing_operation = 'write'
            group.network.isolate(old.replica_id.partition('#')[0])
            await anyio.sleep(5)
            group.network.heal()
            for disk in group.disks.values():
                disk.failing_operation = ''
            assert await group.put('key', 2)
            await group.wait_until_converged()

    run_with_mock_clock(main)


def test_a_full_disk_fails_writes_but_not_reads() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=8).running() as group:
            leader = await group.wait_leader()
            disk = group.disks[leader.replica_id.partition('#')[0]]
            disk.failing_operation = 'write'
            with pytest.raises(StorageError):
                await leader.propose('put', b'["key", 1]')
            await leader.read_barrier()
            disk.failing_operation = ''
            assert await leader.propose('put', b'["key", 2]') == 1

    run_with_mock_clock(main)


def test_a_leader_with_a_full_disk_is_replaced() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=5).running() as group:
            leader = await group.wait_leader()
            vm = leader.replica_id.partition('#')[0]
            group.disks[vm].failing_operation = 'write'
            await group.put('key', 1)
            with anyio.fail_after(10):
                while not await group.put('key', 2, seconds=1):
                    await anyio.sleep(0.1)
            successor = await group.wait_leader()
            assert successor.replica_id != leader.replica_id
            # The replica with the full disk keeps running and can recover.
            assert vm in group.replicas
            group.disks[vm].failing_operation = ''
            await group.wait_until_converged()

    run_with_mock_clock(main)


def test_a_follower_with_a_full_disk_keeps_running() -> None:
    async def main() -> None:
        async with ReplicaGroup(3, seed=6).running() as group:
            leader = await group.wait_leader()
            follower = next(
                vm
                for vm in group.vms
                if not leader.replica_id.startswith(f'{vm}#')
            )
            group.disks[follower].failing_operation = 'write'
            assert await group.put('key', 1)
            await anyio.sleep(3)
            assert follower in group.replicas
            group.disks[follower].failing_operation = ''
            await group.wait_until_converged()

    run_with_mock_clock(main)


def test_a_replica_that_lacks_more_than_a_frame_carries_catches_up() -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed=2)
        network = group.network
        network.transport = lambda vm: FrameLimitedTransport(network, vm)
        async with group.running():
            leader = await group.wait_leader()
            vm = next(vm for vm in group.vms if vm != group.vm_of(leader))
            group.kill(vm)
            large_value = orjson.dumps(['key', 'x' * 2_000_000])
            for _ in range(10):
                await leader.propose('put', large_value)
            group.start(vm)
            await group.wait_until_converged(10)

    run_with_mock_clock(main)
