"""Gives memory back to the system that the C library keeps after its use."""

import asyncio
import ctypes
import sys
from collections.abc import Callable
from typing import Any, Final

from mulberryhitch.constants import BYTES_PER_MEBIBYTE

# Fewer leave little behind, and a trim takes milliseconds.
_CONNECTIONS_BETWEEN_TRIMS: Final = 64
# A request that was being read ends just after its connection.
_DELAY_SECONDS: Final = 0.02
# Number of glibc's option for the size from which on a block has pages of its
# own.
_MMAP_THRESHOLD_OPTION: Final = -3
_LARGE_BLOCK_BYTES: Final = BYTES_PER_MEBIBYTE


def return_large_blocks() -> None:
    """Makes the C library return each large block as soon as it is freed.

    Otherwise it keeps blocks of up to 32 MiB once one of that size was freed.
    """
    set_option = _c_function('mallopt')
    if set_option is not None:
        set_option(_MMAP_THRESHOLD_OPTION, _LARGE_BLOCK_BYTES)


def _c_function(name: str) -> Any:
    """Returns a function of glibc, None where the C library lacks it."""
    library = ctypes.CDLL(None) if sys.platform == 'linux' else None
    return getattr(library, name, None)


class FreedMemory:
    """Trims the C library's heap after many connections have ended.

    Buffers of connections are freed in no order, so that the pages between
    them stay with the process until they are asked for.
    """

    def __init__(self) -> None:
        """Initialises the count; no connection has ended."""
        self._trim = _c_function('malloc_trim')
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
