"""The order in which waiting steps are placed."""

from collections.abc import Container
from dataclasses import dataclass

from mulberryhitch.dispatch.placement.plans import (
    LATE_FACTOR,
    MOST_URGENT,
    EstimateCache,
)
from mulberryhitch.jobs.model import Queue
from mulberryhitch.jobs.state import Job, StepExecution

_POSITION_PARTS = 2
# Estimates are off by up to 90%: a job that is behind its objective by less than
# this share of the run time may still be in time.
_DOUBTFUL_SHARE = 0.9


@dataclass(frozen=True, slots=True)
class StepRank:
    """Where a step stands.

    Attributes:
        key: Steps with lower keys are placed first.
        spare_seconds: How long it may still wait, by its estimates, so that
            its job is in time, or else completes within three times its
            objective; negative if it can do neither.
        over_share: Whether its tenant uses clearly more than its share.
        tenant: Name of its tenant; empty if it has none.
    """

    key: tuple[float, ...]
    spare_seconds: float
    over_share: bool
    tenant: str = ''

    @property
    def position(self) -> tuple[float, ...]:
        """The first parts of the key; runs of steps behind may be preempted."""
        return self.key[:_POSITION_PARTS]


FOREMOST = StepRank((0, MOST_URGENT), 0, over_share=False)
"""Where a step stands of which no run may be preempted."""


class StepOrder:
    """Ranks the steps of a placement round.

    Steps of jobs that are past three times their objective come last. The
    others come by urgency; within a class those that can be in time come
    first, and of these the ones with the least slack. In each class the
    tenants that use clearly more than their share come after the others.

    Args:
        estimates: Objectives and critical paths.
        wall_time: Seconds since 1970.
        tenants_over: Names of the tenants over their share.
    """

    def __init__(
        self,
        estimates: EstimateCache,
        wall_time: float,
        tenants_over: Container[str] = frozenset(),
    ) -> None:
        """Initialises the order of a round."""
        self._estimates = estimates
        self._wall_time = wall_time
        self._tenants_over = tenants_over

    def rank(
        self, job: Job, execution: StepExecution, queue: Queue
    ) -> StepRank:
        """Returns where a step stands, waiting or not."""
        due = job.due_at(execution.key.occurrence)
        age = self._wall_time - due
        objective, remaining = self._estimates.objective_and_critical_path(
            job, execution, queue
        )
        slack = objective - age - remaining
        too_late = age > objective * LATE_FACTOR
        over_share = job.tenant in self._tenants_over
        key = (too_late, queue.urgency, over_share, slack < 0, slack, due)
        latest = objective * LATE_FACTOR - age - remaining
        in_doubt = slack >= -_DOUBTFUL_SHARE * remaining
        spare = min(max(slack, 0), latest) if in_doubt else latest
        return StepRank(key, spare, over_share, job.tenant)
