"""Scripts of faults and actions, and the players that execute them."""

import random
from dataclasses import dataclass
from typing import Any

import anyio

from mulberryhitch.scheduler.operations import Cancel
from mulberryhitch.workloads.model import Kind
from tests.data_centre import DataCentre, make_spec
from tests.entry_cell import EntryCell
from tests.fakes import SYNC_SECONDS
from tests.replica_group import ReplicaGroup

_AUTHORITY_POLL_SECONDS = 0.01
_CLOCK_GAINS = (-0.1, 0, 0.1)
_DISK_SECONDS = (0.1, 0.4, 1.0)


@dataclass(frozen=True)
class ScriptStep:
    """One fault or action of a script.

    Attributes:
        action: Name of the action; the player's method is ``_`` plus this name.
        selector: Selects the VM, worker, entry, backend server or workload,
            and the sizes of a submitted workload.
        seconds: Pause after the action.
    """

    action: str
    selector: int = 0
    seconds: float = 0.5


GROUP_ACTIONS = (
    'put',
    'put',
    'put',
    'kill',
    'restart',
    'isolate',
    'cut_one_way',
    'heal',
    'lossy',
    'duplicate',
    'slow',
    'very_slow',
    'slow_vm',
    'slow_disk',
    'fast_disks',
    'lose_disk',
    'hand_over',
    'full_disk',
    'free_disk',
    'fail_sync',
)


def random_steps(
    seed: int, count: int, actions: tuple[str, ...]
) -> list[ScriptStep]:
    """Returns a script determined by the seed."""
    rng = random.Random(seed)
    return [
        ScriptStep(
            rng.choice(actions),
            rng.randrange(8),
            rng.choice((0.05, 0.3, 1.0, 3.0)),
        )
        for _ in range(count)
    ]


