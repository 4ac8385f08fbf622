"""What a placement round reads and brings about, and how urgent a step is."""

from dataclasses import dataclass, field

from mulberryhitch.dispatch.fleet import LiveWorker
from mulberryhitch.dispatch.permits import Question, StepPermits
from mulberryhitch.jobs.model import Queue, Resources, StepKey, TaskKey
from mulberryhitch.jobs.state import Job, StepExecution, Unit


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
    questions: list[Question] = field(default_factory=list)
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
    room: Resources
    urgency: int


@dataclass(slots=True)
class MakingWay:
    """What may be stopped, and what will be free by itself.

    Attributes:
        victims: By worker, the least urgent first.
        coming: What runs that are being stopped will free, by worker.
    """

    victims: dict[str, list[Victim]] = field(default_factory=dict)
    coming: dict[str, Resources] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Waiting:
    """A step with units that may start, and how urgent it is.

    Attributes:
        permits: Nothing where its queue asks for none.
    """

    work: StepExecution
    job: Job
    queue: Queue
    order: tuple[float, ...]
    permits: StepPermits | None

    @property
    def tasks_left(self) -> int:
        """How many tasks of the step wait; all of a gang's."""
        step = self.work.step
        return step.count if step.gang else len(self.work.waiting_units)

    def suits(self, live: LiveWorker) -> bool:
        """Whether a worker is of the queue's service, and fit for the step."""
        if live.record.service != self.queue.service:
            return False
        label = self.work.step.label
        if label and label not in live.record.labels:
            return False
        return self.work.resources.fits(live.room)


class Reckoner:
    """Remembers how long jobs may take, and what is left of them.

    Neither changes while a job's queue stays as it is.
    """

    def __init__(self) -> None:
        """Has reckoned nothing."""
        self._known: dict[StepKey, tuple[Queue, float, float]] = {}

    def times(
        self, job: Job, work: StepExecution, queue: Queue
    ) -> tuple[float, float]:
        """A job's objective, and the chain from a step to its end, seconds."""
        known = self._known.get(work.key)
        if known is None or known[0] is not queue:
            objective = objective_seconds(job, queue)
            known = (queue, objective, chain_seconds(job, work))
            self._known[work.key] = known
        return known[1], known[2]

    def forget(self, key: StepKey) -> None:
        """Drops a step that has ended."""
        self._known.pop(key, None)


def chain_seconds(job: Job, work: StepExecution) -> float:
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
        before = max((longest[one] for one in step.depends_on), default=0)
        own = step.estimate_seconds
        if queue.permits is not None:
            own += queue.permits.decide_seconds
        longest.append(before + own)
    return queue.stretch * max(longest) + queue.target_seconds
