"""Admits requests that take the event loop for long, one at a time."""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mulberryhitch.errors import OverloadedError

_RETRY_AFTER_SECONDS: Final = 1.0
_MAX_PAUSE_SECONDS: Final = 1.0


class CostlyWork:
    """Leaves time and memory for ordinary requests beside costly ones.

    One costly request is handled at a time. After it none is begun for as
    long as it took, a second at most.

    Args:
        least_bytes: Size from which on a request is costly.
    """

    def __init__(self, least_bytes: int) -> None:
        """Initialises the admission; nothing is being handled."""
        self._least_bytes = least_bytes
        self._is_busy = False
        self._free_at: float = 0

    @contextmanager
    def admitted(self, size_bytes: int) -> Iterator[None]:
        """Admits a request until the end of the block.

        Args:
            size_bytes: Size of the request, in the measure of the limit.

        Raises:
            OverloadedError: The request is costly, and another is handled or
                has just been; nothing was done.
        """
        if size_bytes < self._least_bytes:
            yield
            return
        began_at = time.monotonic()
        if self._is_busy or began_at < self._free_at:
            raise OverloadedError(
                'another request of this size is being handled',
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        self._is_busy = True
        try:
            yield
        finally:
            self._end(began_at)

    def _end(self, began_at: float) -> None:
        ended_at = time.monotonic()
        pause_seconds = min(ended_at - began_at, _MAX_PAUSE_SECONDS)
        self._free_at = ended_at + pause_seconds
        self._is_busy = False
