"""HTTP protocol with a timeout for the first request of a connection."""

import asyncio

from uvicorn.protocols.http.h11_impl import H11Protocol

from mulberryhitch.constants import FIRST_REQUEST_TIMEOUT_SECONDS


class FirstRequestTimeoutProtocol(H11Protocol):
    """Closes a connection whose first request does not arrive in time.

    Attributes:
        first_request_timeout_seconds: Time allowed until the request's
            headers are complete.
    """

    first_request_timeout_seconds: float = FIRST_REQUEST_TIMEOUT_SECONDS

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the timer for the first request."""
        super().connection_made(transport)
        self._first_request_timer = self.loop.call_later(
            self.first_request_timeout_seconds, self._close_if_no_request
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timer."""
        self._first_request_timer.cancel()
        super().connection_lost(exc)

    def _close_if_no_request(self) -> None:
        if self.cycle is None and not self.transport.is_closing():
            self.transport.close()
