"""Placements of a leader that are not yet committed."""

import math
from collections import defaultdict

from mulberryhitch.dispatch.placement.gang_holds import Release
from mulberryhitch.dispatch.placement.plans import Placement
from mulberryhitch.jobs.model import Resources, TaskKey
from mulberryhitch.jobs.state import StepExecution


class UncommittedPlacements:
    """What placements take on workers and of tenants until they are committed.

    Attributes:
        of_workers: Their resources, by worker id.
        of_tenants: Their resources, by name of the tenant.
        worker_releases: When they are expected to end, by worker id and task.
        tenant_releases: Likewise by name of the tenant and task.
    """

    def __init__(self) -> None:
        """Initialises the record without any placement."""
        self._tenants: dict[TaskKey, str] = {}
        self.of_workers: dict[str, Resources] = {}
        self.of_tenants: dict[str, Resources] = {}
        self.worker_releases: _Releases = defaultdict(dict)
        self.tenant_releases: _Releases = defaultdict(dict)

    def add(
        self,
        placement: Placement,
        execution: StepExecution,
        tenant: str,
        now: float,
    ) -> None:
        """Records a placement.

        Args:
            placement: The placement.
            execution: Its step.
            tenant: Name of its tenant; empty if it has none.
            now: Seconds on the local clock.
        """
        resources = execution.resources
        step = execution.step
        seconds = math.inf if step.long_running else step.estimate_seconds
        release = now + (seconds or math.inf), resources
        task = placement.unit.task_key(placement.index)
        _add_resources(self.of_workers, placement.worker_id, resources)
        self.worker_releases[placement.worker_id][task] = release
        self._tenants[task] = tenant
        if tenant:
            _add_resources(self.of_tenants, tenant, resources)
            self.tenant_releases[tenant][task] = release

    def remove(self, placement: Placement) -> None:
        """Removes a placement that was committed, or was not carried out.

        Its step may be gone by then.
        """
        task = placement.unit.task_key(placement.index)
        tenant = self._tenants.pop(task, None)
        if tenant is None:
            return
        of_worker = self.worker_releases[placement.worker_id]
        resources = of_worker.pop(task)[1].times(-1)
        _add_resources(self.of_workers, placement.worker_id, resources)
        if tenant:
            _add_resources(self.of_tenants, tenant, resources)
            self.tenant_releases[tenant].pop(task)


_Releases = defaultdict[str, dict[TaskKey, Release]]


def _add_resources(
    amounts: dict[str, Resources], name: str, resources: Resources
) -> None:
    amounts[name] = amounts.get(name, Resources()).plus(resources)
