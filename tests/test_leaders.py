"""Finding the leader while the one before is cut off."""

from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.operations import JobAnswer, ReadJob
from mulberryhitch.errors import (
    DeadlinePassedError,
    NoQuorumError,
    NotLeaderError,
)
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.rpc.messages import ExecuteReply
from mulberryhitch.rpc.records import encode
from tests.groups import run_at_once

VMS = ('a', 'b', 'c', 'd')
OPERATION = ReadJob('h', '/q/')


class Schedulers:
    """One of them leads; those that are cut off swallow every connection."""

    def __init__(self, leader: str, cut: set[str]) -> None:
        self.leader = leader
        self.cut = cut
        self.thought = ''
        self.called: list[str] = []

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        self.called.append(vm)
        if vm in self.cut:
            await anyio.sleep(timeout_seconds)
            raise DeadlinePassedError('not connected', where=vm)
        await anyio.sleep(0.002)
        if vm != self.leader:
            raise NotLeaderError('does not lead', where=self.thought)
        return ExecuteReply(encode(JobAnswer('queued')))

    def leader_of(self, group: str) -> str:
        return self.thought

    def voters_of(self, group: str) -> tuple[str, ...]:
        return VMS


async def ask(leaders: LeaderClient, seconds: float = 0.9) -> float:
    began = anyio.current_time()
    await leaders.execute('jobs', OPERATION, JobAnswer, seconds)
    return anyio.current_time() - began


def test_a_leader_that_was_cut_off_is_left_alone_by_later_calls() -> None:
    async def main() -> None:
        for leader in ('c', 'd'):
            schedulers = Schedulers(leader, {'b'})
            schedulers.thought = 'b'
            leaders = LeaderClient(schedulers, 0.6)
            # The first call finds out, and gives up in time.
            with anyio.move_on_after(2):
                await ask(leaders, 2)
            assert await ask(leaders) < 0.2
            assert await ask(leaders) < 0.01

    run_at_once(main)


def test_a_call_is_not_led_back_to_where_there_was_no_answer() -> None:
    async def main() -> None:
        schedulers = Schedulers('d', {'b'})
        leaders = LeaderClient(schedulers, 0.6)
        # The followers still believe in the leader that is cut off.
        schedulers.thought = 'b'
        await ask(leaders, 3)
        assert schedulers.called.count('b') == 1

    run_at_once(main)


def test_a_scheduler_that_answers_again_is_found_again() -> None:
    async def main() -> None:
        schedulers = Schedulers('b', {'b'})
        leaders = LeaderClient(schedulers, 0.6)
        with pytest.raises(NoQuorumError):
            await ask(leaders, 3)
        schedulers.cut.clear()
        assert await ask(leaders, 3) < 2

    run_at_once(main)


def test_one_that_leads_no_more_is_not_asked_alone() -> None:
    async def main() -> None:
        schedulers = Schedulers('d', set())
        leaders = LeaderClient(schedulers, 0.6)
        await ask(leaders)
        schedulers.leader = 'a'
        # The one before names itself: its own lease has run out.
        schedulers.thought = 'd'
        assert await ask(leaders) < 0.8

    run_at_once(main)
