"""The latest announcements of all backend servers."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum

import anyio

from mulberryhitch.constants import ANNOUNCEMENT_TIMEOUT_SECONDS
from mulberryhitch.rpc.messages import Announcement, Heartbeat


class ServerState(str, Enum):  # noqa: WPS600
    """Whether a backend server accepts new requests."""

    ready = 'ready'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class KnownServer:
    """A backend server with its latest announcement.

    Attributes:
        announced_at: Latest possible time of the announcement, on the local
            clock.
        is_direct: Whether the server sent it to this process.
    """

    announcement: Announcement
    announced_at: float
    is_direct: bool

    @property
    def is_fresh(self) -> bool:
        """Whether the announcement is recent enough to act on."""
        age = anyio.current_time() - self.announced_at
        return age <= ANNOUNCEMENT_TIMEOUT_SECONDS

    @property
    def is_ready(self) -> bool:
        """Whether new requests may be sent."""
        ready = self.announcement.state == ServerState.ready.value
        return ready and self.is_fresh


class BackendServerDirectory:
    """Announcements by server; newer ones replace older ones."""

    def __init__(self) -> None:
        """Initialises an empty directory."""
        self._known: dict[str, KnownServer] = {}
        self._listeners: list[Callable[[Announcement], None]] = []

    def add_listener(self, listener: Callable[[Announcement], None]) -> None:
        """Registers a function called with each newer announcement."""
        self._listeners.append(listener)

    def record_announcement(self, announcement: Announcement) -> bool:
        """Stores an announcement received from the server itself.

        Returns:
            Whether the other members should be notified at once.
        """
        known = self._known.get(announcement.backend_server_id)
        is_stored = self._store(announcement, anyio.current_time(), True)
        if known is None:
            return is_stored
        previous = known.announcement
        return is_stored and (previous.state, previous.owner) != (
            announcement.state,
            announcement.owner,
        )

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Stores the announcements that another member received directly."""
        now = anyio.current_time()
        for announcement in heartbeat.announcements:
            announced_at = now - announcement.age_seconds
            self._store(announcement, announced_at, False)

    def direct_announcements(self) -> list[Announcement]:
        """Returns recent announcements received here, with their age."""
        now = anyio.current_time()
        return [
            replace(known.announcement, age_seconds=now - known.announced_at)
            for known in self._known.values()
            if known.is_direct and known.is_fresh
        ]

    def get(self, backend_server_id: str) -> KnownServer | None:
        """Returns a server with its latest announcement."""
        return self._known.get(backend_server_id)

    def all(self) -> list[KnownServer]:
        """Returns all servers that have ever been announced."""
        return list(self._known.values())

    def _store(
        self, announcement: Announcement, announced_at: float, is_direct: bool
    ) -> bool:
        known = self._known.get(announcement.backend_server_id)
        if known is not None and not _is_newer(announcement, known):
            return False
        self._known[announcement.backend_server_id] = KnownServer(
            announcement, announced_at, is_direct
        )
        for listener in self._listeners:
            listener(announcement)
        return True


def _is_newer(announcement: Announcement, known: KnownServer) -> bool:
    previous = known.announcement
    return (announcement.incarnation, announcement.sequence) > (
        previous.incarnation,
        previous.sequence,
    )
