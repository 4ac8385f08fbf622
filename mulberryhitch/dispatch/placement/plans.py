"""Inputs and results of a placement round, and job deadline estimates."""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from mulberryhitch.dispatch.permits.manager import PermitRequest, StepPermits
from mulberryhitch.dispatch.placement.free_capacity import copies_that_fit
from mulberryhitch.dispatch.placement.gang_holds import (
    GangHold,
    StepTimes,
    workers_of,
)
from mulberryhitch.dispatch.placement.speed_order import SpeedOrder
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import JobSpec, Queue, StepKey, TaskKey
from mulberryhitch.jobs.state import Job, StepExecution, Unit

MOST_URGENT = 0
# A job that takes longer than this multiple of its objective is worth nothing.
LATE_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class Placement:
    """The assignment of a task to a worker.

    Attributes:
        index: Index of the task in its step.
        ticket: Ticket to present; empty if the queue requires no permits.
    """

    unit: Unit
    index: int
    worker_id: str
    ticket: str


@dataclass(frozen=True, slots=True)
class Preemption:
    """A run to stop so that a more urgent step can start.

    Attributes:
        lost: Core-seconds that the stop loses.
        queue_name: Queue of the step that it makes room for.
    """

    task: TaskKey
    run: int
    worker_id: str
    lost: float
    queue_name: str


@dataclass(frozen=True, slots=True)
class Round:
    """When a placement round takes place, and what the last one reserved.

    Attributes:
        number: Number of rounds before it.
        now: Seconds on the local clock.
        wall_time: Seconds since 1970.
        earlier_reservations: The workers that the last round reserved for
            gangs, and its pauses.
        explains: Whether to find out what each step waits for.
        only_urgent: Whether to place only the most urgent steps that are not
            too late.
    """

    number: int
    now: float
    wall_time: float
    earlier_reservations: Mapping[StepKey, GangHold] = field(
        default_factory=dict
    )
    explains: bool = False
    only_urgent: bool = False


@dataclass(slots=True)
class Plan:
    """The result of a placement round.

    Attributes:
        preempted: The runs to stop.
        blocked: Waiting tasks that were considered but not placed, by queue
            name and reason; only of a round that explains.
        reservations: The workers reserved for each gang that waits, and the
            pauses in which none may be.
        capped: Number of steps that their tenant's cap holds back, by tenant.
        tenants_over: Names of the tenants over their share.
    """

    placements: list[Placement] = field(default_factory=list)
    permit_requests: list[PermitRequest] = field(default_factory=list)
    preempted: list[Preemption] = field(default_factory=list)
    blocked: Counter[tuple[str, str]] = field(default_factory=Counter)
    reservations: dict[StepKey, GangHold] = field(default_factory=dict)
    capped: Counter[str] = field(default_factory=Counter)
    tenants_over: frozenset[str] = frozenset()

    @property
    def reserved_workers(self) -> set[str]:
        """All workers that are reserved."""
        return workers_of(self.reservations.values())


