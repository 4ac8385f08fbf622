"""Voters are replaced without making the group smaller meanwhile."""

import anyio
import pytest

from mulberryhitch.replication.members import Members, vm_of
from tests.replica_group import ReplicaGroup, run_with_mock_clock

VOTERS = 5
# The disks that five voters can lose.
TOLERATED_DISKS = 2
REPLACED_WITHIN_SECONDS = 60


async def _start_complete_group(group: ReplicaGroup) -> str:
    """Waits for the spare to be a learner; returns a VM that does not lead."""
    assert await group.put('key', 1)
    leader = await group.wait_leader()
    with anyio.fail_after(REPLACED_WITHIN_SECONDS):
        while not leader.members.learners:
            await anyio.sleep(0.1)
    others = [vm for vm in group.vms if vm != vm_of(leader.replica_id)]
    return group.rng.choice(others)


async def _seen_members(group: ReplicaGroup, is_replaced) -> list[Members]:
    """Returns the members seen until a voter is replaced."""
    seen: list[Members] = []
    with anyio.fail_after(REPLACED_WITHIN_SECONDS):
        while True:
            leader = group.leader()
            if leader is not None and leader.members not in seen:
                seen.append(leader.members)
            if seen and is_replaced(seen[-1]):
                return seen
            await anyio.sleep(0.001)


def test_a_group_is_never_smaller_while_a_silent_voter_is_replaced() -> None:
    async def main() -> None:
        async with ReplicaGroup(VOTERS, seed=1, spares=1).running() as group:
            down = await _start_complete_group(group)
            group.kill(down)
            seen = await _seen_members(
                group,
                lambda members: (
                    f'{down}#0' not in members.voters
                    and len(members.voters) == VOTERS
                ),
            )
            assert min(len(members.voters) for members in seen) == VOTERS
            assert 'spare-1#0' in seen[-1].voters

    run_with_mock_clock(main)


def test_a_voter_that_returns_while_it_is_replaced_leaves_a_complete_group() -> (
    None
):
    async def main() -> None:
        async with ReplicaGroup(VOTERS, seed=3, spares=1).running() as group:
            down = await _start_complete_group(group)
            group.kill(down)
            await _seen_members(
                group, lambda members: len(members.voters) > VOTERS
            )
            group.start(down)
            seen = await _seen_members(
                group, lambda members: len(members.voters) == VOTERS
            )
            assert len(seen[-1].voters) == VOTERS
            await group.wait_until_converged()

    run_with_mock_clock(main)


@pytest.mark.parametrize('seed', range(6))
def test_two_disks_lost_while_a_voter_is_replaced_lose_nothing(
    seed: int,
) -> None:
    """The VM of the replaced voter comes back with its disk."""

    async def main() -> None:
        async with ReplicaGroup(VOTERS, seed=seed, spares=1).running() as group:
            down = await _start_complete_group(group)
            group.kill(down)
            before = (await group.wait_leader()).members
            await _seen_members(
                group, lambda members: members.voters != before.voters
            )
            await anyio.sleep(group.rng.random() / 10)
            assert await group.put('key', 2)
            voters = [vm_of(name) for name in before.voters]
            voters.remove(down)
            lost = group.rng.sample(voters, TOLERATED_DISKS)
            group.lose_power(lost)
            leader = await group.wait_leader()
            machine = group.state_machines[vm_of(leader.replica_id)]
            assert machine.values['key'] == 2
            await group.wait_until_converged()

    run_with_mock_clock(main)
