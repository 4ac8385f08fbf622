"""Large operations are refused early, before they fill frames or memory."""

from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from mulberryhitch.constants import OPERATION_MAX_BYTES
from mulberryhitch.dispatch.operations import Acknowledged, ChangeTable
from mulberryhitch.errors import NotLeaderError, OverloadedError, TooLargeError
from mulberryhitch.jobs.model import Queue, QueueTable
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.messages import ExecuteRequest
from mulberryhitch.rpc.records import encode, kind_of
from mulberryhitch.rpc.server import RpcServer
from mulberryhitch.scheduler.host import ReplicaHost
from tests.jobs_group import GROUP, JobsGroup
from tests.replica_group import run_with_mock_clock

MEBIBYTE = 1024 * 1024
QUEUE = Queue('q', 'h', '/q/', 'svc')


def change(version: int, document_bytes: int) -> ChangeTable:
    return ChangeTable(QueueTable(version, 'x' * document_bytes, (QUEUE,)))


def test_an_operation_that_the_log_could_not_send_is_refused_unsent() -> None:
    async def main() -> None:
        group = JobsGroup(3, seed=1, spares=0)
        async with group.running():
            store = await group.leading_store()
            await anyio.sleep(1)
            calls = group.network.calls
            with pytest.raises(TooLargeError):
                await group.leader_client.execute(
                    GROUP, change(1, OPERATION_MAX_BYTES), Acknowledged, 2
                )
            assert store.queue_table.version < 1
            assert group.network.calls == calls
            await group.leader_client.execute(
                GROUP, change(2, OPERATION_MAX_BYTES // 2), Acknowledged, 5
            )
            assert store.queue_table.version == 2

    run_with_mock_clock(main)


class SlowService:
    """Executes each operation for a second, if it leads."""

    def __init__(self, *, leads: bool) -> None:
        self.replica: Any = SimpleNamespace(group=GROUP, has_authority=leads)
        self.running = 0

    async def run(self) -> None:
        await anyio.sleep_forever()

    async def execute(self, request: Any) -> Acknowledged:
        if not self.replica.has_authority:
            raise NotLeaderError('not the leader')
        self.running += 1
        await anyio.sleep(1)
        self.running -= 1
        return Acknowledged()


class Host:
    """A host of one group, and the errors of its calls."""

    def __init__(self, service: SlowService) -> None:
        self._host = ReplicaHost(RpcServer(Log('test')))
        self._host.add(service)
        self.refusals: list[type[Exception]] = []

    async def execute(self, operation: ChangeTable) -> None:
        request = ExecuteRequest(GROUP, kind_of(operation), encode(operation))
        try:
            await self._host._execute(request)
        except (OverloadedError, NotLeaderError) as error:
            self.refusals.append(type(error))


def test_many_large_operations_at_once_do_not_fill_the_leaders_memory() -> None:
    async def main() -> None:
        service = SlowService(leads=True)
        host = Host(service)
        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(host.execute, change(number, MEBIBYTE))
            await anyio.sleep(0.5)
            assert service.running == 15
            assert host.refusals == [OverloadedError] * 25
            for number in range(100):
                tasks.start_soon(host.execute, change(number, 1024))
            await anyio.sleep(0.4)
            assert service.running == 115
        await host.execute(change(1, OPERATION_MAX_BYTES - MEBIBYTE))
        assert len(host.refusals) == 25

    run_with_mock_clock(main)


def test_a_follower_names_the_leader_however_much_it_is_sent() -> None:
    async def main() -> None:
        host = Host(SlowService(leads=False))
        async with anyio.create_task_group() as tasks:
            for number in range(40):
                tasks.start_soon(host.execute, change(number, MEBIBYTE))
        assert host.refusals == [NotLeaderError] * 40

    run_with_mock_clock(main)
