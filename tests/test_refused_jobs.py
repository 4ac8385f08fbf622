"""Refusals because of load, from the leader to the entry that asked."""

from typing import Any

import pytest

from mulberryhitch.dispatch.operations import JobReply, ReadJob, SubmitJob
from mulberryhitch.errors import OverloadedError
from mulberryhitch.jobs.model import JobSpec
from tests.jobs_group import GROUP, SHORT, Callers, JobsGroup
from tests.replica_group import run_with_mock_clock

RETRY_AFTER_SECONDS = 7


def _refuse(*arguments: Any) -> None:
    raise OverloadedError('busy', retry_after_seconds=RETRY_AFTER_SECONDS)


async def _submit(group: JobsGroup, job_id: str) -> JobReply:
    request = SubmitJob('h', f'/q/{job_id}', JobSpec('', (SHORT,)))
    reply: JobReply = await group.leader_client.execute(
        GROUP, request, JobReply, 2
    )
    return reply


def test_only_unknown_jobs_are_refused_and_leave_nothing() -> None:
    """Guards against 503 for accepted jobs, and refused jobs that are kept."""

    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            await Callers(group).change_table()
            assert (await _submit(group, 'known')).state == 'queued'
            leader = group.vm_of(await group.wait_leader())
            service = group.network.nodes[leader]._service
            service._dispatcher.admission.check = _refuse
            assert (await _submit(group, 'known')).state == 'queued'
            with pytest.raises(OverloadedError) as caught:
                await _submit(group, 'unknown')
            assert caught.value.retry_after_seconds == RETRY_AFTER_SECONDS
            read = ReadJob('h', '/q/unknown')
            reply = await group.leader_client.execute(GROUP, read, JobReply, 2)
            assert not reply.state
            assert set(group.stores[leader].jobs) == {'known'}

    run_with_mock_clock(main)
