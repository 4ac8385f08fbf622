"""Clients of a group that check what is acknowledged, refused and read."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio

from mulberryhitch.errors import MulberryhitchError, Outcome
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.messages import LogEntry
from tests.bounded_disks import LatestValues

_PROPOSAL_SECONDS = 5
_READ_SECONDS = 2
_READ_INTERVAL_SECONDS = 0.2
_RETRY_SECONDS = 0.1


def number_of(value: str) -> int:
    """Returns the number of the proposal that stored a value."""
    return int(value.partition(':')[0])


@dataclass
class History:
    """What clients proposed, and what the replicas did with it.

    Attributes:
        proposed: The last number proposed for each key.
        acknowledged: The last number acknowledged for each key.
        refused: Keys and numbers that were refused as not run.
        applied: Each entry applied by any replica, by its index.
        violations: What must not happen, in its order.
    """

    proposed: dict[str, int] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    refused: set[tuple[str, int]] = field(default_factory=set)
    applied: dict[int, tuple[int, str, int]] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)

    def record_applied(self, entry: LogEntry) -> None:
        key, _, value = entry.body.decode().partition('=')
        applied = (entry.term, key, number_of(value))
        known = self.applied.setdefault(entry.index, applied)
        if known != applied:
            self.violations.append(
                f'entry {entry.index} applied as {known} and {applied}'
            )
        if applied[1:] in self.refused:
            self.violations.append(f'refused and applied: {applied}')

    def check_values(
        self, values: dict[str, str], expected: dict[str, int], place: str
    ) -> None:
        """Checks that values are as new as expected, and none was refused."""
        for key, least in expected.items():
            number = number_of(values.get(key, '0:'))
            if number < least:
                self.violations.append(
                    f'{place}: {key} is {number}, {least} was acknowledged'
                )
            if (key, number) in self.refused:
                self.violations.append(f'{place}: {key} {number} was refused')


class CheckedValues(LatestValues):
    """Keeps the latest value of each key, and checks what it applies."""

    def __init__(self, history: History) -> None:
        super().__init__()
        self._history = history

    def apply(self, entry: LogEntry) -> None:
        self._history.record_applied(entry)
        super().apply(entry)


class Writer:
    """Proposes values of random sizes, one after another.

    Args:
        name: Prefix of its keys.
        keys: Number of its keys; more of them make the state larger.
        sizes: The smallest and largest size of a value, in bytes.
        pauses: The shortest and longest time between proposals, in seconds.

    Attributes:
        acknowledged_at: When its last proposal was acknowledged.
    """

    def __init__(
        self,
        name: str,
        keys: int,
        sizes: tuple[int, int],
        pauses: tuple[float, float],
    ) -> None:
        self.name = name
        self.acknowledged_at = 0.0
        self.hurries = False
        self._keys = keys
        self._sizes = sizes
        self._pauses = pauses

    async def run(
        self,
        history: History,
        find_leader: Callable[[], Replica | None],
        rng: random.Random,
    ) -> None:
        number = 0
        while True:
            number += 1
            key = f'{self.name}{number % self._keys}'
            is_done = await self._propose(
                history, find_leader, key, number, rng.randint(*self._sizes)
            )
            if not is_done:
                await anyio.sleep(_RETRY_SECONDS)
            elif not self.hurries:
                await anyio.sleep(rng.uniform(*self._pauses))

    async def _propose(
        self,
        history: History,
        find_leader: Callable[[], Replica | None],
        key: str,
        number: int,
        size: int,
    ) -> bool:
        leader = find_leader()
        if leader is None:
            return False
        history.proposed[key] = number
        body = f'{key}={number}:{"x" * size}'.encode()
        try:
            with anyio.fail_after(_PROPOSAL_SECONDS):
                await leader.propose('put', body)
        except MulberryhitchError as error:
            if error.outcome is Outcome.not_run:
                history.refused.add((key, number))
            return False
        except TimeoutError:
            return False
        history.acknowledged[key] = number
        self.acknowledged_at = anyio.current_time()
        return True


class Reader:
    """Reads all keys from the leader, again and again.

    Attributes:
        answered_at: When it last had an answer.
    """

    def __init__(self) -> None:
        self.answered_at = 0.0

    async def run(
        self,
        history: History,
        find_leader: Callable[[], Replica | None],
        machine_of: Callable[[Replica], Any],
    ) -> None:
        while True:
            leader = find_leader()
            if leader is not None:
                machine = machine_of(leader)
                await self._read(history, leader, machine)
            await anyio.sleep(_READ_INTERVAL_SECONDS)

    async def _read(
        self, history: History, leader: Replica, machine: LatestValues
    ) -> None:
        expected = dict(history.acknowledged)
        try:
            with anyio.fail_after(_READ_SECONDS):
                await leader.read_barrier()
        except (MulberryhitchError, TimeoutError):
            return
        history.check_values(machine.values, expected, leader.replica_id)
        self.answered_at = anyio.current_time()
