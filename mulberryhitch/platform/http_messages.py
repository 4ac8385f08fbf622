"""Encoding of HTTP/1.1 requests and parsing of their responses."""

import re

import httptools

from mulberryhitch.errors import UnreachableError

HttpParserError = httptools.HttpParserError

_FINAL_STATUS = 200
_HEADER_VALUE = re.compile(r'[\x21-\x7e]([\x20-\x7e]*[\x21-\x7e])?')
_REQUEST_TARGET = re.compile(r'/[\x21-\x7e]*')


class ResponseReader:
    """Reads the responses of one connection, one at a time.

    Its methods named ``on_`` are called by the parser.

    Attributes:
        is_complete: Whether a response has been read whole.
        status: Status of that response.
    """

    def __init__(self) -> None:
        """Initialises the reader; nothing has been read."""
        self._parser = httptools.HttpResponseParser(self)
        self._parts: list[bytes] = []
        self._keeps_alive = False
        self._unexpected = False
        self.is_complete = False
        self.status = 0

    @property
    def body(self) -> bytes:
        """Body of the response."""
        return b''.join(self._parts)

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another request."""
        return self._keeps_alive and not self._unexpected

    def receive(self, received: bytes) -> None:
        """Reads bytes of a response.

        Raises:
            HttpParserError: They are not those of an HTTP response.
        """
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade as error:
            raise HttpParserError('unexpected change of protocol') from error

    def expect_next(self) -> None:
        """Prepares for the response to the next request."""
        self._parts = []
        self._keeps_alive = False
        self.is_complete = False
        self.status = 0

    def on_message_begin(self) -> None:
        """Notes a second response to one request."""
        self._unexpected = self._unexpected or self.is_complete

    def on_body(self, body: bytes) -> None:
        """Keeps a part of the body."""
        if not self.is_complete:
            self._parts.append(body)

    def on_message_complete(self) -> None:
        """Ends the response, unless it was only an interim one."""
        status = self._parser.get_status_code()
        if status >= _FINAL_STATUS and not self.is_complete:
            self.status = status
            self.is_complete = True
            self._keeps_alive = self._parser.should_keep_alive()


def encode_request(
    method: str, path: str, headers: tuple[tuple[str, str], ...], body: bytes
) -> bytes:
    """Encodes a request with its headers and body.

    Raises:
        UnreachableError: The path or a header can't be sent.
    """
    if not _REQUEST_TARGET.fullmatch(path):
        raise UnreachableError(f'path {path!r} cannot be sent', where=path)
    lines = [f'{method} {path} HTTP/1.1']
    for name, text in headers:
        if not _HEADER_VALUE.fullmatch(text):
            raise UnreachableError(
                f'header {name} cannot be sent: {text!r}', where=path
            )
        lines.append(f'{name}: {text}')
    lines.append(f'Content-Length: {len(body)}\r\n\r\n')
    return '\r\n'.join(lines).encode('ascii') + body
