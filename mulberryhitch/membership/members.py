"""The members that this process has heard of, and when."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import anyio

from mulberryhitch.constants import MEMBER_TIMEOUT_SECONDS
from mulberryhitch.rpc.messages import GroupView, Heartbeat


class MemberRole(str, Enum):  # noqa: WPS600
    """What a process is for."""

    entry = 'entry'
    scheduler = 'scheduler'


class MemberState(str, Enum):  # noqa: WPS600
    """Whether a process takes new work."""

    ready = 'ready'
    starting = 'starting'
    stopping = 'stopping'


@dataclass(frozen=True, slots=True)
class Member:
    """A member's newest heartbeat and when it came."""

    heartbeat: Heartbeat
    received_at: float


class MemberList:
    """All members by id; a newer incarnation takes the older one's place.

    Args:
        own_id: This process's member id.
    """

    def __init__(self, own_id: str) -> None:
        """Has heard of nobody."""
        self._own_id = own_id
        self._members: dict[str, Member] = {}
        self._listeners: list[Callable[[Heartbeat], None]] = []

    def add_listener(self, listener: Callable[[Heartbeat], None]) -> None:
        """Calls the listener with every heartbeat that is taken."""
        self._listeners.append(listener)

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Takes a heartbeat; tells whether it was news of a live member."""
        known = self._members.get(heartbeat.member_id)
        if heartbeat.member_id == self._own_id:
            return False
        if known and known.heartbeat.incarnation > heartbeat.incarnation:
            return False
        self._members[heartbeat.member_id] = Member(
            heartbeat, anyio.current_time()
        )
        for listener in self._listeners:
            listener(heartbeat)
        return True

    def all(self) -> list[Member]:
        """Everybody ever heard of, by id."""
        return [self._members[name] for name in sorted(self._members)]

    def live(
        self, role: MemberRole | None = None, data_centre: str = ''
    ) -> list[Heartbeat]:
        """The members heard of lately, by id."""
        oldest = anyio.current_time() - MEMBER_TIMEOUT_SECONDS
        return [
            member.heartbeat
            for member in self.all()
            if member.received_at >= oldest
            and role in {None, member.heartbeat.role}
            and data_centre in {'', member.heartbeat.data_centre}
        ]

    def get(self, member_id: str) -> Heartbeat | None:
        """A member's newest heartbeat."""
        member = self._members.get(member_id)
        return member.heartbeat if member else None

    def leader(self, group: str) -> str:
        """The VM that leads a group, as far as live members know."""
        views = newest_views(
            view for beat in self.live() for view in beat.groups
        )
        view = views.get(group)
        return view.leader.partition('#')[0] if view else ''


def newest_views(views: Iterable[GroupView]) -> dict[str, GroupView]:
    """Of each group the view of the newest term that names a leader."""
    newest: dict[str, GroupView] = {}
    for view in views:
        known = newest.get(view.group)
        if view.leader and (known is None or view.term > known.term):
            newest[view.group] = view
    return newest
