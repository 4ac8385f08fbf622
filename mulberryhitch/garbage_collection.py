"""Tunes Python's garbage collector for programs with much long-lived state.

A scheduler's queues are long-lived and have no reference cycles. With the
default thresholds the collector traverses all of them repeatedly, which made
the cost of a scheduling decision grow with the length of the queue.
"""

import gc

# Net allocations before a young collection, then young collections before a
# middle one, and middle collections before an old one.
_YOUNG_THRESHOLD = 50_000
_MIDDLE_THRESHOLD = 50
_OLD_THRESHOLD = 100


def tune_garbage_collector() -> None:
    """Raises the collection thresholds and exempts all current objects."""
    gc.set_threshold(
        _YOUNG_THRESHOLD,
        _MIDDLE_THRESHOLD,
        _OLD_THRESHOLD,
    )
    gc.freeze()
