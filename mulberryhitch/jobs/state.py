"""Execution state of jobs, their steps and their units."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from itertools import chain

from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    Resources,
    Step,
    StepKey,
    TaskKey,
)
from mulberryhitch.jobs.number_ranges import NumberRanges


class UnitState(str, Enum):  # noqa: WPS600
    """State of a unit."""

    waiting = 'waiting'
    running = 'running'
    done = 'done'
    failed = 'failed'


class JobState(str, Enum):  # noqa: WPS600
    """State of a job as reported to clients."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


class RunOutcome(str, Enum):  # noqa: WPS600
    """How a run ended.

    Attributes:
        expired: Its lease expired.
        broken: Stopped because another member of its gang ended.
        incomplete: Not all members of its gang started in time.
        void: It never ran, or ended without a report of its end.
    """

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    expired = 'expired'
    broken = 'broken'
    incomplete = 'incomplete'
    void = 'void'


@dataclass(slots=True)
class Unit:
    """Tasks that start together: a gang, or a single task.

    Attributes:
        first_index: Index of its first task.
        task_count: Number of its tasks.
        run: Number of its latest run; zero before the first.
        holders: Worker id of each open run, by task index.
        failed_runs: Numbers of the runs that failed.
        checkpoint: Where the next run resumes; empty for the start.
    """

    step_key: StepKey
    first_index: int
    task_count: int
    run: int = 0
    state: UnitState = UnitState.waiting
    holders: dict[int, str] = field(default_factory=dict)
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ''

    @property
    def task_indexes(self) -> range:
        """Indexes of its tasks."""
        return range(self.first_index, self.first_index + self.task_count)

    @property
    def first_task(self) -> TaskKey:
        """Key of its first task."""
        return self.task_key(self.first_index)

    def task_key(self, index: int) -> TaskKey:
        """Returns the key of one of its tasks."""
        return TaskKey(*self.step_key, index)


@dataclass(slots=True)
class StepExecution:
    """Execution of one step of one occurrence.

    Attributes:
        unfinished_units: Number of units that are not done.
        waiting_units: Units that may start, by the index of their first task.
        ready: Whether the steps it depends on are done.
        resources: Resources that one task takes on a worker.
    """

    key: StepKey
    step: Step
    units: list[Unit]
    unfinished_units: int
    ready: bool = False
    waiting_units: dict[int, Unit] = field(default_factory=dict)
    resources: Resources = field(init=False)

    def __post_init__(self) -> None:
        """Copies the resources of a task from the step."""
        self.resources = self.step.resources

    def unit_of(self, index: int) -> Unit | None:
        """Returns the unit of a task, or None for an invalid index."""
        if not 0 <= index < self.step.count:
            return None
        return self.units[0] if self.step.gang else self.units[index]


@dataclass(slots=True)
class Job:
    """An accepted job.

    Attributes:
        accepted_at: Seconds since 1970, by the leader's clock.
        begun: Whether any task was ever granted to a worker.
        occurrences: Steps of each open occurrence: it has become due, and its
            tasks are not done.
        known_occurrences: Number of occurrences that have become due; those
            that are neither open nor postponed are done.
        postponed: Occurrences that have become due and are not open yet, as
            there was no room.
        finished: Number of occurrences that are done.
        ended_at: Seconds since 1970; zero while the job is active.
        tenant: The client account that submitted it; empty if none did.
    """

    job_id: str
    queue: Queue
    spec: JobSpec
    accepted_at: float
    begun: bool = False
    cancelled: bool = False
    failed: bool = False
    occurrences: dict[int, list[StepExecution]] = field(default_factory=dict)
    known_occurrences: int = 0
    postponed: NumberRanges = field(default_factory=NumberRanges)
    finished: int = 0
    ended_at: float = 0
    tenant: str = ''

    @property
    def state(self) -> JobState:
        """State reported to clients."""
        if self.cancelled:
            return JobState.cancelled
        if self.failed:
            return JobState.failed
        if self.finished >= max(1, self.spec.repeat_count):
            return JobState.completed
        return JobState.running if self.begun else JobState.queued

    @property
    def active(self) -> bool:
        """Whether tasks of the job may still start."""
        return self.ended_at == 0

    @property
    def is_scheduled(self) -> bool:
        """Whether its occurrences have times of their own."""
        return self.spec.repeat_count > 0

    @property
    def unopened(self) -> Iterator[int]:
        """The occurrences that have not been opened, the first one first."""
        known = range(self.known_occurrences, self.spec.repeat_count)
        return chain(self.postponed, known)

    @property
    def has_open_runs(self) -> bool:
        """Whether a run of one of its tasks may still be executing."""
        executions = chain.from_iterable(self.occurrences.values())
        return any(
            unit.holders for execution in executions for unit in execution.units
        )

    @property
    def is_shrinkable(self) -> bool:
        """Whether it has ended and has more than a client may ask for."""
        has_more = bool(self.spec.steps or self.occurrences)
        return has_more and not self.active and not self.has_open_runs

    def shrink(self) -> None:
        """Removes all but what tells how the job ended."""
        self.occurrences.clear()
        self.postponed = NumberRanges()
        self.spec = replace(self.spec, argument='', steps=())

    def due_at(self, occurrence: int) -> float:
        """Returns when an occurrence may start, in seconds since 1970."""
        if self.spec.repeat_count:
            after = occurrence * self.spec.interval_seconds
            return self.spec.first_due + after
        return self.accepted_at


def is_over(executions: list[StepExecution]) -> bool:
    """Whether all tasks of an occurrence are done and none may still run."""
    return not any(
        execution.unfinished_units for execution in executions
    ) and not any(
        unit.holders for execution in executions for unit in execution.units
    )


def has_begun(executions: list[StepExecution]) -> bool:
    """Whether a task of an occurrence was ever granted to a worker."""
    return any(unit.run for execution in executions for unit in execution.units)


def create_step_executions(
    job_id: str, occurrence: int, spec: JobSpec
) -> list[StepExecution]:
    """Creates the executions of all steps of one occurrence."""
    executions = []
    for number, step in enumerate(spec.steps):
        key = StepKey(job_id, occurrence, number)
        if step.gang:
            units = [Unit(key, 0, step.count)]
        else:
            units = [Unit(key, index, 1) for index in range(step.count)]
        executions.append(StepExecution(key, step, units, len(units)))
    return executions
