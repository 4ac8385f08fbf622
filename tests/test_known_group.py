"""Where a scheduler that starts again looks for the leader."""

from pathlib import Path

import anyio
import pytest

from mulberryhitch.dispatch.operations import ReadTable, TableReply
from mulberryhitch.dispatch.permits.proxy import JOBS_GROUP
from mulberryhitch.errors import NoQuorumError, UnreachableError
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.platform_composition import SchedulerProgram
from mulberryhitch.replication.file_storage import FileStorage
from mulberryhitch.replication.members import Members
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.state import BOOTSTRAP_INDEX, ReplicaState
from mulberryhitch.rpc.messages import AppendRequest
from tests.platform_harness import make_settings

OWN_VM = '127.0.0.1'
NEW_VMS = ('127.9.0.1', '127.9.0.2')


def restart_scheduler(folder: Path) -> SchedulerProgram:
    """Returns a scheduler whose group has replaced all VMs of its settings."""
    settings = make_settings(OWN_VM, 1, folder, 'scheduler')

    async def write_members() -> None:
        storage = FileStorage(Path(settings.data_folder) / JOBS_GROUP, OWN_VM)
        state = ReplicaState(JOBS_GROUP, storage, JobStore())
        ids = (state.replica_id, *(f'{vm}#1' for vm in NEW_VMS))
        await state.bootstrap(Members(ids))
        storage.close()

    anyio.run(write_members)
    return SchedulerProgram(settings, anyio.Event())


async def follow(replica: Replica, leader: str) -> None:
    heartbeat = AppendRequest(
        JOBS_GROUP, replica.replica_id, 1, leader, BOOTSTRAP_INDEX, 0, 1, []
    )
    assert (await replica.append(heartbeat)).success


def called_vms(
    program: SchedulerProgram, monkeypatch: pytest.MonkeyPatch
) -> list[str]:
    """Returns the VMs called by an operation, to which none answers."""
    called: list[str] = []

    async def refuse(vm: str, *args: object) -> None:
        called.append(vm)
        raise UnreachableError('refused', where=vm)

    async def execute() -> None:
        with pytest.raises(NoQuorumError):
            await program._shared.leader_client.execute(
                JOBS_GROUP, ReadTable(), TableReply, 0.2
            )

    monkeypatch.setattr(program._shared.peers, 'call', refuse)
    anyio.run(execute)
    return called


def test_a_restarted_scheduler_calls_members_that_no_seed_names(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    program = restart_scheduler(tmp_path)
    assert set(NEW_VMS) <= set(called_vms(program, monkeypatch))


def test_a_scheduler_calls_the_leader_that_its_replica_follows_first(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    program = restart_scheduler(tmp_path)
    anyio.run(follow, program.service.replica, f'{NEW_VMS[1]}#1')
    assert called_vms(program, monkeypatch)[0] == NEW_VMS[1]
