"""RPC server: one task per connection and one per call."""

import socket
import ssl
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias, cast

import anyio
from anyio.abc import (
    ByteStream,
    SocketAttribute,
    SocketListener,
    TaskGroup,
)
from anyio.streams.tls import TLSStream

from mulberryhitch.byte_budget import SMALL_BYTES, ByteBudget
from mulberryhitch.constants import (
    BYTES_PER_MEBIBYTE,
    RPC_MAX_FRAME_BYTES,
    RPC_MAX_PENDING_CALLS,
)
from mulberryhitch.errors import (
    MulberryhitchError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadedError,
    Problem,
    ProtocolError,
    UnreachableError,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.accepted import (
    BACKLOG,
    CALL_BYTES,
    SOCKET_BUFFER_BYTES,
    AcceptedConnection,
    AcceptedConnections,
    AcceptedLimits,
    HeldCall,
)
from mulberryhitch.rpc.client import TlsContextProvider
from mulberryhitch.rpc.codec import (
    Call,
    CallResult,
    decode_call,
    decoded_size,
    encode_result,
)
from mulberryhitch.rpc.frames import FrameStream

Handler: TypeAlias = Callable[[Any], Awaitable[Any]]

_ACCEPT_RETRY_SECONDS = 0.1
_LARGE_RESULTS_BYTES = 8 * BYTES_PER_MEBIBYTE
_CONNECTION_ERRORS = (
    OSError,
    ssl.SSLError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    anyio.IncompleteRead,
)


class _ResultSender:
    """Sends the results of one connection, one at a time.

    Large ones that wait for a peer which doesn't read are bounded by their
    bytes.
    """

    def __init__(self, frames: FrameStream) -> None:
        self._frames = frames
        self._lock = anyio.Lock()
        self._budget = ByteBudget(_LARGE_RESULTS_BYTES, 0)

    async def send(self, call: Call, frame: bytes, held: HeldCall) -> None:
        """Sends a result, or a refusal if it is large and too many wait.

        Only reads have large results, so nothing has run.
        """
        with self._budget.reservation() as reservation:
            if len(frame) > SMALL_BYTES:
                try:
                    reservation.grow_to(len(frame))
                except OverloadedError as error:
                    frame = _encode_error(call, error.problem)
            held.hold(held.held_bytes + len(frame))
            async with self._lock:
                await self._frames.send(frame)


class RpcServer:
    """Serves calls of other members.

    Args:
        log: Receives protocol errors and other unexpected errors.
        tls_context: Returns the current TLS context, or None for plain TCP.
        limits: What it may hold for the connections of peers.
    """

    def __init__(
        self,
        log: Log,
        tls_context: TlsContextProvider = lambda: None,
        limits: AcceptedLimits = AcceptedLimits(),
    ) -> None:
        """Initialises the server without handlers."""
        self._log = log
        self._connections = AcceptedConnections(limits, log)
        self._tls_context = tls_context
        self._handlers: dict[str, Handler] = {}
        self._active_calls = 0

    @property
    def active_calls(self) -> int:
        """Calls whose handlers are running."""
        return self._active_calls

    def register(self, method: str, handler: Handler) -> None:
        """Sets the handler of a method."""
        self._handlers[method] = handler

    async def serve(self, host: str, port: int) -> None:
        """Accepts connections until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            reuse_port=False,
            backlog=BACKLOG,
        )
        async with listener, anyio.create_task_group() as tasks:
            for part in cast('list[SocketListener]', listener.listeners):
                _limit_buffers(part)
                tasks.start_soon(self._accept_connections, part, tasks)

    async def _accept_connections(
        self, listener: SocketListener, tasks: TaskGroup
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                failure = UnreachableError(f'connection not accepted: {error}')
                self._log.problem('rpc.accept', failure.problem)
                await anyio.sleep(_ACCEPT_RETRY_SECONDS)
            else:
                _pause_reading(stream)
                tasks.start_soon(self._handle_connection, stream)

    async def _handle_connection(self, stream: ByteStream) -> None:
        try:
            async with stream:
                with self._connections.admitted() as connection:
                    secured = await self._wrap_tls(stream)
                    await self._serve_stream(secured, connection)
        except _CONNECTION_ERRORS:
            return
        except MulberryhitchError as error:
            self._log.problem('rpc.connection', error.problem)

    async def _wrap_tls(self, stream: ByteStream) -> ByteStream:
        context = self._tls_context()
        if context is None:
            return stream
        return await TLSStream.wrap(
            stream,
            server_side=True,
            ssl_context=context,
            standard_compatible=False,
        )

    async def _serve_stream(
        self, stream: ByteStream, connection: AcceptedConnection
    ) -> None:
        frames = FrameStream(stream)
        sender = _ResultSender(frames)
        async with anyio.create_task_group() as tasks:
            try:
                await self._read_calls(frames, sender, tasks, connection)
            finally:
                tasks.cancel_scope.cancel()

    async def _read_calls(
        self,
        frames: FrameStream,
        sender: _ResultSender,
        tasks: TaskGroup,
        connection: AcceptedConnection,
    ) -> None:
        while not connection.is_closed:
            await connection.wait_for_turn()
            held = self._connections.begin_call(connection)
            try:
                call = await _read_call(frames, held)
            except _CONNECTION_ERRORS:
                return
            except ProtocolError as error:
                self._log.problem('rpc.connection', error.problem)
                return
            self._connections.record_call(connection)
            tasks.start_soon(self._serve_call, sender, call, held)

    async def _serve_call(
        self, sender: _ResultSender, call: Call, held: HeldCall
    ) -> None:
        try:
            result_frame = await self._handle_call(call)
            await sender.send(call, result_frame, held)
        except _CONNECTION_ERRORS:
            return
        finally:
            held.release()

    async def _handle_call(self, call: Call) -> bytes:
        try:
            reply = await self._dispatch(call)
            return _encode_reply(call, reply)
        except MulberryhitchError as error:
            return _encode_error(call, error.problem)
        except Exception as unexpected:  # noqa: BLE001
            self._log.unexpected_error('rpc.call', unexpected)
            return _encode_error(
                call, Problem('outcome_unknown', repr(unexpected), call.method)
            )

    async def _dispatch(self, call: Call) -> Any:
        handler = self._handlers.get(call.method)
        if handler is None:
            raise NotFoundError('no handler for this method', where=call.method)
        if self._active_calls >= RPC_MAX_PENDING_CALLS:
            raise OverloadedError(
                f'{RPC_MAX_PENDING_CALLS} calls already running'
            )
        self._active_calls += 1
        try:
            with anyio.fail_after(call.header.timeout_seconds):
                return await handler(call.request)
        except TimeoutError as error:
            raise OutcomeUnknownError(
                'call exceeded its timeout of '
                f'{call.header.timeout_seconds:.3f} s',
                where=call.method,
            ) from error
        finally:
            self._active_calls -= 1


async def _read_call(frames: FrameStream, held: HeldCall) -> Call:
    """Reads a call and records the bytes that it takes.

    Raises:
        ProtocolError: What was received is not a call.
    """
    frame = await frames.receive(
        lambda received_bytes: held.hold(received_bytes + CALL_BYTES)
    )
    held.hold(decoded_size(frame) + CALL_BYTES)
    return decode_call(frame)


def _limit_buffers(listener: SocketListener) -> None:
    """Limits what the kernel holds for each connection from now on."""
    raw_socket = listener.extra(SocketAttribute.raw_socket)
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        raw_socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


def _pause_reading(stream: ByteStream) -> None:
    """Reads no more than what is received from an accepted connection.

    On asyncio anyio pauses a connection after it has waited for bytes. If
    some are there before the first wait, it would read on without end.
    """
    transport = getattr(stream, '_transport', None)
    if transport is not None:
        transport.pause_reading()


def _encode_error(call: Call, problem: Problem) -> bytes:
    return encode_result(
        CallResult(call.method, call.sequence_id, None, problem)
    )


def _encode_reply(call: Call, reply: Any) -> bytes:
    frame = encode_result(
        CallResult(call.method, call.sequence_id, reply, None)
    )
    if len(frame) > RPC_MAX_FRAME_BYTES:
        raise OutcomeUnknownError(
            f'the reply has {len(frame)} bytes, over {RPC_MAX_FRAME_BYTES}',
            where=call.method,
        )
    return frame
