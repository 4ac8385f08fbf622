"""Gives memory back to the system that the C library keeps after its use."""

import asyncio
import ctypes
import sys
from collections.abc import Callable
from typing import Final

# Fewer leave little behind, and a trim takes milliseconds.
_CONNECTIONS_BETWEEN_TRIMS: Final = 64
# A request that was being read ends just after its connection.
_DELAY_SECONDS: Final = 0.02


class FreedMemory:
    """Trims the C library's heap after many connections have ended.

    Buffers of connections are freed in no order, so that the pages between
    them stay with the process until they are asked for.
    """

    def __init__(self) -> None:
        """Initialises the count; no connection has ended."""
        # Other C libraries than glibc lack it.
        library = ctypes.CDLL(None) if sys.platform == 'linux' else None
        self._trim = getattr(library, 'malloc_trim', None)
        self._ended_connections = 0
        self._is_scheduled = False

    def record_end(self, loop: asyncio.AbstractEventLoop) -> None:
        """Counts a connection that has ended; trims the heap after many.

        Args:
            loop: The event loop of the connection.
        """
        self._ended_connections += 1
        is_due = self._ended_connections >= _CONNECTIONS_BETWEEN_TRIMS
        if is_due and self._trim is not None and not self._is_scheduled:
            self._is_scheduled = True
            loop.call_later(_DELAY_SECONDS, self._give_back, self._trim)

    def _give_back(self, trim: Callable[[int], int]) -> None:
        self._is_scheduled = False
        self._ended_connections = 0
        trim(0)
