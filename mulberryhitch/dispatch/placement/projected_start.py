"""When a step that does not fit is expected to fit, from the ends of runs."""

import math
from collections.abc import Callable, Iterable, Sequence

from mulberryhitch.dispatch.placement.free_capacity import (
    FreeCapacity,
    copies_that_fit,
)
from mulberryhitch.dispatch.placement.gang_holds import Release
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources


def free_at(
    free: Resources, releases: Iterable[Release], time: float
) -> Resources:
    """Returns what is free once the runs that end by a time have ended."""
    for ends_at, resources in releases:
        if ends_at <= time:
            free = free.plus(resources)
    return free


def projected_start(
    waiting: WaitingStep,
    workers: Iterable[TrackedWorker],
    free_capacity: FreeCapacity,
    releases_of: Callable[[str], Sequence[Release]],
    now: float,
) -> float:
    """Returns when a whole step is expected to fit; infinite if never.

    Args:
        waiting: The step.
        workers: The workers that may run it.
        free_capacity: Free resources of each worker.
        releases_of: Returns what a worker is expected to release, the first
            one first.
        now: Seconds on the local clock.
    """
    missing = waiting.tasks_left
    gains: list[tuple[float, int]] = []
    for worker in workers:
        worker_id = worker.record.worker_id
        free = free_capacity.of_worker(worker_id)
        copies = _copies(waiting, free)
        missing -= copies
        for ends_at, resources in releases_of(worker_id):
            free = free.plus(resources)
            more = _copies(waiting, free) - copies
            if more > 0:
                gains.append((ends_at, more))
                copies += more
    if missing <= 0:
        return now
    for ends_at, more in sorted(gains):
        missing -= more
        if missing <= 0:
            return ends_at
    return math.inf


def _copies(waiting: WaitingStep, free: Resources) -> int:
    return copies_that_fit(
        waiting.execution.resources, free, waiting.maximum_per_worker
    )
