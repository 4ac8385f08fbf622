"""Where the tasks of each kind go: a registry of policies."""

import itertools
from collections import Counter
from collections.abc import Callable, Iterator
from typing import TypeAlias

from mulberryhitch.placement.pool import Node, Pool
from mulberryhitch.placement.waiting import Waiting
from mulberryhitch.workloads.model import Kind

RackCounts: TypeAlias = Counter[str]
Policy: TypeAlias = Callable[[Pool, Waiting, RackCounts], list[Node]]
_policies: dict[str, Policy] = {}


def policy(name: str) -> Callable[[Policy], Policy]:
    """Registers a policy under its name."""

    def register(function: Policy) -> Policy:
        _policies[name] = function
        return function

    return register


def policy_for(kind: Kind, name: str = '') -> Policy:
    """The policy of a name, else that of a kind."""
    return _policies[name or kind.value]


def _usable(pool: Pool, waiting: Waiting) -> Iterator[Node]:
    backfill = waiting.spec.preemptible
    workload_id = waiting.spec.workload_id
    for node in pool.closest(waiting.size):
        held_for_other = node.hold not in {'', workload_id}
        if held_for_other and not (backfill and node.takes_backfill):
            continue
        if node.worker_id not in waiting.avoid:
            yield node


@policy('batch')
def best_fit(pool: Pool, waiting: Waiting, racks: RackCounts) -> list[Node]:
    """The worker on which the least is left over."""
    node = next(_usable(pool, waiting), None)
    return [node] if node else []


@policy('service')
def spread(pool: Pool, waiting: Waiting, racks: RackCounts) -> list[Node]:
    """A worker of the rack with the fewest tasks of the workload."""
    best: Node | None = None
    best_level = (0, 0)
    for node in _usable(pool, waiting):
        level = (racks[node.rack], -node.free.millicores)
        if best is None or level < best_level:
            best = node
            best_level = level
    return [best] if best else []


@policy('gang')
def all_at_once(pool: Pool, waiting: Waiting, racks: RackCounts) -> list[Node]:
    """Room for every task, on as few workers as may be; or none at all."""
    wanted = waiting.together
    usable = sorted(
        _usable(pool, waiting),
        key=lambda node: node.count_fitting(waiting.size),
        reverse=True,
    )
    chosen: list[Node] = []
    for node in usable:
        missing = wanted - len(chosen)
        count = min(node.count_fitting(waiting.size), missing)
        chosen.extend(itertools.repeat(node, count))
        if len(chosen) == wanted:
            return chosen
    return []


@policy('first_fit')
def first_fit(pool: Pool, waiting: Waiting, racks: RackCounts) -> list[Node]:
    """The first workers with room, in the order in which they came."""
    wanted = waiting.together
    chosen: list[Node] = []
    for node in pool:
        if not node.is_open:
            continue
        missing = wanted - len(chosen)
        count = min(node.count_fitting(waiting.size), missing)
        chosen.extend(itertools.repeat(node, count))
        if len(chosen) == wanted:
            return chosen
    return []
