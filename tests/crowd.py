"""A crowd of clients in a process of its own, which connect again when closed.

``python -m tests.crowd HOST PORT PATH KIND COUNT`` runs until it is killed,
for two minutes at most.
"""

import asyncio
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager

from mulberryhitch.rpc.codec import Call, encode_call
from mulberryhitch.rpc.messages import CallHeader, HelloRequest
from tests.unread_clients import (
    Address,
    Behaviour,
    Clients,
    pipelined,
    request,
)

_LONGEST_SECONDS = 120
_ONE_BYTE_CHUNKS = b'1\r\nx\r\n' * 2000
_BODY_BYTES = 8 * 1024 * 1024 - 1
_STALLED_BYTES = 1024 * 1024
_FRAME_LENGTH = (16 * 1024 * 1024).to_bytes(4, 'big')
_HEAD_BYTES = 30_000
_CALLS = 200


def http_kinds(path: str) -> list[Behaviour]:
    """Returns the kinds of clients of an HTTP address.

    Args:
        path: Path of an ordinary request there.
    """
    chunked = request('POST', '/nowhere/x', 'Transfer-Encoding: chunked')
    sized = request('POST', path, f'Content-Length: {_BODY_BYTES}')
    long_head = request('GET', path, 'X-Long: ' + 'x' * _HEAD_BYTES)
    return [
        pipelined('readiness path', request('GET', '/ready')),
        pipelined('no route', request('GET', '/nowhere/x')),
        pipelined('ordinary path', request('GET', path)),
        Behaviour(
            'one-byte chunks',
            lambda: [chunked, _ONE_BYTE_CHUNKS],
            endless=True,
        ),
        Behaviour('large bodies', lambda: [sized, b'x' * _STALLED_BYTES]),
        Behaviour('unfinished heads', lambda: [long_head[:-2]]),
    ]


def internal_kinds() -> list[Behaviour]:
    """Returns the kinds of clients of an address between processes."""
    return [
        Behaviour('idle', lambda: []),
        Behaviour(
            'unfinished frames', lambda: [_FRAME_LENGTH, b'x' * _STALLED_BYTES]
        ),
        Behaviour('unread results', lambda: [_calls()], endless=True),
        Behaviour(
            'bytes without end', lambda: [b'\x00\x00\x00\x01x'], endless=True
        ),
    ]


def _calls() -> bytes:
    """Returns the frames of calls that any process answers."""
    hello = HelloRequest('nowhere', 'replica', configured=False)
    frame = encode_call(Call('hello', 1, CallHeader('caller', 1), hello))
    return (len(frame).to_bytes(4, 'big') + frame) * _CALLS


def all_kinds(path: str) -> dict[str, Behaviour]:
    """Returns all kinds of clients by name."""
    return {kind.name: kind for kind in (*http_kinds(path), *internal_kinds())}


@contextmanager
def running_crowd(
    kind: str, address: Address, path: str, count: int
) -> Iterator[None]:
    """Runs a crowd against an address."""
    host, port = address
    arguments = [host, str(port), path, kind, str(count)]
    with subprocess.Popen(  # noqa: S603
        [sys.executable, '-m', 'tests.crowd', *arguments]
    ) as process:
        try:
            yield
        finally:
            process.kill()


async def _run(host: str, port: str, path: str, kind: str, count: str) -> None:
    behaviour = all_kinds(path)[kind]
    async with Clients(behaviour, (host, int(port)), int(count)):
        await asyncio.sleep(_LONGEST_SECONDS)


if __name__ == '__main__':
    asyncio.run(_run(*sys.argv[1:]))
