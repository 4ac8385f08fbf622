"""Tunes Python's cyclic collector for programs with much lasting state.

A scheduler's queues live long and have no cycles; with the usual thresholds
the collector walks all of them again and again, which made the cost of a
decision grow with the length of the queue.
"""

import gc

_YOUNG_THRESHOLD = 50_000
_MIDDLE_THRESHOLD = 50
_OLD_THRESHOLD = 100


def tune_garbage_collector() -> None:
    """Lets the collector run rarely over objects that have lasted."""
    gc.set_threshold(
        _YOUNG_THRESHOLD,
        _MIDDLE_THRESHOLD,
        _OLD_THRESHOLD,
    )
    gc.freeze()
