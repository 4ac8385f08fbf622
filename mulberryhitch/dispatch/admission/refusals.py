"""Why a job is refused, and the error that tells its submitter."""

from dataclasses import dataclass
from enum import Enum

from mulberryhitch.dispatch.admission.estimator import FinishEstimate
from mulberryhitch.dispatch.admission.work import JobDemand
from mulberryhitch.errors import (
    MulberryhitchError,
    OverloadedError,
    OverQuotaError,
)


class RefusalReason(str, Enum):  # noqa: WPS600
    """What a job would have to wait for too long.

    Attributes:
        capacity: The workers, for all that is placed before it.
        tenant_cap: The cap of its tenant, for the tenant's own jobs.
        tenant_share: The workers, as its tenant is over its share.
    """

    capacity = 'capacity'
    tenant_cap = 'tenant_cap'
    tenant_share = 'tenant_share'


@dataclass(frozen=True, slots=True)
class Refusal:
    """The decision not to accept a job.

    Attributes:
        limit: Seconds after which the job would be too late, with the margin
            for the estimate's error.
    """

    demand: JobDemand
    reason: RefusalReason
    estimate: FinishEstimate
    limit: float

    @property
    def excess_seconds(self) -> float:
        """Time until a job like it can be accepted, if no other comes."""
        return self.estimate.finish - self.limit

    @property
    def returns_key(self) -> tuple[str, int]:
        """Identifies the room that it waits for."""
        queue = self.demand.queue
        if self.reason is RefusalReason.tenant_cap:
            return (f'tenant {self.demand.tenant}', 0)
        return (queue.service, queue.urgency)

    def error(self, retry_after_seconds: int) -> MulberryhitchError:
        """Returns the error with which the job is refused."""
        finish, limit = self.estimate.finish, self.limit
        late = f'would end after {finish:.1f} s, more than {limit:.1f} s'
        if self.reason is RefusalReason.capacity:
            return OverloadedError(
                f'the job {late}: more work waits than the workers can carry',
                where=self.demand.queue.name,
                retry_after_seconds=retry_after_seconds,
            )
        return OverQuotaError(
            f'the job {late}: its tenant is over its {self._limit_name}',
            where=self.demand.queue.name,
            retry_after_seconds=retry_after_seconds,
        )

    @property
    def _limit_name(self) -> str:
        return self.reason.value.removeprefix('tenant_')
