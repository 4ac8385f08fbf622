"""The leader's view of a worker: its clock, its lease and its runs."""

import math
import statistics
from collections import deque
from dataclasses import dataclass, field

import anyio

from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.runs.worker_speeds import USUAL_SPEED
from mulberryhitch.jobs.model import Resources, TaskKey, WorkerRecord
from mulberryhitch.jobs.state import StepExecution

_RECENT_ENDS = 12
_QUARANTINE_FAILURES = 4
_QUARANTINE_SECONDS = 3.0
_REFUSAL_PAUSE_SECONDS = 0.3
_SLOW_RATIO = 3.0
_SLOW_RATIO_SINGLE_STEP = 6.0
_SLOW_PAUSE_SECONDS = 1.5
_MIN_RUN_SECONDS = 0.4
_STALLED_SECONDS = 2.5
# A run that is this late against its projection may have stalled.
_OVERDUE_SECONDS = 0.5
# Longer than a worker takes for a heartbeat and a second attempt.
_SILENT_SECONDS = 3.0
# Long enough for a next run, whose polls acknowledge the ends as well.
_ACKNOWLEDGEMENT_DELAY_SECONDS = 1.0
_WHOLE_PERCENT = 100


@dataclass(slots=True)
class TrackedRun:
    """State of a run whose end is not yet committed.

    Attributes:
        confirmed: Whether the worker has confirmed that it has the run.
        confirmed_at: When it last did, seconds on the local clock.
        uncertain: Whether a start got no answer and may still take effect.
        stop_acknowledged_at: When the worker acknowledged the stop, seconds on
            the local clock; zero if it has not.
        stopping_at: When a stop was first sent, seconds on the local clock;
            zero if none was.
        progressed_at: When the percentage last rose, seconds on the local
            clock.
        first_percent: The first percentage that was listed; -1 before.
        first_percent_at: When it was, seconds on the local clock.
        inherited: Whether an earlier leader granted the run.
        resumed: Whether it started from a checkpoint.
        estimate_seconds: Estimated run time; zero if unknown.
        execution: The step that it belongs to; None if unknown.
    """

    run: int
    confirmed: bool = False
    confirmed_at: float = 0
    uncertain: bool = False
    stop_acknowledged_at: float = 0
    stopping_at: float = 0
    percent: int = 0
    progressed_at: float = 0
    first_percent: int = -1
    first_percent_at: float = 0
    checkpoint: str = ''
    inherited: bool = False
    resumed: bool = False
    estimate_seconds: float = 0
    execution: StepExecution | None = None

    @property
    def stopping(self) -> bool:
        """Whether a stop is being sent, or has been."""
        return self.stopping_at > 0

    @property
    def expected_seconds(self) -> float:
        """The estimated run time, or the shortest that can be judged."""
        return max(self.estimate_seconds, _MIN_RUN_SECONDS)

    def projected_seconds(self, now: float) -> float:
        """Returns the run time at its pace so far; zero if unknown."""
        passed = now - self.confirmed_at
        partial = self.inherited or self.resumed
        known = self.confirmed and not partial and self.percent
        if not known or passed < _MIN_RUN_SECONDS:
            return 0
        return passed * (_WHOLE_PERCENT / self.percent)

    def projected_end(self) -> float:
        """Returns when the run will end at its pace so far; infinite if unknown.

        In seconds on the local clock.
        """
        risen = self.percent - self.first_percent
        if self.first_percent < 0 or risen <= 0:
            return math.inf
        pace = (self.progressed_at - self.first_percent_at) / risen
        return self.progressed_at + pace * (_WHOLE_PERCENT - self.percent)

    def expected_end(self, now: float) -> float:
        """Returns when the run should end; infinite if nothing tells.

        By its pace so far, or else by its estimate. A run that lasts, that is
        late against this or that makes no more progress has no expected end.
        In seconds on the local clock.
        """
        if self.execution is None or self.execution.step.long_running:
            return math.inf
        ends_at = self.projected_end()
        if ends_at == math.inf:
            ends_at = self._estimated_end(now)
        elif self._misses_progress(now):
            return math.inf
        return ends_at if ends_at >= now - _OVERDUE_SECONDS else math.inf

    def stalled(self, now: float) -> bool:
        """Whether the run has made no progress for too long."""
        since = max(self.progressed_at, self.confirmed_at)
        return self.confirmed and now - since > _STALLED_SECONDS

    def measured_seconds(self, now: float) -> float:
        """Returns how long a run that is done just now took; zero if unknown.

        It is unknown if a list confirmed the run before its start was
        answered, and if the run did less than its whole work.
        """
        partial = self.inherited or self.resumed or self.stopping
        late = self.confirmed_at == self.first_percent_at
        if partial or late or not self.confirmed or self.stalled(now):
            return 0
        return now - self.confirmed_at

    def ended_if_unlisted(self, requested_at: float) -> bool:
        """Whether the run has ended if a list requested then omits it."""
        if 0 < self.stop_acknowledged_at < requested_at:
            return True
        acknowledged = self.confirmed and self.confirmed_at < requested_at
        return acknowledged and not self.uncertain

    def confirm(self, now: float) -> None:
        """Records that the worker has just confirmed that it has the run.

        Lists requested earlier do not prove the run's end, even if they arrive
        later.
        """
        self.confirmed = True
        self.confirmed_at = now
        self.uncertain = False

    def update_progress(
        self, percent: int, checkpoint: str, now: float
    ) -> None:
        """Records the progress and checkpoint from a worker's list."""
        if not self.confirmed:
            self.confirm(now)
        self.checkpoint = checkpoint or self.checkpoint
        if self.first_percent < 0:
            self.first_percent = percent
            self.first_percent_at = now
        if percent > self.percent:
            self.percent = percent
            self.progressed_at = now

    def _estimated_end(self, now: float) -> float:
        if not self.estimate_seconds:
            return math.inf
        if self.first_percent >= 0:
            left = (_WHOLE_PERCENT - self.first_percent) / _WHOLE_PERCENT
            return self.first_percent_at + left * self.estimate_seconds
        began_at = self.confirmed_at if self.confirmed else now
        return began_at + self.estimate_seconds

    def _misses_progress(self, now: float) -> bool:
        """Whether the next percent should have been listed long ago."""
        risen = self.percent - self.first_percent
        pace = (self.progressed_at - self.first_percent_at) / risen
        return now - self.progressed_at > 2 * pace + _STALLED_SECONDS


