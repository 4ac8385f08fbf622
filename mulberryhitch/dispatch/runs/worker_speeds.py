"""Relative speeds of the workers, learned from the run times of their tasks."""

import math
import statistics
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from itertools import chain, repeat

from mulberryhitch.dispatch.runs.speed_classes import split_into_classes
from mulberryhitch.jobs.model import StepKey, TaskKey

USUAL_SPEED = 1.0
# Run times of the tasks of a step differ by about a fifth, so that the mean of
# so many comparisons is off by about a tenth. Classes need larger differences.
_MIN_COMPARISONS = 3
# Standard deviation of a comparison, at least: that of three comparisons may be
# small by chance, and equal workers then seemed to have two speeds.
_MIN_DEVIATION = 0.2
# More would keep a worker that has recovered from a fault slow for longer.
_MAX_COMPARISONS = 32
# With one other worker, it isn't known which of the two is the unusual one: the
# whole difference put on both would swing from one update to the next.
_PAIR_SHARE = 0.5
# A step with more run times is compared before it has ended.
_MAX_PENDING = 64
# Below it, the times of the calls weigh too much.
_MIN_SECONDS = 0.2
# A worker that is thought to be slow may get too little work to show that it
# no longer is.
_REMEMBERED_SECONDS = 120.0


@dataclass(frozen=True, slots=True)
class MeasuredRun:
    """The time of a run that was done.

    Attributes:
        near_data: Whether it ran on the rack of its data, if it has one.
        seconds: From the confirmation of its start to its end.
        step_width: Number of tasks of its step.
    """

    worker_id: str
    near_data: bool
    seconds: float
    step_width: int


@dataclass(slots=True)
class _Measured:
    """What is known of a worker.

    Attributes:
        comparisons: Logarithms of its speed, one for each comparison.
        newest_at: When the last one was made, seconds on the local clock.
        logarithm: Logarithm of its speed as of the last update, relative to the
            median worker.
        mean: Mean of the comparisons.
        standard_error: How far that may be off.
        known: Whether there are enough comparisons.
        changed: Whether there are comparisons since the last update.
    """

    service: str
    newest_at: float = 0
    logarithm: float = 0
    mean: float = 0
    standard_error: float = 0
    known: bool = False
    changed: bool = False
    comparisons: deque[float] = field(
        default_factory=lambda: deque(maxlen=_MAX_COMPARISONS)
    )

    def add(self, comparison: float, now: float) -> None:
        """Adds a comparison."""
        self.comparisons.append(comparison)
        self.newest_at = now
        self.changed = True

    def update(self) -> None:
        """Recomputes the mean, without the highest and lowest quarter."""
        self.known = len(self.comparisons) >= _MIN_COMPARISONS
        if not self.known or not self.changed:
            return
        self.changed = False
        ordered = sorted(self.comparisons)
        count = len(ordered)
        cut = count // 4
        self.mean = statistics.fmean(ordered[cut : count - cut])
        squares = sum((number - self.mean) ** 2 for number in ordered)
        deviation = max(math.sqrt(squares / count), _MIN_DEVIATION)
        self.standard_error = deviation / math.sqrt(count)


