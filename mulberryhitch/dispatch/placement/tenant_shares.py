"""Which tenants use clearly more than their share of the workers."""

from collections.abc import Iterable

from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import Resources
from mulberryhitch.jobs.store import JobStore

# One gang may take more than the share of a small tenant, so that not everyone
# over its share floods. With four tenants of one weight, of which one sends 7 times
# its usual load, the others are served 0.99 at this factor, 0.85 at 2 and 1.0 at
# 1.1, and 0.64 without shares.
_CLEARLY_OVER = 1.5


class TenantShares:
    """The weighted shares of the tenants in a placement round.

    A tenant's share is its weight by the weights of all active tenants, those
    that have work that runs or waits, times the capacity of the workers. What
    a tenant uses is the largest part that its open runs take of any resource.
    All of it follows from the job store and the workers' records. Without
    tenants in the configuration nobody is over its share.

    Args:
        job_store: The committed state.
        workers: The workers that may receive new runs.
    """

    def __init__(
        self, job_store: JobStore, workers: Iterable[TrackedWorker]
    ) -> None:
        """Finds the tenants that are over their share."""
        self._job_store = job_store
        self.over: frozenset[str] = frozenset()
        if job_store.queue_table.tenants:
            self.over = self._find_over(_total_capacity(workers))

    def _find_over(self, capacity: Resources) -> frozenset[str]:
        weights = self._active_weights()
        total = sum(weights.values())
        if not total:
            return frozenset()
        return frozenset(
            name
            for name, weight in weights.items()
            if self._used_part(name, capacity) > _CLEARLY_OVER * weight / total
        )

    def _active_weights(self) -> dict[str, float]:
        """Returns the weights of the tenants that have work, by name."""
        store = self._job_store
        waiting = {
            store.jobs[key.job_id].tenant
            for key in store.ready_steps
            if key.job_id in store.jobs
        }
        return {
            tenant.name: tenant.weight
            for tenant in store.queue_table.tenants
            if tenant.name in waiting or any(store.tenant_usage(tenant.name))
        }

    def _used_part(self, name: str, capacity: Resources) -> float:
        """Returns the largest part that a tenant uses of any resource."""
        usage = self._job_store.tenant_usage(name)
        return max(
            used / total if total else 0
            for used, total in zip(usage, capacity, strict=True)
        )


def _total_capacity(workers: Iterable[TrackedWorker]) -> Resources:
    total = Resources()
    for worker in workers:
        total = total.plus(worker.capacity)
    return total
