"""The backend servers that have lately announced themselves."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import anyio

from mulberryhitch.constants import ANNOUNCEMENT_SILENCE_SECONDS
from mulberryhitch.rpc.messages import Announcement, Heartbeat


class ServerState(str, Enum):  # noqa: WPS600
    """Whether a backend server takes new requests."""

    ready = 'ready'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Known:
    """The newest announcement of a server.

    Attributes:
        said_at: When it was made, no earlier than in truth, local clock.
        first_hand: Whether the server told this process itself.
    """

    announcement: Announcement
    said_at: float
    first_hand: bool

    @property
    def is_believed(self) -> bool:
        """Whether it is new enough to act on."""
        age = anyio.current_time() - self.said_at
        return age <= ANNOUNCEMENT_SILENCE_SECONDS

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent."""
        ready = self.announcement.state == ServerState.ready.value
        return ready and self.is_believed


class Directory:
    """Announcements by server; newer ones take the older ones' place."""

    def __init__(self) -> None:
        """Knows of no server."""
        self._known: dict[str, Known] = {}
        self._listeners: list[Callable[[Announcement], None]] = []

    def listen(self, listener: Callable[[Announcement], None]) -> None:
        """Calls the listener with each announcement that is news."""
        self._listeners.append(listener)

    def announce(self, announcement: Announcement) -> bool:
        """Takes an announcement from the server itself.

        Returns:
            Whether the others should hear of it at once.
        """
        known = self._known.get(announcement.backend_server_id)
        taken = self._take(announcement, anyio.current_time(), True)
        if known is None:
            return taken
        before = known.announcement
        return taken and (before.state, before.owner) != (
            announcement.state,
            announcement.owner,
        )

    def heard(self, heartbeat: Heartbeat) -> None:
        """Takes what another member heard first-hand."""
        now = anyio.current_time()
        for announcement in heartbeat.announcements:
            said_at = now - announcement.age_seconds
            self._take(announcement, said_at, False)

    def first_hand(self) -> list[Announcement]:
        """What to tell the others: heard here lately, with its age."""
        now = anyio.current_time()
        return [
            replace(known.announcement, age_seconds=now - known.said_at)
            for known in self._known.values()
            if known.first_hand and known.is_believed
        ]

    def get(self, backend_server_id: str) -> Known | None:
        """The newest announcement of one server."""
        return self._known.get(backend_server_id)

    def all(self) -> list[Known]:
        """All servers ever heard of."""
        return list(self._known.values())

    def _take(
        self, announcement: Announcement, said_at: float, first_hand: bool
    ) -> bool:
        known = self._known.get(announcement.backend_server_id)
        if known is not None and not _is_newer(announcement, known):
            return False
        self._known[announcement.backend_server_id] = Known(
            announcement, said_at, first_hand
        )
        for listener in self._listeners:
            listener(announcement)
        return True


def _is_newer(announcement: Announcement, known: Known) -> bool:
    before = known.announcement
    return (announcement.incarnation, announcement.sequence) > (
        before.incarnation,
        before.sequence,
    )
