"""HTTP protocol of the servers: when connections are closed, and when not."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import h11
from uvicorn.protocols.http.flow_control import CLOSE_HEADER
from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.protocols.utils import is_ssl

from mulberryhitch.constants import FIRST_REQUEST_TIMEOUT_SECONDS


class FirstRequestTimeoutProtocol(H11Protocol):
    """Closes a connection whose first request does not arrive in time.

    Each request that has arrived in full is answered before the connection
    is closed, also if it was pipelined behind others. That holds when the
    server stops, and when a client closes its sending side, which TLS does
    not allow.

    Attributes:
        first_request_timeout_seconds: Time allowed until the request's
            headers are complete.
    """

    first_request_timeout_seconds: float = FIRST_REQUEST_TIMEOUT_SECONDS

    def __init__(self, *args: Any, **options: Any) -> None:
        """Initialises the protocol of one connection."""
        super().__init__(*args, **options)
        self.app = _announcing_close_last(self.app, self.conn)
        self._stopping = False
        self._sending_side_closed = False

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
        self._sending_side_closed = True
        self._close_after_last_answer()
        return not is_ssl(self.transport)

    def shutdown(self) -> None:
        """Closes the connection once all requests read are answered."""
        self._stopping = True
        if _has_pipelined_request(self.conn):
            return
        super().shutdown()

    def on_response_complete(self) -> None:
        """Starts the next pipelined request; closes if there is none."""
        super().on_response_complete()
        if self._stopping or self._sending_side_closed:
            self._close_after_last_answer()

    def _close_after_last_answer(self) -> None:
        cycle = self.cycle
        if cycle.response_complete or (
            self._sending_side_closed and cycle.more_body
        ):
            self.transport.close()
        elif not _has_pipelined_request(self.conn):
            cycle.keep_alive = False

    def _close_if_no_request(self) -> None:
        if self.cycle is None and not self.transport.is_closing():
            self.transport.close()


def _has_pipelined_request(connection: h11.Connection) -> bool:
    """Whether bytes of another request follow the one in progress."""
    is_read = connection.their_state is h11.DONE
    return is_read and bool(connection.trailing_data[0])


def _announcing_close_last(
    application: Any, connection: h11.Connection
) -> Callable[..., Awaitable[None]]:
    """Returns an application whose last answer alone announces the close."""

    async def run(scope: Any, receive: Any, send: Any) -> None:
        async def send_message(message: Any) -> None:
            if message[
                'type'
            ] == 'http.response.start' and _has_pipelined_request(connection):
                message['headers'] = [
                    header
                    for header in message['headers']
                    if header != CLOSE_HEADER
                ]
            await send(message)

        await application(scope, receive, send_message)

    return run
