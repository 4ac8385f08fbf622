"""The use of one slot, from when it is taken until it is given back."""

import anyio

from mulberryhitch.requests.server_slots import ServerSlots
from mulberryhitch.requests.service_slots import ServiceSlots


class SlotLease:
    """A slot that is given back exactly once.

    Args:
        slots: Whence it was taken.
        server: The server that it is of.
        tenant: Whose request uses it.
    """

    def __init__(
        self,
        slots: ServiceSlots,
        server: ServerSlots,
        tenant: str,
    ) -> None:
        """Begins to use it."""
        self.server = server
        self._slots = slots
        self._tenant = tenant
        self._acquired_at = anyio.current_time()
        self._released = False

    def on_exchange_end(self, still_running: bool) -> None:
        """Gives it back as the exchange ends."""
        self.release(still_running=still_running)

    def release(self, *, still_running: bool) -> None:
        """Gives it back, unless that was done."""
        if self._released:
            return
        self._released = True
        self._slots.release(
            self.server,
            self._tenant,
            anyio.current_time() - self._acquired_at,
            abandoned=still_running,
        )
