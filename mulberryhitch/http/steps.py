"""Handles what connections have received in small steps, in turn.

A read may contain thousands of chunks or requests. Handling all of them at
once, for hundreds of connections, would leave no time for other requests.
"""

import asyncio
from typing import Final, Protocol

import h11

# Also the parts of a body that arrives in chunks of one byte.
_EVENTS_IN_STEP: Final = 32


class SteppedConnection(h11.Connection):
    """Parser of a connection that returns a bounded number of events a step.

    Attributes:
        is_suspended: Whether received bytes wait for the next step.
    """

    is_suspended = False
    _events_left = _EVENTS_IN_STEP

    @property
    def has_pipelined_request(self) -> bool:
        """Whether bytes of another request follow the one in progress."""
        is_read = self.their_state is h11.DONE
        return is_read and bool(self.trailing_data[0])

    def begin_step(self) -> None:
        """Allows for the events of one step."""
        self.is_suspended = False
        self._events_left = _EVENTS_IN_STEP

    def next_event(
        self,
    ) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Returns the next event; ``NEED_DATA`` at the end of a step."""
        if not self._events_left:
            self.is_suspended = True
            return h11.NEED_DATA
        self._events_left -= 1
        return super().next_event()


class SteppedReader(Protocol):
    """A connection with received bytes that wait for their next step."""

    def run_step(self) -> None:
        """Handles some of the bytes."""


class StepQueue:
    """Connections that wait for their next step; one a round of the loop."""

    def __init__(self) -> None:
        """Initialises an empty queue."""
        # A dictionary keeps the order, and removes in constant time.
        self._waiting: dict[SteppedReader, None] = {}
        self._is_scheduled = False

    def add(self, reader: SteppedReader) -> None:
        """Adds a connection at the end, unless it waits already."""
        self._waiting.setdefault(reader)
        self._schedule()

    def remove(self, reader: SteppedReader) -> None:
        """Removes a connection, if it waits."""
        self._waiting.pop(reader, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_next)

    def _run_next(self) -> None:
        self._is_scheduled = False
        reader = next(iter(self._waiting), None)
        if reader is None:
            return
        self._waiting.pop(reader)
        # Before the step, so that an error in it does not stop the others.
        self._schedule()
        reader.run_step()
