"""Requests that clients send before the answers to earlier ones."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any, Final

import anyio
from uvicorn.protocols.http.flow_control import CLOSE_HEADER

from mulberryhitch.http.steps import SteppedConnection

# Clients within the published limits send one request at a time.
_MAX_REQUESTS_AHEAD: Final = 64


class RequestsAhead:
    """Requests that a client sent before the last answer.

    Args:
        limiter: Limits how many of all clients' are handled at once.

    Attributes:
        count: How many came in a row.
    """

    def __init__(self, limiter: anyio.CapacityLimiter) -> None:
        """Initialises the connection; its client has sent nothing ahead."""
        self._limiter = limiter
        self._is_lost = False
        self._waiting: anyio.CancelScope | None = None
        self.count = 0

    def lose(self) -> None:
        """Records that the connection has ended; none is to be handled."""
        self._is_lost = True
        if self._waiting is not None:
            self._waiting.cancel()

    @asynccontextmanager
    async def turn(self) -> AsyncIterator[bool]:
        """Waits for a turn; returns whether the request is to be handled."""
        with anyio.CancelScope() as scope:
            self._waiting = scope
            await self._limiter.acquire()
        self._waiting = None
        if scope.cancelled_caught:
            yield False
            return
        try:
            yield not self._is_lost
        finally:
            self._limiter.release()


def with_requests_ahead(
    application: Any, connection: SteppedConnection, ahead: RequestsAhead
) -> Callable[..., Awaitable[None]]:
    """Returns an application for one connection.

    Its last answer alone announces the close, and requests that were sent
    ahead wait for their turn.

    Args:
        application: The ASGI application.
        connection: Parser of the connection.
        ahead: Requests that its client sent ahead.
    """

    async def run_in_turn(scope: Any, receive: Any, send: Any) -> None:
        if not connection.has_pipelined_request:
            await run(scope, receive, send)
            return
        async with ahead.turn() as is_wanted:
            if is_wanted:
                await run(scope, receive, send)

    async def run(scope: Any, receive: Any, send: Any) -> None:
        async def send_message(message: Any) -> None:
            is_start = message['type'] == 'http.response.start'
            if is_start and connection.has_pipelined_request:
                message['headers'] = _closing_headers(message['headers'], ahead)
            await send(message)

        await application(scope, receive, send_message)

    return run_in_turn


def _closing_headers(
    headers: list[tuple[bytes, bytes]], ahead: RequestsAhead
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an answer that another request waits for."""
    kept = [header for header in headers if header != CLOSE_HEADER]
    if ahead.count >= _MAX_REQUESTS_AHEAD:
        kept.append(CLOSE_HEADER)
    return kept
