"""Periodic heartbeats to each peer, with immediate ones on request."""

from collections.abc import Callable

import anyio

from mulberryhitch.constants import HEARTBEAT_INTERVAL_SECONDS
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.membership.members import MemberList
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import Heartbeat

# Requests for an immediate heartbeat within this time share one.
_BATCH_SECONDS = 0.02


class HeartbeatExchange:
    """Exchanges heartbeats with all peers.

    Args:
        members: Records the heartbeats that peers send.
        make_heartbeat: Returns this process's current heartbeat.
        peers: Connections to all other processes.
    """

    def __init__(
        self,
        members: MemberList,
        make_heartbeat: Callable[[], Heartbeat],
        peers: list[PeerConnection],
    ) -> None:
        """Initialises the exchange; ``run`` starts it."""
        self._members = members
        self._make_heartbeat = make_heartbeat
        self._peers = peers
        self._send_events = [anyio.Event() for _ in peers]

    def send_now(self) -> None:
        """Requests an immediate heartbeat to every peer."""
        for event in self._send_events:
            event.set()

    async def run(self) -> None:
        """Exchanges heartbeats until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number, peer in enumerate(self._peers):
                tasks.start_soon(self._exchange_periodically, number, peer)

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """Records a peer's heartbeat and returns this process's."""
        self._members.record_heartbeat(heartbeat)
        return self._make_heartbeat()

    async def _exchange_periodically(
        self, number: int, peer: PeerConnection
    ) -> None:
        while True:
            self._send_events[number] = anyio.Event()
            await self._exchange_once(peer)
            with anyio.move_on_after(HEARTBEAT_INTERVAL_SECONDS):
                await self._send_events[number].wait()
                await anyio.sleep(_BATCH_SECONDS)

    async def _exchange_once(self, peer: PeerConnection) -> None:
        try:
            reply = await peer.call(
                'exchange', self._make_heartbeat(), HEARTBEAT_INTERVAL_SECONDS
            )
        except MulberryhitchError:
            return
        if isinstance(reply, Heartbeat):
            self._members.record_heartbeat(reply)
