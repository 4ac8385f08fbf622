"""What admission uses of other parts, with defaults that work without them."""

from collections.abc import Callable
from typing import Protocol

from mulberryhitch.dispatch.placement.plans import Plan


class WorkerSpeedSource(Protocol):
    """Measured speeds of workers."""

    def speed_of(self, worker_id: str) -> float:
        """Returns a worker's speed; 1.0 is the median of its service."""


class TenantShareSource(Protocol):
    """Which client accounts use more than their share."""

    def is_over_share(self, tenant: str) -> bool:
        """Whether a tenant uses more than its share while others wait."""


class UniformSpeeds:
    """Speeds of workers of which nothing has been measured."""

    def speed_of(self, worker_id: str) -> float:
        """Returns the speed of an unknown worker."""
        return 1.0


class SharesOfLastRound:
    """Shares as the last placement round found them.

    Args:
        last_plan: Returns the plan of that round.
    """

    def __init__(self, last_plan: Callable[[], Plan]) -> None:
        """Initialises the shares."""
        self._last_plan = last_plan

    def is_over_share(self, tenant: str) -> bool:
        """Whether a tenant used more than its share while others waited."""
        return tenant in self._last_plan().tenants_over


class NoTenantShares:
    """Shares where no client account has a weight."""

    def is_over_share(self, tenant: str) -> bool:
        """Returns that no tenant is over its share."""
        return False
