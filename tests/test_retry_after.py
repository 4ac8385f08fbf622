"""When callers are told to come back."""

from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.operations import JobReply, ReadJob
from mulberryhitch.errors import (
    InvalidInputError,
    MulberryhitchError,
    NoQuorumError,
    OverloadedError,
    OverQuotaError,
    error_from_problem,
)
from mulberryhitch.jobs.model import Limits
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.membership.recovery import (
    RECOVERY_SECONDS,
    recovery_seconds_left,
)
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import LineRateLimiter, Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from mulberryhitch.replication.options import ReplicationOptions
from tests.fake_schedulers import FakeSchedulers
from tests.replica_group import run_with_mock_clock

SEARCH_SECONDS = 0.5


def headers_of(error: MulberryhitchError) -> tuple[int, dict[bytes, bytes]]:
    """Returns the status and headers with which an error is answered."""
    sent: list[dict[str, Any]] = []

    async def refuse(request: HttpRequest) -> HttpResponse:
        raise error

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': b''}

    async def send(message: dict[str, Any]) -> None:
        sent.append(message)

    application = AsgiApplication(
        refuse,
        Log('entry', LineRateLimiter(0)),
        Limits,
        lambda: False,
        Histograms(),
    )
    scope = {'type': 'http', 'method': 'POST', 'path': '/q/a', 'headers': []}
    anyio.run(application, scope, receive, send)
    return sent[0]['status'], dict(sent[0]['headers'])


@pytest.mark.parametrize(
    ('error', 'status', 'retry_after'),
    [
        (OverloadedError('no room', retry_after_seconds=7), 503, b'7'),
        (OverloadedError('no room', retry_after_seconds=2.2), 503, b'3'),
        (OverloadedError('no room'), 503, b'1'),
        (OverQuotaError('cap', retry_after_seconds=4), 429, b'4'),
        (InvalidInputError('wrong', retry_after_seconds=4), 400, None),
    ],
)
def test_the_header_has_the_whole_seconds_of_the_error(
    error: MulberryhitchError, status: int, retry_after: bytes | None
) -> None:
    """Guards against a fixed time, also for an error that a peer has sent."""
    for one in (error, error_from_problem(error.problem)):
        found, headers = headers_of(one)
        assert found == status
        assert headers.get(b'retry-after') == retry_after


def test_the_time_to_recover_is_that_of_the_elections() -> None:
    """Guards against a constant that no longer follows the options."""
    options = ReplicationOptions()
    longest = 3 * options.election_seconds + options.heartbeat_seconds
    assert RECOVERY_SECONDS == pytest.approx(longest)


def test_the_time_left_falls_and_then_grows() -> None:
    """Guards against callers who ask a group without a majority each second."""
    assert recovery_seconds_left(0) == RECOVERY_SECONDS
    assert recovery_seconds_left(1) == pytest.approx(RECOVERY_SECONDS - 1)
    assert recovery_seconds_left(2) == 1
    assert recovery_seconds_left(8) == 4
    assert recovery_seconds_left(1000) == 5


def test_callers_without_a_leader_are_told_what_is_left() -> None:
    """Guards against a fixed time, and one that is left from a former gap."""

    async def main() -> None:
        schedulers = FakeSchedulers('', set())
        client = LeaderClient(schedulers, SEARCH_SECONDS)
        told = [await retry_after(client) for _ in range(4)]
        assert told[0] == pytest.approx(RECOVERY_SECONDS - SEARCH_SECONDS, 0.1)
        assert told[1] < told[0]
        schedulers.leader = 'a'
        await execute(client)
        schedulers.leader = ''
        assert await retry_after(client) == pytest.approx(told[0], 0.1)

    run_with_mock_clock(main)


async def execute(client: LeaderClient) -> None:
    await client.execute('jobs', ReadJob('h', '/q/'), JobReply, SEARCH_SECONDS)


async def retry_after(client: LeaderClient) -> float:
    with pytest.raises(NoQuorumError) as caught:
        await execute(client)
    return caught.value.retry_after_seconds
