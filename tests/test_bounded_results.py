"""Results for a peer that doesn't read are bounded in bytes."""

from collections import Counter

import anyio
from anyio.streams.stapled import StapledObjectStream

from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.codec import Call, decode_result, encode_call
from mulberryhitch.rpc.frames import FrameStream
from mulberryhitch.rpc.messages import CallHeader, HelloReply, HelloRequest
from mulberryhitch.rpc.server import RpcServer
from tests.replica_group import run_with_mock_clock

MEBIBYTE = 1024 * 1024
HEADER = CallHeader('caller', 20)


def make_peer_stream() -> tuple[StapledObjectStream, StapledObjectStream]:
    """Returns both ends of a connection without a buffer."""
    to_server, from_peer = anyio.create_memory_object_stream[bytes](0)
    to_peer, from_server = anyio.create_memory_object_stream[bytes](0)
    return (
        StapledObjectStream(to_server, from_server),
        StapledObjectStream(to_peer, from_peer),
    )


async def reply_at_length(request: HelloRequest) -> HelloReply:
    size = MEBIBYTE if request.group == 'large' else 1
    return HelloReply('x' * size, False, [], [], 0)


def test_large_results_that_a_peer_does_not_read_are_refused() -> None:
    async def main() -> None:
        server = RpcServer(Log('test'))
        server.register('hello', reply_at_length)
        peer_end, server_end = make_peer_stream()
        frames = FrameStream(peer_end)  # type: ignore[arg-type]
        codes: Counter[str] = Counter()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server._handle_connection, server_end)
            for number in range(120):
                group = 'large' if number < 60 else 'small'
                request = HelloRequest(group, 'replica', configured=False)
                await frames.send(
                    encode_call(Call('hello', number, HEADER, request))
                )
            await anyio.sleep(5)
            for _ in range(120):
                answer = decode_result(await frames.receive())
                kind = 'large' if answer.sequence_id < 60 else 'small'
                code = answer.problem.code if answer.problem else 'reply'
                codes[f'{kind} {code}'] += 1
            tasks.cancel_scope.cancel()
        assert codes['large overloaded'] >= 60 - 9
        assert codes['large reply'] >= 7
        assert codes['small reply'] == 60

    run_with_mock_clock(main)
