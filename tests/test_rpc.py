"""RPC calls over connections that are closed or unresponsive."""

import asyncio
import errno
import ssl
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest
from anyio.abc import SocketStream

from mulberryhitch.constants import RPC_MAX_FRAME_BYTES
from mulberryhitch.errors import (
    ConnectionLostError,
    DeadlinePassedError,
    OutcomeUnknownError,
    TooLargeError,
    UnreachableError,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.link import Link
from mulberryhitch.rpc.messages import HelloReply, HelloRequest
from mulberryhitch.rpc.server import RpcServer
from tests.local_cell import find_free_ports

HELLO = HelloRequest('group', 'replica', configured=False)


async def _reply_to_hello(request: HelloRequest) -> HelloReply:
    return HelloReply('other', False, [], [], 0)


class CountingServer:
    """Counts its connections."""

    def __init__(self, rpc: RpcServer) -> None:
        self.accepted = 0
        self.rpc = rpc

    async def serve(self, task_status: Any) -> None:
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener:
            task_status.started(port)
            await listener.serve(self._handle_connection)

    async def _handle_connection(self, stream: SocketStream) -> None:
        self.accepted += 1
        await self.rpc._handle_connection(stream)


class StallingServer(CountingServer):
    """Never answers on the first connection, and serves later ones."""

    def __init__(self) -> None:
        super().__init__(RpcServer(Log('test')))
        self.rpc.register('hello', _reply_to_hello)

    async def _handle_connection(self, stream: SocketStream) -> None:
        if not self.accepted:
            self.accepted += 1
            await anyio.sleep_forever()
        await super()._handle_connection(stream)


SLOW = HelloRequest('slow', 'replica', configured=False)


class SilenceableServer(RpcServer):
    """Sends no result while it is silent, not even an error."""

    is_silent = False

    async def _handle_call(self, call: Any) -> bytes:
        if self.is_silent:
            await anyio.sleep_forever()
        return await super()._handle_call(call)


class SlowServer(CountingServer):
    """Replies to slow calls after a time."""

    def __init__(self, seconds: float) -> None:
        super().__init__(SilenceableServer(Log('test')))
        self.seconds = seconds
        self.rpc.register('hello', self._reply)

    async def _reply(self, request: HelloRequest) -> HelloReply:
        if request.group == 'slow':
            await anyio.sleep(self.seconds)
        return await _reply_to_hello(request)


def _run_with_peer(
    server: SlowServer, play: Callable[[PeerConnection], Awaitable[None]]
) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve)
            peer = PeerConnection('caller', '127.0.0.1', port)
            tasks.start_soon(peer.run)
            await anyio.sleep(0)
            await play(peer)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_a_call_that_times_out_does_not_fail_the_others() -> None:
    replies = []

    async def call_slowly(peer: PeerConnection) -> None:
        replies.append(await peer.call('hello', SLOW, 20))

    async def play(peer: PeerConnection) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_slowly, peer)
            await anyio.sleep(0.1)
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', SLOW, 0.1)
        assert len(replies) == 1

    _run_with_peer(SlowServer(0.6), play)


def test_calls_that_wait_for_answers_keep_no_frames_in_memory() -> None:
    large = HelloRequest('x' * 1024 * 1024, 'replica', configured=False)

    async def read_only(stream: SocketStream) -> None:
        async for _ in stream:
            """Never answers."""

    async def call(peer: PeerConnection) -> None:
        with pytest.raises((OutcomeUnknownError, ConnectionLostError)):
            await peer.call('hello', large, 0.9)

    async def main() -> None:
        listener = await anyio.create_tcp_listener(
            local_host='127.0.0.1', local_port=0
        )
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        peer = PeerConnection('caller', '127.0.0.1', port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, read_only)
            tasks.start_soon(peer.run)
            await anyio.sleep(0.1)
            async with anyio.create_task_group() as calls:
                before = tracemalloc.get_traced_memory()[0]
                for _ in range(40):
                    calls.start_soon(call, peer)
                await anyio.sleep(0.6)
                held = tracemalloc.get_traced_memory()[0] - before
            tasks.cancel_scope.cancel()
        assert held < 10 * 1024 * 1024

    tracemalloc.start()
    try:
        anyio.run(main)
    finally:
        tracemalloc.stop()


