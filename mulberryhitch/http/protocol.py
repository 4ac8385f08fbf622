"""HTTP protocol of the servers: when connections are closed, and when not."""

import asyncio

from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.protocols.utils import is_ssl

from mulberryhitch.constants import FIRST_REQUEST_TIMEOUT_SECONDS


class FirstRequestTimeoutProtocol(H11Protocol):
    """Closes a connection whose first request does not arrive in time.

    A client that closes its sending side still gets the answer to a request
    that has arrived in full; TLS does not allow that.

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

    def eof_received(self) -> bool:  # type: ignore[override]
        """Returns whether to keep the connection open for an answer."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete or cycle.more_body:
            return False
        cycle.keep_alive = False
        return not is_ssl(self.transport)

    def _close_if_no_request(self) -> None:
        if self.cycle is None and not self.transport.is_closing():
            self.transport.close()
