"""The list of members, built from their heartbeats."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum

import anyio

from mulberryhitch.constants import MEMBER_TIMEOUT_SECONDS
from mulberryhitch.rpc.messages import GroupView, Heartbeat


class MemberRole(str, Enum):  # noqa: WPS600
    """The function of a process in the cluster."""

    entry = 'entry'
    scheduler = 'scheduler'


class MemberState(str, Enum):  # noqa: WPS600
    """Whether a process accepts new work."""

    ready = 'ready'
    starting = 'starting'
    stopping = 'stopping'


@dataclass(frozen=True, slots=True)
class Member:
    """A member's newest heartbeat and its local time of receipt."""

    heartbeat: Heartbeat
    received_at: float


class MemberList:
    """All members by id; a newer incarnation replaces an older one.

    Args:
        own_id: This process's member id, whose heartbeats are ignored.
    """

    def __init__(self, own_id: str) -> None:
        """Initialises an empty list."""
        self._own_id = own_id
        self._members: dict[str, Member] = {}
        self._listeners: list[Callable[[Heartbeat], None]] = []

    def add_listener(self, listener: Callable[[Heartbeat], None]) -> None:
        """Registers a listener, called with every accepted heartbeat."""
        self._listeners.append(listener)

    def record_heartbeat(self, heartbeat: Heartbeat) -> bool:
        """Records a heartbeat and returns whether it was accepted.

        Heartbeats of this process or an older incarnation are ignored.
        """
        existing = self._members.get(heartbeat.member_id)
        if heartbeat.member_id == self._own_id:
            return False
        if existing and existing.heartbeat.incarnation > heartbeat.incarnation:
            return False
        self._members[heartbeat.member_id] = Member(
            heartbeat, anyio.current_time()
        )
        for listener in self._listeners:
            listener(heartbeat)
        return True

    def all(self) -> list[Member]:
        """Returns all members, including timed-out ones, sorted by id."""
        return [self._members[name] for name in sorted(self._members)]

    def live(
        self, role: MemberRole | None = None, data_centre: str = ''
    ) -> list[Heartbeat]:
        """Returns the newest heartbeats of live members, sorted by id."""
        oldest = anyio.current_time() - MEMBER_TIMEOUT_SECONDS
        return [
            member.heartbeat
            for member in self.all()
            if member.received_at >= oldest
            and role in {None, member.heartbeat.role}
            and data_centre in {'', member.heartbeat.data_centre}
        ]

    def get(self, member_id: str) -> Heartbeat | None:
        """Returns a member's newest heartbeat, or None if unknown."""
        member = self._members.get(member_id)
        return member.heartbeat if member else None

    def leader(self, group: str) -> str:
        """Returns the VM of a group's leader; empty if none is reported."""
        views = newest_views(
            view for heartbeat in self.live() for view in heartbeat.groups
        )
        view = views.get(group)
        return view.leader.partition('#')[0] if view else ''


def newest_views(views: Iterable[GroupView]) -> dict[str, GroupView]:
    """Returns each group's view with the highest term that has a leader."""
    newest: dict[str, GroupView] = {}
    for view in views:
        existing = newest.get(view.group)
        if view.leader and (existing is None or view.term > existing.term):
            newest[view.group] = view
    return newest
