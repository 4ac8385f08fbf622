"""Invariants and snapshots of the job store under random changes."""

from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    QueueTable,
    Step,
    WorkerRecord,
)
from mulberryhitch.jobs.state import JobState, RunOutcome, UnitState
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.rpc.messages import LogEntry

WORKERS = ('w1', 'w2', 'w3')
STEPS = st.lists(
    st.builds(
        Step,
        count=st.integers(1, 3),
        processors=st.just(100),
        gang=st.booleans(),
        checkpointing=st.booleans(),
        long_running=st.just(value=False),
    ),
    min_size=1,
    max_size=3,
)


class JobStoreMachine(RuleBasedStateMachine):
    """Grants ready units and ends runs in any order with any outcome."""

    @initialize()
    def begin(self) -> None:
        self.store = JobStore()
        self.index = 0
        self.jobs = 0
        self.done: set[Any] = set()
        queue = Queue('q', 'h', '/q/', 'svc', maximum_failures=2)
        self.apply(changes.configure(QueueTable(1, '{}', (queue,))))
        for name in WORKERS:
            record = WorkerRecord(
                name, f'{name}:1', 'svc', 'a', '', (), 900, 900, 0, 1
            )
            self.apply(changes.register_worker(record))

    def apply(self, *batch: changes.Change) -> list[Any]:
        self.index += 1
        body = changes.encode_changes(batch)
        return self.store.apply(
            LogEntry(self.index, 1, changes.CHANGES_KIND, body)
        )

    @rule(steps=STEPS)
    def accept(self, steps: list[Step]) -> None:
        ordered = tuple(
            Step(
                step.count,
                step.processors,
                gang=step.gang,
                checkpointing=step.checkpointing,
                depends_on=tuple(range(number)),
            )
            for number, step in enumerate(steps)
        )
        self.jobs += 1
        spec = JobSpec('argument', ordered)
        job_id = f'job{self.jobs}'
        assert self.apply(changes.accept(job_id, 'q', spec, 1.0)) == [True]
        assert self.apply(changes.accept(job_id, 'q', spec, 2.0)) == [True]

    @rule(choice=st.integers(0, 50), worker=st.sampled_from(WORKERS))
    def grant(self, choice: int, worker: str) -> None:
        ready = [
            unit
            for execution in self.store.ready_steps.values()
            for unit in execution.waiting_units.values()
        ]
        if not ready:
            return
        unit = ready[choice % len(ready)]
        execution = self.store.step_execution(unit.step_key)
        assert execution is not None
        executions = self.store.jobs[unit.step_key.job_id].occurrences[0]
        assert not any(
            executions[dependency].unfinished_units
            for dependency in execution.step.depends_on
        )
        batch = [
            changes.grant(unit.task_key(index), unit.run + 1, worker)
            for index in unit.task_indexes
        ]
        assert all(self.apply(*batch))
        repeated = self.apply(*batch)
        assert not any(repeated)

    @rule(choice=st.integers(0, 50), outcome=st.sampled_from(RunOutcome))
    def end(self, choice: int, outcome: RunOutcome) -> None:
        granted_runs = [
            (task, run)
            for runs in self.store.open_runs.values()
            for task, run in runs.items()
        ]
        if not granted_runs:
            return
        task, run = granted_runs[choice % len(granted_runs)]
        change = changes.end_run(task, run, outcome, 'point', 3.0)
        self.apply(change)
        self.apply(change)

    @rule(choice=st.integers(0, 9))
    def cancel(self, choice: int) -> None:
        job_id = f'job{choice}'
        known = self.apply(changes.cancel(job_id, 4.0))
        assert known == [job_id in self.store.jobs]

    @rule()
    def restart(self) -> None:
        restored = JobStore()
        restored.restore(self.store.snapshot())
        assert restored.snapshot() == self.store.snapshot()
        assert restored.open_runs.keys() >= {
            worker for worker, runs in self.store.open_runs.items() if runs
        }
        for worker in WORKERS:
            assert restored.used_resources(worker) == self.store.used_resources(
                worker
            )
        assert restored.stored_bytes == self.store.stored_bytes
        assert restored.ready_steps.keys() == self.store.ready_steps.keys()
        self.store = restored

    @invariant()
    def queued_jobs_are_counted(self) -> None:
        queued = [
            job
            for job in self.store.jobs.values()
            if job.state is JobState.queued
        ]
        assert self.store.count_queued_jobs('q') == len(queued)

    @invariant()
    def rules_hold(self) -> None:
        for job in self.store.jobs.values():
            for execution in job.occurrences.get(0, ()):
                for unit in execution.units:
                    self.check_unit(job, execution, unit)
            if job.state is JobState.completed:
                assert all(
                    not execution.unfinished_units
                    for execution in job.occurrences[0]
                )

    def check_unit(self, job: Any, execution: Any, unit: Any) -> None:
        if unit.state is UnitState.waiting:
            assert not unit.holders
        is_waiting = unit.first_index in execution.waiting_units
        if is_waiting:
            assert execution.ready
            assert job.active
            assert unit.state is UnitState.waiting
        # A unit that is done stays done.
        key = (unit.step_key, unit.first_index)
        if key in self.done:
            assert unit.state is UnitState.done
        if unit.state is UnitState.done:
            self.done.add(key)
        if len(unit.failed_runs) >= 2:
            assert unit.state in {UnitState.failed, UnitState.done}


TestJobStore = JobStoreMachine.TestCase
TestJobStore.settings = settings(
    max_examples=60, stateful_step_count=40, derandomize=True, deadline=None
)


def test_a_change_of_an_unknown_kind_is_refused() -> None:
    store = JobStore()
    entry = LogEntry(
        1, 1, changes.CHANGES_KIND, changes.encode_changes([['other']])
    )
    try:
        store.apply(entry)
    except Exception as error:  # noqa: BLE001
        assert 'unknown' in str(error)
    else:
        raise AssertionError('the change was accepted')


def test_an_accepted_job_is_stored_as_by_earlier_releases() -> None:
    """Guards against log entries that a replica of another release can't read."""
    spec = JobSpec('x', (Step(2, depends_on=(0, 1)),))
    accepted = changes.accept('j', 'q', spec, 1.5)
    assert changes.encode_changes([accepted]) == (
        b'[["accept","j","q",{"argument":"x","steps":[{"count":2,'
        b'"processors":0,"memory":0,"accelerators":0,"estimate_seconds":0,'
        b'"depends_on":[0,1],"checkpointing":false,"gang":false,'
        b'"same_rack":false,"label":"","data_rack":"","spread_limit":0,'
        b'"speculative":false,"long_running":false,"image":"",'
        b'"target_seconds":0,"fills":false,"absence_allowance":0}],'
        b'"repeat_count":0,"first_due":0,"interval_seconds":0},1.5]]'
    )
