"""Generated work, and a clock that drives placement through it."""

import heapq
import itertools
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

from mulberryhitch.placement.model import Placed, Preempted
from mulberryhitch.placement.orders import CapacityShares
from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec

MIB_PER_GIB = 1024


@dataclass(frozen=True)
class Site:
    """A fleet and the work that comes to it."""

    name: str
    workers: int
    size: Size
    per_rack: int
    accelerated: int = 0
    accelerators: int = 0


SITES = (
    Site('consortium', 24, Size(64_000, 128 * MIB_PER_GIB), 8),
    Site('jadranska', 24, Size(32_000, 128 * MIB_PER_GIB), 6),
    Site('share', 216, Size(64_000, 256 * MIB_PER_GIB), 24, 55, 7),
)


@dataclass
class Arrival:
    """A workload, when it comes and how long its tasks really run."""

    at: float
    spec: WorkloadSpec
    real_seconds: float
    flood: bool = False


def make_fleet(placement: PlacementEngine, site: Site) -> None:
    """Adds the site's workers."""
    for number in range(site.workers):
        size = site.size
        if number < site.accelerated:
            size = Size(
                size.millicores, size.memory_mebibytes, site.accelerators
            )
        placement.add_worker(
            f'w{number}', f'rack-{number // site.per_rack}', size
        )


def make_work(
    site: Site, seed: int, seconds: float, load: float, flood: float
) -> list[Arrival]:
    """Heavy-tailed work at a load of the fleet, and a flood in the middle.

    Declared run times are off by up to ten times, either way.
    """
    chance = random.Random(seed)
    cores = site.workers * site.size.millicores / 1000
    arrivals: list[Arrival] = []
    number = itertools.count(1)
    work = 0.0
    while work < cores * seconds * load:
        arrival = _arrival(chance, next(number), chance.random() * seconds)
        spec = arrival.spec
        work += (
            spec.task_count * spec.size.millicores / 1000
        ) * arrival.real_seconds
        arrivals.append(arrival)
    flooded = 0.0
    while flooded < cores * seconds / 3 * flood:
        at = seconds / 3 + chance.random() * seconds / 3
        spec = _spec(next(number), 'flood', Kind.batch, Urgency.deferrable, 20)
        arrivals.append(Arrival(at, spec, 30, flood=True))
        flooded += 20 * 30 * spec.size.millicores / 1000
    return sorted(arrivals, key=lambda one: one.at)


def _arrival(chance: random.Random, number: int, at: float) -> Arrival:
    tenant = chance.choice(('north', 'south', 'east', 'west'))
    dice = chance.random()
    real = min(2 + chance.paretovariate(1.3) * 5, 600)
    declared = real * 10 ** chance.uniform(-1, 1)
    if dice < 0.7:
        urgency = chance.choice((Urgency.high, Urgency.urgent))
        spec = _spec(number, tenant, Kind.batch, urgency, 1, declared, 1)
        return Arrival(at, spec, min(real, 10))
    if dice < 0.95:
        count = chance.randint(1, 12)
        spec = _spec(
            number, tenant, Kind.batch, Urgency.normal, count, declared, 4
        )
        return Arrival(at, spec, real)
    count = chance.randint(4, 24)
    spec = _spec(number, tenant, Kind.gang, Urgency.normal, count, declared, 4)
    return Arrival(at, spec, real)


def _spec(
    number: int,
    tenant: str,
    kind: Kind,
    urgency: Urgency,
    count: int,
    declared: float = 30,
    cores: int = 2,
) -> WorkloadSpec:
    return WorkloadSpec(
        f'{tenant}.{number}',
        tenant,
        kind,
        urgency,
        count,
        Size(cores * 1000, cores * 2 * MIB_PER_GIB),
        declared,
        restartable=number % 2 == 0,
    )


@dataclass
class Report:
    """What a drive measured; waits in seconds, costs in microseconds."""

    waits: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    used_core_seconds: float = 0.0
    decisions: int = 0
    placed: int = 0
    cpu_seconds: float = 0.0
    round_seconds: list[float] = field(default_factory=list)
    seen: set[TaskKey] = field(default_factory=set)
    started_by: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def percentile(self, name: str, part: float) -> float:
        """A part's quantile of the waits of a name."""
        waits = sorted(self.waits.get(name, [0]))
        return waits[min(int(len(waits) * part), len(waits) - 1)]


def drive(
    site: Site, work: list[Arrival], order: str, seconds: float
) -> Report:
    """Drives placement through the work; the clock jumps between events."""
    policy = 'first_fit' if order == 'fifo' else ''
    placement = PlacementEngine(
        PlacementOptions(order=order, policy=policy), CapacityShares()
    )
    make_fleet(placement, site)
    report = Report()
    ends: list[tuple[float, int, int, TaskKey]] = []
    turns = itertools.count()
    real = {one.spec.workload_id: one for one in work}
    since: dict[TaskKey, float] = {}
    epoch: dict[TaskKey, int] = defaultdict(int)
    arrivals = iter(work)
    coming = next(arrivals, None)
    now = 0.0
    while now < seconds:
        while coming is not None and coming.at <= now:
            spec = coming.spec
            placement.enqueue(spec, range(spec.task_count), now)
            for number in range(spec.task_count):
                since[TaskKey(spec.workload_id, number)] = coming.at
            coming = next(arrivals, None)
        while ends and ends[0][0] <= now:
            _, _, stamp, task = heapq.heappop(ends)
            if epoch[task] == stamp and task in placement.running:
                placement.release(task)
        while True:
            began = time.perf_counter()
            decisions = placement.decide(128, now)
            took = time.perf_counter() - began
            report.cpu_seconds += took
            report.round_seconds.append(took)
            progress = False
            for one in decisions:
                report.decisions += 1
                if isinstance(one, Preempted):
                    spec = placement.running[one.task].spec
                    placement.release(one.task)
                    epoch[one.task] += 1
                    placement.enqueue(spec, [one.task.number], now)
                    progress = True
                if isinstance(one, Placed):
                    progress = True
                    _note(one, placement, real, since, now, report)
                    for task, _ in one.tasks:
                        lasts = real[task.workload_id].real_seconds
                        heapq.heappush(
                            ends,
                            (now + lasts, next(turns), epoch[task], task),
                        )
            if not progress:
                break
        step = 0.25
        used = (
            placement.pool.capacity.millicores - placement.pool.free.millicores
        )
        report.used_core_seconds += used / 1000 * step
        now += step
    for task, at in since.items():
        if task not in placement.running and task not in report.seen:
            _unstarted(task, at, real, seconds, report)
    return report


def _note(
    one: Placed,
    placement: PlacementEngine,
    real: dict[str, Arrival],
    since: dict[TaskKey, float],
    now: float,
    report: Report,
) -> None:
    seen = report.seen
    for task, _ in one.tasks:
        report.placed += 1
        if task in seen:
            continue
        seen.add(task)
        spec = placement.running[task].spec
        wait = now - since[task]
        _add_wait(report, spec, wait)
        report.started_by[spec.tenant] += 1


def _unstarted(
    task: TaskKey,
    at: float,
    real: dict[str, Arrival],
    seconds: float,
    report: Report,
) -> None:
    _add_wait(report, real[task.workload_id].spec, seconds - at)


def _add_wait(report: Report, spec: WorkloadSpec, wait: float) -> None:
    report.waits[spec.urgency.value].append(wait)
    report.waits[spec.tenant].append(wait)
    if spec.kind is Kind.gang:
        report.waits['gang'].append(wait)
