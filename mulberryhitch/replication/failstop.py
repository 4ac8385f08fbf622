"""Stops a replica when the state of its disk is unknown.

A full disk keeps the data already on it, so the replica continues.
"""

from collections.abc import Callable

from mulberryhitch.errors import DiskFullError, StorageError


class FailStop:
    """A context manager that stops the replica on a failed sync or write.

    Args:
        on_failure: Called with the error, which still propagates.
    """

    def __init__(self, on_failure: Callable[[StorageError], None]) -> None:
        """Initialises the context manager, which is reusable."""
        self._on_failure = on_failure

    def __enter__(self) -> None:
        """Enters the block."""

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        """Reports a storage error, unless the disk is only full."""
        if isinstance(error, DiskFullError):
            return
        if isinstance(error, StorageError):
            self._on_failure(error)
