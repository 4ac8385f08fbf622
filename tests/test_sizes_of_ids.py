"""The names that a client chooses count in the size of the state."""

from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import JobSpec, Queue, QueueTable, Step
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry

ID_CHARACTERS = 8000


def _apply(store: JobStore, change: changes.Change) -> None:
    body = changes.encode_changes([change])
    store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))


def test_long_job_ids_count_in_the_estimated_size_of_the_jobs() -> None:
    store = JobStore()
    queue = Queue('queue', 'host', '/q/', 'service')
    _apply(store, changes.configure(QueueTable(1, '{}', (queue,))))
    empty_bytes = store.stored_bytes
    spec = JobSpec('', (Step(1),))
    ids = [f'{number}{"x" * ID_CHARACTERS}' for number in range(50)]
    for job_id in ids:
        _apply(store, changes.accept(job_id, 'queue', spec, 1))
    size = len(store.snapshot())
    assert 0.8 * size < store.stored_bytes < 1.6 * size
    restored = JobStore()
    restored.restore(store.snapshot())
    assert restored.stored_bytes == store.stored_bytes
    for job_id in ids:
        _apply(store, changes.cancel(job_id, 2))
    _apply(store, changes.delete_jobs(ids))
    assert store.stored_bytes == empty_bytes
