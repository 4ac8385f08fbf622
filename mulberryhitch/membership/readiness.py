"""Decides whether an entry tells the load balancer that it is ready."""

# Three reports are missing by then. An election is over sooner, or before the
# balancer has missed the two answers after which it chooses other entries.
_MAX_SILENCE_SECONDS = 1.5


def is_ready(
    leader_silent_seconds: float, configuration_version: int, *, stopping: bool
) -> bool:
    """Returns whether an entry should receive new connections.

    An entry that is cut off from the leader can serve nothing, and its clients
    are served sooner by an entry of another data centre.

    Args:
        leader_silent_seconds: Time since the leader last replied.
        configuration_version: Version of the active configuration; negative if
            none is known yet.
        stopping: Whether the entry is shutting down.
    """
    if stopping or configuration_version < 0:
        return False
    return leader_silent_seconds < _MAX_SILENCE_SECONDS
