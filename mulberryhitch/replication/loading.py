"""Loads a replica's folder; a damaged one is renamed and replaced."""

import time
from pathlib import Path

from mulberryhitch.errors import DamagedFileError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.interfaces import StateMachine
from mulberryhitch.replication.state import ReplicaState


def load_state(
    group: str, folder: Path, vm: str, machine: StateMachine, log: Log
) -> ReplicaState:
    """Loads a replica's state, or starts empty if its folder is damaged.

    Args:
        group: The group's name.
        folder: The replica's data folder.
        vm: The VM's name, used as the prefix of a new replica id.
        machine: The state machine that the log drives.
        log: Receives the damage report.
    """
    try:
        return ReplicaState(group, FileStorage(folder, vm), machine)
    except DamagedFileError as error:
        log.problem('storage.damaged', error.problem)
        folder.rename(f'{folder}.damaged-{int(time.time())}')
    return ReplicaState(group, FileStorage(folder, vm), machine)
