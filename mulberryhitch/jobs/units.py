"""How far a job is: its units, each run once to its end."""

from dataclasses import dataclass, field
from enum import Enum

from mulberryhitch.jobs.model import (
    JobSpec,
    Queue,
    Room,
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


class RunEnd(str, Enum):  # noqa: WPS600
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
        first: The index of its first task.
        width: How many tasks it has.
        run: The number of its newest run; zero before the first.
        holders: The worker of each task that may still run.
        failed_runs: The runs that ended as failed.
        checkpoint: Where the next run goes on; empty for the start.
    """

    step_key: StepKey
    first: int
    width: int
    run: int = 0
    state: UnitState = UnitState.waiting
    holders: dict[int, str] = field(default_factory=dict)
    failed_runs: set[int] = field(default_factory=set)
    checkpoint: str = ''

    @property
    def indexes(self) -> range:
        """The indexes of its tasks."""
        return range(self.first, self.first + self.width)

    def task(self, index: int) -> TaskKey:
        """The key of one of its tasks."""
        return TaskKey(*self.step_key, index)


@dataclass(slots=True)
class StepWork:
    """One step of one occurrence, and its units.

    Attributes:
        left: How many units have not ended as done.
        waiting: The units that may start, by the index of their first task.
        room: What one task takes of a worker.
    """

    key: StepKey
    step: Step
    units: list[Unit]
    left: int
    ready: bool = False
    waiting: dict[int, Unit] = field(default_factory=dict)
    room: Room = field(init=False)

    def __post_init__(self) -> None:
        """Takes the room from the step."""
        self.room = self.step.room

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
    occurrences: dict[int, list[StepWork]] = field(default_factory=dict)
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


def make_works(job_id: str, occurrence: int, spec: JobSpec) -> list[StepWork]:
    """The steps of one occurrence, none of them begun."""
    works = []
    for number, step in enumerate(spec.steps):
        key = StepKey(job_id, occurrence, number)
        if step.gang:
            units = [Unit(key, 0, step.count)]
        else:
            units = [Unit(key, index, 1) for index in range(step.count)]
        works.append(StepWork(key, step, units, len(units)))
    return works
