"""HTTP protocol of the servers: when connections are closed, and when not."""

import asyncio
import logging
import re
import sys
from collections.abc import Callable
from typing import Any, Final

import h11
import orjson
from uvicorn.protocols.http.flow_control import (
    CLOSE_HEADER,
    HIGH_WATER_LIMIT,
    FlowControl,
)
from uvicorn.protocols.http.h11_impl import H11Protocol
from uvicorn.protocols.utils import is_ssl

from mulberryhitch.constants import FIRST_REQUEST_TIMEOUT_SECONDS
from mulberryhitch.errors import (
    HeadersTooLargeError,
    InvalidInputError,
    MulberryhitchError,
)
from mulberryhitch.http.connection_limits import (
    ConnectionTimeouts,
    connection_limit,
)
from mulberryhitch.http.open_connections import OpenConnections, Stage
from mulberryhitch.http.requests_ahead import (
    RequestsAhead,
    with_requests_ahead,
)
from mulberryhitch.http.steps import SteppedConnection

# asyncio reads 256 KiB at once by default, all of which a connection would
# hold if its client sends requests ahead.
_READ_BYTES: Final = 16 * 1024
# Unsent bytes beyond which no further answer is written.
_UNSENT_BYTES: Final = 16 * 1024
# Each header takes about a hundred bytes of objects, whatever its length.
_MAX_HEADERS: Final = 512
_MAX_HEAD_BYTES: Final = 16 * 1024
_BEFORE_RESPONSE: Final = (h11.IDLE, h11.SEND_RESPONSE)
_END_OF_HEAD: Final = re.compile(b'\n\r?\n')
# A process has one event loop, which reads from one connection at a time.
_read_buffer: Final = memoryview(bytearray(_READ_BYTES))

# The reason of a closed connection is counted. A line for each invalid
# request would fill the standard error, to which writing blocks.
_logger: Final = logging.getLogger('mulberryhitch.http')
_logger.setLevel(logging.ERROR)


