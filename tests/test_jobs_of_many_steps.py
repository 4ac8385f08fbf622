"""Jobs of thousands of steps cost the leader no more than other jobs."""

from collections.abc import Iterator

import pytest

from mulberryhitch.dispatch.placement import plans
from mulberryhitch.dispatch.placement.plans import EstimateCache
from mulberryhitch.jobs.model import JobSpec, Step
from tests.admission_builders import QUEUE, SERVICE
from tests.backlog_builders import store_with, summary_of

STEPS = 200


class CountedSteps(tuple[Step, ...]):
    """Steps that count how often one of them is looked at."""

    looked_at = 0

    def __getitem__(self, index: object) -> object:  # type: ignore[override]
        self.looked_at += 1
        return super().__getitem__(index)  # type: ignore[index]

    def __iter__(self) -> Iterator[Step]:
        for step in super().__iter__():
            self.looked_at += 1
            yield step


def step(seconds: float = 1, *depends_on: int) -> Step:
    return Step(1, 1000, estimate_seconds=seconds, depends_on=depends_on)


def test_a_summary_looks_at_each_step_a_few_times() -> None:
    """Guards against summaries whose cost grows with the square of the steps.

    With 2,000 independent steps, each one kept the leader busy for 2.6 s.
    """
    store = store_with(JobSpec('', tuple(step() for _ in range(STEPS))))
    job = store.jobs['job-0']
    counted = CountedSteps(job.spec.steps)
    job.spec = JobSpec('', counted)
    summary_of(store)
    assert counted.looked_at < 10 * STEPS


def test_critical_paths_look_at_each_step_a_few_times() -> None:
    """Guards against a cache that is filled with one step at a time.

    With 2,000 independent steps, this kept the leader busy for 21 s.
    """
    store = store_with(JobSpec('', tuple(step() for _ in range(STEPS))))
    job = store.jobs['job-0']
    counted = CountedSteps(job.spec.steps)
    job.spec = JobSpec('', counted)
    estimates = EstimateCache()
    for execution in store.ready_steps.values():
        estimates.objective_and_critical_path(job, execution, QUEUE)
    assert counted.looked_at < 10 * STEPS


@pytest.mark.parametrize(
    ('steps', 'paths'),
    [
        ((step(1), step(2), step(4)), [1, 2, 4]),
        ((step(1), step(2, 0), step(4, 0), step(8, 1)), [11, 10, 4, 8]),
    ],
)
def test_critical_paths_follow_the_dependencies(
    steps: tuple[Step, ...], paths: list[float]
) -> None:
    """Guards against paths through steps that don't depend on each other."""
    assert plans.critical_paths_seconds(JobSpec('', steps)) == paths


@pytest.mark.parametrize(
    'steps',
    [(step(1), step(2), step(4)), (step(1), step(2, 0), step(4, 1))],
)
def test_the_work_of_each_step_counts_once(steps: tuple[Step, ...]) -> None:
    """Guards against refusals for work that is counted twice.

    Steps without dependencies are ready from the start, as the first step is.
    """
    backlog = summary_of(store_with(JobSpec('', steps)))
    waiting = backlog.waiting_of(SERVICE, QUEUE.urgency)
    assert waiting.in_time.plus(waiting.late).processors == 7
