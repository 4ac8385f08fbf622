"""Policies that choose workers for tasks, and their registry."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TypeAlias

from mulberryhitch.placement.model import WaitingWorkload
from mulberryhitch.placement.pool import PoolWorker, WorkerPool
from mulberryhitch.workloads.model import Kind

RackCounts: TypeAlias = Counter[str]
Policy: TypeAlias = Callable[
    [WorkerPool, WaitingWorkload, RackCounts], list[PoolWorker]
]
_policies: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Registers a policy under its name."""

    def register(choose_workers: Policy) -> Policy:
        _policies[name] = choose_workers
        return choose_workers

    return register


def policy_for(kind: Kind, name: str = '') -> Policy:
    """Returns the named policy, or the default one of a kind.

    Raises:
        KeyError: No policy has this name.
    """
    return _policies[name or kind.value]


def _usable_workers(
    pool: WorkerPool, workload: WaitingWorkload
) -> Iterator[PoolWorker]:
    is_backfill = workload.spec.preemptible
    workload_id = workload.spec.workload_id
    for worker in pool.candidates(workload.size):
        held_for_other = worker.held_for not in {'', workload_id}
        if held_for_other and not (is_backfill and worker.accepts_backfill):
            continue
        if worker.worker_id not in workload.avoided_workers:
            yield worker


@register_policy('batch')
def best_fit(
    pool: WorkerPool, workload: WaitingWorkload, rack_counts: RackCounts
) -> list[PoolWorker]:
    """Chooses the worker with the fewest free cores that fits."""
    worker = next(_usable_workers(pool, workload), None)
    return [worker] if worker else []


@register_policy('service')
def spread_over_racks(
    pool: WorkerPool, workload: WaitingWorkload, rack_counts: RackCounts
) -> list[PoolWorker]:
    """Chooses a worker of the rack with the fewest tasks of the workload."""
    best: PoolWorker | None = None
    best_sort_key = (0, 0)
    for worker in _usable_workers(pool, workload):
        sort_key = (rack_counts[worker.rack], -worker.free.millicores)
        if best is None or sort_key < best_sort_key:
            best = worker
            best_sort_key = sort_key
    return [best] if best else []


@register_policy('gang')
def fit_gang(
    pool: WorkerPool, workload: WaitingWorkload, rack_counts: RackCounts
) -> list[PoolWorker]:
    """Chooses as few workers as possible for all tasks, or none."""
    required = workload.gang_size
    usable = sorted(
        _usable_workers(pool, workload),
        key=lambda worker: worker.count_fitting(workload.size),
        reverse=True,
    )
    chosen: list[PoolWorker] = []
    for worker in usable:
        missing = required - len(chosen)
        count = min(worker.count_fitting(workload.size), missing)
        chosen.extend(itertools.repeat(worker, count))
        if len(chosen) == required:
            return chosen
    return []


@register_policy('first_fit')
def first_fit(
    pool: WorkerPool, workload: WaitingWorkload, rack_counts: RackCounts
) -> list[PoolWorker]:
    """Chooses the first workers that fit, in registration order.

    Ignores holds on workers and the workload's ``avoided_workers``.
    """
    required = workload.gang_size
    chosen: list[PoolWorker] = []
    for worker in pool:
        if not worker.is_schedulable:
            continue
        missing = required - len(chosen)
        count = min(worker.count_fitting(workload.size), missing)
        chosen.extend(itertools.repeat(worker, count))
        if len(chosen) == required:
            return chosen
    return []
