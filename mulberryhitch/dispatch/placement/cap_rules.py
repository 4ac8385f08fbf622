"""What a tenant's cap allows to start beside what is in use."""

from mulberryhitch.dispatch.placement.free_capacity import copies_that_fit
from mulberryhitch.errors import OverQuotaError
from mulberryhitch.jobs.model import JobSpec, Resources, Step, Tenant

# More than all workers together have.
_NO_LIMIT = 2**62


def limits_of(cap: Resources) -> Resources:
    """Returns a cap with a number that nothing reaches where it has none."""
    return Resources(
        cap.processors or _NO_LIMIT,
        cap.memory or _NO_LIMIT,
        cap.accelerators or _NO_LIMIT,
    )


def is_single(step: Step) -> bool:
    """Whether each task of a step starts by itself."""
    return not step.gang or step.count == 1


class Allowance:
    """What may still start within a cap.

    Args:
        limits: The cap, as :func:`limits_of` returns it.
        free: What is left of it; negative once a cap was lowered.
    """

    def __init__(self, limits: Resources, free: Resources) -> None:
        """Initialises the allowance."""
        self._limits = limits
        self.free = free
        self._is_below_half: bool | None = None

    def take(self, resources: Resources, copies: int = 1) -> None:
        """Takes the resources of a number of tasks out of it."""
        free = self.free
        # Faster than `Resources.times`: taken for each step of a round.
        self.free = Resources(
            free.processors - resources.processors * copies,
            free.memory - resources.memory * copies,
            free.accelerators - resources.accelerators * copies,
        )
        self._is_below_half = None

    def startable(self, step: Step, resources: Resources) -> int:
        """Returns how many tasks of a step may start, for a gang all or none.

        A single task may also start while less than half of the cap is used,
        so that one larger than the cap runs alone.

        Args:
            step: The step.
            resources: Resources of one task.
        """
        copies = copies_that_fit(resources, self.free, step.count)
        if is_single(step):
            return copies or int(self._leaves_half())
        return copies if copies == step.count else 0

    def _leaves_half(self) -> bool:
        """Whether less than half is used; cached, as most steps ask it."""
        if self._is_below_half is None:
            halves = zip(self.free, self._limits, strict=True)
            self._is_below_half = all(
                2 * left > limit for left, limit in halves
            )
        return self._is_below_half


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
    limits = limits_of(tenant.cap)
    whole = Allowance(limits, limits)
    for number, step in enumerate(spec.steps):
        if not whole.startable(step, step.resources):
            raise OverQuotaError(
                f'the gang needs more than the cap of {tenant.name!r}',
                where=f'steps.{number}',
            )
