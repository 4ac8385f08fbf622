"""Generated jobs for the load player: classes, bursts and their random jobs."""

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from mulberryhitch.jobs.model import (
    JobSpec,
    PermitPolicy,
    Queue,
    Step,
    Tenant,
)

MAXIMUM_VALUE = 4.0


@dataclass(frozen=True, slots=True)
class Amount:
    """A log-normal amount with a mean, a relative spread and a maximum."""

    mean: float
    spread: float
    maximum: float

    def draw(self, rng: random.Random) -> float:
        sigma = math.sqrt(math.log1p(self.spread**2))
        drawn = rng.lognormvariate(
            math.log(self.mean) - sigma * sigma / 2, sigma
        )
        return min(drawn, self.maximum)


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A kind of job.

    Attributes:
        per_second: Mean number of jobs a second.
        seconds: Run time of a task.
        width: Number of tasks of a step.
        processors: Thousandths of a core of each task.
        memory: Mebibytes of each task.
        second_step: Probability that a job has a second step.
        gang: Probability that a step is a gang.
        checkpointing: Probability that its tasks write checkpoints.
        failing: Probability that a run fails.
        estimate_error: Spread of the estimate around the true run time.
        uneven: Spread of the run times of the tasks of a step.
        permitted: Share of the workers that may run a step.
        worth: What a mean job in time is worth.
    """

    queue: Queue
    per_second: float
    seconds: Amount
    width: Amount
    processors: Amount
    memory: Amount
    second_step: float = 0
    gang: float = 0
    checkpointing: float = 0
    failing: float = 0.02
    estimate_error: float = 0
    uneven: float = 0.2
    permitted: float = 1
    worth: float = 1


@dataclass(frozen=True, slots=True)
class Burst:
    """A multiple of a class's arrivals for some seconds.

    Attributes:
        queue_name: The class; empty for all.
        tenant: The only tenant that sends more; empty if all do.
    """

    queue_name: str
    at: float
    seconds: float
    factor: float
    tenant: str = ''


@dataclass(frozen=True, slots=True)
class LoadTenant:
    """A client account.

    Attributes:
        demand: Its usual demand, relative to that of the others.
    """

    account: Tenant
    demand: float


@dataclass(frozen=True, slots=True)
class Swing:
    """A regular rise and fall of all arrivals.

    Attributes:
        share: Largest deviation from the mean rate.
        seconds: Time from one peak to the next.
    """

    share: float = 0
    seconds: float = 1

    def factor(self, now: float) -> float:
        return 1 + self.share * math.sin(2 * math.pi * now / self.seconds)


@dataclass(frozen=True, slots=True)
class GeneratedJob:
    """A job, when it is first submitted, and its true run times.

    Attributes:
        run_seconds: True run time of each task, by step.
        tenant: The client account that submits it; empty if none does.
    """

    job_id: str
    load_class: LoadClass
    spec: JobSpec
    submitted_at: float
    run_seconds: tuple[tuple[float, ...], ...]
    tenant: str = ''

    @property
    def objective_seconds(self) -> float:
        """The objective by the true run times, as its submitter judges it."""
        queue = self.load_class.queue
        chain = sum(max(tasks) for tasks in self.run_seconds)
        if queue.permits is not None:
            asked = queue.permits.decide_seconds
            asked += 30 * queue.permits.each_seconds
            chain += asked * len(self.run_seconds)
        return queue.stretch * chain + queue.target_seconds

    @property
    def core_seconds(self) -> float:
        """Work of all its tasks."""
        return sum(
            step.processors / 1000 * sum(tasks)
            for step, tasks in zip(
                self.spec.steps, self.run_seconds, strict=True
            )
        )


@dataclass(frozen=True, slots=True)
class Load:
    """Workers and the jobs that arrive for them.

    Attributes:
        workers: Number of workers.
        cores: Processors of each.
        memory: Mebibytes of each.
        permit_clients: Processes that can request permits.
        seconds: How long jobs arrive.
        drained: Share of the workers that leave, and when.
        rack_size: Number of workers of a rack.
        speeds: Work that the workers do in a second, in turn.
        checkpoint_seconds: Work between two checkpoints.
        restore_seconds: Run time that it costs to resume from one.
    """

    name: str
    workers: int
    cores: int
    memory: int
    permit_clients: int
    classes: tuple[LoadClass, ...]
    bursts: tuple[Burst, ...] = ()
    seconds: float = 30
    drained: tuple[tuple[float, float], ...] = field(default=())
    tenants: tuple[LoadTenant, ...] = ()
    swing: Swing = Swing()
    rack_size: int = 12
    speeds: tuple[float, ...] = (1.0,)
    checkpoint_seconds: float = 1.0
    restore_seconds: float = 0.25

    def jobs(self, seed: int) -> Iterator[GeneratedJob]:
        """Yields the jobs of all classes in the order of their arrival."""
        rng = random.Random(seed)
        found = []
        for load_class in self.classes:
            found.extend(self._jobs_of(load_class, rng))
        yield from sorted(found, key=lambda job: job.submitted_at)

    def _jobs_of(
        self, load_class: LoadClass, rng: random.Random
    ) -> Iterator[GeneratedJob]:
        now = rng.expovariate(load_class.per_second)
        senders = random.Random(rng.random()) if self.tenants else rng
        count = 0
        while now < self.seconds:
            count += 1
            job_id = f'{load_class.queue.name}-{count}'
            job = _make_job(job_id, load_class, now, rng)
            demands = self._demands(load_class, now)
            if self.tenants:
                sender = senders.choices(self.tenants, demands)[0]
                job = replace(job, tenant=sender.account.name)
            yield job
            rate = load_class.per_second * self._factor(load_class, now)
            now += rng.expovariate(rate * sum(demands))

    def _factor(self, load_class: LoadClass, now: float) -> float:
        factors = [
            burst.factor
            for burst in self.bursts
            if _hits(burst, load_class, now) and not burst.tenant
        ]
        return math.prod(factors) * self.swing.factor(now)

    def _demands(self, load_class: LoadClass, now: float) -> list[float]:
        """Returns the demand of each tenant; they sum to 1 without a flood."""
        usual = sum(tenant.demand for tenant in self.tenants)
        floods = {
            burst.tenant: burst.factor
            for burst in self.bursts
            if _hits(burst, load_class, now) and burst.tenant
        }
        demands = [
            tenant.demand / usual * floods.get(tenant.account.name, 1)
            for tenant in self.tenants
        ]
        return demands or [1.0]


def job_value(core_seconds: float, mean: float) -> float:
    """Returns what a job is worth in time, relative to its class.

    Args:
        core_seconds: Its work.
        mean: Mean work of a job of its class.
    """
    return min(MAXIMUM_VALUE, 0.3 + 0.7 * core_seconds / mean)


def _hits(burst: Burst, load_class: LoadClass, now: float) -> bool:
    named = burst.queue_name in {'', load_class.queue.name}
    return named and burst.at <= now < burst.at + burst.seconds


def _make_job(
    job_id: str, load_class: LoadClass, now: float, rng: random.Random
) -> GeneratedJob:
    steps = []
    run_seconds = []
    step_count = 1 + (rng.random() < load_class.second_step)
    for number in range(step_count):
        seconds = load_class.seconds.draw(rng)
        count = max(1, round(load_class.width.draw(rng)))
        tasks = tuple(
            seconds * rng.uniform(1 - load_class.uneven, 1 + load_class.uneven)
            for _ in range(count)
        )
        gang = rng.random() < load_class.gang
        if gang:
            tasks = (seconds,) * count
        error = rng.lognormvariate(0, load_class.estimate_error / 2)
        steps.append(
            Step(
                count,
                int(load_class.processors.draw(rng)),
                int(load_class.memory.draw(rng)),
                estimate_seconds=seconds * error,
                depends_on=(number - 1,) if number else (),
                checkpointing=rng.random() < load_class.checkpointing,
                gang=gang,
            )
        )
        run_seconds.append(tasks)
    spec = JobSpec('argument', tuple(steps))
    return GeneratedJob(job_id, load_class, spec, now, tuple(run_seconds))


def make_load(name: str, workers: int, share: float = 1) -> Load:
    """Returns a mix of gangs, batches and short urgent jobs.

    At a share of 1 the jobs demand about 88% of all processors: half of it by
    gangs of about 20 tasks, an eighth by the urgent jobs.
    """
    scale = share * workers / 270
    return Load(
        name,
        workers,
        64,
        131_072,
        max(8, workers * 3 // 8),
        (
            _gangs(4.68 * scale),
            _batches(6.11 * scale),
            _urgent_jobs(43.4 * scale),
        ),
    )


def make_wide_load(
    name: str,
    workers: int,
    share: float = 1,
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2, 1.2),
) -> Load:
    """Returns jobs whose tasks take a quarter of a worker's 64 processors.

    At a share of 1 the jobs demand 64% of the processors at these speeds.
    Urgent tasks of 0.54 s have 1.5 times their run time and 250 ms.
    """
    scale = share * workers / 176
    gangs = replace(
        _gangs(1.68 * scale),
        seconds=Amount(5.3, 0.5, 13),
        processors=Amount(18_000, 0.4, 30_000),
    )
    batches = replace(
        _batches(5.43 * scale),
        seconds=Amount(1.9, 0.5, 5),
        width=Amount(25, 0.6, 100),
        processors=Amount(6_900, 0.45, 21_000),
    )
    urgent = replace(
        _urgent_jobs(60.5 * scale),
        seconds=Amount(0.54, 0.5, 1.4),
        processors=Amount(9_900, 0.45, 30_000),
    )
    clients = max(8, workers * 30 // 176)
    return Load(
        name,
        workers,
        64,
        262_144,
        clients,
        (gangs, batches, urgent),
        speeds=speeds,
    )


def make_narrow_load(
    name: str,
    workers: int,
    share: float = 1,
    speeds: tuple[float, ...] = (1.0, 1.0, 1.3),
) -> Load:
    """Returns jobs whose gangs take a quarter of a worker's 16 processors.

    At a share of 1 the jobs demand 74% of the processors.
    """
    scale = share * workers / 176
    gangs = replace(
        _gangs(1.77 * scale),
        seconds=Amount(5, 0.5, 13),
        processors=Amount(4_500, 0.4, 8_000),
        memory=Amount(8_000, 0.5, 16_000),
    )
    batches = replace(
        _batches(6.38 * scale),
        seconds=Amount(2.7, 0.5, 7),
        width=Amount(25, 0.6, 100),
        processors=Amount(1_700, 0.45, 5_000),
        memory=Amount(4_000, 0.6, 12_000),
    )
    urgent = replace(
        _urgent_jobs(51.6 * scale),
        seconds=Amount(0.64, 0.5, 1.6),
        processors=Amount(2_500, 0.45, 8_000),
        memory=Amount(4_000, 0.6, 12_000),
    )
    clients = max(8, workers * 37 // 176)
    return Load(
        name,
        workers,
        16,
        65_536,
        clients,
        (gangs, batches, urgent),
        speeds=speeds,
    )


def _gangs(per_second: float) -> LoadClass:
    permits = PermitPolicy(0.494, 0.00715, 2)
    return LoadClass(
        Queue('gang', 'h', '/gang/', 'svc', 1, 3, 2.2, 1, permits),
        per_second,
        Amount(4, 0.5, 10),
        Amount(20, 0.8, 120),
        Amount(18_000, 0.4, 30_000),
        Amount(18_000, 0.5, 37_000),
        0.2,
        1,
        0.5,
        0.002,
        0.9,
        0,
        0.3,
    )


def _batches(per_second: float) -> LoadClass:
    permits = PermitPolicy(0.182, 0.0026, 2)
    return LoadClass(
        Queue('batch', 'h', '/batch/', 'svc', 2, 4, 4, 3, permits),
        per_second,
        Amount(3.4, 0.5, 8.4),
        Amount(15, 0.6, 76),
        Amount(11_000, 0.45, 33_000),
        Amount(20_000, 0.6, 61_000),
        0.5,
        0,
        0.8,
        0.02,
        0.5,
        0.15,
        0.45,
    )


def _urgent_jobs(per_second: float) -> LoadClass:
    permits = PermitPolicy(0.026, 0.000364, 2)
    return LoadClass(
        Queue('urgent', 'h', '/urgent/', 'svc', 0, 2, 1.5, 0.25, permits),
        per_second,
        Amount(1, 0.5, 2.5),
        Amount(3.1, 0.8, 19),
        Amount(16_000, 0.45, 47_000),
        Amount(29_000, 0.6, 87_000),
        0,
        0.3,
        0,
        0.02,
        0.2,
        0.3,
        0.7,
    )
