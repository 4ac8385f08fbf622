"""The fake network behaves as one of machines that are killed."""

import anyio

from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)


def test_a_replica_that_is_killed_while_its_disk_syncs_confirms_nothing() -> (
    None
):
    async def main() -> None:
        group = ReplicaGroup(3, 1, options=QUICK_OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            others = [vm for vm in group.vms if vm != group.vm_of(leader)]
            group.kill(others[0])
            await anyio.sleep(1)
            group.disks[others[1]].sync_seconds = 0.4
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(group.put, 'key', 1, 2)
                await anyio.sleep(0.2)
                group.kill(others[1])
                await anyio.sleep(1)
                tasks.cancel_scope.cancel()
            assert 1 not in group.state_machines[group.vm_of(leader)].applied

    run_with_mock_clock(main)
