"""A client that sees where a connection's answers end."""

import asyncio
import re

import orjson

from tests.platform_harness import HOST

_PART_BYTES = 64 * 1024
_CONTENT_LENGTH = re.compile(rb'\r\ncontent-length: *(\d+)', re.IGNORECASE)


class NoCompleteAnswer(Exception):
    """A connection ended before the answer to a request was complete."""


def request_head(method: str, path: str, body_bytes: int) -> bytes:
    """Returns the bytes of a request before its body."""
    return (
        f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'Content-Length: {body_bytes}\r\n\r\n'
    ).encode()


def request_bytes(method: str, path: str, content: object = None) -> bytes:
    body = b'' if content is None else orjson.dumps(content)
    return request_head(method, path, len(body)) + body


class RawConnection:
    """An open connection; answers are read in the order of the requests."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, host: str, port: int) -> 'RawConnection':
        return cls(*await asyncio.open_connection(host, port))

    async def send(self, data: bytes) -> None:
        self._writer.write(data)
        await self._writer.drain()

    async def read_answer(self) -> tuple[int, bytes]:
        """Returns the status and the headers of a complete answer.

        Raises:
            NoCompleteAnswer: The connection ended before.
        """
        try:
            headers = await self._reader.readuntil(b'\r\n\r\n')
            length = _CONTENT_LENGTH.search(headers)
            await self._reader.readexactly(int(length[1]) if length else 0)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise NoCompleteAnswer(repr(error)) from error
        return int(headers.split()[1]), headers.lower()

    async def wait_closed_by_peer(self) -> None:
        """Drops what is received until the other side closes."""
        while await self._reader.read(_PART_BYTES):
            pass

    def end_sending(self) -> None:
        """Closes this side of the connection; answers can still be read."""
        self._writer.write_eof()

    def close(self) -> None:
        self._writer.close()