class GroupPlayer:
    """Plays a script on a replica group and checks its invariants.

    At most one replica has authority at any time. Every acknowledged value is
    applied exactly once by all replicas, in the same order. A script loses at
    most one disk, and only while all replicas are voters.
    """

    def __init__(self, size: int, seed: int) -> None:
        self.group = ReplicaGroup(size, seed)
        for vm in self.group.vms:
            self.group.clock_gains[vm] = self.group.rng.choice(_CLOCK_GAINS)
        self.acknowledged: list[int] = []
        self._number = 0
        self._down: set[str] = set()
        self._wiped_vm = ''
        self._task_group: Any = None

    async def play(self, steps: list[ScriptStep]) -> None:
        async with self.group.running():
            async with anyio.create_task_group() as tasks:
                self._task_group = tasks
                tasks.start_soon(self._watch)
                await anyio.sleep(3)
                for step in steps:
                    await getattr(self, f'_{step.action}')(step)
                    await anyio.sleep(step.seconds)
                await self._recover()
                tasks.cancel_scope.cancel()
            self._check_end()

    async def _watch(self) -> None:
        while True:
            leaders = [
                replica.replica_id
                for replica in self.group.replicas.values()
                if replica.has_authority
            ]
            assert len(leaders) <= 1, f'several with authority: {leaders}'
            self._check_prefixes()
            await anyio.sleep(_AUTHORITY_POLL_SECONDS)

    def _check_prefixes(self) -> None:
        logs = sorted(
            (
                state_machine.applied
                for state_machine in self.group.state_machines.values()
            ),
            key=len,
        )
        longest = logs[-1]
        for applied in logs:
            assert applied == longest[: len(applied)], 'applied values differ'

    async def _put(self, step: ScriptStep) -> None:
        self._number += 1
        self._task_group.start_soon(self._put_one, self._number)

    async def _put_one(self, number: int) -> None:
        if await self.group.put('key', number, 5):
            self.acknowledged.append(number)

    def _vm(self, step: ScriptStep) -> str:
        vms = self.group.vms
        return vms[step.selector % len(vms)]

    async def _kill(self, step: ScriptStep) -> None:
        vm = self._vm(step)
        if vm not in self._down:
            self.group.kill(vm)
            self._down.add(vm)

    async def _restart(self, step: ScriptStep) -> None:
        for vm in sorted(self._down):
            self.group.disks[vm].failing_operation = ''
            self.group.start(vm)
        self._down.clear()

    async def _isolate(self, step: ScriptStep) -> None:
        self.group.network.isolate(self._vm(step))

    async def _cut_one_way(self, step: ScriptStep) -> None:
        vms = self.group.vms
        other = vms[(step.selector + 1) % len(vms)]
        self.group.network.cut_links.add((self._vm(step), other))

    async def _heal(self, step: ScriptStep) -> None:
        self.group.network.heal()

    async def _lossy(self, step: ScriptStep) -> None:
        self.group.network.loss_rate = 0.2

    async def _duplicate(self, step: ScriptStep) -> None:
        self.group.network.duplicate_rate = 0.3

    async def _slow(self, step: ScriptStep) -> None:
        self.group.network.delay_seconds = 0.1

    async def _very_slow(self, step: ScriptStep) -> None:
        self.group.network.delay_seconds = 0.3

    async def _slow_vm(self, step: ScriptStep) -> None:
        self.group.network.vm_delays[self._vm(step)] = 0.3

    async def _slow_disk(self, step: ScriptStep) -> None:
        seconds = _DISK_SECONDS[step.selector % len(_DISK_SECONDS)]
        self.group.disks[self._vm(step)].sync_seconds = seconds

    async def _fast_disks(self, step: ScriptStep) -> None:
        for disk in self.group.disks.values():
            disk.sync_seconds = SYNC_SECONDS

    async def _lose_disk(self, step: ScriptStep) -> None:
        vm = self._vm(step)
        if self._down or self._wiped_vm or not self._has_full_membership():
            return
        self._wiped_vm = vm
        self.group.kill(vm)
        self.group.disks[vm].wipe()
        self.group.start(vm)

    async def _hand_over(self, step: ScriptStep) -> None:
        leader = self.group.leader()
        if leader is not None:
            with anyio.move_on_after(5):
                await leader.transfer_leadership()

    async def _full_disk(self, step: ScriptStep) -> None:
        self.group.disks[self._vm(step)].failing_operation = 'write'

    async def _free_disk(self, step: ScriptStep) -> None:
        for disk in self.group.disks.values():
            if disk.failing_operation == 'write':
                disk.failing_operation = ''

    async def _fail_sync(self, step: ScriptStep) -> None:
        vm = self._vm(step)
        if vm in self._down:
            return
        self.group.disks[vm].failing_operation = 'sync'
        await anyio.sleep(2)
        await self._kill(step)

    def _has_full_membership(self) -> bool:
        """Whether all replicas are voters and agree on the members."""
        known = {
            replica.members.voters for replica in self.group.replicas.values()
        }
        return len(known) == 1 and len(next(iter(known))) == len(self.group.vms)

    async def _recover(self) -> None:
        self.group.network.heal()
        await self._fast_disks(ScriptStep('fast_disks'))
        for disk in self.group.disks.values():
            disk.failing_operation = ''
        await self._restart(ScriptStep('restart'))
        for vm, replica in list(self.group.replicas.items()):
            if vm not in self.group.network.nodes:
                del self.group.replicas[vm]
                self.group.start(vm)
        await self.group.wait_until_converged(120)

    def _check_end(self) -> None:
        for vm, state_machine in self.group.state_machines.items():
            for number in self.acknowledged:
                count = state_machine.applied.count(number)
                assert count == 1, f'{number} applied {count} times at {vm}'


DATA_CENTRE_ACTIONS = (
    'submit',
    'submit',
    'submit_gang',
    'cancel',
    'kill',
    'restart',
    'isolate',
    'cut_worker',
    'heal',
    'kill_worker',
    'restart_worker',
    'lossy',
    'duplicate',
    'slow',
)