class WorkerSpeeds:
    """Speeds of the workers, relative to the median one of their service.

    The run times of a step's tasks are compared with each other once the step
    has ended, when quick and slow runs alike are known. A worker's speed in a
    comparison is the work of the other runs, which is the median of their
    times multiplied by the speeds of their workers, over its own run's time.
    So the submitter's estimates do not matter, and the work of a step may be
    anything.
    """

    def __init__(self) -> None:
        """Initialises the speeds; all workers count as equal."""
        self._pending: dict[StepKey, dict[TaskKey, MeasuredRun]] = {}
        self._workers: dict[str, _Measured] = {}
        self._speeds: dict[str, float] = {}

    @property
    def known(self) -> int:
        """Number of workers whose speed is known."""
        return sum(worker.known for worker in self._workers.values())

    def speed_of(self, worker_id: str) -> float:
        """Returns a worker's speed as of the last update.

        It is the mean of all workers that can't be told apart from it, and 1
        if it is unknown or like the median worker's.
        """
        return self._speeds.get(worker_id, USUAL_SPEED)

    def record(
        self, task: TaskKey, service: str, run: MeasuredRun, now: float
    ) -> None:
        """Records the time of a run.

        Args:
            task: Its task; a second run of it replaces the first.
            service: The service of its worker.
            run: The run.
            now: Seconds on the local clock.
        """
        if run.seconds < _MIN_SECONDS:
            return
        if run.worker_id not in self._workers:
            self._workers[run.worker_id] = _Measured(service)
        key = StepKey(*task[:3])
        pending = self._pending.setdefault(key, {})
        pending[task] = run
        if len(pending) >= min(run.step_width, _MAX_PENDING):
            self.finish_step(key, now)

    def finish_step(self, key: StepKey, now: float) -> None:
        """Compares the runs of a step with each other, and discards them.

        Args:
            key: The step.
            now: Seconds on the local clock.
        """
        runs = self._pending.pop(key, {})
        for near_data in (True, False):
            self._compare(
                [run for run in runs.values() if run.near_data is near_data],
                now,
            )

    def discard_step(self, key: StepKey) -> None:
        """Discards the runs of a step of which the slow ones did not end."""
        self._pending.pop(key, None)

    def forget(self, worker_id: str) -> None:
        """Forgets a worker that has been replaced or has gone."""
        self._workers.pop(worker_id, None)
        self._speeds.pop(worker_id, None)
        for runs in self._pending.values():
            replaced = [
                task for task, run in runs.items() if run.worker_id == worker_id
            ]
            for task in replaced:
                runs.pop(task)

    def update(self, now: float) -> None:
        """Recomputes all speeds from the comparisons made so far.

        Args:
            now: Seconds on the local clock.
        """
        by_service: dict[str, list[tuple[float, str]]] = {}
        for worker_id, worker in tuple(self._workers.items()):
            if worker.known and worker.newest_at < now - _REMEMBERED_SECONDS:
                self.forget(worker_id)
                continue
            worker.update()
            if worker.known:
                row = (worker.mean, worker_id)
                by_service.setdefault(worker.service, []).append(row)
        self._speeds = {}
        for rows in by_service.values():
            self._update_service(sorted(rows))

    def _update_service(self, rows: list[tuple[float, str]]) -> None:
        """Sets the speeds of a service's workers, the slowest first."""
        logarithms = [logarithm for logarithm, _ in rows]
        middle = statistics.median(logarithms)
        workers = [self._workers[worker_id] for _, worker_id in rows]
        for worker in workers:
            # Speeds have no unit: without this, all would drift.
            worker.logarithm = worker.mean - middle
        errors = [worker.standard_error for worker in workers]
        classes = split_into_classes(logarithms, errors)
        usual = statistics.fmean(_class_at(classes, len(rows) // 2))
        speeds = chain.from_iterable(
            repeat(math.exp(statistics.fmean(members) - usual), len(members))
            for members in classes
        )
        self._speeds.update(
            zip((worker_id for _, worker_id in rows), speeds, strict=True)
        )

    def _compare(self, runs: Sequence[MeasuredRun], now: float) -> None:
        """Compares runs of a step that had the same conditions."""
        worker_ids = {run.worker_id for run in runs}
        if len(worker_ids) < 2:
            return
        share = _PAIR_SHARE if len(worker_ids) == 2 else 1
        work = [
            (run.worker_id, math.log(run.seconds) + self._logarithm(run))
            for run in runs
        ]
        for worker_id, own in work:
            worker = self._workers.get(worker_id)
            if worker is not None:
                others = _work_of_others(worker_id, work)
                difference = statistics.median(others) - own
                worker.add(worker.logarithm + difference * share, now)

    def _logarithm(self, run: MeasuredRun) -> float:
        worker = self._workers.get(run.worker_id)
        return worker.logarithm if worker else 0


def _work_of_others(
    worker_id: str, work: Iterable[tuple[str, float]]
) -> list[float]:
    return [amount for other, amount in work if other != worker_id]


def _class_at(classes: list[list[float]], index: int) -> list[float]:
    """Returns the class that has the member at an index of all members."""
    for members in classes:
        if index < len(members):
            return members
        index -= len(members)
    return classes[-1]
