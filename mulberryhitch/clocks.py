"""Clock functions that anyio does not provide."""

import time


def suspended_seconds() -> float:
    """Returns how long this VM was suspended since boot, in seconds."""
    booted = time.clock_gettime(time.CLOCK_BOOTTIME)
    return booted - time.clock_gettime(time.CLOCK_MONOTONIC)
