"""The use of one slot, from when it is taken until it is given back."""

import anyio

from mulberryhitch.requests.service import ServiceSlots
from mulberryhitch.requests.slots import ServerSlots


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
        self._taken_at = anyio.current_time()
        self._ended = False

    def end_exchange(self, still_running: bool) -> None:
        """Gives it back as the exchange ends."""
        self.end(still_running=still_running)

    def end(self, *, still_running: bool) -> None:
        """Gives it back, unless that was done."""
        if self._ended:
            return
        self._ended = True
        self._slots.release(
            self.server,
            self._tenant,
            anyio.current_time() - self._taken_at,
            abandoned=still_running,
        )
