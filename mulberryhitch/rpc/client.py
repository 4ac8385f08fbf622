"""The calling side: one connection, and one reading task, for each peer."""

import itertools
import math
import ssl
from collections.abc import Callable
from typing import TypeAlias

import anyio
from anyio.abc import ByteStream, TaskGroup

from mulberryhitch.constants import (
    RPC_CONNECT_TIMEOUT_SECONDS,
    RPC_MAXIMUM_PENDING_CALLS,
)
from mulberryhitch.errors import (
    ConnectionLostError,
    DeadlinePassedError,
    MulberryhitchError,
    OutcomeUnknownError,
    OverloadedError,
    ProtocolError,
    UnreachableError,
    error_of,
)
from mulberryhitch.rpc.codec import Answer, Call, decode_answer, encode_call
from mulberryhitch.rpc.frames import FrameStream
from mulberryhitch.rpc.messages import CallHeader, Reply, Request

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

TlsContext: TypeAlias = Callable[[], ssl.SSLContext | None]


class _Pending:
    """A call that waits for its answer."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.answer: Answer | None = None


class PeerConnection:
    """Calls one peer; an answer is paired with its call by sequence id.

    Args:
        caller: This member's id.
        host: The peer's IP number.
        port: The peer's TCP port.
        tls_context: Gives the current TLS context, or nothing for plain TCP.
    """

    def __init__(
        self,
        caller: str,
        host: str,
        port: int,
        tls_context: TlsContext = lambda: None,
    ) -> None:
        """Connects at the first call."""
        self._caller = caller
        self._host = host
        self._port = port
        self._tls_context = tls_context
        self._ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._frames: FrameStream | None = None
        self._connecting = anyio.Lock()
        self._sending = anyio.Lock()
        self._tasks: TaskGroup | None = None
        self._heard_at = -math.inf
        self.unmatched_answers = 0

    async def run(self) -> None:
        """Serves calls until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await anyio.sleep_forever()

    async def call(
        self, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls the peer and waits for its answer.

        Raises:
            UnreachableError: Nothing was sent.
            DeadlinePassedError: Nothing was sent in time.
            ConnectionLostError: It was sent, and may have been carried out.
            OutcomeUnknownError: It was sent; no answer came in time.
        """
        if len(self._pending) >= RPC_MAXIMUM_PENDING_CALLS:
            raise OverloadedError('too many calls', where=self._host)
        sequence_id = next(self._ids)
        frame = encode_call(
            Call(
                method,
                sequence_id,
                CallHeader(self._caller, timeout_seconds),
                request,
            ),
        )
        pending = _Pending()
        sent = False
        began = anyio.current_time()
        try:
            with anyio.fail_after(timeout_seconds):
                frames = await self._connected()
                self._pending[sequence_id] = pending
                sent = True
                await self._send(frames, frame)
                await pending.done.wait()
        except TimeoutError as error:
            if sent:
                self._drop_silent(began)
                raise OutcomeUnknownError(
                    f'no answer to {method} in {timeout_seconds:.3f} s',
                    where=self._host,
                ) from error
            raise DeadlinePassedError(
                f'not connected in {timeout_seconds:.3f} s', where=self._host
            ) from error
        finally:
            self._pending.pop(sequence_id, None)
        return self._unwrap(pending.answer)

    def _unwrap(self, answer: Answer | None) -> Reply:
        if answer is None:
            raise ConnectionLostError('connection lost', where=self._host)
        if answer.problem is not None:
            raise error_of(answer.problem)
        if answer.reply is None:
            raise ProtocolError('an empty answer', where=self._host)
        return answer.reply

    async def _send(self, frames: FrameStream, frame: bytes) -> None:
        try:
            async with self._sending:
                await frames.send(frame)
        except _CONNECTION_ERRORS as error:
            self._forget(frames)
            raise ConnectionLostError(
                'connection lost', where=self._host
            ) from error
        except anyio.get_cancelled_exc_class():
            self._forget(frames)
            raise

    async def _connected(self) -> FrameStream:
        async with self._connecting:
            if self._frames is None:
                self._frames = FrameStream(await self._connect())
                if self._tasks is None:
                    raise UnreachableError('not started', where=self._host)
                self._tasks.start_soon(self._read, self._frames)
            return self._frames

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
                'no connection', where=f'{self._host}:{self._port}'
            ) from error

    async def _read(self, frames: FrameStream) -> None:
        try:
            while True:
                answer = decode_answer(await frames.receive())
                self._heard_at = anyio.current_time()
                self._deliver(answer)
        except (
            *_CONNECTION_ERRORS,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            MulberryhitchError,
        ):
            self._forget(frames)
        finally:
            with anyio.CancelScope(shield=True):
                await frames.aclose()

    def _deliver(self, answer: Answer) -> None:
        pending = self._pending.get(answer.sequence_id)
        if pending is None:
            self.unmatched_answers += 1
            return
        pending.answer = answer
        pending.done.set()

    def _drop_silent(self, since: float) -> None:
        """Gives up a connection that has carried nothing back since then.

        It may be silent for good; the next call opens a new one.
        """
        frames = self._frames
        if frames is None or self._heard_at >= since or self._tasks is None:
            return
        self._forget(frames)
        self._tasks.start_soon(frames.aclose)

    def _forget(self, frames: FrameStream) -> None:
        if self._frames is not frames:
            return
        self._frames = None
        for pending in self._pending.values():
            pending.done.set()
