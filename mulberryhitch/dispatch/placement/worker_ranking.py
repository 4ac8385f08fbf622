"""Ranks workers by how many tasks of a step fit on each."""

from collections.abc import Callable, Iterable

from mulberryhitch.dispatch.placement.free_capacity import copies_that_fit
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources

RankedWorkers = list[tuple[int, TrackedWorker]]
"""How many tasks fit on each worker, and the worker."""


def rank_workers(
    waiting: WaitingStep,
    workers: Iterable[TrackedWorker],
    free_resources: Callable[[str], Resources],
) -> RankedWorkers:
    """Returns how many tasks fit on each worker, the most first.

    Args:
        waiting: The step.
        workers: The workers.
        free_resources: Returns what counts as free on a worker.
    """
    resources = waiting.execution.resources
    limit = waiting.maximum_per_worker
    ranked = [
        (
            copies_that_fit(
                resources, free_resources(worker.record.worker_id), limit
            ),
            worker,
        )
        for worker in workers
    ]
    ranked.sort(key=lambda row: (row[0], row[1].record.worker_id), reverse=True)
    return ranked


def first_that_fit(ranked: RankedWorkers, needed: int) -> RankedWorkers:
    """Returns the first workers on which a gang fits, or none."""
    taken: RankedWorkers = []
    for copies, worker in ranked:
        if needed <= 0:
            break
        if copies:
            taken.append((copies, worker))
            needed -= copies
    return taken if needed <= 0 else []
