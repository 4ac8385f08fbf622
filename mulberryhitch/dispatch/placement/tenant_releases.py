"""When the runs of each tenant are expected to end."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from mulberryhitch.dispatch.placement.gang_holds import Release
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import TaskKey
from mulberryhitch.jobs.state import Job


class TenantReleases:
    """The expected ends of all tenants' runs, read at the first call.

    Args:
        jobs: The jobs, by id.
        workers: All workers, also those that receive no new runs.
        uncommitted: The expected ends of placements that are not yet
            committed, by tenant and task.
        now: Seconds on the local clock.
    """

    def __init__(
        self,
        jobs: Mapping[str, Job],
        workers: Iterable[TrackedWorker],
        uncommitted: Mapping[str, Mapping[TaskKey, Release]],
        now: float,
    ) -> None:
        """Initialises the reader; nothing has been read."""
        self._jobs = jobs
        self._workers = workers
        self._uncommitted = uncommitted
        self._now = now
        self._by_tenant: dict[str, list[Release]] | None = None

    def of_tenant(self, name: str) -> Sequence[Release]:
        """Returns what a tenant's runs are expected to release.

        The first one comes first. Runs without an expected end are left out.
        """
        if self._by_tenant is None:
            self._by_tenant = self._read()
        found = list(self._by_tenant.get(name, ()))
        found += self._uncommitted.get(name, {}).values()
        return sorted(release for release in found if release[0] < math.inf)

    def _read(self) -> dict[str, list[Release]]:
        by_tenant: dict[str, list[Release]] = defaultdict(list)
        for worker in self._workers:
            for task, tracked in worker.tracked_runs.items():
                job = self._jobs.get(task.job_id)
                if job is None or not job.tenant or tracked.execution is None:
                    continue
                ends_at = tracked.expected_end(self._now)
                resources = tracked.execution.resources
                by_tenant[job.tenant].append((ends_at, resources))
        return by_tenant
