"""How far a job is: its units, each run once to its end."""

from dataclasses import dataclass, field
from enum import Enum

from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    Resources,
    Step,
    StepKey,
    TaskKey,
)


class UnitState(str, Enum):  # noqa: WPS600
    """What a unit is at the moment."""

    waiting = 'waiting'
    running = 'running'
    done = 'done'
    failed = 'failed'


class JobState(str, Enum):  # noqa: WPS600
    """What a caller is told of a job."""

    queued = 'queued'
    running = 'running'
    completed = 'completed'
    failed = 'failed'
    cancelled = 'cancelled'


class RunOutcome(str, Enum):  # noqa: WPS600
    """How a run ended.

    Attributes:
        expired: Its lease ran out.
        broken: Another member of its gang ended.
        incomplete: The rest of its gang did not start in time.
        void: It never ran, or is certainly gone without an end.
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
    """What starts together: a gang, or one task.

    Attributes:
        first_index: The index of its first task.
        task_count: How many tasks it has.
        run: The number of its newest run; zero before the first.
        holders: The worker of each task that may still run.
        failed_runs: The runs that ended as failed.
        checkpoint: Where the next run goes on; empty for the start.
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
        """The indexes of its tasks."""
        return range(self.first_index, self.first_index + self.task_count)

    def task_key(self, index: int) -> TaskKey:
        """The key of one of its tasks."""
        return TaskKey(*self.step_key, index)


@dataclass(slots=True)
class StepExecution:
    """One step of one occurrence, and its units.

    Attributes:
        unfinished_units: How many units have not ended as done.
        waiting_units: Units that may start, by the index of their first task.
        resources: What one task takes of a worker.
    """

    key: StepKey
    step: Step
    units: list[Unit]
    unfinished_units: int
    ready: bool = False
    waiting_units: dict[int, Unit] = field(default_factory=dict)
    resources: Resources = field(init=False)

    def __post_init__(self) -> None:
        """Takes the room from the step."""
        self.resources = self.step.resources

    def unit_of(self, index: int) -> Unit | None:
        """The unit of one task."""
        if not 0 <= index < self.step.count:
            return None
        return self.units[0] if self.step.gang else self.units[index]


@dataclass(slots=True)
class Job:
    """One accepted job.

    Attributes:
        accepted_at: Seconds since 1970, by its leader's clock.
        begun: Whether any task was ever handed to a worker.
        occurrences: The steps of each occurrence that has come due.
        finished: How many occurrences are done.
        ended_at: Seconds since 1970; zero while it goes on.
    """

    job_id: str
    queue: Queue
    spec: JobSpec
    accepted_at: float
    begun: bool = False
    cancelled: bool = False
    failed: bool = False
    occurrences: dict[int, list[StepExecution]] = field(default_factory=dict)
    finished: int = 0
    ended_at: float = 0

    @property
    def state(self) -> JobState:
        """What a caller is told."""
        if self.cancelled:
            return JobState.cancelled
        if self.failed:
            return JobState.failed
        if self.finished >= max(1, self.spec.repeat_count):
            return JobState.completed
        return JobState.running if self.begun else JobState.queued

    @property
    def active(self) -> bool:
        """Whether its tasks may still start."""
        return self.ended_at == 0

    def due_at(self, occurrence: int) -> float:
        """When an occurrence may start, seconds since 1970."""
        if self.spec.repeat_count:
            after = occurrence * self.spec.interval_seconds
            return self.spec.first_due + after
        return self.accepted_at


def create_step_executions(
    job_id: str, occurrence: int, spec: JobSpec
) -> list[StepExecution]:
    """The steps of one occurrence, none of them begun."""
    executions = []
    for number, step in enumerate(spec.steps):
        key = StepKey(job_id, occurrence, number)
        if step.gang:
            units = [Unit(key, 0, step.count)]
        else:
            units = [Unit(key, index, 1) for index in range(step.count)]
        executions.append(StepExecution(key, step, units, len(units)))
    return executions
