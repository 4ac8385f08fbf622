"""Clocks that the steady one of anyio leaves out."""

import time


def suspended_seconds() -> float:
    """How long this VM has been suspended since it was started."""
    booted = time.clock_gettime(time.CLOCK_BOOTTIME)
    return booted - time.clock_gettime(time.CLOCK_MONOTONIC)
