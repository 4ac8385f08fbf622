"""One open connection to a peer and the calls that were sent over it."""

import math
from collections.abc import Callable

import anyio

from mulberryhitch.constants import RPC_MAX_FRAME_BYTES, RPC_SILENCE_SECONDS
from mulberryhitch.errors import (
    ConnectionLostError,
    MulberryhitchError,
    TooLargeError,
)
from mulberryhitch.rpc.codec import (
    Call,
    CallResult,
    decode_result,
    encode_call,
)
from mulberryhitch.rpc.frames import FrameStream

_CONNECTION_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class _PendingCall:
    """A call in flight; done without a result if the connection is lost."""

    def __init__(self) -> None:
        self.done = anyio.Event()
        self.call_result: CallResult | None = None


class Link:
    """One open connection; results are matched to calls by sequence id.

    Args:
        frames: The connection.
        on_result: Called with each result, after the call has got it.

    Attributes:
        is_open: Whether the connection is not known to be lost.
        is_overdue: Whether a call timed out, and nothing was received since
            it was sent. The peer may be gone, or only slow.
    """

    def __init__(
        self,
        frames: FrameStream,
        on_result: Callable[[], None] = lambda: None,
    ) -> None:
        """Initialises the link; ``read`` receives the results."""
        self._frames = frames
        self._on_result = on_result
        self._pending: dict[int, _PendingCall] = {}
        self._send_lock = anyio.Lock()
        self._received_at = -math.inf
        self._awaited_since = math.inf
        self.is_open = True
        self.is_overdue = False

    @property
    def is_working(self) -> bool:
        """Whether further calls should be sent over this link.

        A link that has never delivered a result is given up at its first call
        that times out, any other only when it is closed.
        """
        never_delivered = math.isinf(self._received_at)
        return self.is_open and not (self.is_overdue and never_delivered)

    @property
    def pending_calls(self) -> int:
        """Number of calls that wait for their results."""
        return len(self._pending)

    @property
    def seconds_to_silence(self) -> float:
        """Time until an awaited result is overdue; at most the whole limit."""
        waited = anyio.current_time() - self._awaited_since
        return RPC_SILENCE_SECONDS - max(waited, 0)

    async def exchange(self, call: Call) -> CallResult:
        """Sends a call and returns its result.

        The frame of the call is kept only while it is being sent.

        Raises:
            TooLargeError: The call exceeds a frame; nothing was sent.
            ConnectionLostError: The connection was lost; the call may have
                been executed.
        """
        pending = _PendingCall()
        self._pending[call.sequence_id] = pending
        try:
            await self._send(call)
            await pending.done.wait()
        finally:
            self._pending.pop(call.sequence_id, None)
        if pending.call_result is None:
            raise ConnectionLostError('connection lost')
        return pending.call_result

    async def read(self) -> None:
        """Receives results until the connection is lost."""
        try:
            while True:
                self._deliver(decode_result(await self._frames.receive()))
        except (
            *_CONNECTION_ERRORS,
            anyio.EndOfStream,
            anyio.IncompleteRead,
            MulberryhitchError,
        ):
            return
        finally:
            self.close()
            with anyio.CancelScope(shield=True):
                await self._frames.aclose()

    async def aclose(self) -> None:
        """Closes the connection; its calls are lost."""
        self.close()
        await self._frames.aclose()

    def close(self) -> None:
        """Ends all calls, and admits no other."""
        self.is_open = False
        for pending in self._pending.values():
            pending.done.set()

    def record_timeout(self, sent_at: float) -> None:
        """Records that a call which was sent at this time got no result."""
        self.is_overdue = self._received_at < sent_at

    async def _send(self, call: Call) -> None:
        async with self._send_lock:
            frame = _encode_frame(call)
            if math.isinf(self._awaited_since):
                self._awaited_since = anyio.current_time()
            try:
                await self._frames.send(frame)
            except _CONNECTION_ERRORS as error:
                self.close()
                raise ConnectionLostError(
                    f'connection lost: {error!r}'
                ) from error
            except anyio.get_cancelled_exc_class():
                # A part of the frame may have been sent.
                self.close()
                raise

    def _deliver(self, call_result: CallResult) -> None:
        self._received_at = anyio.current_time()
        pending = self._pending.pop(call_result.sequence_id, None)
        self._awaited_since = self._received_at if self._pending else math.inf
        self.is_overdue = False
        if pending is not None:
            pending.call_result = call_result
            pending.done.set()
        self._on_result()


def _encode_frame(call: Call) -> bytes:
    frame = encode_call(call)
    if len(frame) > RPC_MAX_FRAME_BYTES:
        raise TooLargeError(
            f'{call.method} has {len(frame)} bytes, over {RPC_MAX_FRAME_BYTES}'
        )
    return frame
