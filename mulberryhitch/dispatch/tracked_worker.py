"""The leader's view of one worker: its clock, its lease, its runs."""

import statistics
from collections import deque
from dataclasses import dataclass, field

import anyio

from mulberryhitch.constants import MILLISECONDS_PER_SECOND
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.jobs.model import Room, TaskKey, WorkerRecord

_RECENT_ENDS = 12
_QUARANTINE_FAILURES = 4
_QUARANTINE_SECONDS = 3.0
_REFUSAL_PAUSE_SECONDS = 0.3
_SLOW_RATIO = 3.0
_SLOW_RATIO_SINGLE_RUN = 6.0
_SLOW_PAUSE_SECONDS = 1.5
_MINIMUM_PACE_SECONDS = 0.4
_STALLED_SECONDS = 2.5
_WHOLE_PERCENT = 100


@dataclass(slots=True)
class TrackedRun:
    """What the leader knows of a run that it holds open.

    Attributes:
        confirmed: The worker said that it has it.
        uncertain: A start got no answer and may still be carried out.
        blocked_at: When the worker acknowledged its stop; zero if not.
        stopping: A stop is being sent.
        moved_at: When its percent last rose.
        inherited: An earlier leader's grant.
        estimate_seconds: How long it was said to take; zero if unknown.
    """

    run: int
    confirmed: bool = False
    confirmed_at: float = 0
    uncertain: bool = False
    stop_acknowledged_at: float = 0
    stopping: bool = False
    percent: int = 0
    progressed_at: float = 0
    checkpoint: str = ''
    inherited: bool = False
    estimate_seconds: float = 0

    def slowdown(self, now: float) -> float:
        """How many times its estimate it will take; zero if unknown."""
        passed = now - self.confirmed_at
        known = self.confirmed and not self.inherited and self.percent
        if not known or passed < _MINIMUM_PACE_SECONDS:
            return 0
        return (
            passed
            / max(self.estimate_seconds, _MINIMUM_PACE_SECONDS)
            * (_WHOLE_PERCENT / self.percent)
        )

    def stalled(self, now: float) -> bool:
        """Whether it has made no progress for too long."""
        since = max(self.progressed_at, self.confirmed_at)
        return self.confirmed and now - since > _STALLED_SECONDS

    def ended_if_unlisted(self, requested_at: float) -> bool:
        """Whether a list asked for then would show it, were it still on."""
        if 0 < self.stop_acknowledged_at < requested_at:
            return True
        acknowledged = self.confirmed and self.confirmed_at < requested_at
        return acknowledged and not self.uncertain

    def confirm(self, now: float) -> None:
        """Notes that the worker has it, as it answered or listed now.

        Lists that were asked for before, and come later, do not count.
        """
        self.confirmed = True
        self.confirmed_at = now
        self.uncertain = False

    def update_progress(
        self, percent: int, checkpoint: str, now: float
    ) -> None:
        """Notes what a list tells of it."""
        if not self.confirmed:
            self.confirm(now)
        self.checkpoint = checkpoint or self.checkpoint
        if percent > self.percent:
            self.percent = percent
            self.progressed_at = now