def test_a_call_over_the_size_of_a_frame_does_not_fail_the_others() -> None:
    replies = []

    async def call_slowly(peer: PeerConnection) -> None:
        replies.append(await peer.call('hello', SLOW, 20))

    async def play(peer: PeerConnection) -> None:
        large = HelloRequest('x' * RPC_MAX_FRAME_BYTES, 'replica', False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_slowly, peer)
            await anyio.sleep(0.1)
            with pytest.raises(TooLargeError):
                await peer.call('hello', large, 20)
        assert len(replies) == 1

    _run_with_peer(SlowServer(0.6), play)


def test_a_reply_over_the_size_of_a_frame_does_not_fail_the_others() -> None:
    server = SlowServer(0.6)
    replies = []

    async def reply_at_length(request: HelloRequest) -> HelloReply:
        if request.group == 'slow':
            return await server._reply(request)
        return HelloReply('x' * RPC_MAX_FRAME_BYTES, False, [], [], 0)

    async def call_slowly(peer: PeerConnection) -> None:
        replies.append(await peer.call('hello', SLOW, 20))

    async def play(peer: PeerConnection) -> None:
        server.rpc.register('hello', reply_at_length)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call_slowly, peer)
            await anyio.sleep(0.1)
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', HELLO, 20)
        assert len(replies) == 1

    _run_with_peer(server, play)


def test_calls_shorter_than_the_round_trip_do_not_replace_the_connection() -> (
    None
):
    server = SlowServer(0.3)

    async def play(peer: PeerConnection) -> None:
        await peer.call('hello', HELLO, 20)
        for _ in range(4):
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', SLOW, 0.2)
        await peer.call('hello', SLOW, 20)
        assert server.accepted == 1

    _run_with_peer(server, play)


def test_a_connection_that_falls_silent_is_replaced() -> None:
    server = SlowServer(0)

    async def play(peer: PeerConnection) -> None:
        await peer.call('hello', HELLO, 20)
        server.rpc.is_silent = True
        began = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_expect_lost, peer)
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', HELLO, 0.2)
        assert anyio.current_time() - began < 2
        server.rpc.is_silent = False
        await peer.call('hello', HELLO, 20)
        assert server.accepted == 2

    _run_with_peer(server, play)


async def _expect_lost(peer: PeerConnection) -> None:
    with pytest.raises(ConnectionLostError):
        await peer.call('hello', HELLO, 20)


def test_short_calls_do_not_keep_a_slow_connection_from_being_made(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = anyio.connect_tcp
    attempts = []

    async def connect_slowly(host: str, port: int) -> SocketStream:
        attempts.append(port)
        await anyio.sleep(0.5)
        return await connect(host, port)

    monkeypatch.setattr(anyio, 'connect_tcp', connect_slowly)

    async def play(peer: PeerConnection) -> None:
        for _ in range(2):
            with pytest.raises(DeadlinePassedError):
                await peer.call('hello', HELLO, 0.2)
        await peer.call('hello', HELLO, 0.4)
        assert len(attempts) == 2

    _run_with_peer(SlowServer(0), play)


def test_a_lost_opening_packet_does_not_cost_the_whole_connect_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    connect = anyio.connect_tcp
    attempts = []

    async def lose_first(host: str, port: int) -> SocketStream:
        attempts.append(port)
        if len(attempts) == 1:
            await anyio.sleep_forever()
        return await connect(host, port)

    monkeypatch.setattr(anyio, 'connect_tcp', lose_first)

    async def play(peer: PeerConnection) -> None:
        await peer.call('hello', HELLO, 0.6)

    _run_with_peer(SlowServer(0), play)


def test_an_unresponsive_connection_is_replaced() -> None:
    async def main() -> None:
        server = StallingServer()
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve)
            peer = PeerConnection('caller', '127.0.0.1', port)
            tasks.start_soon(peer.run)
            await anyio.sleep(0)
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', HELLO, 0.2)
            reply = await peer.call('hello', HELLO, 20)
            assert isinstance(reply, HelloReply)
            assert server.accepted == 2
            tasks.cancel_scope.cancel()

    anyio.run(main)


class ClosedFrameStream:
    """A frame stream that is closed while a frame is sent."""

    async def send(self, frame: bytes) -> None:
        raise anyio.ClosedResourceError

    async def receive(self) -> bytes:
        await anyio.sleep_forever()
        return b''

    async def aclose(self) -> None:
        return


