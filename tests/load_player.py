"""Plays a load against the dispatcher on the mock clock.

The dispatcher is the real one: its order, permits, placement and preemption.
The workers, the permit service and the commits are simulated. By default no
processor time passes and rounds follow each other at a fixed interval, so that
a play repeats. With a processor speed, the clock advances by the processor time
that the dispatcher takes, so that costly decisions are late ones; such a play
differs a little each time.
"""

import statistics
import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

import anyio
import trio
from trio.testing import MockClock

from mulberryhitch.dispatch.admission.options import AdmissionOptions
from mulberryhitch.dispatch.dispatcher import Dispatcher
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.placement.plans import Plan
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import OverloadedError, OverQuotaError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import QueueTable, WorkerRecord
from mulberryhitch.jobs.state import Job, JobState
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import LineRateLimiter, Log
from mulberryhitch.rpc.messages import LogEntry
from tests.load_cell import LoadFleet, LoadPermitClient, LoadWorker, Timeline
from tests.load_jobs import GeneratedJob, Load, LoadClass, job_value
from tests.replica_group import run_with_mock_clock

ROUND_SECONDS = 0.03
COMMIT_SECONDS = 0.015
# With all that a leader does for it: commits, lists, log lines, calls.
EXCHANGE_SECONDS = 0.0003
LATE_FACTOR = 3
# Part of its value that a job earns, by what became of it.
EARNED_SHARES = {'in time': 1.0, 'late': 0.2}
DRAIN_SECONDS = 3
SAMPLE_SECONDS = 0.5
MAX_RETRIES = 4
# Longer than any play, as the results are read at its end.
RETAIN_SECONDS = 3600
START_WALL_TIME = 1_000_000.0


class ProcessorCharge:
    """Advances the mock clock by the processor time of rounds and exchanges.

    Args:
        speed: Processor speed, as a multiple of this machine's.

    Attributes:
        charged: Seconds by which the clock was advanced.
    """

    def __init__(self, speed: float) -> None:
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, MockClock)
        self._clock = clock
        self._speed = speed
        self.charged: float = 0

    def charge_exchange(self) -> None:
        self._advance(EXCHANGE_SECONDS)

    def charge_round(self, seconds: float) -> None:
        self._advance(seconds / self._speed)

    def _advance(self, seconds: float) -> None:
        self.charged += seconds
        self._clock.jump(seconds)


@dataclass(slots=True)
class ClassReport:
    """What the submitters of one class of jobs got.

    Attributes:
        in_time: Jobs that completed within their objective.
        late: Jobs that completed within three times their objective.
        too_late: Jobs that completed later, or not by the end of the load.
        refused: Jobs whose submitters were refused until they gave up.
        retried: Jobs that were refused at first.
        waits: Seconds from the first submission to the first start.
        value: What they are worth if in time, relative to their class.
        earned: What they were worth: a fifth of it if late.
    """

    offered: int = 0
    value: float = 0
    earned: float = 0
    in_time: int = 0
    late: int = 0
    too_late: int = 0
    failed: int = 0
    refused: int = 0
    retried: int = 0
    waits: list[float] = field(default_factory=list)

    @property
    def served(self) -> float:
        """Share of the value that was earned."""
        return self.earned / self.value if self.value else 0

    def wait_at(self, percent: int) -> float:
        """Returns a percentile of the waits."""
        if len(self.waits) < 2:
            return sum(self.waits)
        return statistics.quantiles(self.waits, n=100)[percent - 1]


