"""When a follower last heard from a leader."""

import anyio

from mulberryhitch.replication.options import ReplicationOptions


class LeaderContact:
    """The time since the last append or vote for another replica.

    Args:
        options: Timing settings.
    """

    def __init__(self, options: ReplicationOptions) -> None:
        """Initialises the contact as long ago."""
        self._options = options
        self._last_at = float()

    @property
    def silent_seconds(self) -> float:
        """Returns the time since the last contact, in seconds."""
        return anyio.current_time() - self._last_at

    @property
    def is_live(self) -> bool:
        """Whether a leader may rely on this replica not to vote for others."""
        return self.silent_seconds < self._options.election_seconds

    def record(self) -> None:
        """Records a contact now."""
        self._last_at = anyio.current_time()
