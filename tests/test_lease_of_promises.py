"""A lease ends, by the leader's clock, before the promises that it is made of."""

import anyio
import pytest

from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

PROMISED_SECONDS = QUICK_OPTIONS.election_seconds


@pytest.mark.parametrize('delay_seconds', [0.002, 0.2])
def test_a_lease_is_no_longer_than_what_followers_with_full_disks_promised(
    delay_seconds: float,
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, 1, options=QUICK_OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            leadership = leader._roles.require_leadership()
            for vm in set(group.vms) - {group.vm_of(leader)}:
                group.disks[vm].fill()
            group.network.delay_seconds = delay_seconds
            longest = 0.0
            for _ in range(500):
                await anyio.sleep(0.01)
                remaining = leadership.authority_expires_at
                remaining -= anyio.current_time()
                longest = max(longest, remaining)
            is_slow = delay_seconds > 0.1
            assert (leadership.election_seconds > PROMISED_SECONDS) == is_slow
            assert longest <= PROMISED_SECONDS - QUICK_OPTIONS.drift_seconds

    run_with_mock_clock(main)
