"""Who may submit, read and cancel jobs, by the configuration at the leader."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from mulberryhitch.dispatch.operations import (
    Acknowledged,
    CancelJob,
    ChangeTable,
    GroupInfo,
    JobReply,
    ReadJob,
    ReportPermitProxy,
    SubmitJob,
)
from mulberryhitch.errors import (
    ConflictError,
    MulberryhitchError,
    NotFoundError,
    NotLeaderError,
    OverQuotaError,
    UnauthenticatedError,
)
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable, Step, Tenant
from mulberryhitch.outcomes import Outcome
from mulberryhitch.platform.asgi import http_status_of
from mulberryhitch.replication.members import vm_of
from tests.jobs_group import GROUP, REQUEST_SECONDS, JobsGroup
from tests.replica_group import run_with_mock_clock
from tests.tenant_data import digest, make_table, make_tenant

LONG = Step(1, 500, 100, estimate_seconds=60)
MILL = make_tenant('mill')
BAKER = make_tenant('baker')


class TenantsGroup(JobsGroup):
    """Schedulers, and callers with keys."""

    def __init__(self) -> None:
        super().__init__(3, 1, 0)

    async def call(self, request: object, reply: type[Any] = JobReply) -> Any:
        return await self.leader_client.execute(
            GROUP, request, reply, REQUEST_SECONDS
        )

    async def configure(self, version: int, *tenants: Tenant) -> None:
        request = ChangeTable(make_table(version, *tenants))
        await self.call(request, Acknowledged)

    async def submit(self, key: str, path: str, *steps: Step) -> str:
        spec = JobSpec('', steps or (LONG,))
        reply = await self.call(SubmitJob('h', path, spec, digest(key)))
        return str(reply.state)

    async def read(self, key: str, path: str) -> str:
        reply = await self.call(ReadJob('h', path, digest(key)))
        return str(reply.state)

    async def cancel(self, key: str, path: str) -> str:
        reply = await self.call(CancelJob('h', path, digest(key)))
        return str(reply.state)


def run_group(body: Callable[[TenantsGroup], Awaitable[None]]) -> None:
    """Runs a test with a leader and two tenants."""

    async def main() -> None:
        group = TenantsGroup()
        async with group.running():
            await group.wait_leader()
            await group.configure(1, MILL, BAKER)
            await body(group)

    run_with_mock_clock(main)


async def refused(call: Awaitable[Any], error: type[MulberryhitchError]) -> int:
    """Checks that a call is refused and did not run; returns its status."""
    with pytest.raises(error) as caught:
        await call
    assert caught.value.outcome is Outcome.not_run
    return int(http_status_of(caught.value))


def test_calls_without_a_valid_key_are_not_served() -> None:
    """Guards against calls served for a key that no configuration held."""

    async def body(group: TenantsGroup) -> None:
        for key in ('', 'thief', digest('mill')):
            for call in (group.submit, group.read, group.cancel):
                status = await refused(call(key, '/q/j'), UnauthenticatedError)
                assert status == 401
        store = await group.leading_store()
        assert not store.jobs

    run_group(body)


def test_an_unknown_route_is_not_found_whatever_the_key() -> None:
    async def body(group: TenantsGroup) -> None:
        for key in ('', 'thief', 'mill'):
            for call in (group.submit, group.read, group.cancel):
                status = await refused(call(key, '/none/j'), NotFoundError)
                assert status == 404

    run_group(body)


def test_a_public_route_needs_no_key_and_its_jobs_belong_to_nobody() -> None:
    """Guards against a cap or a 410 for work that anyone may send."""

    async def body(group: TenantsGroup) -> None:
        assert await group.submit('mill', '/open/j') == 'queued'
        for key in ('', 'thief', 'baker'):
            assert await group.submit(key, '/open/j') == 'queued'
            assert await group.read(key, '/open/j') == 'queued'
        assert await group.read('baker', '/q/j') == 'queued'
        store = await group.leading_store()
        assert store.jobs['j'].tenant == ''
        assert await group.cancel('', '/open/j') == 'cancelled'

    run_group(body)


def test_a_job_is_that_of_the_tenant_that_submitted_it() -> None:
    """Guards against tenants that see, change or claim jobs of others."""

    async def body(group: TenantsGroup) -> None:
        assert await group.submit('mill', '/q/j') == 'queued'
        assert await group.read('baker', '/q/j') == ''
        assert await group.cancel('baker', '/q/j') == ''
        submission = group.submit('baker', '/q/j')
        assert await refused(submission, ConflictError) == 409
        assert await group.read('', '/open/j') == ''
        store = await group.leading_store()
        assert store.jobs['j'].tenant == 'mill'
        assert await group.submit('mill', '/q/j') == 'queued'
        assert await group.read('mill', '/open/j') == 'queued'
        assert await group.cancel('mill', '/q/j') == 'cancelled'

    run_group(body)


def test_of_two_tenants_that_submit_one_id_at_once_only_one_gets_it() -> None:
    """Guards against an acknowledgement of another tenant's job."""

    async def body(group: TenantsGroup) -> None:
        answers: dict[str, str] = {}

        async def submit(key: str) -> None:
            try:
                answers[key] = await group.submit(key, '/q/j')
            except ConflictError:
                answers[key] = 'conflict'

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(submit, 'mill')
            tasks.start_soon(submit, 'baker')
        assert sorted(answers.values()) == ['conflict', 'queued']
        owner = (await group.leading_store()).jobs['j'].tenant
        assert answers[owner] == 'queued'

    run_group(body)


