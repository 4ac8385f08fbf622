"""Thrift's framed transport over an anyio byte stream."""

from anyio.abc import ByteStream
from anyio.streams.buffered import BufferedByteReceiveStream

from mulberryhitch.constants import RPC_MAXIMUM_FRAME_BYTES
from mulberryhitch.errors import ProtocolError

_LENGTH_BYTES = 4


class FrameStream:
    """Frames of one connection, for one reader and one writer at a time.

    Args:
        stream: The connection.
    """

    def __init__(self, stream: ByteStream) -> None:
        """Initialises the receive buffer."""
        self._stream = stream
        self._buffered = BufferedByteReceiveStream(stream)

    async def receive(self) -> bytes:
        """Reads one frame.

        Raises:
            ProtocolError: The frame is longer than
                ``RPC_MAXIMUM_FRAME_BYTES``.
        """
        prefix = await self._buffered.receive_exactly(_LENGTH_BYTES)
        length = int.from_bytes(prefix, 'big')
        if length > RPC_MAXIMUM_FRAME_BYTES:
            raise ProtocolError(
                f'frame of {length} bytes exceeds the limit of '
                f'{RPC_MAXIMUM_FRAME_BYTES} bytes'
            )
        return await self._buffered.receive_exactly(length)

    async def send(self, frame: bytes) -> None:
        """Writes one frame."""
        prefix = len(frame).to_bytes(_LENGTH_BYTES, 'big')
        await self._stream.send(prefix + frame)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()
