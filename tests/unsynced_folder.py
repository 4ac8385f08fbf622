"""A folder whose renames are lost with the power until it is synced."""

import os
import shutil
from pathlib import Path

import pytest

from mulberryhitch.replication import durable_files, file_storage


class KilledError(Exception):
    """The process is killed at this point."""


class UnsyncedFolder:
    """Keeps the names that a folder had when it was last synced.

    The files' contents count as synced. Links keep the replaced files.
    """

    def __init__(
        self, folder: Path, aside: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        self._folder = folder
        self._synced = aside
        self._synced.mkdir()
        self._syncs_until_killed = 0
        for module in (durable_files, file_storage):
            monkeypatch.setattr(module, 'sync_folder', self._sync)

    def kill_before_sync(self, number: int) -> None:
        """Kills the process when it is about to sync the folder.

        Args:
            number: 1 for the next sync.
        """
        self._syncs_until_killed = number

    def lose_power(self) -> None:
        """Brings back the names as of the last sync."""
        _copy_names(self._synced, self._folder)

    def _sync(self, folder: Path) -> None:
        if folder != self._folder:
            return
        if self._syncs_until_killed:
            self._syncs_until_killed -= 1
            if not self._syncs_until_killed:
                raise KilledError
        _copy_names(folder, self._synced)


def _copy_names(source: Path, target: Path) -> None:
    shutil.rmtree(target)
    target.mkdir()
    for path in source.iterdir():
        os.link(path, target / path.name)
