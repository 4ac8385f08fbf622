"""The job store keeps the client account of each job, and what it uses."""

import orjson

from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    QueueTable,
    Resources,
    Step,
    TaskKey,
    Tenant,
    WorkerRecord,
)
from mulberryhitch.jobs.state import RunOutcome
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry

TENANT = Tenant('mill', ('digest',), 3, processors=4000)
TASK = TaskKey('job', 0, 0, 0)


def make_store() -> JobStore:
    """Returns a store with one worker and a job of a tenant."""
    store = JobStore()
    queue = Queue('q', 'h', '/q/', 'svc', public=False)
    worker = WorkerRecord('w', 'w:1', 'svc', 'a', '', (), 9000, 900, 0, 1)
    spec = JobSpec('', (Step(2, 1500, 10),))
    _apply(
        store,
        changes.configure(QueueTable(1, '{}', (queue,), tenants=(TENANT,))),
        changes.register_worker(worker),
        changes.accept('job', 'q', spec, 1, 'mill'),
    )
    return store


def test_usage_follows_the_open_runs_and_survives_a_snapshot() -> None:
    """Guards against a cap that a restarted or new leader forgets."""
    store = make_store()
    _apply(store, changes.grant(TASK, 1, 'w'))
    restored = JobStore()
    restored.restore(store.snapshot())
    assert restored.jobs['job'].tenant == 'mill'
    assert restored.tenant('mill') == TENANT
    assert restored.tenant_usage('mill') == Resources(1500, 10, 0)
    _apply(restored, changes.end_run(TASK, 1, RunOutcome.done, '', 2))
    assert restored.tenant_usage('mill') == Resources()


def test_usage_of_long_running_steps_is_told_apart() -> None:
    """Guards against a new leader that counts on such runs to end."""
    store = make_store()
    spec = JobSpec('', (Step(1, 500, 10, long_running=True),))
    lasting = TaskKey('lasting', 0, 0, 0)
    _apply(
        store,
        changes.accept('lasting', 'q', spec, 1, 'mill'),
        changes.grant(TASK, 1, 'w'),
        changes.grant(lasting, 1, 'w'),
    )
    restored = JobStore()
    restored.restore(store.snapshot())
    assert restored.tenant_usage('mill') == Resources(2000, 20, 0)
    assert restored.lasting_usage('mill') == Resources(500, 10, 0)
    _apply(restored, changes.end_run(lasting, 1, RunOutcome.void, '', 2))
    assert restored.lasting_usage('mill') == Resources()


def test_state_of_an_earlier_release_has_no_tenants() -> None:
    """Guards against a release that can't load what the last one wrote."""
    spec = JobSpec('', (Step(1, 1500, 10),))
    store = make_store()
    _apply(store, changes.accept('old', 'q', spec, 1))
    content = orjson.loads(store.snapshot())
    for row in content['jobs']:
        row.pop('tenant')
        row['queue'].pop('public')
    content['table'].pop('tenants')
    content['table']['queues'][0].pop('public')
    restored = JobStore()
    restored.restore(orjson.dumps(content))
    assert restored.jobs['old'].tenant == ''
    assert restored.queue_table.tenants == ()
    assert restored.queue_table.queues[0].public


def _apply(store: JobStore, *batch: changes.Change) -> None:
    body = changes.encode_changes(batch)
    store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))
