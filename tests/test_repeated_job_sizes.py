"""What jobs add to the state beyond their specification is bounded too."""

import anyio
import pytest

from mulberryhitch.dispatch.operations import (
    Acknowledged,
    ChangeTable,
    JobReply,
    SubmitJob,
)
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable, Step
from tests.jobs_group import GROUP, REQUEST_SECONDS, JobsGroup
from tests.replica_group import run_with_mock_clock

STATE_BYTES = 100_000
QUEUE = Queue('queue', 'host', '/q/', 'service')


@pytest.mark.parametrize('tasks', [1, 30])
def test_occurrences_of_an_accepted_job_dont_exceed_the_size_of_the_state(
    tasks: int,
) -> None:
    spec = JobSpec('', (Step(tasks, 500, 100),), 2000, 0, 0.001)

    async def main() -> None:
        group = JobsGroup(3, 1, 0, DispatchOptions(max_state_bytes=STATE_BYTES))
        async with group.running():
            await group.wait_leader()
            for request, reply in (
                (ChangeTable(QueueTable(1, '{}', (QUEUE,))), Acknowledged),
                (SubmitJob('host', '/q/job', spec), JobReply),
            ):
                await group.leader_client.execute(
                    GROUP, request, reply, REQUEST_SECONDS
                )
            await anyio.sleep(10)
            store = await group.leading_store()
            assert len(store.snapshot()) < STATE_BYTES * 2

    run_with_mock_clock(main)
