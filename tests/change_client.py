"""A client that changes a replica group all the time, and tries again."""

import anyio

from tests.replica_group import ReplicaGroup

CHANGE_INTERVAL_SECONDS = 0.3
RETRY_SECONDS = 0.1


class ChangeClient:
    """Sends a change each 0.3 s, each until it is acknowledged."""

    def __init__(self, group: ReplicaGroup) -> None:
        self.acknowledged: list[int] = []
        self.longest_wait_seconds = 0.0
        self._group = group
        self._last = 0
        self._sent_at: dict[int, float] = {}

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                self._last += 1
                tasks.start_soon(self._change, self._last)
                await anyio.sleep(CHANGE_INTERVAL_SECONDS)

    def longest_open_seconds(self) -> float:
        """Returns how long the oldest open change has waited."""
        now = anyio.current_time()
        return max((now - at for at in self._sent_at.values()), default=0)

    def lost_at(self, vm: str) -> set[int]:
        """Returns the acknowledged changes that a replica doesn't have."""
        applied = self._group.state_machines[vm].applied
        return set(self.acknowledged) - set(applied)

    async def _change(self, number: int) -> None:
        sent_at = self._sent_at[number] = anyio.current_time()
        while not await self._group.put(f'key {number}', number, 1):
            await anyio.sleep(RETRY_SECONDS)
        self._sent_at.pop(number)
        self.acknowledged.append(number)
        waited = anyio.current_time() - sent_at
        self.longest_wait_seconds = max(self.longest_wait_seconds, waited)
