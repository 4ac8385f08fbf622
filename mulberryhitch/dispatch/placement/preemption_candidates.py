"""The runs of each worker that may be preempted, or that free resources soon."""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.placement.gang_holds import Release
from mulberryhitch.dispatch.placement.stop_loss import stop_loss
from mulberryhitch.dispatch.runs.tracked_worker import TrackedRun, TrackedWorker
from mulberryhitch.jobs.model import Resources, TaskKey
from mulberryhitch.jobs.state import StepExecution

# A stop that takes longer is not waited for: nothing tells when it ends.
_STOP_LIMIT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Victim:
    """A run that can be preempted and resumed from its checkpoint.

    Attributes:
        execution: The step that it belongs to.
        ends_at: When it is projected to end, in seconds on the local clock.
        lost: Core-seconds that its stop loses.
    """

    task: TaskKey
    run: int
    execution: StepExecution
    ends_at: float
    lost: float


@dataclass(slots=True)
class WorkerCandidates:
    """The runs of one worker.

    Attributes:
        victims: Runs that may be preempted.
        releasing: Resources held by runs that are being stopped.
        lasting: Resources held by the other runs that do not end.
        ending: When the other runs are projected to end, in seconds on the
            local clock, and their resources.
        releases: When runs are expected to end and starts that are not yet
            committed as well, the first one first, and their resources. What
            has no expected end is left out.
    """

    victims: list[Victim] = field(default_factory=list)
    releasing: Resources = field(default_factory=Resources)
    lasting: Resources = field(default_factory=Resources)
    ending: list[tuple[float, Resources]] = field(default_factory=list)
    releases: list[Release] = field(default_factory=list)


class PreemptionCandidates:
    """The runs of all workers, read when a worker is first looked at.

    Args:
        workers: The workers, by id.
        options: Options of the dispatcher.
        now: Seconds on the local clock.
        uncommitted: When the placements that are not yet committed are
            expected to end, and their resources, by worker id and task.
    """

    def __init__(
        self,
        workers: Mapping[str, TrackedWorker],
        options: DispatchOptions,
        now: float,
        uncommitted: Mapping[str, Mapping[TaskKey, Release]],
    ) -> None:
        """Initialises the candidates; no worker has been looked at."""
        self._workers = workers
        self._maximum_run = options.maximum_preempted_run
        self._confirmed_before = now - options.preemption_grace_seconds
        self._now = now
        self._uncommitted = uncommitted
        self._by_worker: dict[str, WorkerCandidates] = {}

    def of_worker(self, worker_id: str) -> WorkerCandidates:
        """Returns the runs of a worker."""
        found = self._by_worker.get(worker_id)
        if found is None:
            found = self._read(self._workers[worker_id])
            self._by_worker[worker_id] = found
        return found

    def _read(self, worker: TrackedWorker) -> WorkerCandidates:
        candidates = WorkerCandidates()
        starting = self._uncommitted.get(worker.record.worker_id, {})
        releases = list(starting.values())
        for task, tracked in worker.tracked_runs.items():
            execution = tracked.execution
            if execution is None:
                continue
            resources = execution.resources
            if tracked.stopping:
                stopped_by = tracked.stopping_at + _STOP_LIMIT_SECONDS
                if self._now <= stopped_by:
                    candidates.releasing = candidates.releasing.plus(resources)
                    releases.append((self._now, resources))
                continue
            if execution.step.long_running:
                candidates.lasting = candidates.lasting.plus(resources)
            releases.append((tracked.expected_end(self._now), resources))
            ends_at = tracked.projected_end()
            candidates.ending.append((ends_at, resources))
            if self._is_preemptible(execution, tracked):
                candidates.victims.append(
                    Victim(
                        task,
                        tracked.run,
                        execution,
                        ends_at,
                        stop_loss(resources),
                    )
                )
        candidates.releases = sorted(
            release for release in releases if release[0] < math.inf
        )
        return candidates

    def _is_preemptible(
        self, execution: StepExecution, tracked: TrackedRun
    ) -> bool:
        """Whether a run may be preempted.

        It must be able to resume from a checkpoint, have been confirmed some
        time ago, and not exceed the maximum run number.
        """
        if execution.step.gang or not execution.step.checkpointing:
            return False
        if not tracked.confirmed or tracked.run > self._maximum_run:
            return False
        return tracked.confirmed_at < self._confirmed_before
