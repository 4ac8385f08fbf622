"""Job stores with waiting jobs, and summaries of them, for tests."""

from mulberryhitch.dispatch.admission.backlog import Backlog
from mulberryhitch.dispatch.admission.backlog_reader import BacklogReader
from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.admission.ports import NoTenantShares, UniformSpeeds
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.placement.plans import EstimateCache
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, QueueTable, Tenant, WorkerRecord
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry
from tests.admission_builders import QUEUE, SERVICE

ACCEPTED_AT = 5.0
# Cores of the only worker.
WORKER_CORES = 10


def store_with(
    *specs: JobSpec, tenant: str = '', tenants: tuple[Tenant, ...] = ()
) -> JobStore:
    """Returns a store with jobs of one tenant, of which nothing has started."""
    store = JobStore()
    table = QueueTable(1, '{}', (QUEUE,), tenants=tenants)
    apply_changes(store, changes.configure(table))
    for number, spec in enumerate(specs):
        apply_changes(
            store,
            changes.accept(
                f'job-{number}', QUEUE.name, spec, ACCEPTED_AT, tenant
            ),
        )
    return store


def apply_changes(store: JobStore, *batch: changes.Change) -> None:
    """Applies changes to a store."""
    body = changes.encode_changes(list(batch))
    store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))


def summary_of(store: JobStore, age: float = 0) -> Backlog:
    """Returns a summary of what waits for one idle worker.

    Args:
        store: The jobs.
        age: Seconds since they were accepted.
    """
    record = WorkerRecord(
        'w', 'w:1', SERVICE, 'a', '', (), WORKER_CORES * 1000, 64_000, 0, 1
    )
    worker = TrackedWorker(record, DispatchOptions(), began_at=0)
    worker.last_contact_at = 1
    sizes = JobSizes()
    sizes.record(1, is_accepted=True)
    reader = BacklogReader(
        store,
        {'w': worker},
        EstimateCache(),
        CompletedWork(),
        {QUEUE.name: sizes},
        UniformSpeeds(),
        NoTenantShares(),
        lambda: ACCEPTED_AT + age,
    )
    return reader.read(1)