@dataclass(slots=True)
class TrackedWorker:
    """State of a worker during a leader's term.

    Attributes:
        began_at: When this leader began to track it or its current
            incarnation, seconds on the local clock.
        listed: Whether it has listed its runs to this leader.
        acknowledged_end: Number of the last end that is committed.
        acknowledged_at: When the last end was committed, seconds on the local
            clock.
        reported_end: Number of the last end that the worker was told is
            committed.
        clock: Last known time on the worker's clock, milliseconds.
        clock_at: When that was recorded, seconds on the local clock.
        last_contact_at: When it last answered or sent a heartbeat, seconds on
            the local clock.
        lease_granted_until: Latest end of any lease on the worker, on its
            clock, milliseconds; meaningless until it has listed its runs.
        missed_polls: Polls that failed since the last successful one.
        numbering_uncertain: Whether the numbers of ends may have restarted;
            polls then acknowledge none.
        is_record_current: Whether the size and labels are those of the current
            incarnation.
        removed: Whether the worker was removed from the cluster.
        quarantined_until: No run is placed on it until then, seconds on the
            local clock; likewise `refused_until` and `slow_until`.
        speed: Relative speed; see `WorkerSpeeds`.
        missed_at: When a poll last failed, seconds on the local clock.
        capacity: Total resources of the worker.
    """

    record: WorkerRecord
    options: DispatchOptions
    began_at: float
    listed: bool = False
    acknowledged_end: int = 0
    acknowledged_at: float = 0
    reported_end: int = 0
    clock: int = 0
    clock_at: float = 0
    last_contact_at: float = 0
    lease_granted_until: int = 0
    missed_polls: int = 0
    numbering_uncertain: bool = True
    is_record_current: bool = True
    removed: bool = False
    quarantined_until: float = 0
    refused_until: float = 0
    slow_until: float = 0
    speed: float = USUAL_SPEED
    missed_at: float = -math.inf
    tracked_runs: dict[TaskKey, TrackedRun] = field(default_factory=dict)
    recent_failures: deque[bool] = field(
        default_factory=lambda: deque(maxlen=_RECENT_ENDS)
    )
    wake_event: anyio.Event = field(default_factory=anyio.Event)
    capacity: Resources = field(init=False)

    def __post_init__(self) -> None:
        """Sets the total resources from the record."""
        self.capacity = self.record.capacity

    def seconds_until_poll(self, now: float) -> float:
        """Returns when its list is needed; zero if it is needed now.

        An idle worker is polled only if it has been silent for some time, or
        does not know yet that its ends are committed.
        """
        if self.tracked_runs or not self.listed or self.missed_polls:
            return 0
        due_at = self.last_contact_at + _SILENT_SECONDS
        if self.reported_end < self.acknowledged_end:
            report_at = self.acknowledged_at + _ACKNOWLEDGEMENT_DELAY_SECONDS
            due_at = min(due_at, report_at)
        return max(0, due_at - now)

    def acknowledge_end(self, number: int, now: float) -> None:
        """Records that the ends up to a number are committed."""
        if number > self.acknowledged_end:
            self.acknowledged_end = number
            self.acknowledged_at = now

    def update_record(self, record: WorkerRecord) -> None:
        """Replaces the record, and the total resources with it."""
        self.record = record
        self.capacity = record.capacity

    def record_contact(self, clock: int, now: float) -> None:
        """Records a contact, and the worker's clock unless it is outdated.

        Args:
            clock: Reading of the clock of the tracked incarnation; zero if
                unknown.
            now: Time on the local clock, not before the reading was received:
                only so is :meth:`earliest_clock` a lower bound.
        """
        self.last_contact_at = now
        newer = not self.clock or clock >= self.earliest_clock(now)
        if clock and newer:
            self.clock = clock
            self.clock_at = now

    def earliest_clock(self, now: float) -> int:
        """Returns a lower bound of the worker's clock, milliseconds."""
        passed = (now - self.clock_at) * (1 - self.options.clock_drift)
        return int(self.clock + passed * MILLISECONDS_PER_SECOND)

    def extend_lease(self, now: float) -> int:
        """Extends the lease and returns its end on the worker's clock.

        The end is in milliseconds. If the clock is unknown, returns zero and
        extends nothing.
        """
        if not self.clock:
            return 0
        ahead = self.options.lease_seconds * MILLISECONDS_PER_SECOND
        until = self.earliest_clock(now) + int(ahead)
        self.lease_granted_until = max(self.lease_granted_until, until)
        return until

    def lease_expired(self, now: float) -> bool:
        """Whether the leases of all runs ever started on it have expired."""
        margin = self.options.lease_margin_seconds
        longest = self.options.maximum_lease_seconds
        if not self.listed:
            longest = longest / (1 - self.options.clock_drift)
            return now > self.began_at + longest + margin
        until = self.lease_granted_until + margin * MILLISECONDS_PER_SECOND
        return self.earliest_clock(now) > until

    def describe_lease(self, now: float) -> dict[str, float]:
        """Returns the fields of the log that explain an expired lease."""
        return {
            'lease_until': self.lease_granted_until,
            'earliest_clock': self.earliest_clock(now),
            'clock_age': round(now - self.clock_at, 3),
        }

    def record_first_listing(self, clock: int) -> None:
        """Records that the worker has listed its runs for the first time.

        Leases from earlier leaders may last for up to the maximum from then.
        """
        longest = self.options.maximum_lease_seconds * MILLISECONDS_PER_SECOND
        self.listed = True
        self.lease_granted_until = max(
            self.lease_granted_until, clock + int(longest)
        )

    def record_restart(self, record: WorkerRecord, now: float) -> None:
        """Records that the worker was restarted."""
        self.update_record(record)
        self.acknowledged_end = 0
        self.reported_end = 0
        self.clock = 0
        self.lease_granted_until = 0
        self.numbering_uncertain = True
        self.speed = USUAL_SPEED
        self.listed = False
        self.began_at = now
        self.wake_watcher()

    def record_end(self, failed: bool, now: float) -> None:
        """Records the end of a run, and quarantines a failing worker.

        A worker is quarantined if at least four, and at least three quarters,
        of its recent runs have failed.
        """
        self.recent_failures.append(failed)
        failures = sum(self.recent_failures)
        if (
            failures >= _QUARANTINE_FAILURES
            and failures * 4 >= len(self.recent_failures) * 3
        ):
            self.quarantined_until = now + _QUARANTINE_SECONDS
            self.recent_failures.clear()

    def usable(self, now: float) -> bool:
        """Whether new runs may be placed on the worker."""
        healthy = now >= max(
            self.quarantined_until, self.refused_until, self.slow_until
        )
        leaving = self.removed or self.record.draining
        is_current = (
            self.listed and self.is_record_current and self.missed_polls == 0
        )
        return is_current and healthy and not leaving

    def record_slowdowns(self, ratios: list[float], now: float) -> bool:
        """Suspends placement on the worker while its runs are slow.

        Args:
            ratios: Projected run time over the expected one, for each step.
            now: Seconds on the local clock.

        Returns:
            Whether the worker became slow with this call.
        """
        if not ratios:
            return False
        limit = _SLOW_RATIO if len(ratios) > 1 else _SLOW_RATIO_SINGLE_STEP
        if statistics.median_low(ratios) < limit:
            return False
        was_healthy = self.slow_until < now
        self.slow_until = now + _SLOW_PAUSE_SECONDS
        return was_healthy

    def record_refusal(self, now: float) -> None:
        """Suspends placement after the worker refused a valid start."""
        self.refused_until = now + _REFUSAL_PAUSE_SECONDS

    def wake_watcher(self) -> None:
        """Wakes the task that watches the worker."""
        self.wake_event.set()
        self.wake_event = anyio.Event()
