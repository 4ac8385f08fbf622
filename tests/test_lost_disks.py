"""Two lost disks while all other machines lose power, during a replacement."""

import anyio
import pytest

from mulberryhitch.replication.members import vm_of
from tests.change_client import ChangeClient
from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

VOTERS = 5
TOLERATED_DISKS = 2
RECOVERY_SECONDS = 12
# After 2 s of silence a voter is replaced, with six voters for a moment.
SECONDS_AFTER_THE_KILL = (0.05, 1, 1.7, 1.8, 1.9, 2, 2.1, 2.2, 2.3, 2.6, 3.5)


async def _change_while_a_voter_is_replaced(
    group: ReplicaGroup, seconds: float
) -> ChangeClient:
    """Returns at any moment of the replacement of a voter without power."""
    leader = await group.wait_leader()
    await anyio.sleep(3)
    client = ChangeClient(group)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(client.run)
        await anyio.sleep(1)
        others = set(group.vms) - {vm_of(leader.replica_id)}
        group.kill(group.rng.choice(sorted(others)))
        await anyio.sleep(seconds)
        tasks.cancel_scope.cancel()
    return client


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('seconds', SECONDS_AFTER_THE_KILL)
def test_two_disks_lost_with_the_power_of_all_others_lose_nothing(
    seconds: float, seed: int
) -> None:
    async def main() -> None:
        group = ReplicaGroup(VOTERS, seed, 1, QUICK_OPTIONS)
        async with group.running():
            client = await _change_while_a_voter_is_replaced(group, seconds)
            assert client.acknowledged
            lost = group.rng.sample(sorted(group.disks), TOLERATED_DISKS)
            group.lose_power(lost)
            assert await group.put('after', 0, RECOVERY_SECONDS)
            leader = await group.wait_leader()
            assert not client.lost_at(group.vm_of(leader))
            await group.wait_until_converged()

    run_with_mock_clock(main)
