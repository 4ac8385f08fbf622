"""A leader does not send the same entries again and again to a slow peer."""

from typing import Any

import anyio
import pytest

from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

ENTRIES = 40


@pytest.mark.parametrize('seed', range(4))
def test_entries_on_their_way_to_a_slow_peer_are_not_sent_again_and_again(
    seed: int,
) -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed, options=QUICK_OPTIONS)
        received = []
        async with group.running():
            leader = await group.wait_leader()
            slow = next(vm for vm in group.vms if vm != group.vm_of(leader))
            group.kill(slow)
            for number in range(ENTRIES):
                assert await group.put('key', number)
            group.network.vm_delays[slow] = 0.3
            group.start(slow)
            append = group.replicas[slow].append

            async def record(request: Any) -> Any:
                received.extend(entry.index for entry in request.entries)
                return await append(request)

            group.replicas[slow].append = record  # type: ignore[method-assign]
            await anyio.sleep(10)
            assert group.replicas[slow].state.last_index > ENTRIES
        # A message that overtakes them may cause one repetition.
        assert len(received) <= 2 * len(set(received))

    run_with_mock_clock(main)
