"""Slot accounting for one backend server at its owner."""

from dataclasses import dataclass

import anyio

from mulberryhitch.backend_servers.ownership import ownership_ends_at
from mulberryhitch.errors import InvariantError, LostAuthorityError
from mulberryhitch.rpc.messages import Announcement

_ANNOUNCEMENTS_UNTIL_LOWERED = 2


@dataclass(slots=True)
class ServerSlots:
    """The slots of one owned backend server.

    Attributes:
        in_flight: Requests sent by this process that have not ended.
        untracked: Maximum number of other requests still running there: a
            former owner's, and those that this process abandoned.
        owned_until: When the ownership ends, on the local clock.
        lower_untracked_from: Sequence number of the first announcement that
            may lower ``untracked``.
    """

    backend_server_id: str
    service: str
    address: str
    slots: int
    connections: int
    in_flight: int = 0
    untracked: int = 0
    owned_until: float = 0
    ready: bool = False
    sequence: int = 0
    incarnation: int = 0
    lower_untracked_from: int = 0

    @property
    def free_slots(self) -> int:
        """How many more requests may currently be sent."""
        if not self.ready or anyio.current_time() >= self.owned_until:
            return 0
        return max(self.slots - self.in_flight - self.untracked, 0)

    def apply_announcement(self, announcement: Announcement) -> None:
        """Applies an announcement that names this process as the owner."""
        if announcement.incarnation != self.incarnation:
            self.incarnation = announcement.incarnation
            self.sequence = 0
            self.lower_untracked_from = 0
            self.untracked = announcement.busy
        self.address = announcement.address
        self.sequence = announcement.sequence
        self.owned_until = max(
            self.owned_until, ownership_ends_at(announcement.owner_anchor)
        )
        if announcement.sequence >= self.lower_untracked_from:
            self.untracked = min(self.untracked, announcement.busy)

    def acquire(self) -> None:
        """Acquires a slot.

        Raises:
            LostAuthorityError: The ownership has ended.
            InvariantError: No slot is free.
        """
        if anyio.current_time() >= self.owned_until:
            raise LostAuthorityError(
                'ownership of the server has ended',
                where=self.backend_server_id,
            )
        if self.in_flight + self.untracked >= self.slots:
            raise InvariantError(
                f'no slot is free: {self.in_flight} requests sent and '
                f'{self.untracked} untracked, {self.slots} slots',
                where=self.backend_server_id,
            )
        self.in_flight += 1

    def release(self) -> None:
        """Releases a slot whose request has ended.

        Raises:
            InvariantError: No slot is acquired.
        """
        if self.in_flight <= 0:
            raise InvariantError(
                'the slot was already released', where=self.backend_server_id
            )
        self.in_flight -= 1

    def abandon(self) -> None:
        """Releases a slot whose request may still be running there."""
        self.release()
        self.untracked += 1
        self.lower_untracked_from = self.sequence + _ANNOUNCEMENTS_UNTIL_LOWERED
