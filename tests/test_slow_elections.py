"""A slow group elects a leader in time, and that leader stays."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import pytest

from mulberryhitch.replication.replica import Replica
from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

RECOVER_SECONDS = 12
SEEDS = (0, 1, 2)


@dataclass(frozen=True)
class Slowness:
    """How slow a group of five voters is; messages take 1 to 2 delays."""

    name: str
    delay_seconds: float = 0.002
    sync_seconds: float = 0.009
    loss_rate: float = 0
    away: int = 0
    slow_vms: tuple[str, ...] = ()

    def __str__(self) -> str:
        return self.name

    def begin(self, group: ReplicaGroup) -> None:
        network = group.network
        if self.slow_vms:
            network.vm_delays = dict.fromkeys(self.slow_vms, self.delay_seconds)
        else:
            network.delay_seconds = self.delay_seconds
        network.loss_rate = self.loss_rate
        for vm, disk in group.disks.items():
            if vm in self.slow_vms or not self.slow_vms:
                disk.sync_seconds = self.sync_seconds


KINDS = (
    Slowness('slow links', delay_seconds=0.2),
    Slowness('slow disks', sync_seconds=0.4),
    Slowness('both', delay_seconds=0.1, sync_seconds=0.1),
    Slowness('both, one away', delay_seconds=0.1, sync_seconds=0.1, away=1),
    Slowness('both, two away', delay_seconds=0.1, sync_seconds=0.1, away=2),
    Slowness('very slow, two away', 0.2, 0.2, away=2),
    Slowness('one slow voter', 0.2, 0.3, slow_vms=('vm-5',)),
    Slowness('one slow voter, two away', 0.2, 0.3, 0, 2, ('vm-5',)),
    Slowness('lost messages, two away', loss_rate=0.2, away=2),
    Slowness('slow links that lose messages', 0.1, loss_rate=0.1),
)


async def seconds_until_confirmed(group: ReplicaGroup) -> float:
    began_at = anyio.current_time()
    with anyio.fail_after(10 * RECOVER_SECONDS):
        while not await group.put('key', 2, RECOVER_SECONDS):
            await anyio.sleep(0.05)
    return anyio.current_time() - began_at


def play(
    seed: int, main: Callable[[ReplicaGroup, Replica], Awaitable[None]]
) -> None:
    async def run() -> None:
        group = ReplicaGroup(5, seed, options=QUICK_OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            assert await group.put('key', 1)
            await anyio.sleep(3)
            await main(group, leader)

    run_with_mock_clock(run)


def slow_down(group: ReplicaGroup, leader: Replica, kind: Slowness) -> None:
    """Makes a group slow that has a leader, and stops some followers."""
    others = [vm for vm in group.vms if vm != group.vm_of(leader)]
    for vm in others[: kind.away]:
        group.kill(vm)
    kind.begin(group)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_a_slow_group_confirms_a_change_in_time_after_a_loss_of_power(
    kind: Slowness, seed: int
) -> None:
    async def main(group: ReplicaGroup, leader: Replica) -> None:
        kind.begin(group)
        for vm in group.vms:
            group.kill(vm)
        for vm in group.vms[kind.away :]:
            group.start(vm)
            await anyio.sleep(group.rng.random() * 0.3)
        assert await seconds_until_confirmed(group) < RECOVER_SECONDS

    play(seed, main)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('kind', KINDS, ids=str)
def test_a_group_that_becomes_slow_goes_on_confirming_changes(
    kind: Slowness, seed: int
) -> None:
    async def main(group: ReplicaGroup, leader: Replica) -> None:
        slow_down(group, leader, kind)
        slowest = 0.0
        for _ in range(20):
            seconds = await seconds_until_confirmed(group)
            slowest = max(slowest, seconds)
            await anyio.sleep(1)
        assert slowest < RECOVER_SECONDS

    play(seed, main)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('kind', KINDS[:6], ids=str)
def test_a_leader_of_a_slow_group_keeps_its_lease(
    kind: Slowness, seed: int
) -> None:
    async def main(group: ReplicaGroup, leader: Replica) -> None:
        slow_down(group, leader, kind)
        await anyio.sleep(3 * RECOVER_SECONDS)
        leader = await group.wait_leader(RECOVER_SECONDS)
        for _ in range(100):
            assert leader.has_authority
            await anyio.sleep(0.1)

    play(seed, main)


def test_a_group_that_was_slow_replaces_its_leader_quickly_again() -> None:
    async def main(group: ReplicaGroup, leader: Replica) -> None:
        KINDS[0].begin(group)
        await anyio.sleep(3 * RECOVER_SECONDS)
        Slowness('fast').begin(group)
        await anyio.sleep(5 * RECOVER_SECONDS)
        for _ in range(3):
            leader = await group.wait_leader()
            vm = group.vm_of(leader)
            group.kill(vm)
            assert await seconds_until_confirmed(group) < 2
            group.start(vm)
            await anyio.sleep(RECOVER_SECONDS)

    play(1, main)


@pytest.mark.parametrize('seed', range(5))
def test_candidates_that_begin_together_split_votes_at_most_once(
    seed: int,
) -> None:
    async def main(group: ReplicaGroup, leader: Replica) -> None:
        term = leader.term
        Slowness('very slow', 0.2, 0.2).begin(group)
        for vm in group.vms:
            group.kill(vm)
        for vm in group.vms[2:]:
            group.start(vm)
        await seconds_until_confirmed(group)
        assert group.replicas[group.vms[2]].term <= term + 2

    play(seed, main)


@pytest.mark.parametrize('seed', range(4))
def test_a_lost_message_does_not_end_a_leadership(seed: int) -> None:
    async def main(group: ReplicaGroup, leader: Replica) -> None:
        others = [vm for vm in group.vms if vm != group.vm_of(leader)]
        for vm in others[:2]:
            group.kill(vm)
        Slowness('lost messages', loss_rate=0.2).begin(group)
        for _ in range(10):
            await seconds_until_confirmed(group)
            await anyio.sleep(1)
        assert leader.term <= 2

    play(seed, main)


def test_a_group_bootstraps_over_slow_links() -> None:
    async def main() -> None:
        group = ReplicaGroup(5, seed=1, options=QUICK_OPTIONS)
        group.network.delay_seconds = 0.25
        async with group.running():
            assert await seconds_until_confirmed(group) < 2 * RECOVER_SECONDS

    run_with_mock_clock(main)
