"""What clients are told while the leader is stopped as planned."""

from pathlib import Path

import anyio

from mulberryhitch.errors import MulberryhitchError
from tests.platform_harness import (
    SCHEDULERS,
    PlatformHarness,
    make_configuration,
)

JOB = {'spec': 'text', 'steps': [{'count': 1, 'cpu': 100, 'mem_mb': 10}]}
CLIENTS = 8
LOAD_SECONDS = 2.5
STOP_AFTER_SECONDS = 0.7


class Submitter:
    """Submits each job once, and records the status that it got.

    Attributes:
        statuses: Status of each job; zero without a complete answer.
    """

    def __init__(self, harness: PlatformHarness, number: int) -> None:
        self._harness = harness
        self._number = number
        self.statuses: dict[str, int] = {}

    async def run(self) -> None:
        """Submits jobs one after another for the time of the load."""
        ends_at = anyio.current_time() + LOAD_SECONDS
        while anyio.current_time() < ends_at:
            job_id = f'{self._number:04x}{len(self.statuses):012x}'
            self.statuses[job_id] = 0
            try:
                response = await self._harness.send_to_queue(
                    'POST', f'/q/{job_id}', JOB
                )
            except MulberryhitchError:
                continue
            self.statuses[job_id] = response.status
            await anyio.sleep(0.01)


async def submit_while_the_leader_stops(
    harness: PlatformHarness,
) -> dict[str, int]:
    """Returns the status that each submitted job got."""
    submitters = [Submitter(harness, number) for number in range(CLIENTS)]
    async with anyio.create_task_group() as tasks:
        for submitter in submitters:
            tasks.start_soon(submitter.run)
        await anyio.sleep(STOP_AFTER_SECONDS)
        harness.stop_leader()
    return {
        job_id: status
        for submitter in submitters
        for job_id, status in submitter.statuses.items()
    }


def test_a_planned_stop_of_the_leader_keeps_what_its_answers_say(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        harness = PlatformHarness(tmp_path)
        async with harness.running():
            await harness.retry_until_status(
                200,
                harness.send,
                SCHEDULERS[0],
                'PUT',
                '/config',
                make_configuration(1),
            )
            await harness.retry_until_status(
                200, harness.send_to_queue, 'GET', '/q/'
            )
            statuses = await submit_while_the_leader_stops(harness)
            assert set(statuses.values()) <= {200, 502, 503}
            for job_id, status in statuses.items():
                response = await harness.send_to_queue('GET', f'/q/{job_id}')
                if status != 502:
                    expected = 200 if status == 200 else 410
                    assert response.status == expected

    anyio.run(main)