class DataCentrePlayer:
    """Plays a script on a data centre and checks its invariants.

    The run monitor fails if a task runs twice at the same time, the stand-in
    workers if their capacity is exceeded. At the end every accepted workload
    has ended, and tasks that may not be restarted have started once. A
    restartable task may complete twice: if its worker is lost before the
    leader has received the completion.
    """

    def __init__(self, seed: int) -> None:
        self.data_centre = DataCentre(seed)
        self._number = 0
        self._down: set[str] = set()
        self._down_workers: set[str] = set()
        self._specs: dict[str, Any] = {}

    async def play(self, steps: list[ScriptStep]) -> None:
        async with self.data_centre.running():
            await anyio.sleep(4)
            for step in steps:
                await getattr(self, f'_{step.action}')(step)
                await anyio.sleep(step.seconds)
            await self._recover()
            for workload_id in sorted(self.data_centre.accepted):
                await self.data_centre.wait_ended(workload_id, 600)
            self._check_end()

    async def _submit(self, step: ScriptStep) -> None:
        await self._submit_one(step, step.selector % 2 == 0, kind='batch')

    async def _submit_gang(self, step: ScriptStep) -> None:
        await self._submit_one(step, step.selector % 2 == 0, kind='gang')

    async def _submit_one(
        self, step: ScriptStep, restartable: bool, kind: str
    ) -> None:
        self._number += 1
        spec = make_spec(
            self._number,
            kind=Kind(kind),
            task_count=1 + step.selector,
            run_seconds=1.0 + step.selector,
            restartable=restartable,
        )
        self._specs[spec.workload_id] = spec
        await self.data_centre.submit(spec)

    async def _cancel(self, step: ScriptStep) -> None:
        if self._number:
            number = 1 + step.selector % self._number
            await self.data_centre.try_once(Cancel(f'home.{number}'))

    def _vm(self, step: ScriptStep) -> str:
        return self.data_centre.vms[step.selector % len(self.data_centre.vms)]

    def _worker(self, step: ScriptStep) -> str:
        return f'worker-{step.selector % 4 + 1}'

    async def _kill(self, step: ScriptStep) -> None:
        vm = self._vm(step)
        if vm not in self._down:
            self.data_centre.kill(vm)
            self._down.add(vm)

    async def _restart(self, step: ScriptStep) -> None:
        for vm in sorted(self._down):
            self.data_centre.start(vm)
        self._down.clear()

    async def _isolate(self, step: ScriptStep) -> None:
        vm = self._vm(step)
        for other in (*self.data_centre.vms, *self.data_centre.fleet):
            self.data_centre.network.cut_links |= {(vm, other), (other, vm)}

    async def _cut_worker(self, step: ScriptStep) -> None:
        worker = self._worker(step)
        for vm in self.data_centre.vms:
            self.data_centre.network.cut_links.add((worker, vm))
            if step.selector % 2:
                self.data_centre.network.cut_links.add((vm, worker))

    async def _heal(self, step: ScriptStep) -> None:
        self.data_centre.network.heal()

    async def _kill_worker(self, step: ScriptStep) -> None:
        worker = self._worker(step)
        if worker not in self._down_workers:
            self.data_centre.kill_worker(worker)
            self._down_workers.add(worker)

    async def _restart_worker(self, step: ScriptStep) -> None:
        for worker in sorted(self._down_workers):
            self.data_centre.start_worker(worker)
        self._down_workers.clear()

    async def _lossy(self, step: ScriptStep) -> None:
        self.data_centre.network.loss_rate = 0.2

    async def _duplicate(self, step: ScriptStep) -> None:
        self.data_centre.network.duplicate_rate = 0.3

    async def _slow(self, step: ScriptStep) -> None:
        self.data_centre.network.delay_seconds = 0.1

    async def _recover(self) -> None:
        self.data_centre.network.heal()
        await self._restart(ScriptStep('restart'))
        await self._restart_worker(ScriptStep('restart_worker'))

    def _check_end(self) -> None:
        for (
            workload_id,
            task,
        ), starts in self.data_centre.run_monitor.start_counts.items():
            spec = self._specs[workload_id]
            if not spec.preemptible:
                assert starts == 1, (
                    f'{workload_id}/{task} started {starts} times'
                )
        for (
            task,
            completed,
        ) in self.data_centre.run_monitor.completion_counts.items():
            restartable = self._specs[task[0]].preemptible
            assert completed == 1 or restartable, (
                f'{task} completed more than once'
            )


ENTRY_ACTIONS = (
    'send',
    'send',
    'send',
    'send_once',
    'send_once',
    'send_twice',
    'kill_entry',
    'start_entry',
    'isolate_entry',
    'cut_server',
    'heal',
    'kill_server',
    'start_server',
    'leave',
    'stay',
    'lossy',
    'slow',
)


