"""Thrift's framed transport over an anyio byte stream."""

from collections.abc import Callable

from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from mulberryhitch.constants import RPC_MAX_FRAME_BYTES
from mulberryhitch.errors import ProtocolError

_LENGTH_BYTES = 4
_PART_BYTES = 64 * 1024


class FrameStream:
    """Frames of one connection, for one reader and one writer at a time.

    Args:
        stream: The connection.
    """

    def __init__(self, stream: ByteStream) -> None:
        """Initialises the receive buffer."""
        self._stream = stream
        self._buffered = BufferedByteReceiveStream(stream)

    async def receive(
        self, on_part: Callable[[int], None] = lambda held_bytes: None
    ) -> bytes:
        """Reads one frame.

        Args:
            on_part: Called with the number of bytes received so far.

        Raises:
            ProtocolError: The frame is longer than
                ``RPC_MAX_FRAME_BYTES``.
        """
        prefix = await self._buffered.receive_exactly(_LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        if length > RPC_MAX_FRAME_BYTES:
            raise ProtocolError(
                f'frame of {length} bytes exceeds the limit of '
                f'{RPC_MAX_FRAME_BYTES} bytes'
            )
        frame = bytearray()
        while len(frame) < length:
            remaining = min(length - len(frame), _PART_BYTES)
            frame += await self._buffered.receive(remaining)
            on_part(len(frame))
        return bytes(frame)

    async def send(self, frame: bytes) -> None:
        """Writes one frame."""
        prefix = len(frame).to_bytes(_LENGTH_BYTES, 'big')
        await self._stream.send(prefix + frame)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()