class FirstRequestTimeoutProtocol(H11Protocol, asyncio.BufferedProtocol):
    """Bounds the bytes and the time that each connection takes.

    Each request that was read in full is answered before the connection
    is closed, also if it was pipelined behind others, up to a limit. That
    holds when the server stops, and when a client closes its sending side,
    which TLS does not allow. No more is read while a pipelined request waits
    or while answers are unsent beyond a bound. What was read is handled in
    steps; pipelined requests and the rest of a read wait for their turn.

    Args:
        connections: The open connections of the process.
        timeouts: Returns the time limits in force.

    Attributes:
        first_request_timeout_seconds: Time allowed until the request's
            headers are complete.
    """

    first_request_timeout_seconds: float = FIRST_REQUEST_TIMEOUT_SECONDS
    conn: SteppedConnection

    def __init__(
        self,
        *args: Any,
        connections: OpenConnections | None = None,
        timeouts: Callable[[], ConnectionTimeouts] = ConnectionTimeouts,
        **options: Any,
    ) -> None:
        """Initialises the protocol of one connection."""
        super().__init__(*args, **options)
        self.conn = SteppedConnection(
            h11.SERVER,
            self.config.h11_max_incomplete_event_size or _MAX_HEAD_BYTES,
        )
        self._open_connections = connections or OpenConnections(
            connection_limit(0)
        )
        self._ahead = RequestsAhead(self._open_connections.ahead_limiter)
        # It does not refer to the protocol, so that the buffers of a closed
        # connection are freed before the next garbage collection.
        self.app = with_requests_ahead(self.app, self.conn, self._ahead)
        self.logger = _logger
        self._timeouts = timeouts
        self._stage = Stage.idle
        self._stage_since = self.loop.time()
        self._stopping = False
        self._sending_side_closed = False
        self._discarding = False
        self._unsent_bytes = 0

    @property
    def has_unsent_answers(self) -> bool:
        """Whether no further answer is written until the client reads."""
        return self.flow.write_paused

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Starts the timer for the first request."""
        super().connection_made(transport)
        self.flow = _PatientFlowControl(transport, self.conn)
        transport.set_write_buffer_limits(high=_UNSENT_BYTES)
        self._first_request_timer = self.loop.call_later(
            max(
                self.first_request_timeout_seconds,
                self._timeouts().first_request_seconds,
            ),
            self._close_if_no_request,
        )
        self._open_connections.add(self, self.loop.time())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the timer."""
        self._first_request_timer.cancel()
        self._ahead.lose()
        self._open_connections.remove(self)
        self._open_connections.freed_memory.record_end(self.loop)
        super().connection_lost(exc)
        self._unset_keepalive_if_required()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handles what was read into the buffer."""
        self.data_received(bytes(_read_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Handles bytes from the client; those after a refusal are dropped."""
        if not self._discarding:
            super().data_received(data)
        self._update_stage()

    def handle_events(self) -> None:
        """Handles some of what was received, and the rest in later steps.

        Too many headers are refused, and a request that was sent before the
        last answer waits for its turn.
        """
        if self.conn.is_suspended:
            self._open_connections.steps.add(self)
            return
        if _has_too_many_headers(self.conn):
            error = HeadersTooLargeError(f'over {_MAX_HEADERS} headers')
            self._refuse('too many headers', error)
            return
        self.conn.begin_step()
        super().handle_events()
        if self.conn.is_suspended:
            self.flow.pause_reading()
            self._open_connections.steps.add(self)

    def run_step(self) -> None:
        """Handles some more of what was received, then reads on."""
        self.conn.is_suspended = False
        if self._discarding or self.transport.is_closing():
            return
        self.handle_events()
        if self.cycle is None or len(self.cycle.body) <= HIGH_WATER_LIMIT:
            self.flow.resume_reading()
        self._close_if_ending()
        self._update_stage()

    def eof_received(self) -> bool:  # type: ignore[override]
        """Returns whether to keep the connection open for an answer."""
        cycle = self.cycle
        if (
            cycle is None
            or cycle.response_complete
            or cycle.more_body
            or self._discarding
        ):
            return False
        self._sending_side_closed = True
        self._close_if_ending()
        return not is_ssl(self.transport)

    def shutdown(self) -> None:
        """Closes the connection once all requests read are answered."""
        self._stopping = True
        if self.conn.has_pipelined_request or self.conn.is_suspended:
            return
        super().shutdown()

    def on_response_complete(self) -> None:
        """Starts the next pipelined request; closes if there is none."""
        if self.conn.has_pipelined_request:
            self._ahead.count += 1
            self.conn.is_suspended = True
        else:
            self._ahead.count = 0
        super().on_response_complete()
        # The next request may have been read in part only.
        self.flow.resume_reading()
        self._close_if_ending()
        self._update_stage()

    def pause_writing(self) -> None:
        """Records that the client does not read."""
        super().pause_writing()
        self._update_stage()

    def resume_writing(self) -> None:
        """Records that the client reads again."""
        super().resume_writing()
        self._update_stage()

    def send_400_response(self, msg: str) -> None:
        """Refuses an invalid request."""
        # h11's error refers to itself by way of its frames, which refer to
        # the buffers of this connection.
        error = sys.exception()
        if error is not None:
            error.__traceback__ = None
        self._refuse('invalid request', InvalidInputError(msg))

    def give_up(self) -> None:
        """Closes the connection without sending what is unsent."""
        self.transport.abort()

    def close_if_overdue(self, now: float) -> None:
        """Closes the connection if its client lets it wait for too long.

        Args:
            now: Time in seconds of the event loop.
        """
        self._update_stage()
        stage = self._stage
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes < self._unsent_bytes:
            self._stage_since = now
        self._unsent_bytes = unsent_bytes
        limit_seconds = _limit_seconds(stage, self._timeouts())
        if now < self._stage_since + limit_seconds:
            return
        self._count_closed(stage.value)
        if stage is Stage.unread:
            self.transport.abort()
        else:
            self.transport.close()

    def _update_stage(self) -> None:
        stage = self._current_stage()
        if stage is self._stage:
            return
        self._stage = stage
        self._stage_since = self.loop.time()
        self._open_connections.move(self, stage, self._stage_since)

    def _current_stage(self) -> Stage:
        if self.flow.write_paused or self.transport.is_closing():
            return Stage.unread
        if self._discarding:
            return Stage.discarding
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return self._stage_between_requests()
        if cycle.more_body:
            return Stage.body
        is_ahead = self.conn.has_pipelined_request
        return Stage.ahead if is_ahead else Stage.answering

    def _stage_between_requests(self) -> Stage:
        if self.conn.their_state is h11.SEND_BODY:
            return Stage.discarding
        if self.conn.is_suspended:
            return Stage.ahead
        return Stage.head if self.conn.trailing_data[0] else Stage.idle

    def _close_if_ending(self) -> None:
        """Closes after the last answer if the server or client is stopping."""
        cycle = self.cycle
        is_ending = self._stopping or self._sending_side_closed
        has_more = self.conn.is_suspended or self.conn.has_pipelined_request
        if not is_ending or has_more or cycle is None:
            return
        if cycle.response_complete or (
            self._sending_side_closed and cycle.more_body
        ):
            self.transport.close()
        else:
            cycle.keep_alive = False

    def _close_if_no_request(self) -> None:
        if self.cycle is None and not self.transport.is_closing():
            self._count_closed('no request')
            self.transport.close()

    def _refuse(self, reason: str, error: MulberryhitchError) -> None:
        """Sends a refusal and drops what the client still sends.

        If the connection was closed at once, with bytes of the client unread,
        the client's system would drop the refusal.
        """
        self._count_closed(reason)
        self._discarding = True
        if self.cycle is not None:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self.conn.our_state not in _BEFORE_RESPONSE:
            self.transport.close()
            return
        for event in _refusal_events(error):
            self.transport.write(self.conn.send(event) or b'')
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.flow.resume_reading()

    def _count_closed(self, reason: str) -> None:
        self._open_connections.closed(reason)


