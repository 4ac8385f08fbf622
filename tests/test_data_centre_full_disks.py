"""A data centre whose leader's disk is full for some time."""

import anyio

from mulberryhitch.errors import DiskFullError
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.scheduler import operations as ops
from tests.data_centre import DataCentre, make_spec
from tests.fakes import FakeDisk
from tests.replica_group import run_with_mock_clock

FULL_SECONDS = 1


async def _fill(disk: FakeDisk) -> None:
    disk.fill()
    await anyio.sleep(FULL_SECONDS)
    disk.free()


def test_a_deadline_that_passes_while_the_disk_is_full_ends_no_leader() -> None:
    async def main() -> None:
        async with DataCentre(seed=9, vms=1, workers=1).running() as centre:
            long = make_spec(1, task_count=4, run_seconds=60)
            await centre.execute(ops.Submit(long))
            await anyio.sleep(3)
            late = make_spec(2, start_within_seconds=5)
            await centre.execute(ops.Submit(late))
            await anyio.sleep(4.5)
            await _fill(centre.disks['vm-1'])
            assert await centre.wait_ended('home.2', 20) == ['cancelled']

    run_with_mock_clock(main)


def test_a_worker_that_is_lost_while_the_disk_is_full_ends_no_leader() -> None:
    async def main() -> None:
        async with DataCentre(seed=9, vms=1, workers=1).running() as centre:
            await centre.execute(ops.Submit(make_spec(1, run_seconds=60)))
            await anyio.sleep(3)
            centre.kill_worker('worker-1')
            await anyio.sleep(5)
            await _fill(centre.disks['vm-1'])
            assert await centre.wait_ended('home.1', 20) == ['unknown']

    run_with_mock_clock(main)


def test_a_full_disk_is_not_asked_for_the_same_grants_without_a_pause() -> None:
    refused_writes = 0
    spec = make_spec(1, task_count=4)

    def refuse(entries: list[LogEntry]) -> None:
        nonlocal refused_writes
        refused_writes += 1
        assert refused_writes < 10
        raise DiskFullError('no space left')

    async def main() -> None:
        async with DataCentre(seed=9, vms=1, workers=1).running() as centre:
            disk = centre.disks['vm-1']
            write = disk.write
            await centre.execute(
                ops.AnnounceWorker(centre.fleet['worker-1'].worker, False)
            )
            await anyio.sleep(3)
            await centre.execute(ops.Submit(spec))
            disk.write = refuse  # type: ignore[method-assign]
            await anyio.sleep(FULL_SECONDS)
            disk.write = write  # type: ignore[method-assign]
            assert await centre.wait_ended('home.1') == ['completed'] * 4

    run_with_mock_clock(main)
