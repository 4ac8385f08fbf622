"""Starts what a replica's storage needs in the background."""

from anyio.abc import TaskGroup

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.compaction import Compaction
from mulberryhitch.replication.failstop import FailStop
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.room_keeper import RoomKeeper
from mulberryhitch.replication.state import ReplicaState


class StorageUpkeep:
    """Takes snapshots, and keeps the room that they need.

    Args:
        state: The replica's state.
        options: When a snapshot is due.
        fail_stop: Stops the replica if the disk fails.
        log: Receives what a full disk prevents.
    """

    def __init__(
        self,
        state: ReplicaState,
        options: ReplicationOptions,
        fail_stop: FailStop,
        log: Log,
    ) -> None:
        """Initialises the upkeep; :meth:`start` starts it."""
        self._compaction = Compaction(state, options, fail_stop, log)
        self._keeps_room = state.storage.keeps_room
        self._room_keeper = RoomKeeper(state.group, state.storage, log)

    def start(self, tasks: TaskGroup) -> None:
        """Starts the tasks, which run until cancelled."""
        tasks.start_soon(self._compaction.run)
        if self._keeps_room:
            tasks.start_soon(self._room_keeper.run)
