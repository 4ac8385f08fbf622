"""A tenant over its share comes after the others while these wait."""

import statistics
from dataclasses import replace

import anyio
import pytest

from mulberryhitch.dispatch.placement.tenant_shares import TenantShares
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable, Step, Tenant
from mulberryhitch.jobs.store import JobStore
from tests.fake_workers import DispatcherHarness
from tests.load_jobs import Amount, Burst, Load, LoadClass, LoadTenant
from tests.load_player import LoadReport, play
from tests.replica_group import run_with_mock_clock

NAMES = ('north', 'south', 'east', 'west')
FLOOD_FACTOR = 7
TASK = Step(1, 1000, 100, estimate_seconds=1)


def make_load(*, floods: bool) -> Load:
    """Returns a load of four tenants that takes 80% of the workers.

    With the flood of one of them it would take twice the workers.
    """
    one = Amount(1, 0, 1)
    queue = Queue('q', 'h', '/q/', 'svc', maximum_failures=2, stretch=3)
    load_class = LoadClass(
        queue,
        per_second=12.8,
        seconds=Amount(1, 0.3, 2),
        width=one,
        processors=Amount(1000, 0, 1000),
        memory=one,
        failing=0,
        uneven=0,
    )
    tenants = tuple(LoadTenant(Tenant(name), 1) for name in NAMES)
    load = Load(
        'flood', 16, 1, 1000, 1, (load_class,), seconds=20, tenants=tenants
    )
    burst = Burst('', 3, 14, FLOOD_FACTOR, tenant=NAMES[0])
    return replace(load, bursts=(burst,)) if floods else load


def served_others(report: LoadReport) -> float:
    return statistics.mean(report.by_tenant[name].served for name in NAMES[1:])


async def submit(harness: DispatcherHarness, job_id: str, tenant: str) -> None:
    spec = JobSpec('argument', (TASK,))
    accepted = changes.accept(job_id, 'q', spec, harness.wall_time(), tenant)
    await harness.commit([accepted])


def test_a_flood_of_one_tenant_leaves_the_others_their_shares() -> None:
    """Guards against one tenant's flood making the others' jobs late."""
    usual = served_others(play(make_load(floods=False)))
    flooded = play(make_load(floods=True))
    assert served_others(flooded) >= usual - 0.03


def test_a_flooding_tenant_still_gets_its_share() -> None:
    """Guards against a flood that costs the tenant its usual service.

    Its share is a quarter of the workers, 80 core-seconds of 320.
    """
    flooding = play(make_load(floods=True)).by_tenant[NAMES[0]]
    assert flooding.in_time + flooding.late >= 60


def test_a_tenant_over_its_share_waits_behind_one_below() -> None:
    """Guards against steps that go first only because they came first."""

    async def main() -> None:
        harness = DispatcherHarness(stretch=9)
        tenants = (Tenant('north'), Tenant('south', weight=2))
        table = QueueTable(2, '{}', harness.queues, tenants=tenants)
        harness.apply([changes.configure(table)])
        harness.fleet.add_worker('w', 4000)
        async with harness.running():
            for number in range(8):
                await submit(harness, f'north-{number}', 'north')
                await anyio.sleep(0.1)
            await submit(harness, 'south', 'south')
            await harness.wait_for_starts('south', 1)
            assert len(harness.fleet.starts) == 5

    run_with_mock_clock(main)


def test_a_tenant_alone_is_not_over_its_share() -> None:
    """Guards against shares of tenants that have no work."""

    async def main() -> None:
        harness = DispatcherHarness()
        tenants = (Tenant('north'), Tenant('south', weight=9))
        table = QueueTable(2, '{}', harness.queues, tenants=tenants)
        harness.apply([changes.configure(table)])
        harness.fleet.add_worker('w', 4000)
        async with harness.running():
            for number in range(4):
                await submit(harness, f'north-{number}', 'north')
            await harness.wait_for_starts('north-3', 1)
            workers = harness.dispatcher.tracked_workers.values()
            assert not TenantShares(harness.job_store, workers).over
            await submit(harness, 'south', 'south')
            over = TenantShares(harness.job_store, workers).over
            assert over == {'north'}

    run_with_mock_clock(main)


@pytest.mark.parametrize(('own_stops', 'starts'), [(True, 5), (False, 4)])
def test_a_tenant_over_its_share_stops_its_own_runs_only(
    own_stops: bool, starts: int
) -> None:
    """Guards against urgent steps that wait for batches of their own tenant.

    It would use no more of the workers, but would if it stopped runs of
    others.
    """

    async def main() -> None:
        harness = DispatcherHarness(stretch=9, target_seconds=99, urgency=2)
        harness.add_queue('urgent', urgency=0, stretch=1, target_seconds=1)
        tenants = (Tenant('north'), Tenant('south', weight=9))
        table = QueueTable(9, '{}', harness.queues, tenants=tenants)
        harness.apply([changes.configure(table)])
        harness.fleet.add_worker('w', 5000)
        batch = Step(4, 1000, 100, estimate_seconds=20, checkpointing=own_stops)
        other = Step(1, 1000, 100, estimate_seconds=20, checkpointing=True)
        async with harness.running():
            await harness.submit('own', batch, tenant='north')
            await harness.submit('other', other, tenant='south')
            await harness.wait_for_starts('own', 4)
            await harness.wait_for_starts('other', 1)
            await anyio.sleep(3)
            workers = harness.dispatcher.tracked_workers.values()
            assert TenantShares(harness.job_store, workers).over == {'north'}
            await harness.submit('u', TASK, tenant='north', queue='urgent')
            await anyio.sleep(4)
            assert harness.start_count('u') == own_stops
            assert harness.start_count('other') == 1
            assert harness.start_count('own') == starts

    run_with_mock_clock(main)


def test_without_tenants_nobody_is_over_its_share() -> None:
    """Guards against another order for configurations without tenants."""
    assert not TenantShares(JobStore(), ()).over