class EntryPlayer:
    """Plays a script on entries and backend servers.

    The servers fail if they get more requests than they have slots. A key
    runs at most once: not at all if every attempt returned "not run", and
    once if an attempt returned "completed".
    """

    def __init__(self, seed: int) -> None:
        self.cell = EntryCell(seed)
        self._number = 0
        self._outcomes: dict[str, list[str]] = {}
        self._task_group: Any = None

    async def play(self, steps: list[ScriptStep]) -> None:
        async with self.cell.running():
            async with anyio.create_task_group() as tasks:
                self._task_group = tasks
                await anyio.sleep(6)
                for step in steps:
                    await getattr(self, f'_{step.action}')(step)
                    await anyio.sleep(step.seconds)
                self._recover()
                await anyio.sleep(20)
            for name in self.cell.entries:
                assert await self.cell.send(name) == 'completed'
        self._check_end()

    def _check_end(self) -> None:
        for key, outcomes in self._outcomes.items():
            runs = self.cell.run_count(key)
            assert runs <= 1, f'{key} ran {runs} times'
            if set(outcomes) == {'not_run'}:
                assert runs == 0, f'{key} ran, but was reported as not run'
            if 'completed' in outcomes:
                assert runs == 1, f'{key} did not run'

    def _entry(self, step: ScriptStep) -> str:
        return f'entry-{step.selector % 3 + 1}'

    def _server(self, step: ScriptStep) -> Any:
        return self.cell.servers[f'server-{step.selector % 3 + 1}']

    async def _send(self, step: ScriptStep) -> None:
        for _ in range(6):
            self._task_group.start_soon(self.cell.send, self._entry(step))

    async def _send_once(self, step: ScriptStep) -> None:
        self._number += 1
        for _ in range(2):
            self._task_group.start_soon(
                self._send_key, self._entry(step), f'key-{self._number}'
            )

    async def _send_twice(self, step: ScriptStep) -> None:
        """Sends an earlier key again, possibly through another entry."""
        if self._number:
            number = 1 + step.selector % self._number
            self._task_group.start_soon(
                self._send_key, self._entry(step), f'key-{number}'
            )

    async def _send_key(self, entry: str, key: str) -> None:
        outcomes = self._outcomes.setdefault(key, [])
        outcomes.append('unknown')
        index = len(outcomes) - 1
        outcomes[index] = await self.cell.send(entry, key)

    async def _kill_entry(self, step: ScriptStep) -> None:
        name = self._entry(step)
        if name in self.cell.entries and len(self.cell.entries) > 1:
            self.cell.kill(name)

    async def _start_entry(self, step: ScriptStep) -> None:
        name = self._entry(step)
        if name not in self.cell.entries:
            self.cell.start(name)

    async def _isolate_entry(self, step: ScriptStep) -> None:
        name = self._entry(step)
        for other in ('entry-1', 'entry-2', 'entry-3', 'ledger'):
            self.cell.network.cut_links |= {(name, other), (other, name)}

    async def _cut_server(self, step: ScriptStep) -> None:
        server = self._server(step).server_id
        entry = f'entry-{step.selector // 3 + 1}'
        self.cell.network.cut_links.add((server, entry))
        if step.selector % 2:
            self.cell.network.cut_links.add((entry, server))

    async def _heal(self, step: ScriptStep) -> None:
        self.cell.network.heal()

    async def _kill_server(self, step: ScriptStep) -> None:
        self._server(step).alive = False

    async def _start_server(self, step: ScriptStep) -> None:
        self._server(step).alive = True

    async def _leave(self, step: ScriptStep) -> None:
        self._server(step).leaving = True

    async def _stay(self, step: ScriptStep) -> None:
        self._server(step).leaving = False

    async def _lossy(self, step: ScriptStep) -> None:
        self.cell.network.loss_rate = 0.1

    async def _slow(self, step: ScriptStep) -> None:
        self.cell.network.delay_seconds = 0.1

    def _recover(self) -> None:
        self.cell.network.heal()
        for server in self.cell.servers.values():
            server.alive = True
            server.leaving = False
        for name in ('entry-1', 'entry-2', 'entry-3'):
            if name not in self.cell.entries:
                self.cell.start(name)
