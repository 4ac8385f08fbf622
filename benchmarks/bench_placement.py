"""Placement against first-come-first-fit: ``python -m benchmarks.bench_placement``.

Waits and packing on the same generated work, calm and in a flood; then what
a decision costs with a short and a long queue.
"""

import random
import sys
import time

from benchmarks.work import SITES, Site, drive, make_fleet, make_work
from mulberryhitch.garbage_collection import tune_garbage_collector
from mulberryhitch.placement.model import Placed
from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec

SECONDS = 240.0
OTHERS = ('north', 'south', 'east', 'west')


def compare(site: Site, seed: int = 1) -> None:
    """Prints waits, packing and cost of both orders, calm and flooded."""
    print(f'\n{site.name}: {site.workers} workers')
    print('order flood  class       median    p99  worst  (s)')
    for flood in (0.0, 3.0):
        work = make_work(site, seed, SECONDS, 0.7, flood)
        for order in ('fifo', 'fair'):
            report = drive(site, work, order, SECONDS)
            for name in ('urgent', 'high', 'normal', 'gang', 'deferrable'):
                if name in report.waits:
                    print(
                        f'{order:5} {flood:5.1f}  {name:10}'
                        f'{report.percentile(name, 0.5):8.2f}'
                        f'{report.percentile(name, 0.99):8.2f}'
                        f'{report.percentile(name, 1.0):8.2f}'
                    )
            total = site.workers * site.size.millicores / 1000 * SECONDS
            started = sum(report.started_by[name] for name in OTHERS)
            cost = report.cpu_seconds / max(report.placed, 1) * 1e6
            print(
                f'{order:5} {flood:5.1f}  packed '
                f'{report.used_core_seconds / total:.3f} of all cores; '
                f'others started {started}; {cost:.0f} us a placement'
            )


def cost_by_queue() -> None:
    """Prints what a decision costs with more and more work queued."""
    site = SITES[2]
    print('\nqueued   decisions/s   p99 of a round of 1 (ms)   us a decision')
    base = 0.0
    for queued in (1_000, 5_000, 20_000, 50_000):
        micros, p99, rate = _measure(site, queued)
        base = base or micros
        print(
            f'{queued:6}   {rate:11.0f}   {p99 * 1000:24.2f}   '
            f'{micros:8.0f}  ({micros / base:.2f} times)'
        )


def _measure(site: Site, queued: int) -> tuple[float, float, float]:
    chance = random.Random(7)
    placement = PlacementEngine(PlacementOptions())
    make_fleet(placement, site)
    for number in range(queued + 20_000):
        spec = WorkloadSpec(
            f'w.{number}',
            f'tenant-{chance.randrange(250)}',
            Kind.batch,
            chance.choice(list(Urgency)),
            1,
            Size(
                chance.choice((2000, 4000, 8000)), chance.randrange(1, 64_000)
            ),
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
        task = chance.choice(running)
        if task not in placement.running:
            continue
        placement.release(task)
        began = time.perf_counter()
        decisions = placement.decide(1, now)
        rounds.append(time.perf_counter() - began)
        placed += sum(
            len(one.tasks) for one in decisions if isinstance(one, Placed)
        )
        for one in decisions:
            if not isinstance(one, Placed):
                placement.release(one.task)
        if placement.queued < queued * 0.9:
            break
    rounds.sort()
    total = sum(rounds)
    micros = total / max(placed, 1) * 1e6
    return micros, rounds[int(len(rounds) * 0.99)], placed / total


def main() -> int:
    """Runs all of it."""
    tune_garbage_collector()
    if 'cost' not in sys.argv:
        for site in SITES:
            compare(site)
    cost_by_queue()
    return 0


if __name__ == '__main__':
    sys.exit(main())
