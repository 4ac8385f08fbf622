"""Clock functions that anyio does not provide."""

import time


def suspended_seconds() -> float:
    """Returns how long this VM was suspended since boot, in seconds."""
    seconds_since_boot = time.clock_gettime(time.CLOCK_BOOTTIME)
    return seconds_since_boot - time.clock_gettime(time.CLOCK_MONOTONIC)
