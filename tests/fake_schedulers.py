"""Schedulers that a leader client calls, without a network."""

from typing import Any

import anyio

from mulberryhitch.dispatch.operations import JobReply
from mulberryhitch.errors import (
    DeadlinePassedError,
    MulberryhitchError,
    NotLeaderError,
)
from mulberryhitch.rpc.messages import ExecuteReply
from mulberryhitch.rpc.records import encode

VMS = ('a', 'b', 'c', 'd')


class FakeSchedulers:
    """One VM leads; connections to those that are cut off time out."""

    def __init__(self, leader: str, cut_vms: set[str]) -> None:
        self.leader = leader
        self.cut_vms = cut_vms
        self.reported_leader = ''
        self.called_vms: list[str] = []

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        self.called_vms.append(vm)
        if vm in self.cut_vms:
            await anyio.sleep(timeout_seconds)
            raise DeadlinePassedError('not connected', where=vm)
        await anyio.sleep(0.002)
        if vm != self.leader:
            raise NotLeaderError('not the leader', where=self.reported_leader)
        return ExecuteReply(encode(JobReply('queued')))

    def leader_of(self, group: str) -> str:
        return self.reported_leader

    def voters_of(self, group: str) -> tuple[str, ...]:
        return VMS


class NoSchedulers(FakeSchedulers):
    """No scheduler is known, as with settings that name no seed."""

    def __init__(self) -> None:
        super().__init__('', set())

    def voters_of(self, group: str) -> tuple[str, ...]:
        return ()


class ScriptedSchedulers(FakeSchedulers):
    """Each call fails with the next error."""

    def __init__(self, *failures: MulberryhitchError) -> None:
        super().__init__('a', set())
        self._failures = list(failures)

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        raise self._failures.pop(0)
