"""Opens a replica's folder; one that is damaged is set aside, not used."""

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
    """Loads a replica, or begins a new one in place of a damaged folder.

    Args:
        group: The group's name.
        folder: The replica's own.
        vm: Part of a new replica's id.
        machine: What the replica drives.
        log: Where damage is written.
    """
    try:
        return ReplicaState(group, FileStorage(folder, vm), machine)
    except DamagedFileError as error:
        log.problem('storage.damaged', error.problem)
        folder.rename(f'{folder}.damaged-{int(time.time())}')
    return ReplicaState(group, FileStorage(folder, vm), machine)
