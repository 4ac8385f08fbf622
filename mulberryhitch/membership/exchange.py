"""One task for each peer: heartbeats both ways, at once when there is news."""

from collections.abc import Callable

import anyio

from mulberryhitch.constants import HEARTBEAT_INTERVAL_SECONDS
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.membership.members import MemberList
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import Heartbeat

_BATCH_SECONDS = 0.02


class Exchange:
    """Exchanges heartbeats with all peers.

    Args:
        members: Takes what is heard.
        compose: Makes this process's heartbeat.
        peers: The connections to all other processes.
    """

    def __init__(
        self,
        members: MemberList,
        compose: Callable[[], Heartbeat],
        peers: list[PeerConnection],
    ) -> None:
        """Sends nothing yet."""
        self._members = members
        self._compose = compose
        self._peers = peers
        self._news = [anyio.Event() for _ in peers]

    def tell(self) -> None:
        """Sends the next heartbeats at once."""
        for event in self._news:
            event.set()

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number, peer in enumerate(self._peers):
                tasks.start_soon(self._keep_in_touch, number, peer)

    async def answer(self, heartbeat: Heartbeat) -> Heartbeat:
        """Takes a peer's heartbeat and gives this process's."""
        self._members.heard(heartbeat)
        return self._compose()

    async def _keep_in_touch(self, number: int, peer: PeerConnection) -> None:
        while True:
            self._news[number] = anyio.Event()
            await self._beat(peer)
            with anyio.move_on_after(HEARTBEAT_INTERVAL_SECONDS):
                await self._news[number].wait()
                await anyio.sleep(_BATCH_SECONDS)

    async def _beat(self, peer: PeerConnection) -> None:
        try:
            reply = await peer.call(
                'exchange', self._compose(), HEARTBEAT_INTERVAL_SECONDS
            )
        except MulberryhitchError:
            return
        if isinstance(reply, Heartbeat):
            self._members.heard(reply)
