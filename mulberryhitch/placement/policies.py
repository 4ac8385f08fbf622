"""Where the tasks of each kind go: a registry of policies."""

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

    def register(function: Policy) -> Policy:
        _policies[name] = function
        return function

    return register


def policy_for(kind: Kind, name: str = '') -> Policy:
    """The policy of a name, else that of a kind."""
    return _policies[name or kind.value]


def _usable_workers(
    pool: WorkerPool, workload: WaitingWorkload
) -> Iterator[PoolWorker]:
    backfill = workload.spec.preemptible
    workload_id = workload.spec.workload_id
    for worker in pool.candidates(workload.size):
        held_for_other = worker.held_for not in {'', workload_id}
        if held_for_other and not (backfill and worker.accepts_backfill):
            continue
        if worker.worker_id not in workload.avoided_workers:
            yield worker


@register_policy('batch')
def best_fit(
    pool: WorkerPool, workload: WaitingWorkload, racks: RackCounts
) -> list[PoolWorker]:
    """The worker on which the least is left over."""
    worker = next(_usable_workers(pool, workload), None)
    return [worker] if worker else []


@register_policy('service')
def spread_over_racks(
    pool: WorkerPool, workload: WaitingWorkload, racks: RackCounts
) -> list[PoolWorker]:
    """A worker of the rack with the fewest tasks of the workload."""
    best: PoolWorker | None = None
    best_level = (0, 0)
    for worker in _usable_workers(pool, workload):
        level = (racks[worker.rack], -worker.free.millicores)
        if best is None or level < best_level:
            best = worker
            best_level = level
    return [best] if best else []


@register_policy('gang')
def fit_gang(
    pool: WorkerPool, workload: WaitingWorkload, racks: RackCounts
) -> list[PoolWorker]:
    """Room for every task, on as few workers as may be; or none at all."""
    wanted = workload.gang_size
    usable = sorted(
        _usable_workers(pool, workload),
        key=lambda worker: worker.count_fitting(workload.size),
        reverse=True,
    )
    chosen: list[PoolWorker] = []
    for worker in usable:
        missing = wanted - len(chosen)
        count = min(worker.count_fitting(workload.size), missing)
        chosen.extend(itertools.repeat(worker, count))
        if len(chosen) == wanted:
            return chosen
    return []


@register_policy('first_fit')
def first_fit(
    pool: WorkerPool, workload: WaitingWorkload, racks: RackCounts
) -> list[PoolWorker]:
    """The first workers with room, in the order in which they came."""
    wanted = workload.gang_size
    chosen: list[PoolWorker] = []
    for worker in pool:
        if not worker.is_schedulable:
            continue
        missing = wanted - len(chosen)
        count = min(worker.count_fitting(workload.size), missing)
        chosen.extend(itertools.repeat(worker, count))
        if len(chosen) == wanted:
            return chosen
    return []
