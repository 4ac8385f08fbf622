"""Simulation of placement on generated workloads."""

import heapq
import itertools
import random
import time
from collections import defaultdict
from dataclasses import dataclass, field

from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.placement.model import Placed, Preempted
from mulberryhitch.placement.orders import CapacityShares
from mulberryhitch.workers.leases import TaskKey
from mulberryhitch.workloads.model import Kind, Size, Urgency, WorkloadSpec

MIB_PER_GIB = 1024


@dataclass(frozen=True)
class Site:
    """Workers of a site; ``size`` is the capacity of each worker."""

    name: str
    workers: int
    size: Size
    workers_per_rack: int
    accelerated_workers: int = 0
    accelerators_per_worker: int = 0


SITES = (
    Site('consortium', 24, Size(64_000, 128 * MIB_PER_GIB), 8),
    Site('jadranska', 24, Size(32_000, 128 * MIB_PER_GIB), 6),
    Site('share', 216, Size(64_000, 256 * MIB_PER_GIB), 24, 55, 7),
)


@dataclass
class Arrival:
    """A workload, its arrival time and the actual run time of its tasks."""

    arrives_at: float
    spec: WorkloadSpec
    actual_run_seconds: float
    flood: bool = False


def add_workers(placement: PlacementEngine, site: Site) -> None:
    """Adds the site's workers."""
    for number in range(site.workers):
        size = site.size
        if number < site.accelerated_workers:
            size = Size(
                size.millicores,
                size.memory_mebibytes,
                site.accelerators_per_worker,
            )
        placement.add_worker(
            f'w{number}', f'rack-{number // site.workers_per_rack}', size
        )


def generate_arrivals(
    site: Site, seed: int, seconds: float, load: float, flood_load: float
) -> list[Arrival]:
    """Generates heavy-tailed work, and a flood in the middle third.

    Declared run times differ from the actual ones by a factor of up to ten.

    Args:
        site: The workers that the work is sized for.
        seed: Seed of the random numbers.
        seconds: Period in which the workloads arrive.
        load: Work as a share of the core-seconds of the period.
        flood_load: Extra work as a share of the core-seconds of the flood.
    """
    rng = random.Random(seed)
    core_count = site.workers * site.size.millicores / 1000
    arrivals: list[Arrival] = []
    number = itertools.count(1)
    core_seconds = 0.0
    while core_seconds < core_count * seconds * load:
        arrival = _generate_arrival(rng, next(number), rng.random() * seconds)
        spec = arrival.spec
        core_seconds += (
            spec.task_count * spec.size.millicores / 1000
        ) * arrival.actual_run_seconds
        arrivals.append(arrival)
    flood_core_seconds = 0.0
    while flood_core_seconds < core_count * seconds / 3 * flood_load:
        arrives_at = seconds / 3 + rng.random() * seconds / 3
        spec = _make_spec(
            next(number), 'flood', Kind.batch, Urgency.deferrable, 20
        )
        arrivals.append(Arrival(arrives_at, spec, 30, flood=True))
        flood_core_seconds += 20 * 30 * spec.size.millicores / 1000
    return sorted(arrivals, key=lambda arrival: arrival.arrives_at)


def _generate_arrival(
    rng: random.Random, number: int, arrives_at: float
) -> Arrival:
    tenant = rng.choice(('north', 'south', 'east', 'west'))
    draw = rng.random()
    run_seconds = min(2 + rng.paretovariate(1.3) * 5, 600)
    declared_seconds = run_seconds * 10 ** rng.uniform(-1, 1)
    if draw < 0.7:
        urgency = rng.choice((Urgency.high, Urgency.urgent))
        spec = _make_spec(
            number, tenant, Kind.batch, urgency, 1, declared_seconds, 1
        )
        return Arrival(arrives_at, spec, min(run_seconds, 10))
    if draw < 0.95:
        task_count = rng.randint(1, 12)
        spec = _make_spec(
            number,
            tenant,
            Kind.batch,
            Urgency.normal,
            task_count,
            declared_seconds,
            4,
        )
        return Arrival(arrives_at, spec, run_seconds)
    task_count = rng.randint(4, 24)
    spec = _make_spec(
        number,
        tenant,
        Kind.gang,
        Urgency.normal,
        task_count,
        declared_seconds,
        4,
    )
    return Arrival(arrives_at, spec, run_seconds)


def _make_spec(
    number: int,
    tenant: str,
    kind: Kind,
    urgency: Urgency,
    task_count: int,
    declared_seconds: float = 30,
    core_count: int = 2,
) -> WorkloadSpec:
    return WorkloadSpec(
        f'{tenant}.{number}',
        tenant,
        kind,
        urgency,
        task_count,
        Size(core_count * 1000, core_count * 2 * MIB_PER_GIB),
        declared_seconds,
        restartable=number % 2 == 0,
    )


