"""Two lost disks while all other machines lose power, during a replacement."""

from itertools import combinations

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


async def _wait_for_a_surplus_voter(group: ReplicaGroup) -> None:
    with anyio.fail_after(10):
        while True:
            leader = group.leader()
            if leader is not None and len(leader.members.voters) > VOTERS:
                return
            await anyio.sleep(0.001)


@pytest.mark.parametrize('seconds', [0, 0.02])
def test_any_two_of_six_voters_may_lose_their_disks_in_a_loss_of_power(
    seconds: float,
) -> None:
    async def main(lost: tuple[str, str]) -> None:
        group = ReplicaGroup(VOTERS, 1, 1, QUICK_OPTIONS)
        async with group.running():
            client = await _change_while_a_voter_is_replaced(group, 1)
            await _wait_for_a_surplus_voter(group)
            await anyio.sleep(seconds)
            group.lose_power(lost)
            assert await group.put('after', 0, RECOVERY_SECONDS)
            leader = await group.wait_leader()
            assert not client.lost_at(group.vm_of(leader))
            await group.wait_until_converged()
            assert len(leader.members.voters) >= VOTERS

    vms = ('vm-1', 'vm-2', 'vm-3', 'vm-4', 'vm-5', 'spare-1')
    for lost in combinations(vms, TOLERATED_DISKS):
        run_with_mock_clock(main, lost)
