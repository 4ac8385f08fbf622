"""RPC client: one connection and one reader task per peer."""

import itertools
import math
import ssl
from collections.abc import Callable
from typing import TypeAlias

import anyio
from anyio.abc import ByteStream, TaskGroup

from mulberryhitch.constants import (
    RPC_CONNECT_TIMEOUT_SECONDS,
    RPC_MAX_PENDING_CALLS,
)
from mulberryhitch.errors import (
    ConnectionLostError,
    DeadlinePassedError,
    MulberryhitchError,
    OutcomeUnknownError,
    OverloadedError,
    Problem,
    ProtocolError,
    UnreachableError,
    error_from_problem,
)
from mulberryhitch.rpc.codec import Call, CallResult, decode_result, encode_call
from mulberryhitch.rpc.frames import FrameStream
from mulberryhitch.rpc.messages import CallHeader, Reply, Request

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

TlsContextProvider: TypeAlias = Callable[[], ssl.SSLContext | None]


class _PendingCall:
    """A call in flight; done without a result if the connection is lost."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.call_result: CallResult | None = None


class _ConnectAttempt:
    """An attempt to connect, shared by all calls that wait for it.

    Attributes:
        ended: Set when the attempt ends.
        problem: Why the attempt failed.
    """

    def __init__(self) -> None:
        self.ended = anyio.Event()
        self.problem: Problem | None = None


class PeerConnection:
    """Connection to one peer; results are matched to calls by sequence id.

    A call that times out doesn't end the attempt to connect, which has its own
    time limit.

    Args:
        caller: This member's id.
        host: The peer's IP address.
        port: The peer's TCP port.
        tls_context: Returns the current TLS context, or None for plain TCP.

    Attributes:
        unmatched_results: Number of results without a pending call, such as
            those received after the timeout.
    """

    def __init__(
        self,
        caller: str,
        host: str,
        port: int,
        tls_context: TlsContextProvider = lambda: None,
    ) -> None:
        """Initialises the connection, which the first call opens."""
        self._caller = caller
        self._host = host
        self._port = port
        self._tls_context = tls_context
        self._sequence_ids = itertools.count(1)
        self._pending: dict[int, _PendingCall] = {}
        self._frames: FrameStream | None = None
        self._attempt: _ConnectAttempt | None = None
        self._send_lock = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._last_received_at = -math.inf
        self.unmatched_results = 0

    async def run(self) -> None:
        """Runs the reader tasks until cancelled; required by :meth:`call`."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            try:
                await anyio.sleep_forever()
            finally:
                self._tasks = None

    async def call(
        self, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls a method of the peer and returns its reply.

        Raises:
            OverloadedError: Too many calls are pending; nothing was sent.
            UnreachableError: No connection could be made, or :meth:`run` is
                not running; nothing was sent.
            DeadlinePassedError: The connection was not made within the
                timeout; nothing was sent.
            ConnectionLostError: The call was sent and may have been executed.
            OutcomeUnknownError: The call was sent; no reply within the timeout.
            ProtocolError: The result has neither a reply nor a problem.
            MulberryhitchError: The peer reported this error.
        """
        if len(self._pending) >= RPC_MAX_PENDING_CALLS:
            raise OverloadedError(
                f'{RPC_MAX_PENDING_CALLS} calls already pending',
                where=self._host,
            )
        sequence_id = next(self._sequence_ids)
        frame = encode_call(
            Call(
                method,
                sequence_id,
                CallHeader(self._caller, timeout_seconds),
                request,
            ),
        )
        pending = _PendingCall()
        sent = False
        started_at = anyio.current_time()
        try:
            with anyio.fail_after(timeout_seconds):
                frames = await self._ensure_connected()
                self._pending[sequence_id] = pending
                sent = True
                await self._send(frames, frame)
                await pending.done.wait()
        except TimeoutError as error:
            if sent:
                self._drop_unresponsive(started_at)
                raise OutcomeUnknownError(
                    f'no reply to {method} in {timeout_seconds:.3f} s',
                    where=self._host,
                ) from error
            raise DeadlinePassedError(
                f'not connected in {timeout_seconds:.3f} s', where=self._host
            ) from error
        finally:
            self._pending.pop(sequence_id, None)
        return self._reply_of(pending.call_result)

    def _reply_of(self, call_result: CallResult | None) -> Reply:
        if call_result is None:
            raise ConnectionLostError('connection lost', where=self._host)
        if call_result.problem is not None:
            raise error_from_problem(call_result.problem)
        if call_result.reply is None:
            raise ProtocolError(
                'result has neither reply nor problem', where=self._host
            )
        return call_result.reply

    async def _send(self, frames: FrameStream, frame: bytes) -> None:
        try:
            async with self._send_lock:
                await frames.send(frame)
        except _CONNECTION_ERRORS as error:
            self._discard(frames)
            raise ConnectionLostError(
                f'connection lost: {error!r}', where=self._host
            ) from error
        except anyio.get_cancelled_exc_class():
            self._discard(frames)
            raise

    async def _ensure_connected(self) -> FrameStream:
        while self._frames is None:
            attempt = self._attempt or self._start_attempt()
            await attempt.ended.wait()
            if attempt.problem is not None:
                raise error_from_problem(attempt.problem)
        return self._frames

    def _start_attempt(self) -> _ConnectAttempt:
        if self._tasks is None:
            raise UnreachableError('client is not running', where=self._host)
        attempt = _ConnectAttempt()
        self._attempt = attempt
        self._tasks.start_soon(self._open, attempt)
        return attempt

    async def _open(self, attempt: _ConnectAttempt) -> None:
        stopped = UnreachableError('client was stopped', where=self._host)
        attempt.problem = stopped.problem
        try:
            self._frames = FrameStream(await self._connect())
        except UnreachableError as error:
            attempt.problem = error.problem
        else:
            attempt.problem = None
            if self._tasks is not None:
                self._tasks.start_soon(self._read_results, self._frames)
        finally:
            self._attempt = None
            attempt.ended.set()

    async def _connect(self) -> ByteStream:
        context = self._tls_context()
        try:
            with anyio.fail_after(RPC_CONNECT_TIMEOUT_SECONDS):
                if context is None:
                    return await anyio.connect_tcp(self._host, self._port)
                return await anyio.connect_tcp(
                    self._host,
                    self._port,
                    tls=True,
                    ssl_context=context,
                    tls_standard_compatible=False,
                )
        except (OSError, TimeoutError) as error:
            raise UnreachableError(
                f'connection failed: {error!r}',
                where=f'{self._host}:{self._port}',
            ) from error

    async def _read_results(self, frames: FrameStream) -> None:
        try:
            while True:
                call_result = decode_result(await frames.receive())
                self._last_received_at = anyio.current_time()
                self._deliver(call_result)
        except (
            *_CONNECTION_ERRORS,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            MulberryhitchError,
        ):
            self._discard(frames)
        finally:
            with anyio.CancelScope(shield=True):
                await frames.aclose()

    def _deliver(self, call_result: CallResult) -> None:
        pending = self._pending.get(call_result.sequence_id)
        if pending is None:
            self.unmatched_results += 1
            return
        pending.call_result = call_result
        pending.done.set()

    def _drop_unresponsive(self, since: float) -> None:
        """Closes the connection if nothing was received after ``since``.

        It may be half-open; the next call opens a new connection.
        """
        frames = self._frames
        if (
            frames is None
            or self._last_received_at >= since
            or self._tasks is None
        ):
            return
        self._discard(frames)
        self._tasks.start_soon(frames.aclose)

    def _discard(self, frames: FrameStream) -> None:
        if self._frames is not frames:
            return
        self._frames = None
        for pending in self._pending.values():
            pending.done.set()
