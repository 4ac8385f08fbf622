"""Entries in flight to a peer, and kept chunks, are bounded in bytes."""

from dataclasses import replace
from typing import Any

import anyio
import orjson
import pytest

from mulberryhitch.replication.follower import Follower
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import AppendRequest, LogEntry, SnapshotRequest
from tests.fakes import FakeDisk, FakeTransport, KeyValueStateMachine
from tests.replica_group import QUICK_OPTIONS, ReplicaGroup, run_with_mock_clock

KIBIBYTE = 1024
OPTIONS = replace(
    QUICK_OPTIONS,
    compact_entries=1000,
    batch_bytes=8 * KIBIBYTE,
    max_in_flight_bytes=8 * KIBIBYTE,
    repair_seconds=1000,
)
MOST_BYTES = OPTIONS.max_in_flight_bytes + OPTIONS.batch_bytes


class _BytesInFlight:
    """Counts the bytes of entries in flight to each VM."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.most: dict[str, int] = {}
        self._present: dict[str, int] = {}
        self._call = FakeTransport.call
        monkeypatch.setattr(FakeTransport, 'call', self._make_call())

    def _make_call(self) -> Any:
        counter = self

        async def call(
            transport: FakeTransport,
            vm: str,
            method: str,
            request: Any,
            timeout_seconds: float,
        ) -> Any:
            entries = request.entries if method == 'append' else []
            size = sum(len(entry.body) for entry in entries)
            present = counter._present.get(vm, 0) + size
            counter._present[vm] = present
            counter.most[vm] = max(counter.most.get(vm, 0), present)
            try:
                return await counter._call(
                    transport, vm, method, request, timeout_seconds
                )
            finally:
                counter._present[vm] -= size

        return call


@pytest.mark.parametrize('seed', range(3))
def test_a_stalled_peer_holds_no_more_than_its_share_of_bytes(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def main() -> None:
        in_flight = _BytesInFlight(monkeypatch)
        group = ReplicaGroup(3, seed, options=OPTIONS)
        async with group.running():
            leader = await group.wait_leader()
            vm = next(vm for vm in group.vms if vm != group.vm_of(leader))
            group.network.stalled_vms = {vm}
            for number in range(60):
                body = orjson.dumps(['x' * 4 * KIBIBYTE, number])
                await leader.propose('put', body)
                await anyio.sleep(0.02)
            group.network.stalled_vms = set()
            await group.wait_until_converged()
            assert 0 < in_flight.most[vm] <= MOST_BYTES

    run_with_mock_clock(main)


def test_the_default_bytes_in_flight_to_all_peers_fit_the_memory() -> None:
    options = ReplicationOptions()
    peer_bytes = options.max_in_flight_bytes + options.batch_bytes
    assert 4 * peer_bytes <= options.max_log_bytes


def test_chunks_of_a_snapshot_that_entries_made_needless_are_freed() -> None:
    async def main() -> None:
        state = ReplicaState('group', FakeDisk('vm-1'), KeyValueStateMachine())
        await state.save_term(1, 'vm-2#0')
        await state.bootstrap(Members(('vm-1#0', 'vm-2#0')))
        follower = Follower(state)
        chunk = SnapshotRequest(
            'group', 'vm-1#0', 1, 'vm-2#0', 2, 1, [], [], b'ab', 0, False
        )
        assert (await follower.receive_chunk(chunk)).next_offset == 2
        entries = [LogEntry(2, 1, 'put', b'["key", 1]')]
        request = AppendRequest(
            'group', 'vm-1#0', 1, 'vm-2#0', 1, 0, 2, entries, 1, 0
        )
        await follower.append(request, 1)
        assert state.commit_index == 2
        assert not follower._snapshot_buffer

    run_with_mock_clock(main)
