"""Stops a replica when nothing is known of its disk any more.

A disk that is merely full keeps what it has; the replica goes on.
"""

from collections.abc import Callable

from mulberryhitch.errors import DiskFullError, StorageError


class FailStop:
    """A block in which a failed sync or write stops the replica.

    Args:
        on_failure: Told of the failure, which is raised all the same.
    """

    def __init__(self, on_failure: Callable[[StorageError], None]) -> None:
        """Watches nothing yet."""
        self._on_failure = on_failure

    def __enter__(self) -> None:
        """Begins the block."""

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        """Tells of a storage failure."""
        if isinstance(error, DiskFullError):
            return
        if isinstance(error, StorageError):
            self._on_failure(error)
