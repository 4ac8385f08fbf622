"""Members that answer slowly are not taken for gone."""

import anyio
import pytest

from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

ADAPTING_SECONDS = 8
WATCHED_SECONDS = 40


def _slow_down(group: ReplicaGroup, delay_seconds: float) -> None:
    group.network.delay_seconds = delay_seconds
    for disk in group.disks.values():
        disk.sync_seconds = delay_seconds / 2


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('delay_seconds', [0.1, 0.2, 0.3, 0.4])
def test_members_that_answer_slowly_are_kept(
    delay_seconds: float, seed: int
) -> None:
    async def main() -> list[str]:
        group = ReplicaGroup(3, seed, 1, QUICK_OPTIONS)
        async with group.running():
            assert await group.put('key', 1)
            await anyio.sleep(3)
            _slow_down(group, delay_seconds)
            await anyio.sleep(ADAPTING_SECONDS)
            seen = len(group.log_events)
            await anyio.sleep(WATCHED_SECONDS)
            return [event for event, _ in group.log_events[seen:]]

    events = run_with_mock_clock(main)
    assert not [event for event in events if event.startswith('members.')]
    assert 'replica.leads' not in events


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('delay_seconds', [0.1, 0.2, 0.3])
def test_a_slow_group_replaces_a_voter_that_is_gone(
    delay_seconds: float, seed: int
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed, 1, QUICK_OPTIONS)
        async with group.running():
            assert await group.put('key', 1)
            await anyio.sleep(3)
            _slow_down(group, delay_seconds)
            await anyio.sleep(ADAPTING_SECONDS)
            leader = await group.wait_leader()
            gone = next(vm for vm in group.vms if vm != group.vm_of(leader))
            group.kill(gone)
            await anyio.sleep(ADAPTING_SECONDS)
            voters = (await group.wait_leader()).members.voters
            assert len(voters) == 3
            assert 'spare-1#0' in voters

    run_with_mock_clock(main)
