"""The summary of the backlog, from a job store and the workers."""

from dataclasses import replace
from typing import Any

import pytest

from mulberryhitch.dispatch.admission.backlog import Backlog
from mulberryhitch.dispatch.admission.backlog_reader import BacklogReader
from mulberryhitch.dispatch.admission.completed_work import CompletedWork
from mulberryhitch.dispatch.admission.job_sizes import JobSizes
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.placement.plans import EstimateCache
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import (
    JobSpec,
    QueueTable,
    Step,
    TaskKey,
    Tenant,
    WorkerRecord,
)
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry
from tests.admission_builders import QUEUE, SERVICE, OverShare, make_spec

NOW = 100.0
WALL_TIME = 1000.0


class HalfSpeed:
    """Workers of half of the usual speed."""

    def speed_of(self, worker_id: str, image: str = '') -> float:
        return 0.5


class Cell:
    """A job store and workers of ten cores."""

    def __init__(self, *tenants: Tenant) -> None:
        self.store = JobStore()
        self.workers: dict[str, TrackedWorker] = {}
        self.completed = CompletedWork()
        table = QueueTable(1, '{}', (QUEUE,), tenants=tenants)
        self.apply(changes.configure(table))

    def apply(self, *batch: changes.Change) -> None:
        body = changes.encode_changes(batch)
        self.store.apply(LogEntry(1, 1, changes.CHANGES_KIND, body))

    def add_job(
        self, job_id: str, spec: JobSpec, age: float = 0, tenant: str = ''
    ) -> None:
        at = WALL_TIME - age
        self.apply(changes.accept(job_id, QUEUE.name, spec, at, tenant))

    def add_worker(self, worker_id: str, **state: Any) -> TrackedWorker:
        record = WorkerRecord(
            worker_id, '', SERVICE, 'a', 'r', ('ssd',), 10_000, 9000, 0, 1
        )
        self.apply(changes.register_worker(record))
        fields = {'listed': True, 'last_contact_at': NOW, **state}
        worker = TrackedWorker(record, DispatchOptions(), NOW - 1, **fields)
        self.workers[worker_id] = worker
        return worker

    def read(self, *over_share: str) -> Backlog:
        return BacklogReader(
            self.store,
            self.workers,
            EstimateCache(),
            self.completed,
            {QUEUE.name: JobSizes()},
            HalfSpeed(),
            OverShare(set(over_share)),
            lambda: WALL_TIME,
        ).read(NOW)


def waiting_of(backlog: Backlog) -> tuple[float, float, float]:
    """Returns waiting core-seconds: in time, late, of tenants over share."""
    waiting = backlog.waiting_of(SERVICE, QUEUE.urgency)
    return (
        waiting.in_time.processors,
        waiting.late.processors,
        waiting.over_share.processors,
    )


def test_work_is_summed_up_by_whether_it_can_be_in_time() -> None:
    """Guards against jobs that are too late and delay the estimates of others.

    A job of one second is late once it is one second old, and too late after
    six.
    """
    cell = Cell()
    cell.add_worker('w')
    cell.add_job('new', make_spec(count=3))
    cell.add_job('late', make_spec(count=4), age=2)
    cell.add_job('too late', make_spec(count=5), age=7)
    backlog = cell.read()
    assert waiting_of(backlog) == (3, 4, 0)
    assert backlog.missed == {QUEUE.name: [4]}


def test_later_steps_count_once_and_started_tasks_do_not() -> None:
    """Guards against second steps that no estimate knows of, or twice."""
    cell = Cell()
    cell.add_worker('w')
    first = Step(4, 1000, estimate_seconds=1)
    second = Step(2, 1000, estimate_seconds=5, depends_on=(0,))
    cell.add_job('job', JobSpec('', (first, second)))
    assert waiting_of(cell.read()) == (14, 0, 0)
    cell.apply(changes.grant(TaskKey('job', 0, 0, 1), 1, 'w'))
    backlog = cell.read()
    assert waiting_of(backlog) == (13, 0, 0)
    assert backlog.load_of(SERVICE).used.processors == 0.5


def test_steps_that_no_worker_could_run_delay_nobody() -> None:
    """Guards against refusals for jobs that wait for workers of other kinds."""
    cell = Cell()
    cell.add_worker('w')
    cell.add_job('wide', JobSpec('', (Step(1, 11_000, estimate_seconds=9),)))
    cell.add_job('labelled', make_spec(label='gpu'))
    cell.add_job('fitting', make_spec(label='ssd'))
    assert waiting_of(cell.read()) == (1, 0, 0)


def test_capacity_is_that_of_the_workers_in_contact_at_their_speed() -> None:
    """Guards against estimates by workers that are gone, or slow."""
    cell = Cell()
    cell.add_worker('w')
    cell.add_worker('missed a poll', missed_polls=1, last_contact_at=NOW - 2)
    cell.add_worker('silent', last_contact_at=NOW - 6)
    cell.add_worker('removed', removed=True)
    leaving = cell.add_worker('leaving')
    leaving.record = replace(leaving.record, draining=True)
    assert cell.read().load_of(SERVICE).rate.processors == 10


@pytest.mark.parametrize(
    ('listed', 'began_at', 'knows'),
    [(True, NOW, True), (False, NOW, False), (False, NOW - 20, True)],
)
def test_the_workers_are_known_once_they_have_listed(
    listed: bool, began_at: float, knows: bool
) -> None:
    """Guards against refusals by a leader that knows no worker yet."""
    cell = Cell()
    cell.add_worker('w', listed=listed).began_at = began_at
    assert cell.read().knows_workers is knows


def test_tenants_have_their_own_sums() -> None:
    """Guards against a flood of one tenant in the estimates of the others."""
    cell = Cell(Tenant('capped', processors=2000), Tenant('flood'))
    cell.add_worker('w')
    cell.add_job('a', make_spec(count=2), tenant='capped')
    cell.add_job('b', make_spec(count=7), tenant='flood')
    backlog = cell.read('flood')
    assert waiting_of(backlog) == (2, 0, 7)
    capped = backlog.tenants['capped'].values()
    assert [waiting.in_time.processors for waiting in capped] == [2]
    assert backlog.caps['capped'].processors == 2
    assert 'flood' not in backlog.caps


def test_work_is_scaled_by_what_runs_have_taken() -> None:
    """Guards against backlogs by estimates that are known to be too low."""
    cell = Cell()
    cell.add_worker('w')
    cell.add_job('job', make_spec(count=3))
    for _ in range(1000):
        cell.completed.record(QUEUE.name, 10, 1, 2, NOW)
    assert waiting_of(cell.read())[0] == pytest.approx(6, rel=0.02)
