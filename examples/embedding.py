"""Runs three replicas of a counter in one process, and a retry budget.

Run it with ``python examples/embedding.py``.
"""

import random
import tempfile
from pathlib import Path
from typing import Any

import anyio
import orjson

from mulberryhitch.errors import (
    NotLeaderError,
    OutcomeUnknownError,
    UnreachableError,
)
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.requests.retry_budget import RetryBudget
from mulberryhitch.rpc.messages import LogEntry

VMS = ('one', 'two', 'three')


class Counter:
    """State machine that sums the numbers in the log.

    Each addition has a number of its own, and is applied once: a caller that
    got no answer proposes it again.
    """

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}

    def apply(self, entry: LogEntry) -> int:
        addition, _, addend = entry.body.decode().partition(':')
        if addition not in self.totals:
            total = next(reversed(self.totals.values()), 0)
            self.totals[addition] = total + int(addend)
        return self.totals[addition]

    def snapshot(self) -> bytes:
        return orjson.dumps(self.totals)

    def restore(self, state: bytes) -> None:
        self.totals = orjson.loads(state)


class InProcessTransport:
    """Transport that calls replicas in the same process."""

    def __init__(self, replicas: dict[str, Replica]) -> None:
        self._replicas = replicas

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        if vm not in self._replicas:
            raise UnreachableError('not started', where=vm)
        with anyio.fail_after(timeout_seconds):
            return await getattr(self._replicas[vm], method)(request)


async def add(replicas: dict[str, Replica], addition: str, addend: int) -> int:
    """Adds a number through the leader; returns the total then.

    A leader may lose its leadership before it answers; the next one is asked.
    """
    while True:
        for replica in replicas.values():
            if not replica.has_authority:
                continue
            try:
                return await replica.propose(
                    'add', f'{addition}:{addend}'.encode()
                )
            except (NotLeaderError, OutcomeUnknownError):
                continue
        await anyio.sleep(0.05)


async def main(folder: Path) -> list[int]:
    """Adds three numbers; returns the totals from the leader."""
    replicas: dict[str, Replica] = {}
    async with anyio.create_task_group() as task_group:
        for vm in VMS:
            replicas[vm] = Replica(
                ReplicaState('totals', FileStorage(folder / vm, vm), Counter()),
                InProcessTransport(replicas),
                VMS,
                ReplicationOptions(),
                Log(vm),
                random.Random(),
            )
            task_group.start_soon(replicas[vm].run)
        totals = [
            await add(replicas, f'addition-{number}', addend)
            for number, addend in enumerate((1, 2, 3))
        ]
        task_group.cancel_scope.cancel()
    return totals


def retries(first_attempts: int) -> int:
    """Returns the retries that a budget of 10% allows if all attempts fail."""
    budget = RetryBudget(share=0.1, max_saved=1)
    allowed = 0
    for _ in range(first_attempts):
        budget.record_first_attempt()
        allowed += budget.try_spend()
    return allowed


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as folder_name:
        print('totals', anyio.run(main, Path(folder_name)))
    print('retries for 100 first tries', retries(100))
