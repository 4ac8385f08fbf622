"""The beginning of the line of a refused request tells why no leader was found."""

import io
import json
from collections.abc import Callable, Iterator
from typing import Any

import anyio
import eliot
import pytest

from mulberryhitch.jobs.model import Limits
from mulberryhitch.membership.known_group import (
    ElectionView,
    KnownGroup,
    ReplicaView,
)
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import AsgiApplication
from mulberryhitch.platform.control import ControlHandler
from tests.fake_schedulers import FakeSchedulers
from tests.jobs_group import EntryTransport, JobsGroup
from tests.replica_group import run_with_mock_clock

SENT_CHARACTERS = 200
VOTERS = ('10.1.0.11', '10.2.0.52', '10.4.0.24')


@pytest.fixture
def lines() -> Iterator[io.StringIO]:
    stream = io.StringIO()
    destination = eliot.FileDestination(file=stream)
    eliot.add_destinations(destination)
    yield stream
    eliot.remove_destination(destination)


def sent_line(lines: io.StringIO) -> str:
    """Returns what operators send of the last line of a refusal."""
    refusals = [
        line
        for line in lines.getvalue().splitlines()
        if json.loads(line)['message_type'] == 'request.refused'
    ]
    return refusals[-1][:SENT_CHARACTERS]


async def request_configuration(
    schedulers: Any, known_group: Callable[[], KnownGroup], vm: str
) -> dict[str, Any]:
    """Requests the configuration at a VM and returns the body of the answer."""
    client = LeaderClient(schedulers, 0.6, known_group=known_group)
    application = AsgiApplication(
        ControlHandler(client).respond,
        Log(f'scheduler@{vm}'),
        Limits,
        lambda: False,
        Histograms(),
    )
    sent: list[dict[str, Any]] = []

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': b''}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    scope = {'type': 'http', 'method': 'GET', 'path': '/config', 'headers': []}
    await application(scope, receive, send)
    assert sent[0]['status'] == 503
    return dict(json.loads(sent[1]['body']))


def known_by(group: JobsGroup, vm: str) -> Callable[[], KnownGroup]:
    known_group: Callable[[], KnownGroup]
    known_group = group.network.nodes[vm]._service.known_group
    return known_group


async def request_at(group: JobsGroup, vm: str) -> dict[str, Any]:
    """Requests the configuration at a scheduler that can call no other."""
    return await request_configuration(
        FakeSchedulers('', set()), known_by(group, vm), vm
    )


def replica_of(group: JobsGroup, vm: str) -> ReplicaView:
    replica = known_by(group, vm)().replica
    assert replica is not None
    return replica


def test_a_scheduler_says_that_most_voters_are_gone(lines: io.StringIO) -> None:
    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            last = group.vm_of(await group.wait_leader())
            gone = [vm for vm in group.vms if vm != last][:2]
            for vm in gone:
                group.kill(vm)
            await anyio.sleep(8)
            body = await request_at(group, last)
        line = sent_line(lines)
        assert '1 of 3 voters answered the election' in line
        assert f'"missing":{json.dumps(gone, separators=(",", ":"))}' in line
        assert body['what'] in line
        assert '"leaderless":' in line

    run_with_mock_clock(main)


def test_a_scheduler_says_when_the_last_leader_was_heard() -> None:
    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            leader = group.vm_of(await group.wait_leader())
            await anyio.sleep(2)
            follower = next(vm for vm in group.vms if vm != leader)
            assert replica_of(group, follower).leaderless_seconds == 0
            group.kill(leader)
            await anyio.sleep(0.55)
            statement = replica_of(group, follower).statement
            assert statement.startswith(f'{leader} led until 0.')

    run_with_mock_clock(main)


def test_a_scheduler_says_that_the_leader_takes_no_connection(
    lines: io.StringIO,
) -> None:
    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            leader = group.vm_of(await group.wait_leader())
            await anyio.sleep(2)
            follower = next(vm for vm in group.vms if vm != leader)
            schedulers = FakeSchedulers('', {leader})
            schedulers.reported_leader = leader
            await request_configuration(
                schedulers, known_by(group, follower), follower
            )
        expected = f'no leader was found: {leader} leads, its VM takes no'
        assert expected in sent_line(lines)

    run_with_mock_clock(main)


def test_an_entry_says_what_a_scheduler_told_it(lines: io.StringIO) -> None:
    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            last = group.vm_of(await group.wait_leader())
            for vm in group.vms:
                if vm != last:
                    group.kill(vm)
            await anyio.sleep(8)
            await request_configuration(
                EntryTransport(group.network, group.vms), KnownGroup, 'entry'
            )
        told = (
            f'{last} tells: this VM is not the leader: 1 of 3 voters answered'
        )
        assert told in sent_line(lines)

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    ('view', 'statement'),
    [
        (
            ElectionView(3, 1, {'10.2.0.52': 'log behind'}, VOTERS[2:]),
            '2 of 3 voters answered the election, 1 for this VM',
        ),
        (
            ElectionView(3, 1, {}, VOTERS[1:]),
            '1 of 3 voters answered the election',
        ),
        (None, '10.2.0.52 led until 7.2 s ago'),
    ],
)
def test_the_fields_that_decide_fit_into_what_is_sent(
    view: ElectionView | None, statement: str, lines: io.StringIO
) -> None:
    replica = ReplicaView(
        VOTERS[0], False, False, 112, VOTERS, VOTERS[1], 7.21, view
    )

    async def main() -> None:
        await request_configuration(
            FakeSchedulers('', set()),
            lambda: KnownGroup(replica=replica),
            VOTERS[0],
        )

    run_with_mock_clock(main)
    line = sent_line(lines)
    assert f'no leader was found: {statement}"' in line
    assert '"term":112,"leaderless":7.2,' in line
    if view:
        missing = json.dumps(list(view.missing_vms), separators=(',', ':'))
        assert f'"missing":{missing}' in line


def test_a_replica_that_leads_does_not_deny_it() -> None:
    confirmed = ReplicaView('a', True, True, 3, ('a', 'b'), 'a', 0, None)
    alone = ReplicaView('a', True, False, 3, ('a', 'b'), 'a', 1, None)
    assert confirmed.statement == 'this VM leads'
    assert alone.statement == 'this VM leads, not confirmed by a majority'


def test_a_scheduler_says_that_its_full_disk_stored_no_vote(
    lines: io.StringIO,
) -> None:
    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            leader = group.vm_of(await group.wait_leader())
            await anyio.sleep(2)
            for disk in group.disks.values():
                disk.fill()
            group.kill(leader)
            await anyio.sleep(8)
            last = next(vm for vm in group.vms if vm != leader)
            await request_at(group, last)
        line = sent_line(lines)
        assert '2 for this VM, its vote not stored: disk full' in line
        assert '"leaderless":' in line

    run_with_mock_clock(main)