@dataclass(slots=True)
class LoadReport:
    """What became of a load.

    Attributes:
        by_class: Reports by queue name; the widest fifth, and the largest
            tenth, of a class have some of their own, named `CLASS wide` and
            `CLASS top`.
        by_tenant: Reports by tenant.
        stops: Runs that were told to stop, by reason.
        preemptors: Runs that were preempted, by the queue that got the room.
        ended: Runs that ended, by how they did.
        lost: Core-seconds that were lost, by how their runs ended.
        rounds: Number of placement rounds.
        round_seconds: Processor time of all of them, on this machine.
        took: How long the play took, on this machine.
        charged: Processor time by which the clock was advanced.
        busy_share: Share of all processors that runs take, in the mean.
        reserved_share: Share of the workers reserved for gangs, in the mean.
        refusals: Answers that refused a job, by queue name and Retry-After.
        refused_at_first: Jobs whose first submission was refused.
        results: What became of each job: `in time`, `late`, `too late`,
            `failed` or `refused`.
        errors: Estimated minus actual seconds to completion of each completed
            job that had to wait by its estimate, by queue name.
        slow_shares: Share of the starts that were on workers of the lowest
            speed, by queue name.
    """

    by_class: dict[str, ClassReport]
    by_tenant: dict[str, ClassReport]
    stops: Counter[str]
    preemptors: Counter[str]
    starts: int
    ended: Counter[str]
    worked_core_seconds: float
    lost: Counter[str]
    rounds: int
    round_seconds: float
    took: float
    charged: float
    busy_share: float
    reserved_share: float
    refusals: Counter[tuple[str, int]]
    refused_at_first: frozenset[str]
    results: dict[str, str]
    errors: dict[str, list[float]]
    slow_shares: dict[str, float]

    @property
    def stopped_share(self) -> float:
        """Share of the started runs that were told to stop."""
        return sum(self.stops.values()) / max(1, self.starts)