class _PatientFlowControl(FlowControl):
    """Does not read on while received bytes or a pipelined request wait.

    A request that is answered without its body would otherwise let a read
    buffer grow by one read for each request taken from it.
    """

    def __init__(
        self, transport: asyncio.Transport, connection: SteppedConnection
    ) -> None:
        super().__init__(transport)
        self._connection = connection

    def resume_reading(self) -> None:
        """Reads on, unless received bytes wait."""
        connection = self._connection
        if not (connection.is_suspended or connection.has_pipelined_request):
            super().resume_reading()


def _refusal_events(error: MulberryhitchError) -> list[h11.Event]:
    content = orjson.dumps({'code': error.code, 'what': error.what})
    response = h11.Response(
        status_code=error.status,
        headers=[
            (b'content-type', b'application/json'),
            (b'content-length', str(len(content)).encode()),
            CLOSE_HEADER,
        ],
    )
    return [response, h11.Data(data=content), h11.EndOfMessage()]


def _limit_seconds(stage: Stage, timeouts: ConnectionTimeouts) -> float:
    return {
        Stage.unread: timeouts.unread_seconds,
        Stage.discarding: timeouts.discard_seconds,
        Stage.idle: timeouts.idle_seconds,
        Stage.head: timeouts.head_seconds,
        Stage.body: timeouts.body_seconds,
    }.get(stage, float('inf'))


def _has_too_many_headers(connection: h11.Connection) -> bool:
    """Whether the next request has them, before objects are made of them."""
    if connection.their_state is not h11.IDLE:
        return False
    received = connection.trailing_data[0]
    end = _END_OF_HEAD.search(received)
    head = received[: end.start()] if end else received
    return head.count(b'\n') > _MAX_HEADERS
