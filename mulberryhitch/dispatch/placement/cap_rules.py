"""What a tenant's cap allows: how many tasks fit beside what is in use."""

from mulberryhitch.errors import OverQuotaError
from mulberryhitch.jobs.model import JobSpec, Resources, Step, Tenant

_UNLIMITED = 1_000_000
_NO_LIMIT = 2**62
_NOTHING = Resources()


def is_single(step: Step) -> bool:
    """Whether each task of a step starts by itself."""
    return not step.gang or step.count == 1


def limits_of(cap: Resources) -> Resources:
    """Returns a cap with numbers that nothing reaches for no limit."""
    return Resources(*(part or _NO_LIMIT for part in cap))


def copies_within(
    cap: Resources, resources: Resources, used: Resources = _NOTHING
) -> int:
    """Returns how many tasks of a size fit into what a cap leaves."""
    fitting = _UNLIMITED
    for limit, needed, taken in zip(cap, resources, used, strict=True):
        if limit and needed:
            fitting = min(fitting, max(0, limit - taken) // needed)
    return fitting


def is_below_half(cap: Resources, used: Resources) -> bool:
    """Whether less than half of a cap is used, in each limited dimension."""
    return all(
        2 * taken < limit
        for limit, taken in zip(cap, used, strict=True)
        if limit
    )


def check_gangs(spec: JobSpec, tenant: Tenant | None) -> None:
    """Checks that each gang of a job can run within its tenant's cap.

    Args:
        spec: The job.
        tenant: The tenant; None if the job belongs to none.

    Raises:
        OverQuotaError: A gang is wider than the cap.
    """
    if tenant is None:
        return
    for number, step in enumerate(spec.steps):
        if is_single(step):
            continue
        if copies_within(tenant.cap, step.resources) < step.count:
            raise OverQuotaError(
                f'the gang needs more than the cap of {tenant.name!r}',
                where=f'steps.{number}',
            )
