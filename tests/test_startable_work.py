"""Only work that can start counts before submitted jobs."""

import pytest

from mulberryhitch.dispatch.admission.work import Work
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, QueueTable, Tenant
from mulberryhitch.jobs.store import JobStore
from tests.admission_builders import QUEUE, SERVICE, make_spec
from tests.backlog_builders import (
    WORKER_CORES,
    apply_changes,
    store_with,
    summary_of,
)

CAPPED = Tenant('capped', processors=2000)
# The objective of a job of 1 s is 2 s.
TOO_LATE_SECONDS = 6


def waiting_in(store: JobStore) -> Work:
    waiting = summary_of(store).waiting_of(SERVICE, QUEUE.urgency)
    return waiting.in_time.plus(waiting.late)


@pytest.mark.parametrize(
    'impossible',
    [
        make_spec(seconds=10_000, label='none'),
        make_spec(seconds=10_000, count=WORKER_CORES + 1, gang=True),
        make_spec(seconds=10_000, count=2, gang=True, spread_limit=1),
    ],
    ids=['label', 'wide gang', 'spread gang'],
)
def test_what_no_worker_suits_does_not_count(impossible: JobSpec) -> None:
    """Guards against refusals for a job that can never start.

    It waits for three times its objective, which may be days.
    """
    assert not any(waiting_in(store_with(impossible)))
    possible = make_spec(count=WORKER_CORES, gang=True)
    assert waiting_in(store_with(impossible, possible)).processors == 10


def test_gangs_wider_than_a_lowered_cap_do_not_count() -> None:
    """Guards against 429 to a tenant for a gang that never starts."""
    store = store_with(make_spec(count=4, gang=True), tenant=CAPPED.name)
    assert waiting_in(store).processors == 4
    table = QueueTable(2, '{}', (QUEUE,), tenants=(CAPPED,))
    apply_changes(store, changes.configure(table))
    backlog = summary_of(store)
    assert not backlog.tenants
    assert not backlog.waiting


def test_work_beyond_a_cap_does_not_count_before_others() -> None:
    """Guards against 503 to all for a flood that a cap holds back.

    Until it is too late, a tenant with a cap of two cores takes the room of 12
    core-seconds from others, whatever waits of it.
    """
    specs = [make_spec() for _ in range(100)]
    store = store_with(*specs, tenant=CAPPED.name, tenants=(CAPPED,))
    assert waiting_in(store).processors == 2 * TOO_LATE_SECONDS
    backlog = summary_of(store)
    own = backlog.tenant_waiting(CAPPED.name, QUEUE.urgency)
    assert own.in_time.processors == 100


def test_jobs_that_wait_for_a_cap_are_not_missed_by_others() -> None:
    """Guards against other tenants' waits that are not believed."""
    specs = [make_spec() for _ in range(100)]
    store = store_with(*specs, tenant=CAPPED.name, tenants=(CAPPED,))
    missed = summary_of(store, age=TOO_LATE_SECONDS / 2).missed[QUEUE.name]
    assert len(missed) == 2 * TOO_LATE_SECONDS