@dataclass
class SimulationResult:
    """Measurements of a simulation; all times in seconds."""

    waits: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    used_core_seconds: float = 0.0
    decisions: int = 0
    placed_count: int = 0
    cpu_seconds: float = 0.0
    round_seconds: list[float] = field(default_factory=list)
    started_tasks: set[TaskKey] = field(default_factory=set)
    started_by_tenant: dict[str, int] = field(
        default_factory=lambda: defaultdict(int)
    )

    def percentile(self, name: str, fraction: float) -> float:
        """Returns a quantile of the waits of a class or tenant."""
        waits = sorted(self.waits.get(name, [0]))
        return waits[min(int(len(waits) * fraction), len(waits) - 1)]


def simulate(
    site: Site, arrivals: list[Arrival], order: str, seconds: float
) -> SimulationResult:
    """Simulates placement in steps of 0.25 s."""
    policy = 'first_fit' if order == 'fifo' else ''
    placement = PlacementEngine(
        PlacementOptions(order=order, policy=policy), CapacityShares()
    )
    add_workers(placement, site)
    result = SimulationResult()
    task_ends: list[tuple[float, int, int, TaskKey]] = []
    tie_breakers = itertools.count()
    arrival_by_workload = {
        arrival.spec.workload_id: arrival for arrival in arrivals
    }
    queued_since: dict[TaskKey, float] = {}
    run_numbers: dict[TaskKey, int] = defaultdict(int)
    remaining_arrivals = iter(arrivals)
    next_arrival = next(remaining_arrivals, None)
    now = 0.0
    while now < seconds:
        while next_arrival is not None and next_arrival.arrives_at <= now:
            spec = next_arrival.spec
            placement.enqueue(spec, range(spec.task_count), now)
            for number in range(spec.task_count):
                queued_since[TaskKey(spec.workload_id, number)] = (
                    next_arrival.arrives_at
                )
            next_arrival = next(remaining_arrivals, None)
        while task_ends and task_ends[0][0] <= now:
            _, _, run_number, task = heapq.heappop(task_ends)
            if run_numbers[task] == run_number and task in placement.running:
                placement.release(task)
        while True:
            started_at = time.perf_counter()
            decisions = placement.decide(128, now)
            elapsed = time.perf_counter() - started_at
            result.cpu_seconds += elapsed
            result.round_seconds.append(elapsed)
            progress = False
            for decision in decisions:
                result.decisions += 1
                if isinstance(decision, Preempted):
                    spec = placement.running[decision.task].spec
                    placement.release(decision.task)
                    run_numbers[decision.task] += 1
                    placement.enqueue(spec, [decision.task.number], now)
                    progress = True
                if isinstance(decision, Placed):
                    progress = True
                    _record_placement(
                        decision,
                        placement,
                        arrival_by_workload,
                        queued_since,
                        now,
                        result,
                    )
                    for task, _ in decision.tasks:
                        run_seconds = arrival_by_workload[
                            task.workload_id
                        ].actual_run_seconds
                        heapq.heappush(
                            task_ends,
                            (
                                now + run_seconds,
                                next(tie_breakers),
                                run_numbers[task],
                                task,
                            ),
                        )
            if not progress:
                break
        step = 0.25
        used = (
            placement.pool.capacity.millicores - placement.pool.free.millicores
        )
        result.used_core_seconds += used / 1000 * step
        now += step
    for task, arrives_at in queued_since.items():
        if task not in placement.running and task not in result.started_tasks:
            _record_unstarted(
                task, arrives_at, arrival_by_workload, seconds, result
            )
    return result


def _record_placement(
    placed: Placed,
    placement: PlacementEngine,
    arrival_by_workload: dict[str, Arrival],
    queued_since: dict[TaskKey, float],
    now: float,
    result: SimulationResult,
) -> None:
    started_tasks = result.started_tasks
    for task, _ in placed.tasks:
        result.placed_count += 1
        if task in started_tasks:
            continue
        started_tasks.add(task)
        spec = placement.running[task].spec
        wait = now - queued_since[task]
        _record_wait(result, spec, wait)
        result.started_by_tenant[spec.tenant] += 1


def _record_unstarted(
    task: TaskKey,
    arrives_at: float,
    arrival_by_workload: dict[str, Arrival],
    seconds: float,
    result: SimulationResult,
) -> None:
    _record_wait(
        result, arrival_by_workload[task.workload_id].spec, seconds - arrives_at
    )


def _record_wait(
    result: SimulationResult, spec: WorkloadSpec, wait: float
) -> None:
    result.waits[spec.urgency.value].append(wait)
    result.waits[spec.tenant].append(wait)
    if spec.kind is Kind.gang:
        result.waits['gang'].append(wait)
