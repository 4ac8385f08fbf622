"""Loads a replica's folder; a damaged one is renamed and replaced.

Only the newest damaged folder is kept, as each is as large as the replica's.
"""

import time
from pathlib import Path

from mulberryhitch.errors import DamagedFileError, DiskFullError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.disk_errors import typed_disk_errors
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.interfaces import StateMachine
from mulberryhitch.replication.left_over_files import (
    remove_former_damaged_folders,
    set_aside_as_damaged,
)
from mulberryhitch.replication.state import ReplicaState

_DISK_FULL_RETRY_SECONDS = 1.0


def load_state(
    group: str, folder: Path, vm: str, machine: StateMachine, log: Log
) -> ReplicaState:
    """Loads a replica's state, or starts empty if its folder is damaged.

    Waits while the disk is too full to load it: a process that ended would be
    started again on the same disk.

    Args:
        group: The group's name.
        folder: The replica's data folder.
        vm: The VM's name, used as the prefix of a new replica id.
        machine: The state machine that the log drives.
        log: Receives the damage report, and each wait for a full disk.

    Raises:
        StorageError: The disk failed.
    """
    while True:
        try:
            return _load_or_replace(group, folder, vm, machine, log)
        except DiskFullError as error:
            log.problem('storage.full', error.problem)
            time.sleep(_DISK_FULL_RETRY_SECONDS)


def _load_or_replace(
    group: str, folder: Path, vm: str, machine: StateMachine, log: Log
) -> ReplicaState:
    with typed_disk_errors(folder):
        _remove_former_damaged_folders(folder, log)
        try:
            return _load(group, folder, vm, machine)
        except DamagedFileError as error:
            log.problem('storage.damaged', error.problem)
            set_aside_as_damaged(folder)
        _remove_former_damaged_folders(folder, log)
        return _load(group, folder, vm, machine)


def _remove_former_damaged_folders(folder: Path, log: Log) -> None:
    for path in remove_former_damaged_folders(folder):
        log.event('storage.damaged_removed', folder=str(path))


def _load(
    group: str, folder: Path, vm: str, machine: StateMachine
) -> ReplicaState:
    storage = FileStorage(folder, vm)
    try:
        return ReplicaState(group, storage, machine)
    except BaseException:
        storage.close()
        raise
