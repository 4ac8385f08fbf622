"""Jobs of many steps that come to one entry at once."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.access import KnownKeys
from mulberryhitch.dispatch.operations import JobReply
from mulberryhitch.errors import OverloadedError
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import HttpRequest
from mulberryhitch.platform.ingress import IngressHandler
from tests.costly_bodies import MOST_STEPS, job_of_steps
from tests.replica_group import run_with_mock_clock

TIMEOUT_SECONDS = 1.5
LEADER_SECONDS = 0.3


class SlowLeader:
    """A leader client that handles each operation for some time.

    Attributes:
        steps: Number of steps of each job that came, in order.
        timeouts: Time limits of the operations, seconds.
        most_steps: Largest number of steps handled at once.
    """

    def __init__(self, seconds: float = LEADER_SECONDS) -> None:
        self._seconds = seconds
        self._steps_now = 0
        self.steps: list[int] = []
        self.timeouts: list[float] = []
        self.most_steps = 0

    async def execute(
        self, group: str, operation: Any, reply_type: Any, seconds: float
    ) -> JobReply:
        count = len(operation.spec.steps)
        self.steps.append(count)
        self.timeouts.append(seconds)
        self._steps_now += count
        self.most_steps = max(self.most_steps, self._steps_now)
        await anyio.sleep(self._seconds)
        self._steps_now -= count
        return JobReply('queued')


class Entry:
    """An entry with a slow leader, and the outcomes of what it was sent.

    Attributes:
        outcomes: Time (s) and outcome of each request, by its number of
            steps: ``accepted`` or ``refused``.
    """

    def __init__(self, leader: SlowLeader) -> None:
        self._handler = IngressHandler(leader, KnownKeys(), Log('e').count)
        self.outcomes: list[tuple[float, str]] = []

    async def submit(self, body: bytes) -> None:
        request = HttpRequest('POST', 'h', '/q/j', body, TIMEOUT_SECONDS)
        outcome = 'accepted'
        try:
            await self._handler.respond(request)
        except OverloadedError as error:
            assert error.problem.retry_after_seconds
            outcome = 'refused'
        self.outcomes.append((round(anyio.current_time(), 3), outcome))

    async def submit_at_once(self, *bodies: bytes) -> None:
        async with anyio.create_task_group() as tasks:
            for body in bodies:
                tasks.start_soon(self.submit, body)
                await anyio.sleep(0.001)


def _play(main: Callable[[], Awaitable[None]]) -> None:
    run_with_mock_clock(main)


def test_two_clients_with_the_largest_job_are_both_served() -> None:
    """Guards against a limit that clients within all limits meet."""

    async def main() -> None:
        leader = SlowLeader()
        entry = Entry(leader)
        largest = job_of_steps(MOST_STEPS)
        await entry.submit_at_once(largest, largest)
        assert [outcome for _, outcome in entry.outcomes] == ['accepted'] * 2
        assert leader.most_steps == MOST_STEPS
        # The second has less time left.
        assert leader.timeouts[0] > leader.timeouts[1] + LEADER_SECONDS / 2

    _play(main)


@pytest.mark.parametrize('step_count', [4, 100, 4000])
def test_smaller_jobs_do_not_wait_for_the_largest(step_count: int) -> None:
    async def main() -> None:
        leader = SlowLeader(10)
        entry = Entry(leader)
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(entry.submit, job_of_steps(MOST_STEPS))
            await anyio.sleep(1)
            tasks.start_soon(entry.submit, job_of_steps(step_count))
            await anyio.sleep(0.001)
            assert leader.steps[-1] == step_count
            tasks.cancel_scope.cancel()

    _play(main)


def test_a_job_that_gets_no_turn_in_time_is_refused() -> None:
    """Guards against a wait that leaves no time for the work itself."""

    async def main() -> None:
        entry = Entry(SlowLeader(10))
        largest = job_of_steps(MOST_STEPS)
        await entry.submit_at_once(largest, largest, largest)
        refused = [at for at, outcome in entry.outcomes if outcome == 'refused']
        # The third at once, as the second must wait already.
        assert refused[0] < 0.01
        assert refused[1] == pytest.approx(TIMEOUT_SECONDS / 2, abs=0.01)

    _play(main)


def test_large_jobs_get_their_turn_in_the_order_they_came() -> None:
    async def main() -> None:
        leader = SlowLeader(0.1)
        entry = Entry(leader)
        # Each takes over half of what is handled at once.
        sizes = (4000, 3000, 2500, 3500)
        await entry.submit_at_once(*map(job_of_steps, sizes))
        assert leader.steps == list(sizes)
        assert leader.most_steps == max(sizes)

    _play(main)


def test_jobs_that_leave_while_they_wait_keep_no_turn() -> None:
    async def main() -> None:
        leader = SlowLeader(0.1)
        entry = Entry(leader)
        largest = job_of_steps(MOST_STEPS)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(entry.submit, largest)
            tasks.start_soon(entry.submit, largest)
            await anyio.sleep(0.05)
            tasks.cancel_scope.cancel()
        await entry.submit(largest)
        assert entry.outcomes[-1][1] == 'accepted'

    _play(main)
