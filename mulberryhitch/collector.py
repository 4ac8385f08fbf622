"""Tunes Python's cyclic collector for programs with much lasting state.

A scheduler's queues live long and have no cycles; with the usual thresholds
the collector walks all of them again and again, which made the cost of a
decision grow with the length of the queue.
"""

import gc

_YOUNG_OBJECTS = 50_000
_YOUNG_RUNS = 50
_MIDDLE_RUNS = 100


def tune_collector() -> None:
    """Lets the collector run rarely over objects that have lasted."""
    gc.set_threshold(_YOUNG_OBJECTS, _YOUNG_RUNS, _MIDDLE_RUNS)
    gc.freeze()
