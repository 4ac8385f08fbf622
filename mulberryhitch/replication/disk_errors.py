"""Translates the operating system's errors of a disk into typed errors."""

import errno
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from mulberryhitch.errors import DiskFullError, StorageError

_DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT))


def is_disk_full(error: BaseException | None) -> bool:
    """Whether the operating system, or a file system's quota, has no room."""
    return isinstance(error, OSError) and error.errno in _DISK_FULL_ERRNOS


@contextmanager
def typed_disk_errors(path: Path) -> Iterator[None]:
    """A context manager that raises storage errors instead of ``OSError``.

    Args:
        path: The file or folder concerned, named in the error.

    Raises:
        DiskFullError: The disk is full; data already stored is intact.
        StorageError: The disk failed for another reason.
    """
    try:
        yield
    except OSError as error:
        error_type = DiskFullError if is_disk_full(error) else StorageError
        raise error_type(str(error), where=str(path)) from error
