"""Amounts of work: resources multiplied by the time for which they are held."""

from dataclasses import dataclass
from typing import NamedTuple

from mulberryhitch.dispatch.placement.plans import (
    LATE_FACTOR,
    objective_seconds,
)
from mulberryhitch.dispatch.reports.accounting import MILLICORES_PER_CORE
from mulberryhitch.jobs.model import JobSpec, Queue, Resources, Step


class Work(NamedTuple):
    """Resources multiplied by seconds, or a rate of work without the seconds.

    Attributes:
        processors: Core-seconds.
        memory: Mebibyte-seconds.
        accelerators: Device-seconds.
    """

    processors: float = 0
    memory: float = 0
    accelerators: float = 0

    def plus(self, other: 'Work') -> 'Work':
        """Returns the sum of both."""
        return Work(
            self.processors + other.processors,
            self.memory + other.memory,
            self.accelerators + other.accelerators,
        )

    def times(self, factor: float) -> 'Work':
        """Returns the work multiplied by a factor."""
        return Work(
            self.processors * factor,
            self.memory * factor,
            self.accelerators * factor,
        )

    def seconds_at(self, rate: 'Work') -> float:
        """Returns how long the work takes at a rate, by its scarcest resource.

        A resource of which there is none is left out: what needs it waits for
        workers that have yet to arrive, which nothing here can predict.
        """
        return max(
            needed / available if available > 0 else 0
            for needed, available in zip(self, rate, strict=True)
        )


def work_of(resources: Resources, seconds: float) -> Work:
    """Returns the work of holding resources for some seconds."""
    return Work(
        resources.processors / MILLICORES_PER_CORE * seconds,
        resources.memory * seconds,
        resources.accelerators * seconds,
    )


def step_work(step: Step) -> Work:
    """Returns the work of all tasks of a step, by its submitter's estimate."""
    return work_of(step.resources, step.count * step.estimate_seconds)


def job_work(spec: JobSpec) -> Work:
    """Returns the work of one occurrence of a job, by its estimates."""
    total = Work()
    for step in spec.steps:
        total = total.plus(step_work(step))
    return total


@dataclass(frozen=True, slots=True)
class JobDemand:
    """What a submitted job needs, by its submitter's estimates.

    Attributes:
        tenant: The client account; empty if none.
        objective: Target time until it has ended, seconds.
        is_estimated: Whether each of its steps has an estimate, so that its
            objective is known.
    """

    job_id: str
    queue: Queue
    tenant: str
    work: Work
    objective: float
    is_estimated: bool = True

    @property
    def chain_seconds(self) -> float:
        """Its longest chain of run times and permit requests."""
        if not self.queue.stretch:
            return 0
        return (self.objective - self.queue.target_seconds) / self.queue.stretch

    def limit_seconds(self, ratio: float) -> float:
        """Returns when it is too late, from its submission.

        Args:
            ratio: Actual over estimated run times of its queue. Submitters
                judge by actual times, so longer ones extend the limit; shorter
                ones don't reduce it, as the job at hand may differ.
        """
        chain = self.chain_seconds * max(1, ratio)
        objective = self.queue.stretch * chain + self.queue.target_seconds
        return LATE_FACTOR * objective


def demand_of(
    job_id: str, queue: Queue, spec: JobSpec, tenant: str
) -> JobDemand:
    """Returns what a job needs."""
    return JobDemand(
        job_id,
        queue,
        tenant,
        job_work(spec),
        objective_seconds(spec, queue),
        all(step.estimate_seconds > 0 for step in spec.steps),
    )
