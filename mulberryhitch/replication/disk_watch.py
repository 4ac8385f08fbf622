"""Hands over leadership while the leader's disk is full or does not answer."""

from collections.abc import Awaitable, Callable

import anyio

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.options import ReplicationOptions

_DISK_FULL_RETRY_SECONDS = 0.3


class DiskWatch:
    """Watches the disk of a leader during one leadership.

    Args:
        group: The group's name.
        leadership: The leadership.
        options: Timing settings.
        log: Receives what the disk does.
        transfer: Transfers the leadership to another voter.
    """

    def __init__(  # noqa: WPS211
        self,
        group: str,
        leadership: Leadership,
        options: ReplicationOptions,
        log: Log,
        transfer: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialises the watch."""
        self._group = group
        self._leadership = leadership
        self._options = options
        self._log = log
        self._transfer = transfer

    async def run(self) -> None:
        """Watches the disk until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._transfer_when_full)
            tasks.start_soon(self._transfer_when_stalled)

    async def _transfer_when_full(self) -> None:
        """Transfers the leadership if writes keep failing on a full disk.

        While all disks are full, it stays and serves reads.
        """
        leadership = self._leadership
        while True:
            await leadership.disk_full.wait()
            self._log.event('replica.disk_full', group=self._group)
            leadership.disk_full = anyio.Event()
            await anyio.sleep(_DISK_FULL_RETRY_SECONDS)
            if self._may_be_served_better():
                await self._transfer()

    def _may_be_served_better(self) -> bool:
        """Whether writes still fail, and another voter may have room."""
        leadership = self._leadership
        is_full = leadership.ready and leadership.disk_full.is_set()
        return is_full and leadership.has_successor_with_room

    async def _transfer_when_stalled(self) -> None:
        while not self._leadership.disk_stalled:
            await anyio.sleep(self._options.heartbeat_seconds)
        self._log.event(
            'replica.disk_stalled',
            group=self._group,
            term=self._leadership.term,
        )
        await self._transfer()
