"""Settings, logs, permit requests, leader leases and bootstrapping."""

import os
import random
from collections.abc import Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import eliot
import orjson
import pytest

from mulberryhitch.dispatch.permits.manager import PermitManager, PermitRequest
from mulberryhitch.errors import InvalidSettingsError, UnreachableError
from mulberryhitch.jobs.model import PermitPolicy, StepKey
from mulberryhitch.observability.log import (
    LineRateLimiter,
    Log,
    NonBlockingLineStream,
)
from mulberryhitch.platform.settings import load_platform_settings
from mulberryhitch.replication.replica import Replica
from mulberryhitch.replication.roles import Role
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import TakeOverRequest
from tests.fakes import KeyValueStateMachine
from tests.replica_group import OPTIONS, ReplicaGroup, run_with_mock_clock

SETTINGS = {
    'node_name': 'core-a-1',
    'serves': ['control'],
    'ip': '10.1.0.16',
    'zone': 'a',
    'listen_addrs': {'control': '10.1.0.16:8166'},
    'internal_ports': [7720, 7735],
    'seeds': ['10.1.0.16:8166', '10.2.0.32:8166'],
    'bootstrap': True,
    'data_dir': '/data/x',
    'fault_tolerance': {'machines': 2, 'zones': 1},
    'bounds': {'hold_max_ms': 6000, 'grace_s': 4, 'later': 1},
    'advice': '10.200.1.9:8169',
    'limits': {'memory_mb': 296, 'disk_mb': 128, 'later': 1},
    'something_new': {'a': 1},
}
POLICY = PermitPolicy(0.1, 0, 1.5)


