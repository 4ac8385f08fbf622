"""Admits requests that take much memory and time, in turn."""

from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from typing import Final

import anyio

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.errors import OverloadedError

# A request below it is never held up.
_LEAST_BYTES: Final = 16 * 1024
_MAX_HANDLED_BYTES: Final = BYTES_PER_MEBIBYTE
_MAX_WAITING_BYTES: Final = 2 * BYTES_PER_MEBIBYTE
# The rest of a request's time is for handling it.
_WAIT_SHARE: Final = 0.5
_RETRY_AFTER_SECONDS: Final = 1.0


class _CostlyRequest:
    """A request that waits for its turn or is handled."""

    def __init__(self, size_bytes: int) -> None:
        self.size_bytes = size_bytes
        self.turn = anyio.Event()


class _Turns:
    """Requests that wait, in the order in which they came, or are handled.

    So many wait as can be expected to get their turn in time.
    """

    def __init__(self) -> None:
        self._waiting: dict[_CostlyRequest, None] = {}
        self._handled: set[_CostlyRequest] = set()

    def add(self, size_bytes: int) -> _CostlyRequest:
        """Adds a request that waits for its turn.

        Raises:
            OverloadedError: Too many wait.
        """
        waiting_bytes = _total_bytes(self._waiting)
        if self._waiting and waiting_bytes + size_bytes > _MAX_WAITING_BYTES:
            raise _refusal()
        request = _CostlyRequest(size_bytes)
        self._waiting[request] = None
        self._give_turns()
        return request

    def remove(self, request: _CostlyRequest) -> None:
        """Removes a request that was handled or waits no longer."""
        self._waiting.pop(request, None)
        self._handled.discard(request)
        self._give_turns()

    def _give_turns(self) -> None:
        handled_bytes = _total_bytes(self._handled)
        for request in list(self._waiting):
            handled_bytes += request.size_bytes
            if self._handled and handled_bytes > _MAX_HANDLED_BYTES:
                return
            self._waiting.pop(request)
            self._handled.add(request)
            request.turn.set()


class CostlyWork:
    """Leaves memory and time for ordinary requests beside costly ones.

    Costly requests are handled at once up to a number of bytes. Beside them
    one larger request is handled at a time.
    """

    def __init__(self) -> None:
        """Initialises the admission; nothing is handled."""
        self._costly = _Turns()
        self._largest = _Turns()

    @asynccontextmanager
    async def admitted(
        self, size_bytes: int, timeout_seconds: float
    ) -> AsyncIterator[float]:
        """Waits for a request's turn; returns the time that it has left.

        Args:
            size_bytes: What the request takes once it is parsed.
            timeout_seconds: Time limit for the request.

        Raises:
            OverloadedError: It would have no turn in time, or had none;
                nothing was done.
        """
        if size_bytes < _LEAST_BYTES:
            yield timeout_seconds
            return
        is_largest = size_bytes > _MAX_HANDLED_BYTES
        turns = self._largest if is_largest else self._costly
        deadline = anyio.current_time() + timeout_seconds
        request = turns.add(size_bytes)
        try:
            with anyio.move_on_after(timeout_seconds * _WAIT_SHARE):
                await request.turn.wait()
            if not request.turn.is_set():
                raise _refusal()
            yield deadline - anyio.current_time()
        finally:
            turns.remove(request)


def _total_bytes(requests: Iterable[_CostlyRequest]) -> int:
    return sum(request.size_bytes for request in requests)


def _refusal() -> OverloadedError:
    return OverloadedError(
        'too many large jobs are being handled',
        retry_after_seconds=_RETRY_AFTER_SECONDS,
    )
