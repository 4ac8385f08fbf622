"""Replicas say hello only while they have something to ask or to tell."""

from typing import Any

import anyio
import pytest

from tests.fakes import FakeTransport
from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)


def test_members_of_a_complete_group_say_no_hello(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hellos: list[str] = []
    call = FakeTransport.call

    async def count(
        transport: FakeTransport, vm: str, method: str, *args: Any
    ) -> Any:
        if method == 'hello':
            hellos.append(vm)
        return await call(transport, vm, method, *args)

    async def main() -> None:
        monkeypatch.setattr(FakeTransport, 'call', count)
        group = ReplicaGroup(3, 1, 1, QUICK_OPTIONS)
        group.data_centres = dict(zip(group.disks, 'abca', strict=True))
        async with group.running():
            assert await group.put('key', 1)
            await anyio.sleep(5)
            hellos.clear()
            await anyio.sleep(10)

    run_with_mock_clock(main)
    assert not hellos