def test_a_connection_closed_while_sending_fails_only_the_call() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            peer = PeerConnection('caller', '127.0.0.1', 1)
            tasks.start_soon(peer.run)
            await anyio.sleep(0)
            peer._link = Link(ClosedFrameStream())
            with pytest.raises(ConnectionLostError):
                await peer.call('hello', HELLO, 20)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class BusyFrameStream(ClosedFrameStream):
    """A frame stream that takes a while to send each frame."""

    async def send(self, frame: bytes) -> None:
        await anyio.sleep(0.3)


def test_a_call_that_waits_to_send_does_not_end_the_connection() -> None:
    async def main() -> None:
        async with anyio.create_task_group() as tasks:
            peer = PeerConnection('caller', '127.0.0.1', 1)
            tasks.start_soon(peer.run)
            await anyio.sleep(0)
            link = Link(BusyFrameStream())
            peer._link = link
            tasks.start_soon(_expect_timeout, peer)
            await anyio.sleep(0.1)
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', HELLO, 0.1)
            assert link.is_open
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def _expect_timeout(peer: PeerConnection) -> None:
    with pytest.raises(OutcomeUnknownError):
        await peer.call('hello', HELLO, 0.9)


async def _serve_and_wait(server: RpcServer, port: int, tasks: Any) -> None:
    tasks.start_soon(server.serve, '127.0.0.1', port)
    with anyio.fail_after(20):
        while True:
            try:
                stream = await anyio.connect_tcp('127.0.0.1', port)
            except OSError:
                await anyio.sleep(0.01)
                continue
            await stream.aclose()
            return


async def _assert_serves(port: int, tasks: Any) -> None:
    peer = PeerConnection('caller', '127.0.0.1', port)
    tasks.start_soon(peer.run)
    await anyio.sleep(0)
    assert isinstance(await peer.call('hello', HELLO, 20), HelloReply)


@pytest.mark.parametrize(
    'sent', [b'GET / HTTP/1.1\r\n\r\n', (5).to_bytes(4, 'big') + b'aaaaa']
)
def test_a_malformed_frame_ends_only_its_connection(sent: bytes) -> None:
    async def main() -> None:
        server = RpcServer(Log('test'))
        server.register('hello', _reply_to_hello)
        port = find_free_ports()
        async with anyio.create_task_group() as tasks:
            await _serve_and_wait(server, port, tasks)
            async with await anyio.connect_tcp('127.0.0.1', port) as stream:
                await stream.send(sent)
                with anyio.fail_after(20), pytest.raises(anyio.EndOfStream):
                    await stream.receive()
            await _assert_serves(port, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_a_failed_accept_does_not_end_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        loop = asyncio.get_running_loop()
        failures = [
            OSError(errno.EMFILE, 'too many open files'),
            OSError(errno.ECONNABORTED, 'connection aborted'),
        ]
        accept = loop.sock_accept

        async def fail_first(listener: Any) -> Any:
            if failures:
                raise failures.pop()
            return await accept(listener)

        monkeypatch.setattr(loop, 'sock_accept', fail_first)
        server = RpcServer(Log('test'))
        server.register('hello', _reply_to_hello)
        port = find_free_ports()
        async with anyio.create_task_group() as tasks:
            await _serve_and_wait(server, port, tasks)
            await _assert_serves(port, tasks)
            assert not failures
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_a_reply_that_cannot_be_encoded_ends_no_server() -> None:
    async def reply_beyond_64_bits(request: HelloRequest) -> HelloReply:
        return HelloReply('other', False, [], [], 2**64)

    async def main() -> None:
        server = RpcServer(Log('test'))
        server.register('hello', reply_beyond_64_bits)
        port = find_free_ports()
        async with anyio.create_task_group() as tasks:
            await _serve_and_wait(server, port, tasks)
            peer = PeerConnection('caller', '127.0.0.1', port)
            tasks.start_soon(peer.run)
            await anyio.sleep(0)
            with pytest.raises(OutcomeUnknownError):
                await peer.call('hello', HELLO, 20)
            server.register('hello', _reply_to_hello)
            await _assert_serves(port, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_a_peer_that_closes_during_the_tls_handshake_counts_as_unreachable() -> (
    None
):
    context = ssl.create_default_context()

    async def close(stream: SocketStream) -> None:
        await stream.receive()
        await stream.aclose()

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host='127.0.0.1')
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        peer = PeerConnection('caller', '127.0.0.1', port, lambda: context)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, close)
            tasks.start_soon(peer.run)
            await anyio.sleep(0)
            for _ in range(2):
                with pytest.raises(UnreachableError):
                    await peer.call('hello', HELLO, 2)
            tasks.cancel_scope.cancel()

    anyio.run(main)
