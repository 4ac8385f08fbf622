"""Voters are spread over the data centres, so that one may be cut off."""

from dataclasses import replace

import anyio
import pytest

from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.replica import Replica
from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

VOTERS = 3
REPLACED_WITHIN_SECONDS = 5
ELECTED_WITHIN_SECONDS = 2
OPTIONS = replace(QUICK_OPTIONS, target_voters=VOTERS)


def _voter_data_centres(group: ReplicaGroup, leader: Replica) -> list[str]:
    voters = map(vm_of, leader.members.voters)
    return sorted(group.data_centres[vm] for vm in voters)


def _three_data_centres(seed: int) -> ReplicaGroup:
    """Returns three VMs in data centres a, b, c, and a spare one in a."""
    group = ReplicaGroup(VOTERS, seed, 1, OPTIONS)
    names = ('a', 'b', 'c', 'a')
    group.data_centres = dict(zip(group.disks, names, strict=True))
    return group


async def _replace_vm(group: ReplicaGroup, old: str, new: str) -> None:
    group.remove(old)
    await anyio.sleep(0.5)
    group.data_centres[new] = group.data_centres[old]
    group.add(new)


@pytest.mark.parametrize('seed', range(4))
def test_voters_that_a_replacement_left_in_one_data_centre_are_spread_again(
    seed: int,
) -> None:
    async def main() -> None:
        group = _three_data_centres(seed)
        async with group.running():
            await group.wait_leader()
            await anyio.sleep(3)
            await _replace_vm(group, 'vm-3', 'new')
            await anyio.sleep(REPLACED_WITHIN_SECONDS)
            leader = await group.wait_leader()
            assert _voter_data_centres(group, leader) == ['a', 'b', 'c']
            for vm in ('vm-1', 'spare-1'):
                group.network.isolate(vm)
            await anyio.sleep(ELECTED_WITHIN_SECONDS)
            assert await group.put('after', 0, 3)

    run_with_mock_clock(main)


@pytest.mark.parametrize('seed', range(4))
def test_the_learner_that_spreads_the_voters_best_is_promoted(
    seed: int,
) -> None:
    async def main() -> None:
        group = _three_data_centres(seed)
        async with group.running():
            await group.wait_leader()
            await anyio.sleep(3)
            group.data_centres['new'] = 'c'
            group.add('new')
            await anyio.sleep(1)
            group.remove('vm-3')
            await anyio.sleep(REPLACED_WITHIN_SECONDS)
            leader = await group.wait_leader()
            assert 'new#0' in leader.members.voters
            assert _voter_data_centres(group, leader) == ['a', 'b', 'c']

    run_with_mock_clock(main)


def test_voters_that_are_spread_are_not_exchanged() -> None:
    async def main() -> None:
        group = _three_data_centres(1)
        async with group.running():
            leader = await group.wait_leader()
            await anyio.sleep(3)
            voters = leader.members.voters
            await anyio.sleep(10)
            assert (await group.wait_leader()).members.voters == voters

    run_with_mock_clock(main)
