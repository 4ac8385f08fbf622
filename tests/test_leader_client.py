"""Finding the leader while the previous leader is cut off.

Guards against calls that wait for a cut-off VM until their deadline because
followers still report it as the leader.
"""

from http import HTTPStatus
import anyio
import pytest

from mulberryhitch.dispatch.operations import JobReply, ReadJob
from mulberryhitch.errors import (
    ConnectionLostError,
    DiskFullError,
    MulberryhitchError,
    NoQuorumError,
    NotFoundError,
    NotLeaderError,
    OutcomeUnknownError,
    OverloadedError,
    Problem,
    error_from_problem,
)
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.platform.asgi import http_status_of
from tests.fake_schedulers import (
    FakeSchedulers,
    NoSchedulers,
    ScriptedSchedulers,
)
from tests.replica_group import run_with_mock_clock

OPERATION = ReadJob('h', '/q/')


async def measure_execute(
    leader_client: LeaderClient, seconds: float = 0.9
) -> float:
    """Returns the duration of a call in seconds."""
    began = anyio.current_time()
    await leader_client.execute('jobs', OPERATION, JobReply, seconds)
    return anyio.current_time() - began


def test_later_calls_skip_a_leader_that_is_cut_off() -> None:
    async def main() -> None:
        for leader in ('c', 'd'):
            schedulers = FakeSchedulers(leader, {'b'})
            schedulers.reported_leader = 'b'
            leader_client = LeaderClient(schedulers, 0.6)
            # The first call detects the failure within its time-out.
            with anyio.move_on_after(2):
                await measure_execute(leader_client, 2)
            assert await measure_execute(leader_client) < 0.2
            assert await measure_execute(leader_client) < 0.01

    run_with_mock_clock(main)


def test_a_call_does_not_return_to_a_vm_that_did_not_respond() -> None:
    async def main() -> None:
        schedulers = FakeSchedulers('d', {'b'})
        leader_client = LeaderClient(schedulers, 0.6)
        # The followers still report the leader that is cut off.
        schedulers.reported_leader = 'b'
        await measure_execute(leader_client, 3)
        assert schedulers.called_vms.count('b') == 1

    run_with_mock_clock(main)


def test_a_scheduler_that_responds_again_is_found_again() -> None:
    async def main() -> None:
        schedulers = FakeSchedulers('b', {'b'})
        leader_client = LeaderClient(schedulers, 0.6)
        with pytest.raises(NoQuorumError):
            await measure_execute(leader_client, 3)
        schedulers.cut_vms.clear()
        assert await measure_execute(leader_client, 3) < 2

    run_with_mock_clock(main)


def test_a_former_leader_is_not_the_only_one_called() -> None:
    async def main() -> None:
        schedulers = FakeSchedulers('d', set())
        leader_client = LeaderClient(schedulers, 0.6)
        await measure_execute(leader_client)
        schedulers.leader = 'a'
        # The old leader, whose lease has expired, reports itself.
        schedulers.reported_leader = 'd'
        assert await measure_execute(leader_client) < 0.8

    run_with_mock_clock(main)


@pytest.mark.parametrize(
    'refusal', [OverloadedError, DiskFullError, NotFoundError]
)
def test_a_refusal_after_a_lost_reply_does_not_say_that_nothing_ran(
    refusal: type[MulberryhitchError],
) -> None:
    async def main() -> None:
        leader_client = LeaderClient(
            ScriptedSchedulers(ConnectionLostError('reset'), refusal('no')),
            0.6,
        )
        with pytest.raises(OutcomeUnknownError):
            await measure_execute(leader_client)

    run_with_mock_clock(main)


def test_an_error_of_an_unknown_code_does_not_say_that_nothing_ran() -> None:
    async def main() -> None:
        failure = error_from_problem(Problem('of_a_later_release', 'failed'))
        leader_client = LeaderClient(
            ScriptedSchedulers(failure, NotFoundError('no queue')), 0.6
        )
        with pytest.raises(MulberryhitchError) as caught:
            await measure_execute(leader_client)
        assert http_status_of(caught.value) == HTTPStatus.BAD_GATEWAY

    run_with_mock_clock(main)


def test_a_refusal_without_a_lost_reply_keeps_its_type() -> None:
    async def main() -> None:
        leader_client = LeaderClient(
            ScriptedSchedulers(
                NotLeaderError('not the leader'), NotFoundError('no queue')
            ),
            0.6,
        )
        with pytest.raises(NotFoundError):
            await measure_execute(leader_client)

    run_with_mock_clock(main)


def test_a_call_while_no_scheduler_is_known_finds_no_quorum() -> None:
    async def main() -> None:
        with pytest.raises(NoQuorumError):
            await measure_execute(LeaderClient(NoSchedulers()))

    run_with_mock_clock(main)


@pytest.mark.parametrize('cut_vms', ['', 'abcd'])
def test_an_operation_without_a_leader_ends_at_its_deadline(
    cut_vms: str,
) -> None:
    async def main() -> None:
        leader_client = LeaderClient(FakeSchedulers('', set(cut_vms)), 0.6)
        began = anyio.current_time()
        with pytest.raises(NoQuorumError):
            await measure_execute(leader_client, 0.9)
        assert anyio.current_time() - began == pytest.approx(0.9, abs=0.01)

    run_with_mock_clock(main)
