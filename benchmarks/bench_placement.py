"""Placement orders and costs: ``python -m benchmarks.bench_placement [cost]``.

Compares the fair order with first-come-first-fit on the same generated work,
with and without a flood: waits, and the share of the cores in use. Then prints
the cost of a decision with short and long queues; ``cost`` prints only that.
"""

import random
import sys
import time

from benchmarks.simulation import (
    SITES,
    Site,
    add_workers,
    generate_arrivals,
    simulate,
)
from mulberryhitch.garbage_collection import tune_garbage_collector
from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.placement.model import Placed
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec

SIMULATED_SECONDS = 240.0
REGULAR_TENANTS = ('north', 'south', 'east', 'west')


def compare_orders(site: Site, seed: int = 1) -> None:
    """Prints waits, packing and cost of both orders."""
    print(f'\n{site.name}: {site.workers} workers')
    print('order flood  class       median    p99  worst  (s)')
    for flood_load in (0.0, 3.0):
        arrivals = generate_arrivals(
            site, seed, SIMULATED_SECONDS, 0.7, flood_load
        )
        for order in ('fifo', 'fair'):
            result = simulate(site, arrivals, order, SIMULATED_SECONDS)
            for name in ('urgent', 'high', 'normal', 'gang', 'deferrable'):
                if name in result.waits:
                    print(
                        f'{order:5} {flood_load:5.1f}  {name:10}'
                        f'{result.percentile(name, 0.5):8.2f}'
                        f'{result.percentile(name, 0.99):8.2f}'
                        f'{result.percentile(name, 1.0):8.2f}'
                    )
            total_core_seconds = (
                site.workers * site.size.millicores / 1000 * SIMULATED_SECONDS
            )
            started_tasks = sum(
                result.started_by_tenant[tenant] for tenant in REGULAR_TENANTS
            )
            cost_microseconds = (
                result.cpu_seconds / max(result.placed_count, 1) * 1e6
            )
            print(
                f'{order:5} {flood_load:5.1f}  packed '
                f'{result.used_core_seconds / total_core_seconds:.3f} '
                f'of all cores; others started {started_tasks}; '
                f'{cost_microseconds:.0f} us a placement'
            )


def print_cost_by_queue() -> None:
    """Prints the cost of a decision for growing queues."""
    site = SITES[2]
    print('\nqueued   decisions/s   p99 of a round of 1 (ms)   us a decision')
    base_cost = 0.0
    for queued in (1_000, 5_000, 20_000, 50_000):
        cost_microseconds, p99, decisions_per_second = _measure_decisions(
            site, queued
        )
        base_cost = base_cost or cost_microseconds
        print(
            f'{queued:6}   {decisions_per_second:11.0f}   {p99 * 1000:24.2f}   '
            f'{cost_microseconds:8.0f}  '
            f'({cost_microseconds / base_cost:.2f} times)'
        )


def _measure_decisions(site: Site, queued: int) -> tuple[float, float, float]:
    rng = random.Random(7)
    placement = PlacementEngine(PlacementOptions())
    add_workers(placement, site)
    for number in range(queued + 20_000):
        spec = WorkloadSpec(
            f'w.{number}',
            f'tenant-{rng.randrange(250)}',
            Kind.batch,
            rng.choice(list(Urgency)),
            1,
            Size(rng.choice((2000, 4000, 8000)), rng.randrange(1, 64_000)),
            restartable=number % 2 == 0,
        )
        placement.enqueue(spec, [0], 0.0)
    placement.decide(100_000, 0.0)
    rounds: list[float] = []
    placed = 0
    now = 0.0
    running = list(placement.running)
    while placed < 2_000 and now < 60:
        now += 0.01
        task = rng.choice(running)
        if task not in placement.running:
            continue
        placement.release(task)
        started_at = time.perf_counter()
        decisions = placement.decide(1, now)
        rounds.append(time.perf_counter() - started_at)
        placed += sum(
            len(decision.tasks)
            for decision in decisions
            if isinstance(decision, Placed)
        )
        for decision in decisions:
            if not isinstance(decision, Placed):
                placement.release(decision.task)
        if placement.queued < queued * 0.9:
            break
    rounds.sort()
    total_seconds = sum(rounds)
    cost_microseconds = total_seconds / max(placed, 1) * 1e6
    return (
        cost_microseconds,
        rounds[int(len(rounds) * 0.99)],
        placed / total_seconds,
    )


def main() -> int:
    """Runs the benchmark."""
    tune_garbage_collector()
    if 'cost' not in sys.argv:
        for site in SITES:
            compare_orders(site)
    print_cost_by_queue()
    return 0


if __name__ == '__main__':
    sys.exit(main())
