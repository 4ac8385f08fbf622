"""What a placement round reads and brings about, and how urgent a step is."""

from dataclasses import dataclass, field

from mulberryhitch.dispatch.permits import PermitRequest, StepPermits
from mulberryhitch.dispatch.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Queue, Room, StepKey, TaskKey
from mulberryhitch.jobs.units import Job, StepWork, Unit


@dataclass(frozen=True, slots=True)
class Placement:
    """One task that starts now."""

    unit: Unit
    index: int
    worker_id: str
    permit: str


@dataclass(slots=True)
class Plan:
    """The outcome of one round."""

    placements: list[Placement] = field(default_factory=list)
    permit_requests: list[PermitRequest] = field(default_factory=list)
    preempted: list[tuple[TaskKey, int, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Victim:
    """A run that can be stopped without losing work.

    Attributes:
        urgency: Its queue's; zero comes first.
    """

    task: TaskKey
    run: int
    worker_id: str
    room: Room
    urgency: int


@dataclass(slots=True)
class PreemptionCandidates:
    """What may be stopped, and what will be free by itself.

    Attributes:
        victims: By worker, the least urgent first.
        coming: What runs that are being stopped will free, by worker.
    """

    victims: dict[str, list[Victim]] = field(default_factory=dict)
    releasing: dict[str, Room] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with units that may start, and how urgent it is.

    Attributes:
        permits: Nothing where its queue asks for none.
    """

    work: StepWork
    job: Job
    queue: Queue
    sort_key: tuple[float, ...]
    permits: StepPermits | None

    @property
    def tasks_left(self) -> int:
        """How many tasks of the step wait; all of a gang's."""
        step = self.work.step
        return step.count if step.gang else len(self.work.waiting)

    def is_eligible(self, worker: TrackedWorker) -> bool:
        """Whether a worker is of the queue's service, and fit for the step."""
        if worker.record.service != self.queue.service:
            return False
        label = self.work.step.label
        if label and label not in worker.record.labels:
            return False
        return self.work.room.fits(worker.room)


class EstimateCache:
    """Remembers how long jobs may take, and what is left of them.

    Neither changes while a job's queue stays as it is.
    """

    def __init__(self) -> None:
        """Has reckoned nothing."""
        self._cached: dict[StepKey, tuple[Queue, float, float]] = {}

    def objective_and_critical_path(
        self, job: Job, work: StepWork, queue: Queue
    ) -> tuple[float, float]:
        """A job's objective, and the chain from a step to its end, seconds."""
        cached = self._cached.get(work.key)
        if cached is None or cached[0] is not queue:
            objective = objective_seconds(job, queue)
            cached = (queue, objective, critical_path_seconds(job, work))
            self._cached[work.key] = cached
        return cached[1], cached[2]

    def forget(self, key: StepKey) -> None:
        """Drops a step that has ended."""
        self._cached.pop(key, None)


def critical_path_seconds(job: Job, work: StepWork) -> float:
    """The longest chain of estimates from a step to the job's end."""
    steps = job.spec.steps
    longest = [float() for _ in steps]
    for number in range(len(steps) - 1, work.key.step - 1, -1):
        after = [
            longest[later]
            for later in range(number + 1, len(steps))
            if number in steps[later].depends_on
        ]
        longest[number] = steps[number].estimate_seconds + max(after, default=0)
    return longest[work.key.step]


def objective_seconds(job: Job, queue: Queue) -> float:
    """How long the job may take from its acceptance."""
    steps = job.spec.steps
    longest: list[float] = []
    for step in steps:
        before = max(
            (longest[earlier] for earlier in step.depends_on), default=0
        )
        own = step.estimate_seconds
        if queue.permits is not None:
            own += queue.permits.decide_seconds
        longest.append(before + own)
    return queue.stretch * max(longest) + queue.target_seconds
