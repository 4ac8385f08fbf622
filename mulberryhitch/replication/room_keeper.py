"""Restores the room that a replica's storage keeps, in the background."""

import anyio

from mulberryhitch.errors import StorageError
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.storage import Storage

_CHECK_SECONDS = 0.2
_RETRY_SECONDS = 1.0


class RoomKeeper:
    """Restores kept room as soon as the disk has room for it.

    Args:
        group: The group's name.
        storage: The replica's storage.
        log: Receives when room is short, and when it is kept again.
    """

    def __init__(self, group: str, storage: Storage, log: Log) -> None:
        """Initialises the keeper; :meth:`run` starts it."""
        self._group = group
        self._storage = storage
        self._log = log
        self._was_refused = False

    async def run(self) -> None:
        """Keeps the room until cancelled."""
        while True:
            if not self._storage.is_room_kept:
                await self._keep_room()
            await anyio.sleep(_CHECK_SECONDS)

    async def _keep_room(self) -> None:
        try:
            await self._storage.keep_room()
        except StorageError as error:
            if not self._was_refused:
                self._log.problem('replica.room_short', error.problem)
            self._was_refused = True
            await anyio.sleep(_RETRY_SECONDS)
            return
        if self._was_refused and self._storage.is_room_kept:
            self._was_refused = False
            self._log.event('replica.room_kept', group=self._group)
