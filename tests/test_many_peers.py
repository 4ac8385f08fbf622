"""A scheduler to which the processes of a large cell connect at once."""

from collections import Counter
from pathlib import Path

import anyio
from anyio.abc import TaskStatus

from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import HelloRequest
from tests.limited_cell import (
    TARGETS,
    ProcessLimits,
    address_of,
    running_cell,
)

# Those of a VM that runs a scheduler.
LIMITS = ProcessLimits(memory_megabytes=296, descriptors=1024)
PEERS = 250
ANSWER_SECONDS = 30
HELLO = HelloRequest('jobs', 'other', configured=False)


def test_peers_that_connect_at_once_are_all_answered(tmp_path: Path) -> None:
    """Guards against limits that processes of the cell meet."""
    target = TARGETS['scheduler internal']

    async def main() -> Counter[str]:
        outcomes: Counter[str] = Counter()

        async def call(peer: PeerConnection) -> None:
            try:
                await peer.call('hello', HELLO, ANSWER_SECONDS)
            except MulberryhitchError as error:
                outcomes[error.problem.code] += 1
            else:
                outcomes['answered'] += 1

        async with running_cell(tmp_path, LIMITS) as cell:
            address = address_of(cell, target)
            async with anyio.create_task_group() as tasks:
                peers = [
                    PeerConnection(f'peer-{number}', *address)
                    for number in range(PEERS)
                ]
                for peer in peers:
                    await tasks.start(_run, peer)
                async with anyio.create_task_group() as calls:
                    for peer in peers:
                        calls.start_soon(call, peer)
                tasks.cancel_scope.cancel()
        return outcomes

    assert anyio.run(main) == {'answered': PEERS}


async def _run(peer: PeerConnection, task_status: TaskStatus[None]) -> None:
    task_status.started()
    await peer.run()
