"""Accounts of the runs of each queue: ends, stops and processor time."""

from collections import Counter
from dataclasses import dataclass, field

from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun
from mulberryhitch.jobs.model import Resources
from mulberryhitch.jobs.state import JobState, RunOutcome

MILLICORES_PER_CORE = 1000


@dataclass(slots=True)
class QueueAccount:
    """What happened to the runs of a queue since the last report.

    Attributes:
        started: Runs that were granted.
        ended: Runs that ended, by outcome.
        stopped: Runs that were told to stop, by reason.
        jobs: Jobs that ended, by state.
        useful: Core-seconds of runs that were done.
        lost: Core-seconds of runs that ended otherwise without a checkpoint.
        stopping: Core-seconds between the order to stop and the end.
        preempted: Core-seconds that preemptions lose, by their estimate.
    """

    started: int = 0
    ended: Counter[str] = field(default_factory=Counter)
    stopped: Counter[str] = field(default_factory=Counter)
    jobs: Counter[str] = field(default_factory=Counter)
    useful: float = 0
    lost: float = 0
    stopping: float = 0
    preempted: float = 0


class RunAccounting:
    """Collects the accounts of a leader's term."""

    def __init__(self) -> None:
        """Initialises empty accounts."""
        self._accounts: dict[str, QueueAccount] = {}

    def take(self) -> dict[str, QueueAccount]:
        """Returns the accounts since the last call, by queue name."""
        accounts = self._accounts
        self._accounts = {}
        return accounts

    def record_start(self, queue_name: str) -> None:
        """Records that a run was granted."""
        self._account(queue_name).started += 1

    def record_stop(
        self, queue_name: str, reason: str, lost: float = 0
    ) -> None:
        """Records that a run was told to stop.

        Args:
            queue_name: Queue of the run's job.
            reason: Why it was stopped.
            lost: Core-seconds that a preemption loses.
        """
        account = self._account(queue_name)
        account.stopped[reason] += 1
        account.preempted += lost

    def record_job(self, queue_name: str, state: JobState) -> None:
        """Records that a job has ended."""
        self._account(queue_name).jobs[state.value] += 1

    def record_end(
        self,
        queue_name: str,
        outcome: RunOutcome,
        resources: Resources,
        tracked: TrackedRun | None,
        checkpoint: str,
        now: float,
    ) -> None:
        """Records the end of a run and the processor time that it took.

        Args:
            queue_name: Queue of the run's job.
            outcome: How it ended.
            resources: Resources that it took.
            tracked: The leader's view of it; None if there is none.
            checkpoint: Where its next run resumes; empty for the start.
            now: Seconds on the local clock.
        """
        account = self._account(queue_name)
        account.ended[outcome.value] += 1
        if tracked is None or not tracked.confirmed_at:
            return
        cores = resources.processors / MILLICORES_PER_CORE
        worked_until = tracked.stopping_at or now
        core_seconds = cores * max(0, worked_until - tracked.confirmed_at)
        account.stopping += cores * (now - worked_until)
        if outcome is RunOutcome.done:
            account.useful += core_seconds
        elif not checkpoint:
            account.lost += core_seconds

    def _account(self, queue_name: str) -> QueueAccount:
        return self._accounts.setdefault(queue_name, QueueAccount())
