"""Periodic report of a leader's term: backlog, ends and load.

Lines about single runs exceed the log's budget under load. The report has a
bounded number of lines, so it shows on busy days too where time goes.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field

import anyio

from mulberryhitch.dispatch.permits.manager import PermitManager
from mulberryhitch.dispatch.placement.plans import Plan
from mulberryhitch.dispatch.reports.accounting import (
    MILLICORES_PER_CORE,
    QueueAccount,
)
from mulberryhitch.dispatch.reports.tenant_report import report_tenants
from mulberryhitch.dispatch.term import Term
from mulberryhitch.jobs.model import StepKey
from mulberryhitch.jobs.store import JobStore

_INTERVAL_SECONDS = 1.0
_SPEEDS_SECONDS = 10.0
# Rounds may take place fifty times a second, and reasons cost as much as one.
_REASONS_SECONDS = 0.2
_MAX_QUEUES = 20
_MAX_TENANTS = 20


@dataclass(slots=True)
class QueueBacklog:
    """The work of a queue that is accepted and not done.

    Attributes:
        steps: Number of steps with waiting tasks.
        oldest: Age of the oldest job of such a step, in seconds.
        waiting: Number of waiting tasks.
        running: Number of open runs.
        cores: Processors that these runs take.
        blocked: Waiting tasks that the last round could not place, by reason.
    """

    steps: int = 0
    oldest: float = 0
    waiting: int = 0
    running: int = 0
    cores: float = 0
    blocked: Counter[str] = field(default_factory=Counter)


class StatusReporter:
    """Logs the state of a leader's term at a fixed interval.

    Args:
        term: The leader's term.
        permit_manager: Its clients are counted.
    """

    def __init__(self, term: Term, permit_manager: PermitManager) -> None:
        """Initialises the reporter; nothing has been observed yet."""
        self._term = term
        self._permit_manager = permit_manager
        self._reserved_workers = 0
        self._tenants_over: frozenset[str] = frozenset()
        self._blocked: Counter[tuple[str, str]] = Counter()
        self._capped: Counter[str] = Counter()
        self._rounds = 0
        self._round_seconds: float = 0
        self._longest_round: float = 0
        self._explained_at = -_REASONS_SECONDS
        self._speeds_due: float = 0

    @property
    def wants_reasons(self) -> bool:
        """Whether the next round should find out what each step waits for."""
        return anyio.current_time() - self._explained_at >= _REASONS_SECONDS

    def record_round(self, plan: Plan, seconds: float) -> None:
        """Records a placement round and how long it took."""
        self._reserved_workers = len(plan.reserved_workers)
        self._capped = plan.capped
        self._tenants_over = plan.tenants_over
        if self.wants_reasons:
            self._blocked = plan.blocked
            self._explained_at = anyio.current_time()
        self._rounds += 1
        self._round_seconds += seconds
        self._longest_round = max(self._longest_round, seconds)

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            due = anyio.current_time() + _INTERVAL_SECONDS
            await anyio.sleep_until(due)
            self._report_term(due)
            self._report_queues()
            report_tenants(self._term.job_store, self._capped, self._term.log)
            if due >= self._speeds_due:
                self._speeds_due = due + _SPEEDS_SECONDS
                self._report_speeds()

    def _report_speeds(self) -> None:
        speeds = sorted(
            worker.speed for worker in self._term.tracked_workers.values()
        )
        if speeds:
            last = len(speeds) - 1
            self._term.log.summary(
                'workers.speeds',
                known=self._term.speeds.known,
                classes=len(set(speeds)),
                slowest=round(speeds[0], 2),
                quarter=round(speeds[last // 4], 2),
                median=round(speeds[last // 2], 2),
                fastest=round(speeds[-1], 2),
            )

    def _report_term(self, due: float) -> None:
        now = anyio.current_time()
        workers = list(self._term.tracked_workers.values())
        usable = [worker for worker in workers if worker.usable(now)]
        free = sum(
            worker.capacity.processors
            - self._term.job_store.used_resources(
                worker.record.worker_id
            ).processors
            for worker in usable
        )
        self._term.log.summary(
            'dispatch.status',
            event_loop_lag=round(now - due, 3),
            rounds=self._rounds,
            round_seconds=round(self._round_seconds, 3),
            longest_round=round(self._longest_round, 3),
            workers=len(workers),
            usable=len(usable),
            free_cores=free // MILLICORES_PER_CORE,
            reserved_workers=self._reserved_workers,
            tenants_over=sorted(self._tenants_over)[:_MAX_TENANTS],
            idle_permit_clients=self._permit_manager.idle_clients(),
            permit_clients=self._permit_manager.client_count,
        )
        self._rounds = 0
        self._round_seconds = 0
        self._longest_round = 0

    def _report_queues(self) -> None:
        accounts = self._term.accounting.take()
        client_seconds = self._permit_manager.take_client_seconds()
        backlogs = _backlogs(
            self._term.job_store,
            self._blocked,
            self._term.wall_time(),
        )
        for name in _busiest_queues(accounts.keys() | backlogs, backlogs):
            backlog = backlogs.get(name, QueueBacklog())
            account = accounts.get(name, QueueAccount())
            self._term.log.summary(
                'queue.status',
                queue=name,
                steps=backlog.steps,
                oldest=round(backlog.oldest, 1),
                waiting=backlog.waiting,
                blocked=dict(backlog.blocked),
                running=backlog.running,
                cores=round(backlog.cores),
                started=account.started,
                ended=dict(account.ended),
                stopped=dict(account.stopped),
                ended_jobs=dict(account.jobs),
                useful=round(account.useful),
                lost=round(account.lost),
                stopping=round(account.stopping),
                preempted=round(account.preempted, 1),
                permit_client_seconds=round(client_seconds.get(name, 0), 2),
            )


def _backlogs(
    job_store: JobStore, blocked: Counter[tuple[str, str]], wall_time: float
) -> dict[str, QueueBacklog]:
    """Returns the backlog of each queue that has one, by queue name."""
    found: dict[str, QueueBacklog] = {}
    for execution in job_store.ready_steps.values():
        job = job_store.jobs[execution.key.job_id]
        backlog = found.setdefault(job.queue.name, QueueBacklog())
        backlog.steps += 1
        backlog.waiting += len(execution.waiting_units)
        age = wall_time - job.due_at(execution.key.occurrence)
        backlog.oldest = max(backlog.oldest, age)
    for name, processors in _open_runs(job_store):
        backlog = found.setdefault(name, QueueBacklog())
        backlog.running += 1
        backlog.cores += processors / MILLICORES_PER_CORE
    for (queue_name, reason), tasks in blocked.items():
        backlog = found.setdefault(queue_name, QueueBacklog())
        backlog.blocked[reason] += tasks
    return found


def _open_runs(job_store: JobStore) -> Iterator[tuple[str, int]]:
    """Yields the queue name and the processors of each open run."""
    for runs in job_store.open_runs.values():
        for task in runs:
            execution = job_store.step_execution(StepKey(*task[:3]))
            if execution is not None:
                queue = job_store.jobs[task.job_id].queue
                yield queue.name, execution.resources.processors


def _busiest_queues(
    names: set[str], backlogs: dict[str, QueueBacklog]
) -> list[str]:
    """Returns the queues to report, those with the most waiting tasks first."""
    empty = QueueBacklog()
    ordered = sorted(
        names, key=lambda name: (-backlogs.get(name, empty).waiting, name)
    )
    return ordered[:_MAX_QUEUES]
