"""RPC client: a connection to one peer, shared by all calls."""

import itertools
import ssl
from collections.abc import Callable
from typing import TypeAlias

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.constants import RPC_MAX_PENDING_CALLS
from mulberryhitch.errors import (
    ConnectionLostError,
    DeadlinePassedError,
    OutcomeUnknownError,
    OverloadedError,
    Problem,
    ProtocolError,
    UnreachableError,
    error_from_problem,
)
from mulberryhitch.rpc.codec import Call, CallResult
from mulberryhitch.rpc.connecting import open_stream
from mulberryhitch.rpc.frames import FrameStream
from mulberryhitch.rpc.link import Link
from mulberryhitch.rpc.messages import CallHeader, Reply, Request

TlsContextProvider: TypeAlias = Callable[[], ssl.SSLContext | None]


_MIN_WATCH_SECONDS = 0.1


class _ConnectAttempt:
    """An attempt to connect, shared by all calls that wait for it.

    Attributes:
        changed: Set when the attempt ends, or the present link is found to
            work after all; then replaced.
        problem: Why the attempt failed.
    """

    def __init__(self) -> None:
        self.changed = anyio.Event()
        self.problem: Problem | None = None

    def wake(self) -> None:
        """Wakes the calls that wait."""
        changed = self.changed
        self.changed = anyio.Event()
        changed.set()


class PeerConnection:
    """Connection to one peer, opened and replaced as needed.

    Calls that time out neither end the attempt to connect nor close the link:
    both belong to the connection, and have their own time limits.

    Args:
        caller: This member's id.
        host: The peer's IP address.
        port: The peer's TCP port.
        tls_context: Returns the current TLS context, or None for plain TCP.
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
        self._link: Link | None = None
        self._attempt: _ConnectAttempt | None = None
        self._tasks: TaskGroup | None = None

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
            TooLargeError: The call exceeds a frame; nothing was sent.
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
        if self._link and self._link.pending_calls >= RPC_MAX_PENDING_CALLS:
            raise OverloadedError(
                f'{RPC_MAX_PENDING_CALLS} calls already pending',
                where=self._host,
            )
        call_result = await self._exchange(method, request, timeout_seconds)
        if call_result.problem is not None:
            raise error_from_problem(call_result.problem)
        if call_result.reply is None:
            raise ProtocolError(
                'result has neither reply nor problem', where=self._host
            )
        return call_result.reply

    async def _exchange(
        self, method: str, request: Request, timeout_seconds: float
    ) -> CallResult:
        header = CallHeader(self._caller, timeout_seconds)
        call = Call(method, next(self._sequence_ids), header, request)
        link: Link | None = None
        sent_at = anyio.current_time()
        try:
            with anyio.fail_after(timeout_seconds):
                link = await self._working_link()
                sent_at = anyio.current_time()
                return await link.exchange(call)
        except ConnectionLostError as error:
            raise ConnectionLostError(error.what, where=self._host) from error
        except TimeoutError as error:
            if link is None:
                raise DeadlinePassedError(
                    f'not connected in {timeout_seconds:.3f} s',
                    where=self._host,
                ) from error
            self._record_timeout(link, sent_at)
            raise OutcomeUnknownError(
                f'no reply to {method} in {timeout_seconds:.3f} s',
                where=self._host,
            ) from error

    async def _working_link(self) -> Link:
        """Returns the link, or a new one if it is closed or given up."""
        while True:
            link = self._link
            if link is not None and link.is_working:
                return link
            attempt = self._attempt or self._start_attempt()
            await attempt.changed.wait()
            if attempt.problem is not None:
                raise error_from_problem(attempt.problem)

    def _start_attempt(self) -> _ConnectAttempt:
        if self._tasks is None:
            raise UnreachableError('client is not running', where=self._host)
        attempt = _ConnectAttempt()
        self._attempt = attempt
        self._tasks.start_soon(self._open_link, attempt)
        return attempt

    async def _open_link(self, attempt: _ConnectAttempt) -> None:
        stopped = UnreachableError('client was stopped', where=self._host)
        problem: Problem | None = stopped.problem
        try:
            stream = await open_stream(
                self._host, self._port, self._tls_context()
            )
        except UnreachableError as error:
            problem = error.problem
        else:
            problem = None
            await self._use(FrameStream(stream))
        finally:
            self._end_attempt(attempt, problem)

    def _end_attempt(
        self, attempt: _ConnectAttempt, problem: Problem | None
    ) -> None:
        attempt.problem = problem
        self._attempt = None
        attempt.wake()

    async def _use(self, frames: FrameStream) -> None:
        """Sends further calls over a new connection, if still needed."""
        is_needed = self._link is None or not self._link.is_working
        if self._tasks is None or not is_needed:
            await frames.aclose()
            return
        self._link = Link(frames, self._wake_waiting)
        self._tasks.start_soon(self._link.read)

    def _wake_waiting(self) -> None:
        if self._attempt is not None:
            self._attempt.wake()

    def _record_timeout(self, link: Link, sent_at: float) -> None:
        if link.is_overdue or self._tasks is None:
            return
        link.record_timeout(sent_at)
        if link.is_overdue:
            self._tasks.start_soon(self._watch, link)

    async def _watch(self, link: Link) -> None:
        """Closes an overdue link once it is silent, or replaced and unused."""
        while link.is_open and (link.is_overdue or link is not self._link):
            is_silent = link.is_overdue and link.seconds_to_silence <= 0
            is_unused = link is not self._link and not link.pending_calls
            if is_silent or is_unused:
                await link.aclose()
                return
            await anyio.sleep(max(link.seconds_to_silence, _MIN_WATCH_SECONDS))
