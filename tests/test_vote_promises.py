"""A replica that confirmed a leader's append votes for no other meanwhile."""

import random
from typing import Any

import anyio

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import (
    AppendReply,
    AppendRequest,
    LogEntry,
    TakeOverRequest,
    VoteReply,
    VoteRequest,
)
from tests.fakes import FakeDisk, KeyValueStateMachine
from tests.replica_group import QUICK_OPTIONS, run_with_mock_clock

OWN = 'vm-1#0'
LEADER = 'vm-2#0'
OTHER = 'vm-3#0'
TERM = 3
ELECTION_SECONDS = QUICK_OPTIONS.election_seconds
PUT = LogEntry(2, TERM, 'put', b'["key",1]')


def append_request(
    term: int = TERM, leader: str = LEADER, entries: tuple[LogEntry, ...] = ()
) -> AppendRequest:
    return AppendRequest('group', OWN, term, leader, 1, 0, 1, list(entries))


class Peers:
    """The other two replicas, which grant every vote and are never down."""

    def __init__(self) -> None:
        self.requests: list[tuple[float, VoteRequest]] = []
        self.replica: Replica | None = None
        self.append_during_pre_vote = False

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        assert self.replica is not None
        await anyio.sleep(0.01)
        if not isinstance(request, VoteRequest):
            return AppendReply(self.replica.term, False, 1)
        if request.pre_vote and self.append_during_pre_vote:
            await self.replica.append(append_request())
        self.requests.append((anyio.current_time(), request))
        return VoteReply(request.term, granted=True)

    def seconds_of_votes(self) -> list[float]:
        return [at for at, request in self.requests if not request.pre_vote]


class LoneReplica:
    """A voter in term 3, whose peers the test plays."""

    def __init__(self) -> None:
        self.disk = FakeDisk('vm-1')
        self.peers = Peers()

    async def load(self) -> Replica:
        state = ReplicaState('group', self.disk, KeyValueStateMachine())
        if not state.configured:
            await state.bootstrap(Members((OWN, LEADER, OTHER)))
            await state.save_term(TERM, LEADER)
        replica = Replica(
            state,
            self.peers,
            ('vm-1', 'vm-2', 'vm-3'),
            QUICK_OPTIONS,
            Log('vm-1'),
            random.Random(1),
        )
        self.peers.replica = replica
        return replica


def vote_request(*, transfer: bool = False) -> VoteRequest:
    return VoteRequest('group', OWN, TERM + 1, OTHER, 9, TERM, False, transfer)


def test_a_vote_that_waited_for_the_disk_is_refused_after_a_new_append() -> (
    None
):
    async def main() -> None:
        lone = LoneReplica()
        replica = await lone.load()
        lone.disk.sync_seconds = 2 * ELECTION_SECONDS
        granted_at = []

        async def request_vote() -> None:
            if (await replica.vote(vote_request())).granted:
                granted_at.append(anyio.current_time())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replica.append, append_request(entries=(PUT,)))
            await anyio.sleep(1.5 * ELECTION_SECONDS)
            tasks.start_soon(replica.append, append_request())
            await anyio.sleep(0.01)
            tasks.start_soon(request_vote)
        assert replica.term == TERM
        assert not granted_at

    run_with_mock_clock(main)


def test_a_candidate_that_hears_its_leader_does_not_vote_for_itself() -> None:
    async def main() -> None:
        lone = LoneReplica()
        lone.peers.append_during_pre_vote = True
        replica = await lone.load()
        with anyio.move_on_after(10 * ELECTION_SECONDS):
            await replica.run()
        assert lone.peers.requests
        assert not lone.peers.seconds_of_votes()
        assert replica.term == TERM

    run_with_mock_clock(main)


def test_a_request_to_take_over_ends_with_the_term_of_its_leader() -> None:
    async def main() -> None:
        lone = LoneReplica()
        replica = await lone.load()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(replica.run)
            await anyio.sleep(0.1)
            async with replica.state.lock:
                tasks.start_soon(
                    replica.append, append_request(TERM + 1, OTHER)
                )
                await anyio.sleep(0.01)
                await replica.take_over(TakeOverRequest('group', OWN, TERM))
                await anyio.sleep(0.01)
            await anyio.sleep(ELECTION_SECONDS / 2)
            assert replica.term == TERM + 1
            assert replica.leader_id == OTHER
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)