@dataclass(slots=True)
class TrackedWorker:
    """One worker during one leader's term.

    Attributes:
        known: It has listed its runs to this leader.
        seen: The number of the last end that is committed.
        heard_at: When it last answered or sent a heartbeat.
        granted_until: No lease there reaches further, on its clock, ms;
            nothing while it is not known.
        unsure: Ends may have been numbered anew; none may be forgotten.
        described: Its room and labels are those of this life.
        misses: Looks without an answer since the last one.
        room: All that it has.
    """

    record: WorkerRecord
    options: DispatchOptions
    began_at: float
    listed: bool = False
    acknowledged_end: int = 0
    clock: int = 0
    clock_at: float = 0
    last_contact_at: float = 0
    lease_granted_until: int = 0
    missed_polls: int = 0
    numbering_uncertain: bool = True
    record_current: bool = True
    removed: bool = False
    quarantined_until: float = 0
    refused_until: float = 0
    slow_until: float = 0
    tracked_runs: dict[TaskKey, TrackedRun] = field(default_factory=dict)
    recent_failures: deque[bool] = field(
        default_factory=lambda: deque(maxlen=_RECENT_ENDS)
    )
    wake_event: anyio.Event = field(default_factory=anyio.Event)
    room: Room = field(init=False)

    def __post_init__(self) -> None:
        """Takes the room from the record."""
        self.room = self.record.room

    def update_record(self, record: WorkerRecord) -> None:
        """Takes what the worker said of itself."""
        self.record = record
        self.room = record.room

    def record_contact(self, clock: int, now: float) -> None:
        """Notes the worker's clock, as of now or a little before."""
        self.last_contact_at = now
        newer = not self.clock or clock >= self.earliest_clock(now)
        if clock and newer:
            self.clock = clock
            self.clock_at = now

    def earliest_clock(self, now: float) -> int:
        """What the worker's clock shows at least."""
        passed = (now - self.clock_at) * (1 - self.options.clock_drift)
        return int(self.clock + passed * MILLISECONDS_PER_SECOND)

    def extend_lease(self, now: float) -> int:
        """Until when a renewal sent now should reach, on its clock."""
        if not self.clock:
            return 0
        ahead = self.options.lease_seconds * MILLISECONDS_PER_SECOND
        until = self.earliest_clock(now) + int(ahead)
        self.lease_granted_until = max(self.lease_granted_until, until)
        return until

    def lease_expired(self, now: float) -> bool:
        """Whether nothing that was ever started there can still run."""
        margin = self.options.lease_margin_seconds
        longest = self.options.maximum_lease_seconds
        if not self.listed:
            longest = longest / (1 - self.options.clock_drift)
            return now > self.began_at + longest + margin
        until = self.lease_granted_until + margin * MILLISECONDS_PER_SECOND
        return self.earliest_clock(now) > until

    def record_first_listing(self, clock: int) -> None:
        """Notes the first list: earlier leaders' leases may go on."""
        longest = self.options.maximum_lease_seconds * MILLISECONDS_PER_SECOND
        self.listed = True
        self.lease_granted_until = max(
            self.lease_granted_until, clock + int(longest)
        )

    def record_restart(self, record: WorkerRecord, now: float) -> None:
        """Notes that the worker was started again."""
        self.update_record(record)
        self.acknowledged_end = 0
        self.clock = 0
        self.lease_granted_until = 0
        self.numbering_uncertain = True
        self.listed = False
        self.began_at = now
        self.wake_watcher()

    def record_end(self, failed: bool, now: float) -> None:
        """Quarantines a worker on which nearly everything fails."""
        self.recent_failures.append(failed)
        failures = sum(self.recent_failures)
        if (
            failures >= _QUARANTINE_FAILURES
            and failures * 4 >= len(self.recent_failures) * 3
        ):
            self.quarantined_until = now + _QUARANTINE_SECONDS
            self.recent_failures.clear()

    def usable(self, now: float) -> bool:
        """Whether new runs may be placed there."""
        sound = now >= max(
            self.quarantined_until, self.refused_until, self.slow_until
        )
        leaving = self.removed or self.record.draining
        certain = self.listed and self.record_current and self.missed_polls == 0
        return certain and sound and not leaving

    def record_slowdowns(self, ratios: list[float], now: float) -> bool:
        """Keeps new runs away while those there are slow.

        Args:
            ratios: How many times its estimate each run will take.
            now: Seconds on the local clock.

        Returns:
            Whether that is new.
        """
        if not ratios:
            return False
        limit = _SLOW_RATIO if len(ratios) > 1 else _SLOW_RATIO_SINGLE_RUN
        if statistics.median_low(ratios) < limit:
            return False
        was_sound = self.slow_until < now
        self.slow_until = now + _SLOW_PAUSE_SECONDS
        return was_sound

    def record_refusal(self, now: float) -> None:
        """Notes that it did nothing with an order that should have fitted."""
        self.refused_until = now + _REFUSAL_PAUSE_SECONDS

    def wake_watcher(self) -> None:
        """Wakes the task that watches it."""
        self.wake_event.set()
        self.wake_event = anyio.Event()