def test_settings_are_mapped_to_internal_names(tmp_path: Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_bytes(orjson.dumps(SETTINGS))
    settings = load_platform_settings(path)
    assert settings.vm == '10.1.0.16'
    assert settings.seed_vms == ('10.1.0.16', '10.2.0.32')
    assert settings.target_voters == 5
    assert settings.maximum_lease_seconds == 6
    assert settings.drain_seconds == 4
    assert settings.first_start
    assert settings.memory_bytes == 296_000_000
    assert settings.disk_bytes == 128_000_000


@pytest.mark.parametrize(
    'content', [b'', b'{', b'[]', b'{"node_name": 3}', b'\xff']
)
def test_errors_of_unreadable_settings_name_the_file(
    tmp_path: Path, content: bytes
) -> None:
    path = tmp_path / 'settings.json'
    path.write_bytes(content)
    with pytest.raises(InvalidSettingsError) as caught:
        load_platform_settings(path)
    assert caught.value.where == str(path)
    with pytest.raises(InvalidSettingsError):
        load_platform_settings(tmp_path / 'none.json')


def test_logs_do_not_block_and_count_dropped_lines() -> None:
    read_fd, write_fd = os.pipe()
    stream = NonBlockingLineStream(write_fd)
    line = 'x' * 1000 + '\n'
    for _ in range(2000):
        stream.write(line)
    dropped = stream.dropped
    assert dropped > 0
    while os.read(read_fd, 1 << 16):
        stream.write('after\n')
        if not stream.dropped:
            break
    rest = os.read(read_fd, 1 << 20)
    assert b'"lines":' in rest
    os.close(read_fd)
    os.close(write_fd)


def test_a_line_that_is_written_in_part_does_not_spoil_the_next() -> None:
    read_fd, write_fd = os.pipe()
    stream = NonBlockingLineStream(write_fd)
    stream.write('x' * 1_000_000 + '\n')
    assert stream.dropped == 1
    os.read(read_fd, 1 << 20)
    stream.write('{"after":1}\n')
    lines = os.read(read_fd, 1 << 20).splitlines()
    assert b'{"after":1}' in lines
    assert orjson.loads(lines[-1])['lines'] == 1
    assert not stream.dropped
    os.close(read_fd)
    os.close(write_fd)


def test_logs_are_rate_limited_and_count_omitted_lines() -> None:
    written: list[dict[str, Any]] = []
    eliot.add_destinations(written.append)
    log = Log('bounded', LineRateLimiter(20))
    for _ in range(100):
        log.event('decision')
    log.problem('failure', UnreachableError('unreachable').problem)
    eliot.remove_destination(written.append)
    lines = [line for line in written if line['member'] == 'bounded']
    kinds = [line['message_type'] for line in lines]
    assert kinds.count('decision') <= 20
    # A failure is written although the decisions have used up the rate limit.
    assert kinds[-1] == 'failure'
    assert lines[-1]['lines_left_out'] == 101 - len(lines)
    assert log.counts['decision'] == 100


class CountingPermitClient:
    """Answers after 0.1 s and counts concurrent requests."""

    def __init__(self, fails: bool = False) -> None:
        self.fails = fails
        self.active = 0
        self.max_active = 0
        self.steps: list[StepKey] = []

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        self.active += 1
        self.max_active = max(self.max_active, self.active)
        self.steps.append(step)
        await anyio.sleep(0.1)
        self.active -= 1
        if self.fails:
            raise UnreachableError('unreachable')
        return {worker_ids[0]: 'ticket'}


def _requests(count: int) -> list[PermitRequest]:
    return [
        PermitRequest(
            StepKey(f'j{number}', 0, 0), ('w1', 'w2'), POLICY, (number,)
        )
        for number in range(count)
    ]


def test_each_client_sends_one_request_at_a_time_urgent_first() -> None:
    async def main() -> None:
        permit_manager = PermitManager(
            lambda worker_id: 1, lambda: None, Log('test')
        )
        clients = [CountingPermitClient(), CountingPermitClient()]
        for number, client in enumerate(clients):
            permit_manager.add_client(f'h{number}', client)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(permit_manager.run)
            permit_manager.replace_requests(reversed(_requests(6)))
            await anyio.sleep(1)
            assert all(client.max_active == 1 for client in clients)
            first = {client.steps[0].job_id for client in clients}
            assert first == {'j0', 'j1'}
            permits = permit_manager.of_step(StepKey('j5', 0, 0))
            assert list(permits.allowed) == ['w1']
            assert permits.denied == {'w2'}
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


def test_a_failed_permit_client_is_not_used_until_added_again() -> None:
    async def main() -> None:
        permit_manager = PermitManager(
            lambda worker_id: 1, lambda: None, Log('test')
        )
        client = CountingPermitClient(fails=True)
        permit_manager.add_client('far', client)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(permit_manager.run)
            for _ in range(8):
                permit_manager.replace_requests(_requests(1))
                await anyio.sleep(0.4)
            assert len(client.steps) == 1
            assert not permit_manager.idle_clients()
            permit_manager.add_client('far', client)
            permit_manager.replace_requests(_requests(1))
            await anyio.sleep(0.3)
            assert len(client.steps) == 2
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


def test_a_failed_permit_request_is_retried_at_another_client() -> None:
    async def main() -> None:
        permit_manager = PermitManager(
            lambda worker_id: 1, lambda: None, Log('test')
        )
        broken, working = (
            CountingPermitClient(fails=True),
            CountingPermitClient(),
        )
        permit_manager.add_client('broken', broken)
        permit_manager.add_client('sound', working, local=True)
        step = StepKey('j0', 0, 0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(permit_manager.run)
            with anyio.fail_after(5):
                while not permit_manager.of_step(step).allowed:
                    permit_manager.replace_requests(_requests(1))
                    await anyio.sleep(0.05)
            assert broken.steps
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


def test_a_leader_whose_vm_was_suspended_has_lost_its_lease() -> None:
    async def main() -> None:
        suspended = [0.0]
        options = replace(OPTIONS, suspended=lambda: suspended[0])
        group = ReplicaGroup(1, seed=1)
        state = ReplicaState(
            'group', group.disks['vm-1'], KeyValueStateMachine()
        )
        replica = Replica(
            state,
            group.network.transport('vm-1'),
            ('vm-1', 'vm-2', 'vm-3'),
            options,
            Log('vm-1'),
            random.Random(1),
        )
        others = ReplicaGroup(3, seed=1)
        others.network = group.network
        async with anyio.create_task_group() as tasks:
            for vm in ('vm-2', 'vm-3'):
                others.task_group = tasks
                others.start(vm)
            group.network.nodes['vm-1'] = replica
            tasks.start_soon(replica.run)
            await anyio.sleep(10)
            while replica.role is not Role.leader:
                request = TakeOverRequest(
                    'group', replica.replica_id, replica.term
                )
                assert (await replica.take_over(request)).accepted
                await anyio.sleep(1)
            assert replica.has_authority
            suspended[0] = 5
            assert not replica.has_authority
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


def test_no_group_is_bootstrapped_after_the_first_start() -> None:
    async def main() -> None:
        group = ReplicaGroup(3, seed=1)
        options = replace(OPTIONS, may_bootstrap=False)
        async with anyio.create_task_group() as tasks:
            for vm in group.vms:
                state = ReplicaState(
                    'group', group.disks[vm], KeyValueStateMachine()
                )
                replica = Replica(
                    state,
                    group.network.transport(vm),
                    group.vms,
                    options,
                    Log(vm),
                    random.Random(1),
                )
                group.replicas[vm] = replica
                group.network.nodes[vm] = replica
                tasks.start_soon(replica.run)
            await anyio.sleep(20)
            assert group.leader() is None
            assert not any(
                replica.state.configured for replica in group.replicas.values()
            )
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)