def test_a_removed_key_ends_and_an_added_one_counts_at_once() -> None:
    """Guards against a key that is served or denied after the change."""

    async def body(group: TenantsGroup) -> None:
        await group.submit('mill', '/q/j')
        await group.configure(2, make_tenant('mill', 'new'), BAKER)
        for call in (group.submit, group.read, group.cancel):
            await refused(call('mill', '/q/j'), UnauthenticatedError)
        assert await group.submit('new', '/q/j') == 'queued'
        assert await group.submit('new', '/q/k') == 'queued'

    run_group(body)


def test_jobs_from_before_there_were_tenants_are_visible_to_all_callers() -> (
    None
):
    async def main() -> None:
        group = TenantsGroup()
        async with group.running():
            await group.wait_leader()
            queue = Queue('q', 'h', '/q/', 'svc')
            table = ChangeTable(QueueTable(1, '1', (queue,)))
            await group.call(table, Acknowledged)
            assert await group.submit('', '/q/j') == 'queued'
            assert await group.read('any', '/q/j') == 'queued'
            await group.configure(2, MILL, BAKER)
            await refused(group.read('', '/q/j'), UnauthenticatedError)
            assert await group.read('mill', '/q/j') == 'queued'
            assert await group.submit('baker', '/q/j') == 'queued'
            assert await group.cancel('baker', '/q/j') == 'cancelled'

    run_with_mock_clock(main)


def test_a_gang_wider_than_the_cap_is_refused_when_it_is_submitted() -> None:
    """Guards against a job that is held although it can never run."""
    gang = Step(5, 1000, 10, gang=True)
    single = Step(1, 9000, 10, estimate_seconds=60)

    async def body(group: TenantsGroup) -> None:
        small = make_tenant('mill', processors=4000)
        await group.configure(2, make_tenant('mill', processors=5000), BAKER)
        assert await group.submit('mill', '/q/before', gang) == 'queued'
        await group.configure(3, small, BAKER)
        status = await refused(
            group.submit('mill', '/q/j', single, gang), OverQuotaError
        )
        assert status == 429
        assert 'j' not in (await group.leading_store()).jobs
        assert await group.submit('mill', '/q/before', gang) == 'queued'
        assert await group.submit('mill', '/q/single', single) == 'queued'
        assert await group.submit('baker', '/q/other', gang) == 'queued'

    run_group(body)


def test_a_leader_that_lost_its_lease_serves_no_key() -> None:
    """Guards against a cut-off leader that still knows a removed key."""

    async def body(group: TenantsGroup) -> None:
        leader = await group.wait_leader()
        vm = vm_of(leader.replica_id)
        service = group.network.nodes[vm]._service
        group.network.isolate(vm)
        await anyio.sleep(5)
        with pytest.raises(NotLeaderError):
            await service.execute(ReadJob('h', '/q/j', digest('mill')))

    run_group(body)


def test_a_reporter_is_told_the_keys_only_if_its_version_is_older() -> None:
    """Guards against large replies to each report of each process."""

    async def body(group: TenantsGroup) -> None:
        async def report(version: int | None) -> GroupInfo:
            request = ReportPermitProxy('entry', 'e', 1, version)
            service = group.network.nodes[vm]._service
            service._peers.connection = lambda host, port: None
            reply: GroupInfo = await service.execute(request)
            return reply

        vm = vm_of((await group.wait_leader()).replica_id)
        await anyio.sleep(0.5)
        keys = (await report(0)).caller_keys
        assert keys is not None
        assert keys.required
        assert set(keys.digests) == {digest('mill'), digest('baker')}
        assert keys.public_routes == (('h', '/open/'),)
        for version in (1, None):
            assert (await report(version)).caller_keys is None

    run_group(body)