class LoadPlayer:
    """Plays one load.

    Args:
        load: The load.
        seed: Draws its jobs.
        speed: Processor speed as a multiple of this machine's; zero if
            processor time is not charged.
        admission: Whether jobs that would be too late are refused.
    """

    def __init__(
        self, load: Load, seed: int, speed: float = 0, admission: bool = True
    ) -> None:
        self.load = load
        self._admission = AdmissionOptions(enabled=admission)
        self._refusals: Counter[tuple[str, int]] = Counter()
        self._refused_at_first: set[str] = set()
        self._results: dict[str, str] = {}
        self._errors: dict[str, list[float]] = {}
        self._speed = speed
        self._charge: ProcessorCharge | None = None
        self.jobs = {job.job_id: job for job in load.jobs(seed)}
        self.job_store = JobStore()
        self.timeline = Timeline()
        self.fleet = LoadFleet(self.timeline, self.jobs, load)
        self._mean_work = {
            one.queue.name: _mean_work(self.jobs.values(), one)
            for one in load.classes
        }
        self.stops: Counter[str] = Counter()
        self.preemptors: Counter[str] = Counter()
        self.rounds = 0
        self.round_seconds: float = 0
        self._busy_shares: list[float] = []
        self._reserved_shares: list[float] = []
        self._index = 0
        self._dispatcher: Dispatcher | None = None

    async def run(self) -> LoadReport:
        began = time.perf_counter()
        if self._speed:
            self._charge = ProcessorCharge(self._speed)
            self.fleet.on_exchange = self._charge.charge_exchange
        queues = tuple(one.queue for one in self.load.classes)
        accounts = tuple(one.account for one in self.load.tenants)
        table = QueueTable(1, '{}', queues, tenants=accounts)
        self._apply([changes.configure(table)])
        self._add_workers()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.timeline.run)
            dispatcher = self._make_dispatcher()
            self._dispatcher = dispatcher
            tasks.start_soon(dispatcher.run)
            await anyio.sleep(0.1)
            for worker in tuple(self.fleet.workers.values()):
                tasks.start_soon(
                    dispatcher.workers.handle_heartbeat,
                    worker.record,
                    worker.clock,
                )
            await anyio.sleep(1)
            started_at = anyio.current_time()
            tasks.start_soon(self._sample_workers)
            for at, share in self.load.drained:
                tasks.start_soon(self._drain, started_at + at, share)
            for job in self.jobs.values():
                await anyio.sleep_until(started_at + job.submitted_at)
                tasks.start_soon(self._submit, job)
            await anyio.sleep(self._seconds_to_wait())
            tasks.cancel_scope.cancel()
        return self._report(started_at, time.perf_counter() - began)

    def _seconds_to_wait(self) -> float:
        """Returns how long the last jobs may take to be late at most."""
        longest = max(job.objective_seconds for job in self.jobs.values())
        return LATE_FACTOR * longest

    def _make_dispatcher(self) -> Dispatcher:
        options = DispatchOptions(
            maintenance_seconds=0.5,
            retain_seconds=RETAIN_SECONDS,
            admission=self._admission,
        )
        if not self._speed:
            options = replace(options, round_seconds=ROUND_SECONDS)
        log = Log('player', LineRateLimiter(0))
        term = Term(
            self.job_store,
            self._commit,
            lambda: True,
            1,
            self.fleet,
            options,
            log,
            Histograms(),
            self._wall_time,
        )
        dispatcher = Dispatcher(term)
        for number in range(self.load.permit_clients):
            dispatcher.permit_manager.add_client(
                f'client-{number}', LoadPermitClient(self.jobs), local=True
            )
        self._measure_rounds(dispatcher)
        self._count_stops(term)
        self._note_errors(dispatcher)
        return dispatcher

    def _measure_rounds(self, dispatcher: Dispatcher) -> None:
        make_plan = dispatcher._make_plan

        def measured(*, only_urgent: bool) -> Plan:
            began = time.process_time()
            plan = make_plan(only_urgent=only_urgent)
            seconds = time.process_time() - began
            self.round_seconds += seconds
            self.rounds += 1
            self.preemptors.update(stop.queue_name for stop in plan.preempted)
            if self._charge is not None:
                self._charge.charge_round(seconds)
            return plan

        dispatcher._make_plan = measured  # type: ignore[method-assign]

    def _count_stops(self, term: Term) -> None:
        record_stop = term.accounting.record_stop

        def counted(queue_name: str, reason: str, lost: float = 0) -> None:
            self.stops[f'{queue_name}: {reason}'] += 1
            record_stop(queue_name, reason, lost)

        term.accounting.record_stop = counted  # type: ignore[method-assign]

    def _note_errors(self, dispatcher: Dispatcher) -> None:
        accuracy = dispatcher.admission._accuracy
        record_end = accuracy.record_end

        def noted(job: Job, now: float) -> None:
            made = accuracy._predictions.get(job.job_id)
            completed = job.state is JobState.completed
            if made is not None and completed and made.estimate.wait >= 0.5:
                error = made.estimate.finish - (now - made.made_at)
                self._errors.setdefault(job.queue.name, []).append(error)
            record_end(job, now)

        accuracy.record_end = noted  # type: ignore[method-assign]

    async def _sample_workers(self) -> None:
        """Samples how busy the workers are while jobs arrive."""
        assert self._dispatcher is not None
        until = anyio.current_time() + self.load.seconds
        while anyio.current_time() < until:
            await anyio.sleep(SAMPLE_SECONDS)
            records = self.job_store.workers
            used = sum(
                self.job_store.used_resources(worker_id).processors
                for worker_id in records
            )
            total = sum(one.capacity.processors for one in records.values())
            reserved = self._dispatcher._last_plan.reserved_workers
            self._busy_shares.append(used / total)
            self._reserved_shares.append(len(reserved) / len(records))

    def _add_workers(self) -> None:
        for number in range(self.load.workers):
            worker_id = f'w{number}'
            record = WorkerRecord(
                worker_id,
                f'{worker_id}:1',
                'svc',
                'a',
                f'r{number // self.load.rack_size}',
                ('k', f'r{number // self.load.rack_size}'),
                self.load.cores * 1000,
                self.load.memory,
                0,
                1,
            )
            speed = self.load.speeds[number % len(self.load.speeds)]
            self.fleet.workers[worker_id] = LoadWorker(record, speed)

    async def _drain(self, at: float, share: float) -> None:
        """Drains a share of the workers, which leave some seconds later."""
        assert self._dispatcher is not None
        await anyio.sleep_until(at)
        names = list(self.fleet.workers)
        leaving = names[:: max(1, round(1 / share))]
        for name in leaving:
            worker = self.fleet.workers[name]
            worker.record = worker.record.as_draining()
            await self._dispatcher.workers.handle_heartbeat(
                worker.record, worker.clock
            )
        await anyio.sleep(DRAIN_SECONDS)
        for name in leaving:
            self.fleet.remove(name)
            await self._dispatcher.workers.handle_departure(name, 0)

    async def _submit(self, job: GeneratedJob) -> None:
        """Submits a job, again after each refusal until it gives up."""
        assert self._dispatcher is not None
        queue = job.load_class.queue
        for _ in range(1 + MAX_RETRIES):
            try:
                self._dispatcher.admission.check(
                    job.job_id, queue, job.spec, job.tenant
                )
            except (OverloadedError, OverQuotaError) as error:
                self._refused_at_first.add(job.job_id)
                seconds = int(error.retry_after_seconds)
                self._refusals[queue.name, seconds] += 1
                await anyio.sleep(seconds)
                continue
            accepted = changes.accept(
                job.job_id,
                queue.name,
                job.spec,
                self._wall_time(),
                job.tenant,
            )
            await self._commit([accepted])
            return

    def _wall_time(self) -> float:
        return START_WALL_TIME + anyio.current_time()

    async def _commit(self, batch: list[changes.Change]) -> list[object]:
        await anyio.sleep(COMMIT_SECONDS)
        return self._apply(batch)

    def _apply(self, batch: list[changes.Change]) -> list[object]:
        self._index += 1
        body = changes.encode_changes(batch)
        return self.job_store.apply(
            LogEntry(self._index, 1, changes.CHANGES_KIND, body)
        )

    def _report(self, started_at: float, took: float) -> LoadReport:
        by_class = dict(self._class_reports(started_at))
        return LoadReport(
            by_class,
            dict(self._tenant_reports(started_at)),
            self.stops,
            self.preemptors,
            self.fleet.starts,
            self.fleet.ended,
            self.fleet.worked_core_seconds,
            self.fleet.lost,
            self.rounds,
            self.round_seconds,
            took,
            self._charge.charged if self._charge else 0,
            statistics.mean(self._busy_shares),
            statistics.mean(self._reserved_shares),
            self._refusals,
            frozenset(self._refused_at_first),
            self._results,
            self._errors,
            dict(self._slow_shares()),
        )

    def _slow_shares(self) -> Iterable[tuple[str, float]]:
        starts = self.fleet.class_starts
        slowest = min(self.load.speeds)
        for load_class in self.load.classes:
            name = load_class.queue.name
            total = sum(starts[name, speed] for speed in set(self.load.speeds))
            yield name, starts[name, slowest] / max(1, total)

    def _class_reports(
        self, started_at: float
    ) -> Iterable[tuple[str, ClassReport]]:
        for load_class in self.load.classes:
            jobs = [
                job
                for job in self.jobs.values()
                if job.load_class is load_class
            ]
            jobs.sort(key=lambda job: job.core_seconds)
            name = load_class.queue.name
            yield name, self._report_jobs(jobs, started_at)
            widest = jobs[len(jobs) * 4 // 5 :]
            yield f'{name} wide', self._report_jobs(widest, started_at)
            largest = jobs[len(jobs) * 9 // 10 :]
            yield f'{name} top', self._report_jobs(largest, started_at)

    def _tenant_reports(
        self, started_at: float
    ) -> Iterable[tuple[str, ClassReport]]:
        for tenant in self.load.tenants:
            name = tenant.account.name
            jobs = [job for job in self.jobs.values() if job.tenant == name]
            yield name, self._report_jobs(jobs, started_at)

    def _report_jobs(
        self, jobs: list[GeneratedJob], started_at: float
    ) -> ClassReport:
        report = ClassReport()
        for job in jobs:
            report.offered += 1
            report.value += self._value_of(job)
            first = self.fleet.first_starts.get(job.job_id)
            submitted_at = started_at + job.submitted_at
            if first is not None:
                report.waits.append(first - submitted_at)
            report.retried += job.job_id in self._refused_at_first
            result = self._result_of(job, submitted_at)
            self._results[job.job_id] = result
            report.earned += EARNED_SHARES.get(result, 0) * self._value_of(job)
            name = result.replace(' ', '_')
            setattr(report, name, getattr(report, name) + 1)
        return report

    def _value_of(self, job: GeneratedJob) -> float:
        mean = self._mean_work[job.load_class.queue.name]
        worth = job.load_class.worth
        return worth * job_value(job.core_seconds, mean)

    def _result_of(self, job: GeneratedJob, submitted_at: float) -> str:
        known = self.job_store.jobs.get(job.job_id)
        if known is None:
            return 'refused'
        if known.state is JobState.failed:
            return 'failed'
        seconds = known.ended_at - START_WALL_TIME - submitted_at
        if known.state is not JobState.completed:
            return 'too late'
        if seconds <= job.objective_seconds:
            return 'in time'
        if seconds <= LATE_FACTOR * job.objective_seconds:
            return 'late'
        return 'too late'


def _mean_work(jobs: Iterable[GeneratedJob], load_class: LoadClass) -> float:
    works = [job.core_seconds for job in jobs if job.load_class is load_class]
    return sum(works) / max(1, len(works))


def play(
    load: Load, seed: int = 1, speed: float = 0, *, admission: bool = True
) -> LoadReport:
    """Plays a load and returns what became of it."""

    async def main() -> LoadReport:
        return await LoadPlayer(load, seed, speed, admission).run()

    report: LoadReport = run_with_mock_clock(main)
    return report
