"""Opening a connection to a peer."""

import ssl

import anyio
from anyio.abc import ByteStream

from mulberryhitch.constants import RPC_CONNECT_TIMEOUT_SECONDS
from mulberryhitch.errors import UnreachableError

# The operating system sends a lost opening packet again only after 1 s.
_RESTART_SECONDS = 0.3

_CONNECT_ERRORS = (OSError, anyio.EndOfStream, anyio.BrokenResourceError)


class _Race:
    """Connections that are being opened; the first result counts."""

    def __init__(
        self, host: str, port: int, context: ssl.SSLContext | None
    ) -> None:
        self.ended = anyio.Event()
        self.stream: ByteStream | None = None
        self.error: Exception | None = None
        self._host = host
        self._port = port
        self._context = context

    async def enter(self) -> None:
        """Opens a connection, and closes it if it is not the first."""
        try:
            stream = await self._open()
        except _CONNECT_ERRORS as error:
            self.error = error
            self.ended.set()
            return
        if self.stream is None:
            self.stream = stream
            self.ended.set()
        else:
            await stream.aclose()

    async def _open(self) -> ByteStream:
        if self._context is None:
            return await anyio.connect_tcp(self._host, self._port)
        return await anyio.connect_tcp(
            self._host,
            self._port,
            tls=True,
            ssl_context=self._context,
            tls_standard_compatible=False,
        )


async def open_stream(
    host: str, port: int, context: ssl.SSLContext | None
) -> ByteStream:
    """Opens a connection; begins again beside an attempt without an answer.

    Args:
        host: The peer's IP address.
        port: The peer's TCP port.
        context: The TLS context, or None for plain TCP.

    Raises:
        UnreachableError: The peer refused, or did not answer within
            ``RPC_CONNECT_TIMEOUT_SECONDS``.
    """
    race = _Race(host, port, context)
    with anyio.move_on_after(RPC_CONNECT_TIMEOUT_SECONDS):
        async with anyio.create_task_group() as tasks:
            while not race.ended.is_set():
                tasks.start_soon(race.enter)
                with anyio.move_on_after(_RESTART_SECONDS):
                    await race.ended.wait()
            tasks.cancel_scope.cancel()
    if race.stream is None:
        cause = repr(race.error) if race.error else 'no answer'
        raise UnreachableError(
            f'connection failed: {cause}', where=f'{host}:{port}'
        )
    return race.stream
