"""An entry's care for the backend servers whose slots it owns."""

import anyio

from mulberryhitch.backend_servers.directory import Directory
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.models import CellConfiguration
from mulberryhitch.requests.router import Router
from mulberryhitch.requests.service import ServiceLimits, ServiceSlots
from mulberryhitch.requests.slots import ServerSlots
from mulberryhitch.rpc.messages import Announcement, ServiceLoad

_LOOK_SECONDS = 0.1


class OwnerKeeper:
    """Follows announcements and keeps the owned servers' slots right.

    Args:
        member_id: This entry.
        directory: Knows the announcements.
        router: Uses the slots.
        configuration: What is in force here.
    """

    def __init__(
        self,
        member_id: str,
        directory: Directory,
        router: Router,
        configuration: ConfigurationHolder,
    ) -> None:
        """Listens for announcements."""
        self._member_id = member_id
        self._directory = directory
        self._router = router
        self._configuration = configuration
        directory.listen(self.heard)
        configuration.listen(self._update_limits)

    async def run(self) -> None:
        """Looks for what has become silent, until cancelled."""
        while True:
            await anyio.sleep(_LOOK_SECONDS)
            for slots in self._router.services.values():
                await self._refresh(slots)

    def heard(self, announcement: Announcement) -> None:
        """Takes one announcement."""
        if announcement.owner != self._member_id:
            self._disown(announcement)
            return
        slots = self._slots(announcement.service_name)
        server = slots.servers.get(announcement.backend_server_id)
        if server is None:
            server = ServerSlots(
                announcement.backend_server_id,
                announcement.service_name,
                announcement.address,
                announcement.slots,
                announcement.connections,
            )
            slots.servers[announcement.backend_server_id] = server
        server.heard(announcement)
        known = self._directory.get(announcement.backend_server_id)
        server.ready = known is not None and known.is_ready
        slots.pump()

    def loads(self) -> list[ServiceLoad]:
        """What to tell the others of this entry's own slots."""
        return [
            ServiceLoad(slots.service, slots.free, slots.queued)
            for slots in self._router.services.values()
            if slots.usable_slots
        ]

    def _slots(self, service: str) -> ServiceSlots:
        slots = self._router.services.get(service)
        if slots is None:
            slots = ServiceSlots(service, self._limits(service), self._weight)
            self._router.services[service] = slots
        return slots

    def _limits(self, service: str) -> ServiceLimits:
        settings = self._configuration.current.services.get(service)
        if settings is None:
            return ServiceLimits()
        return ServiceLimits(settings.queue_limit, settings.order)

    def _update_limits(self, configuration: CellConfiguration) -> None:
        for service, slots in self._router.services.items():
            slots.update(self._limits(service))

    def _weight(self, tenant: str) -> float:
        found = self._configuration.current.tenants.get(tenant)
        return found.weight if found else 1

    def _disown(self, announcement: Announcement) -> None:
        slots = self._router.services.get(announcement.service_name)
        if slots is None:
            return
        server = slots.servers.get(announcement.backend_server_id)
        if server is not None:
            server.ready = False

    async def _refresh(self, slots: ServiceSlots) -> None:
        now = anyio.current_time()
        for server_id, server in tuple(slots.servers.items()):
            known = self._directory.get(server_id)
            owned = (
                known is not None
                and known.announcement.owner == self._member_id
            )
            server.ready = owned and known is not None and known.is_ready
            ended = now >= server.ends_at and not server.in_flight
            if ended and not owned:
                slots.servers.pop(server_id)
                await self._router.close_upstream(server.address)
        slots.pump()
