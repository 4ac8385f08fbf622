"""How an entry tracks the backend servers that it owns."""

from typing import Any

import anyio

from mulberryhitch.backend_servers.directory import BackendServerDirectory
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.requests.owned_servers import OwnedServerTracker
from mulberryhitch.requests.service_slots import ServiceSlots
from mulberryhitch.rpc.messages import Announcement
from tests.replica_group import run_with_mock_clock

CLOSING_SECONDS = 0.5


class SlowlyClosingRouter:
    """Closes the connections to a server as slowly as a network may."""

    def __init__(self) -> None:
        self.services: dict[str, ServiceSlots] = {}

    async def close_upstream(self, address: str) -> None:
        await anyio.sleep(CLOSING_SECONDS)


def announce(
    service: str, owner: str, sequence: int = 1, anchor: float = 0
) -> Announcement:
    """Returns an announcement of the service's only server."""
    return Announcement(
        f'{service}-1',
        service,
        'home',
        '10.0.0.1:80',
        'ready',
        4,
        4,
        0,
        owner,
        anchor,
        1,
        sequence,
    )


def test_a_service_announced_while_connections_are_closed_ends_no_entry() -> (
    None
):
    async def main() -> None:
        directory = BackendServerDirectory()
        router: Any = SlowlyClosingRouter()
        tracker = OwnedServerTracker(
            'entry-0', directory, router, ConfigurationHolder('home')
        )
        async with anyio.create_task_group() as tasks:
            long_ago = anyio.current_time() - 60
            owned = announce('first', 'entry-0', anchor=long_ago)
            directory.record_announcement(owned)
            directory.record_announcement(announce('first', 'entry-1', 2))
            tasks.start_soon(tracker.run)
            await anyio.sleep(CLOSING_SECONDS / 2)
            now = anyio.current_time()
            owned = announce('second', 'entry-0', anchor=now)
            directory.record_announcement(owned)
            await anyio.sleep(CLOSING_SECONDS)
            assert router.services['second'].usable_slots
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)
