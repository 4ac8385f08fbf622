"""A leader's messages to one worker, and the attempts that they stop."""

import random
from types import SimpleNamespace

import anyio
import pytest
from pydantic import ValidationError

from mulberryhitch.scheduler.commands import AttemptEnd
from mulberryhitch.scheduler.sessions import SessionCallbacks, WorkerSession
from mulberryhitch.standins.worker import StandinWorker
from mulberryhitch.workers.leases import Lease, LeaseTable, TaskKey, Worker
from mulberryhitch.workers.protocol import (
    LeaseResponse,
    StopMode,
    WorkerAnnouncement,
)
from mulberryhitch.workloads.model import Size
from tests.data_centre import FakeGateway, make_spec
from tests.fakes import FakeNetwork
from tests.fault_scripts import DataCentrePlayer
from tests.replica_group import run_with_mock_clock
from tests.stopped_gangs_script import SEED, STEPS

TASK = TaskKey('home.1', 0)
WORKER = Worker('worker', 'worker', 'home', 'rack', Size(4000, 4096), 1)


class LeaseHolder:
    """One worker's session, with the leases that a test grants."""

    def __init__(self) -> None:
        self.leases = LeaseTable()
        self.leases.register(WORKER)
        self.worker = StandinWorker(WORKER)
        self.session = WorkerSession(
            WORKER,
            1,
            'leader',
            SimpleNamespace(leases=self.leases, workload=self._workload),
            FakeGateway(
                FakeNetwork(random.Random(1)),
                'leader',
                {'worker': self.worker},
            ),
            SessionCallbacks(
                self._end_attempts,
                lambda worker, reachable: None,
                lambda worker, report, lease: None,
                lambda: None,
            ),
        )

    def grant(self, attempt: int) -> None:
        self.leases.grant(Lease(TASK, attempt, 'worker', 1, 1, Size(1000, 512)))
        self.session.wake()

    def _workload(self, workload_id: str) -> SimpleNamespace:
        return SimpleNamespace(spec=make_spec(1), cancelled=False)

    async def _end_attempts(self, ends: list[AttemptEnd]) -> None:
        for end in ends:
            self.leases.close(end.task, end.attempt)


def test_a_stop_of_an_attempt_that_never_began_does_not_stop_the_next() -> None:
    async def main() -> None:
        holder = LeaseHolder()
        holder.grant(attempt=1)
        holder.session.stop_task(TASK, StopMode.stop)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(holder.session.run)
            await anyio.sleep(1)
            assert not len(holder.leases)
            holder.grant(attempt=2)
            await anyio.sleep(1)
            assert [one.attempt for one in holder.worker.running] == [2]
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


@pytest.mark.timeout(60)
def test_gangs_end_after_workers_were_lost_and_runs_stopped() -> None:
    run_with_mock_clock(DataCentrePlayer(SEED).play, list(STEPS))


@pytest.mark.parametrize(
    'resource', ['millicores', 'memory_mebibytes', 'accelerators']
)
def test_an_amount_that_no_float_can_hold_is_refused(resource: str) -> None:
    size = (
        f'{{"millicores": 1, "memory_mebibytes": 1, "{resource}": {10**400}}}'
    )
    report = (
        '{"workload_id": "home.1", "task": 0, "attempt": 1, '
        f'"state": "running", "used": {size}}}'
    )
    response = (
        '{"worker_id": "worker", "incarnation": 1, "clock": 1, "term": 1, '
        f'"accepted": true, "attempts": [{report}]}}'
    )
    announcement = (
        '{"address": "10.0.0.1:80", "data_centre": "home", "rack": "rack", '
        f'"incarnation": 1, "size": {size}}}'
    )
    with pytest.raises(ValidationError, match=resource):
        LeaseResponse.model_validate_json(response)
    with pytest.raises(ValidationError, match=resource):
        WorkerAnnouncement.model_validate_json(announcement)
