"""Tracks the backend servers whose slots an entry owns."""

import anyio

from mulberryhitch.backend_servers.directory import BackendServerDirectory
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.models import CellConfiguration
from mulberryhitch.requests.router import Router
from mulberryhitch.requests.server_slots import ServerSlots
from mulberryhitch.requests.service_slots import ServiceLimits, ServiceSlots
from mulberryhitch.rpc.messages import Announcement, ServiceLoad

_REFRESH_INTERVAL_SECONDS = 0.1


class OwnedServerTracker:
    """Updates the slots of owned servers from their announcements.

    Args:
        member_id: Identifier of this entry.
        directory: Source of the announcements.
        router: Holds the slots by service.
        configuration: The active configuration of this entry.
    """

    def __init__(
        self,
        member_id: str,
        directory: BackendServerDirectory,
        router: Router,
        configuration: ConfigurationHolder,
    ) -> None:
        """Registers for announcements and configuration changes."""
        self._member_id = member_id
        self._directory = directory
        self._router = router
        self._configuration = configuration
        directory.add_listener(self.on_announcement)
        configuration.add_listener(self._update_limits)

    async def run(self) -> None:
        """Refreshes all owned servers periodically, until cancelled."""
        while True:
            await anyio.sleep(_REFRESH_INTERVAL_SECONDS)
            # A service may be added while connections are closed.
            for slots in tuple(self._router.services.values()):
                await self._refresh(slots)

    def on_announcement(self, announcement: Announcement) -> None:
        """Updates the slots of the announced server."""
        if announcement.owner != self._member_id:
            self._disable_server(announcement)
            return
        slots = self._get_or_create_slots(announcement.service_name)
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
        server.apply_announcement(announcement)
        known = self._directory.get(announcement.backend_server_id)
        server.ready = known is not None and known.is_ready
        slots.assign_free_slots()

    def service_loads(self) -> list[ServiceLoad]:
        """Returns the loads of services with slots usable at this entry."""
        return [
            ServiceLoad(slots.service, slots.free_slots, slots.queued)
            for slots in self._router.services.values()
            if slots.usable_slots
        ]

    def _get_or_create_slots(self, service: str) -> ServiceSlots:
        slots = self._router.services.get(service)
        if slots is None:
            slots = ServiceSlots(
                service, self._limits(service), self._tenant_weight
            )
            self._router.services[service] = slots
        return slots

    def _limits(self, service: str) -> ServiceLimits:
        settings = self._configuration.current.services.get(service)
        if settings is None:
            return ServiceLimits()
        return ServiceLimits(settings.queue_limit, settings.order)

    def _update_limits(self, configuration: CellConfiguration) -> None:
        for service, slots in self._router.services.items():
            slots.update_limits(self._limits(service))

    def _tenant_weight(self, tenant: str) -> float:
        settings = self._configuration.current.tenants.get(tenant)
        return settings.weight if settings else 1

    def _disable_server(self, announcement: Announcement) -> None:
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
            is_owned = (
                known is not None
                and known.announcement.owner == self._member_id
            )
            server.ready = is_owned and known is not None and known.is_ready
            is_drained = now >= server.owned_until and not server.in_flight
            if is_drained and not is_owned:
                slots.servers.pop(server_id)
                await self._router.close_upstream(server.address)
        slots.assign_free_slots()