@dataclass(frozen=True, slots=True)
class WaitingStep:
    """A step with units that may start.

    Attributes:
        sort_key: Whether the job is past three times its objective, urgency,
            whether its tenant is over its share, whether it can't be in time
            any more by its estimates, slack in seconds and due time; steps
            with lower keys are placed first.
        permits: None if the queue requires no permits.
        spare_seconds: How long it may still wait, by its estimates, so that
            its job is in time, or else completes within three times its
            objective; negative if it can do neither.
        over_share: Whether its tenant uses clearly more than its share.
        speed_order: Which workers it should get.
        times: Whether it may use room that is held for a gang.
        startable: Number of tasks that its tenant's cap lets start; None for
            all.
    """

    execution: StepExecution
    job: Job
    queue: Queue
    sort_key: tuple[float, ...]
    permits: StepPermits | None
    spare_seconds: float = 0
    over_share: bool = False
    speed_order: SpeedOrder = SpeedOrder.any
    times: StepTimes = StepTimes()
    startable: int | None = None

    @property
    def is_too_late(self) -> bool:
        """Whether the job is past three times its objective."""
        return bool(self.sort_key[0])

    @property
    def is_behind(self) -> bool:
        """Whether its job can't be in time any more, by its estimates."""
        return bool(self.sort_key[3])

    @property
    def due(self) -> float:
        """When it was due, seconds since 1970."""
        return self.job.due_at(self.execution.key.occurrence)

    @property
    def comes_first(self) -> bool:
        """Whether it is as urgent as can be and not too late."""
        return not self.is_too_late and self.queue.urgency == MOST_URGENT

    @property
    def position(self) -> tuple[float, ...]:
        """The first parts of the key; runs of steps behind may be preempted."""
        return self.sort_key[:2]

    @property
    def tasks_left(self) -> int:
        """Number of tasks that may start; for a gang, all of its tasks."""
        step = self.execution.step
        if step.gang:
            return step.count
        waiting = len(self.execution.waiting_units)
        return waiting if self.startable is None else self.startable

    @property
    def maximum_per_worker(self) -> int:
        """Maximum number of its tasks that one worker can have."""
        return self.execution.step.spread_limit or self.tasks_left

    def capacity_when_empty(self, workers: Iterable[TrackedWorker]) -> int:
        """Returns how many tasks would fit on workers that run nothing."""
        return sum(
            copies_that_fit(
                self.execution.resources,
                worker.capacity,
                self.maximum_per_worker,
            )
            for worker in workers
        )

    def is_eligible(self, worker: TrackedWorker) -> bool:
        """Whether a worker's service, labels and total size suit the step."""
        if worker.record.service != self.queue.service:
            return False
        label = self.execution.step.label
        if label and label not in worker.record.labels:
            return False
        return self.execution.resources.fits(worker.capacity)


@dataclass(frozen=True, slots=True)
class _JobEstimates:
    """Estimates of a job with the specification and queue they rest on."""

    spec: JobSpec
    queue: Queue
    objective: float
    critical_paths: list[float]


class EstimateCache:
    """Caches the objective and the remaining critical path of each step.

    Neither changes until the configuration of the job's queue does. All steps
    of a job are computed together: one by one, a job of thousands of steps
    would keep the leader busy for minutes.
    """

    def __init__(self) -> None:
        """Initialises an empty cache."""
        self._cached: dict[str, _JobEstimates] = {}

    def objective_and_critical_path(
        self, job: Job, execution: StepExecution, queue: Queue
    ) -> tuple[float, float]:
        """Returns a job's objective and a step's critical path, in seconds."""
        cached = self._cached.get(job.job_id)
        is_known = cached is not None and cached.spec is job.spec
        if cached is None or not is_known or cached.queue is not queue:
            cached = _JobEstimates(
                job.spec,
                queue,
                objective_seconds(job.spec, queue),
                critical_paths_seconds(job.spec),
            )
            self._cached[job.job_id] = cached
        return cached.objective, cached.critical_paths[execution.key.step]

    def remove_job(self, job_id: str) -> None:
        """Removes a job that has ended."""
        self._cached.pop(job_id, None)


def critical_paths_seconds(spec: JobSpec) -> list[float]:
    """Returns the longest chain of estimates from each step to the job's end.

    Takes time in proportion to the steps and their dependencies.
    """
    longest_after = [float() for _ in spec.steps]
    for number in range(len(spec.steps) - 1, -1, -1):
        step = spec.steps[number]
        longest_after[number] += step.estimate_seconds
        for earlier in step.depends_on:
            longest_after[earlier] = max(
                longest_after[earlier], longest_after[number]
            )
    return longest_after


def objective_seconds(spec: JobSpec, queue: Queue) -> float:
    """Returns the target time from when a job is due until it has ended."""
    longest: list[float] = []
    for step in spec.steps:
        before = max(
            (longest[earlier] for earlier in step.depends_on), default=0
        )
        own = step.estimate_seconds
        if queue.permits is not None:
            own += queue.permits.decide_seconds
        longest.append(before + own)
    return queue.stretch * max(longest) + queue.target_seconds
