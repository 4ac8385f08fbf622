"""The bytes of a file, of which only a part is in memory at a time."""

import os

_WINDOW_BYTES = 65_536


class FileBytes:
    """Reads ranges of an open file like slices of its content.

    Small ranges are served from a window, larger ones are read directly.

    Args:
        descriptor: The file, opened for reading; its size must not change.
    """

    def __init__(self, descriptor: int) -> None:
        """Initialises the reader with an empty window."""
        self._descriptor = descriptor
        self._size = os.fstat(descriptor).st_size
        self._window = b''
        self._window_start = 0

    @property
    def size(self) -> int:
        """The size of the file in bytes."""
        return self._size

    def read(self, start: int, end: int) -> bytes:
        """Returns the bytes of a range, as far as the file has it."""
        end = min(end, self._size)
        if start >= end:
            return b''
        if end - start > _WINDOW_BYTES:
            return self._read_directly(start, end)
        window = self._window_with(start, end)
        return window[start - self._window_start : end - self._window_start]

    def find(self, pattern: bytes, start: int) -> int:
        """Returns where a pattern begins next, or -1.

        Args:
            pattern: The pattern, shorter than a window.
            start: The first offset to look at.
        """
        while start + len(pattern) <= self._size:
            window = self._window_with(start, start + len(pattern))
            found = window.find(pattern, start - self._window_start)
            if found >= 0:
                return self._window_start + found
            start = self._window_start + len(window) - len(pattern) + 1
        return -1

    def _window_with(self, start: int, end: int) -> bytes:
        window_end = self._window_start + len(self._window)
        if start < self._window_start or end > window_end:
            self._window_start = start
            window_end = min(start + _WINDOW_BYTES, self._size)
            self._window = self._read_directly(start, window_end)
        return self._window

    def _read_directly(self, start: int, end: int) -> bytes:
        content = os.pread(self._descriptor, end - start, start)
        while len(content) < end - start:
            position = start + len(content)
            more = os.pread(self._descriptor, end - position, position)
            if not more:
                break
            content += more
        return content
