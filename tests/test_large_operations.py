"""Large operations are refused early, before they fill frames or memory."""

import anyio
import pytest

from mulberryhitch.constants import OPERATION_MAX_BYTES
from mulberryhitch.dispatch.operations import Acknowledged, ChangeTable
from mulberryhitch.errors import TooLargeError
from mulberryhitch.jobs.model import Queue, QueueTable
from tests.jobs_group import GROUP, JobsGroup
from tests.replica_group import run_with_mock_clock

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
