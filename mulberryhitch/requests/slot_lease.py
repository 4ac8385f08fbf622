"""The lease of one slot for one request."""

import anyio

from mulberryhitch.requests.server_slots import ServerSlots
from mulberryhitch.requests.service_slots import ServiceSlots


class SlotLease:
    """An acquired slot, which is released exactly once.

    Args:
        slots: Slots of the service.
        server: The backend server of the slot.
        tenant: Tenant of the request that uses the slot.
    """

    def __init__(
        self,
        slots: ServiceSlots,
        server: ServerSlots,
        tenant: str,
    ) -> None:
        """Initialises the lease of a slot that was just acquired."""
        self.server = server
        self._slots = slots
        self._tenant = tenant
        self._acquired_at = anyio.current_time()
        self._released = False

    def on_exchange_end(self, still_running: bool) -> None:
        """Releases the slot when the exchange ends."""
        self.release(still_running=still_running)

    def release(self, *, still_running: bool) -> None:
        """Releases the slot, unless already released.

        Args:
            still_running: Whether the server may still run the request.
        """
        if self._released:
            return
        self._released = True
        self._slots.release(
            self.server,
            self._tenant,
            anyio.current_time() - self._acquired_at,
            abandoned=still_running,
        )
