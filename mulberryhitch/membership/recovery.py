"""How long callers should wait while a group has no leader."""

# An election starts at most twice the election time of 0.8 s after the last
# contact; a split vote adds another one, and appends and calls one heartbeat.
RECOVERY_SECONDS = 2.55
_LEAST_SECONDS = 1.0
# Beyond the usual time a majority is missing, and each caller that asks costs
# calls to all schedulers.
_MOST_SECONDS = 5.0
_BACKOFF_SHARE = 0.5


def recovery_seconds_left(leaderless_seconds: float) -> float:
    """Returns when a group without a leader is expected to have one.

    After the usual time has passed without one, the wait grows with the time
    that the group has been without.

    Args:
        leaderless_seconds: How long it has had no leader.
    """
    left = RECOVERY_SECONDS - leaderless_seconds
    if left <= 0:
        left = leaderless_seconds * _BACKOFF_SHARE
    return min(max(left, _LEAST_SECONDS), _MOST_SECONDS)


class LeaderAbsence:
    """Since when a process has found no leader, by group."""

    def __init__(self) -> None:
        """Initialises it with no leader missed."""
        self._since: dict[str, float] = {}

    def end(self, group: str) -> None:
        """Records that the leader has answered."""
        self._since.pop(group, None)

    def begin(self, group: str, began_at: float) -> float:
        """Records a search without a result; returns since when there is none.

        Args:
            group: The group.
            began_at: When the search began, seconds on the local clock.
        """
        return self._since.setdefault(group, began_at)
