"""Days of a group on small disks that fill, stall, tear writes and are lost.

``python -m tests.random_disks --seeds 1 50`` plays many of them.
"""

import argparse
import random
import sys
import tempfile
import time
import traceback
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import anyio

from mulberryhitch.errors import (
    DamagedFileError,
    DiskFullError,
    StorageError,
)
from mulberryhitch.replication.disk_errors import typed_disk_errors
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.replica import Replica
from tests.bounded_disks import MEBIBYTE, SYNC_SECONDS
from tests.crashing_disk import CrashingDisk, crashing_disks
from tests.random_clients import CheckedValues, History, Reader, Writer
from tests.replica_group import (
    QUICK_OPTIONS,
    ReplicaGroup,
    run_with_mock_clock,
)

RECOVERY_SECONDS = 12
KIBIBYTE = 1024
_WATCH_SECONDS = 0.1
_CATCH_UP_SECONDS = 4
_CONVERGENCE_SECONDS = 30
_START_RETRY_SECONDS = 1
_FOREIGN_WRITE_SECONDS = 0.03
_PAUSES_SECONDS = (0, 0.2, 1, 3)
_CALM_SECONDS = (0, 0, 3, RECOVERY_SECONDS + 2)
# Room that foreign files leave, in bytes; zero twice as often.
_ROOM_BYTES = (0, 0, 100, 5_000, 100_000, 700_000)
_EVENTS = (
    'fill_one',
    'fill_two',
    'fill_all',
    'fill_all',
    'fill_all_again_and_again',
    'kill_one',
    'kill_leader_after_a_proposal',
    'kill_all',
    'lose_power_of_one',
    'lose_power_of_all',
    'hand_over',
    'replace_disk',
    'isolate',
    'cut_one_link',
    'stall',
    'slow_disk',
    'hurry',
)


@dataclass(frozen=True)
class Sizes:
    """The size of the disks, and of what is stored on them, in bytes."""

    disk_bytes: int
    reserve_bytes: int
    large_bytes: int
    options: ReplicationOptions


SMALL = Sizes(
    8 * MEBIBYTE,
    512 * KIBIBYTE,
    160 * KIBIBYTE,
    replace(
        QUICK_OPTIONS,
        compact_bytes=512 * KIBIBYTE,
        max_log_bytes=2 * MEBIBYTE,
    ),
)


class CrashingDiskGroup(ReplicaGroup):
    """A group whose replicas store real files on disks that crash."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        spares: int,
        sizes: Sizes,
        options: ReplicationOptions,
    ) -> None:
        super().__init__(3, seed, spares, options)
        self.history = History()
        self.started_at: dict[str, float] = {}
        self.disks: dict[str, CrashingDisk] = {
            vm: CrashingDisk(
                folder / vm,
                vm,
                sizes.disk_bytes,
                sizes.reserve_bytes,
                self.rng,
            )
            for vm in self.disks
        }

    def new_state_machine(self) -> CheckedValues:
        return CheckedValues(self.history)

    def storage_of(self, vm: str) -> Any:
        return self.disks[vm].new_process()

    def start(self, vm: str) -> None:
        """Starts a process; a new one may have to wait for room."""
        if vm in self.replicas:
            return
        self.started_at[vm] = anyio.current_time()
        is_new = not (self.disks[vm].folder / 'identity').exists()
        try:
            with typed_disk_errors(self.disks[vm].folder):
                super().start(vm)
        except DiskFullError as error:
            if not is_new:
                self.history.violations.append(f'{vm} did not start: {error}')
            self.task_group.start_soon(self._start_again, vm)
        except DamagedFileError as error:
            self.history.violations.append(f'{vm}: damaged: {error}')

    def kill(self, vm: str) -> None:
        if vm in self.replicas:
            super().kill(vm)

    async def _start_again(self, vm: str) -> None:
        await anyio.sleep(_START_RETRY_SECONDS)
        self.start(vm)

    async def _run(self, vm: str, replica: Replica, scope: Any) -> None:
        with scope:
            try:
                await replica.run()
            except* StorageError as errors:
                self.history.violations.append(
                    f'{vm} ended: {errors.exceptions}'
                )


class Health:
    """Which VMs are undisturbed and have room, and since when."""

    def __init__(self, group: CrashingDiskGroup) -> None:
        self._group = group
        self._disturbed: Counter[str] = Counter()
        self._undisturbed_at: dict[str, float] = {}
        self._emptied_at: dict[str, float] = {}

    @property
    def any_disturbed(self) -> bool:
        return bool(self._disturbed.total())

    @asynccontextmanager
    async def disturbing(self, vms: Iterable[str]) -> AsyncIterator[None]:
        disturbed = tuple(vms)
        self._disturbed.update(disturbed)
        try:
            yield
        finally:
            self._disturbed.subtract(disturbed)
            now = anyio.current_time()
            self._undisturbed_at.update(dict.fromkeys(disturbed, now))

    def record_emptied(self, vm: str) -> None:
        self._emptied_at[vm] = anyio.current_time()

    def majority_since(self, needs_room: bool) -> float | None:
        """Returns since when a majority is undisturbed, in seconds."""
        found = []
        present = {
            one.replica_id: vm for vm, one in self._group.replicas.items()
        }
        groups = {one.members.voters for one in self._group.replicas.values()}
        for voters in groups - {()}:
            since = [
                self._since(present[voter], needs_room)
                for voter in voters
                if voter in present
            ]
            times = sorted(one for one in since if one is not None)
            quorum = len(voters) // 2 + 1
            if len(times) < quorum:
                return None
            found.append(times[quorum - 1])
        return max(found, default=None)

    def _since(self, vm: str, needs_room: bool) -> float | None:
        if self._disturbed[vm] > 0:
            return None
        started_at = self._group.started_at[vm]
        since = max(started_at, self._undisturbed_at.get(vm, 0))
        if not needs_room:
            return since
        if self._group.disks[vm].foreign_bytes:
            return None
        return max(since, self._emptied_at.get(vm, 0))


class RandomDisksPlayer:
    """Plays a seeded day and checks what the group guarantees.

    Attributes:
        played: When each event began.
    """

    def __init__(
        self, seed: int, folder: Path, sizes: Sizes = SMALL, rounds: int = 6
    ) -> None:
        self.rng = random.Random(seed)
        spares = self.rng.choice((0, 0, 1))
        options = replace(
            sizes.options,
            repair_seconds=self.rng.choice((1, 5, 20)),
            compact_entries=self.rng.choice((50, 20_000, 20_000)),
        )
        self.group = CrashingDiskGroup(folder, seed, spares, sizes, options)
        self.history = self.group.history
        self.health = Health(self.group)
        self.played: list[tuple[float, str]] = []
        self.reader = Reader()
        large = sizes.large_bytes
        self.writers = (
            Writer('small', 4, (60, 2_000), (0, 0.2)),
            Writer('growing', 60, (1_000, large // 40), (0, 0.3)),
            Writer('large', 2, (large // 8, large), (0.1, 0.6)),
        )
        self._rounds = rounds

    async def play(self) -> None:
        """Plays the whole day, and checks its end."""
        with crashing_disks(self.group.disks):
            async with self.group.running():
                await self.group.wait_leader()
                self.group.options = replace(
                    self.group.options, may_bootstrap=False
                )
                async with anyio.create_task_group() as clients:
                    self._start_clients(clients)
                    await self._play_events()
                    self._record('all events ended')
                    await anyio.sleep(max(_CALM_SECONDS))
                    clients.cancel_scope.cancel()
                await self._check_end()
        self._raise_violations()

    def _start_clients(self, tasks: Any) -> None:
        now = anyio.current_time()
        leader = self.group.leader
        for writer in self.writers:
            writer.acknowledged_at = now
            tasks.start_soon(writer.run, self.history, leader, self.rng)
        self.reader.answered_at = now
        tasks.start_soon(
            self.reader.run, self.history, leader, self._machine_of
        )
        tasks.start_soon(self._watch)

    def _machine_of(self, replica: Replica) -> CheckedValues:
        return self.group.state_machines[vm_of(replica.replica_id)]

    async def _play_events(self) -> None:
        await anyio.sleep(self.rng.uniform(0, 4))
        for _ in range(self._rounds):
            async with anyio.create_task_group() as tasks:
                for _ in range(self.rng.randint(1, 5)):
                    self._begin_event(tasks)
                    await anyio.sleep(self.rng.choice(_PAUSES_SECONDS))
            await anyio.sleep(self.rng.choice(_CALM_SECONDS))

    def _begin_event(self, tasks: Any) -> None:
        event = self.rng.choice(_EVENTS)
        vm = self.rng.choice(sorted(self.group.disks))
        self._record(f'{event} {vm}')
        tasks.start_soon(getattr(self, f'_{event}'), vm)

    def _record(self, event: str) -> None:
        self.played.append((round(anyio.current_time(), 2), event))

    async def _watch(self) -> None:
        while True:
            self._check_answers()
            self._check_bounds()
            leaders = [
                one.replica_id
                for one in self.group.replicas.values()
                if one.has_authority
            ]
            if len(leaders) > 1:
                self.history.violations.append(f'leaders: {leaders}')
            self._raise_violations()
            await anyio.sleep(_WATCH_SECONDS)

    def _check_answers(self) -> None:
        now = anyio.current_time()
        readable_since = self.health.majority_since(needs_room=False)
        writable_since = self.health.majority_since(needs_room=True)
        expected = [('reads', readable_since, self.reader.answered_at)]
        expected += [
            (writer.name, writable_since, writer.acknowledged_at)
            for writer in self.writers
        ]
        for name, since, answered_at in expected:
            if since is None:
                continue
            if now - max(since, answered_at) > RECOVERY_SECONDS:
                self.history.violations.append(
                    f'no answer to {name} in {RECOVERY_SECONDS} s: '
                    f'{self._overview()}'
                )

    def _check_bounds(self) -> None:
        for vm, disk in self.group.disks.items():
            if disk.overfilled:
                self.history.violations.append(
                    f'own files fill the disk of {vm}: {disk.overfilled}'
                )
        limit = self.group.options.max_follower_log_bytes
        for vm, replica in self.group.replicas.items():
            entries = replica.state._entries
            size = sum(len(entry.body) for entry in entries)
            if size > limit:
                self.history.violations.append(
                    f'{vm} has entries of {size} bytes in memory'
                )

    def _raise_violations(self) -> None:
        if self.history.violations:
            at = anyio.current_time()
            raise AssertionError(f'{at:.2f} s: {self.history.violations[0]}')

    def _overview(self) -> str:
        parts = []
        for vm, disk in self.group.disks.items():
            replica = self.group.replicas.get(vm)
            state = replica and (
                replica.role.value,
                f'term {replica.term}',
                f'commit {replica.state.commit_index}',
                f'last {replica.state.last_index}',
            )
            parts.append(
                f'{vm}: {state}, foreign {disk.foreign_bytes}, '
                f'free {disk.free_bytes}, files {disk.file_sizes()}'
            )
        return '; '.join(parts)

    async def _check_end(self) -> None:
        acknowledged = dict(self.history.acknowledged)
        await self._check_convergence(acknowledged)
        for vm in self.group.disks:
            self.group.kill(vm)
            self.group.disks[vm].lose_unsynced()
        for vm in self.group.disks:
            self.group.start(vm)
        await self._check_convergence(acknowledged)

    async def _check_convergence(self, acknowledged: dict[str, int]) -> None:
        try:
            with anyio.fail_after(_CONVERGENCE_SECONDS):
                await self.group.wait_leader()
                while not self._is_converged():
                    await anyio.sleep(_WATCH_SECONDS)
        except TimeoutError:
            self.history.violations.append(
                f'not converged at the end: {self._overview()}'
            )
        for vm in self.group.replicas:
            values = self.group.state_machines[vm].values
            self.history.check_values(values, acknowledged, f'{vm} at the end')
        self._raise_violations()

    def _is_converged(self) -> bool:
        replicas = self.group.replicas.values()
        members = {one.members for one in replicas}
        states = {
            (one.state.commit_index, one.state.last_index) for one in replicas
        }
        return len(members) == len(states) == 1

    # Events; each is named in ``_EVENTS`` and gets a random VM.

    async def _fill_one(self, vm: str) -> None:
        await self._fill([vm])

    async def _fill_two(self, vm: str) -> None:
        others = sorted(set(self.group.disks) - {vm})
        await self._fill([vm, self.rng.choice(others)])

    async def _fill_all(self, vm: str) -> None:
        await self._fill(sorted(self.group.disks))

    async def _fill(self, vms: Sequence[str]) -> None:
        taken = {}
        for vm in vms:
            disk = self.group.disks[vm]
            room = self.rng.choice(_ROOM_BYTES)
            taken[vm] = max(0, disk.free_bytes - room)
            disk.foreign_bytes += taken[vm]
        await anyio.sleep(self.rng.choice((1, 5, 16, 30)) * self.rng.random())
        for vm, size in taken.items():
            self.group.disks[vm].foreign_bytes -= size
            self.health.record_emptied(vm)

    async def _fill_all_again_and_again(self, vm: str) -> None:
        """Takes all room, and what the replicas free, for some time."""
        taken = Counter[str]()
        with anyio.move_on_after(self.rng.choice((5, 30)) * self.rng.random()):
            while True:
                for name, disk in self.group.disks.items():
                    size = max(0, disk.free_bytes)
                    taken[name] += size
                    disk.foreign_bytes += size
                await anyio.sleep(_FOREIGN_WRITE_SECONDS)
        for name, size in taken.items():
            self.group.disks[name].foreign_bytes -= size
            self.health.record_emptied(name)

    async def _kill_one(self, vm: str) -> None:
        await self._restart([vm])

    async def _kill_leader_after_a_proposal(self, vm: str) -> None:
        leader = self.group.leader()
        if leader is not None:
            last = leader.state.last_index
            with anyio.move_on_after(3):
                while leader.state.last_index == last:
                    await anyio.sleep(0.005)
            await self._restart([vm_of(leader.replica_id)])

    async def _kill_all(self, vm: str) -> None:
        await self._restart(sorted(self.group.disks))

    async def _lose_power_of_one(self, vm: str) -> None:
        await self._restart([vm], loses_power=True)

    async def _lose_power_of_all(self, vm: str) -> None:
        await self._restart(sorted(self.group.disks), loses_power=True)

    async def _restart(
        self, vms: Sequence[str], loses_power: bool = False
    ) -> None:
        async with self.health.disturbing(vms):
            for vm in vms:
                self.group.kill(vm)
                if loses_power:
                    self.group.disks[vm].lose_unsynced()
            for vm in self.rng.sample(vms, len(vms)):
                pause = self.rng.choice((0.02, 0.5, 2))
                await anyio.sleep(pause * self.rng.random())
                self.group.start(vm)

    async def _hand_over(self, vm: str) -> None:
        leader = self.group.leader()
        if leader is not None:
            with anyio.move_on_after(3):
                await leader.transfer_leadership()

    async def _replace_disk(self, vm: str) -> None:
        """Replaces a disk by an empty one, if the group can bear it."""
        if not self._can_lose_a_disk():
            return
        self._record(f'replaced the disk of {vm}')
        async with self.health.disturbing([vm]):
            self.group.kill(vm)
            self.group.disks[vm].wipe()
            await anyio.sleep(self.rng.uniform(0.1, 2))
            self.group.start(vm)

    def _can_lose_a_disk(self) -> bool:
        leader = self.group.leader()
        since = self.health.majority_since(needs_room=False)
        if leader is None or since is None or self.health.any_disturbed:
            return False
        ids = {one.replica_id for one in self.group.replicas.values()}
        voters = leader.members.voters
        synced = leader.replicas_with(leader.state.commit_index)
        is_complete = len(voters) == 3 and set(voters) <= ids & set(synced)
        return is_complete and (
            anyio.current_time() - since > _CATCH_UP_SECONDS
        )

    async def _isolate(self, vm: str) -> None:
        others = set(self.group.disks) - {vm}
        links = {(vm, other) for other in others}
        links |= {(other, vm) for other in others}
        await self._cut(vm, links)

    async def _cut_one_link(self, vm: str) -> None:
        other = self.rng.choice(sorted(set(self.group.disks) - {vm}))
        links = {(vm, other), (other, vm)}
        await self._cut(vm, set(self.rng.sample(sorted(links), 2)[:2]))

    async def _cut(self, vm: str, links: set[tuple[str, str]]) -> None:
        cut = links - self.group.network.cut_links
        async with self.health.disturbing([vm]):
            self.group.network.cut_links |= cut
            await anyio.sleep(self.rng.choice((1, 6, 15)) * self.rng.random())
            self.group.network.cut_links -= cut

    async def _stall(self, vm: str) -> None:
        disk = self.group.disks[vm]
        async with self.health.disturbing([vm]):
            disk.stalls += 1
            await anyio.sleep(self.rng.uniform(0.5, 6))
            disk.stalls -= 1

    async def _slow_disk(self, vm: str) -> None:
        disk = self.group.disks[vm]
        async with self.health.disturbing([vm]):
            disk.sync_seconds = self.rng.choice((0.05, 0.2, 0.5))
            await anyio.sleep(self.rng.uniform(0.5, 5))
            disk.sync_seconds = SYNC_SECONDS

    async def _hurry(self, vm: str) -> None:
        """Proposes without pauses for some time."""
        writer = self.rng.choice(self.writers)
        writer.hurries = True
        await anyio.sleep(self.rng.uniform(1, 8))
        writer.hurries = False


def play(
    seed: int, folder: Path, sizes: Sizes = SMALL, rounds: int = 6
) -> RandomDisksPlayer:
    """Plays one day.

    Raises:
        AssertionError: A guarantee was violated.
    """
    player = RandomDisksPlayer(seed, folder, sizes, rounds)
    run_with_mock_clock(player.play)
    return player


def _first_line(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return f'{type(error).__name__}: {error}'.partition('\n')[0]


def main() -> int:
    """Plays days and prints each that fails; returns the exit status."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seeds', type=int, nargs=2, default=(1, 50))
    parser.add_argument('--rounds', type=int, default=6)
    parser.add_argument('--trace', action='store_true')
    arguments = parser.parse_args()
    first, last = arguments.seeds
    failures = 0
    for seed in range(first, last + 1):
        with tempfile.TemporaryDirectory() as folder:
            player = RandomDisksPlayer(
                seed, Path(folder), rounds=arguments.rounds
            )
            began_at = time.process_time()
            try:
                run_with_mock_clock(player.play)
            except BaseExceptionGroup as errors:
                failures += 1
                print(f'FAILED seed {seed}: {_first_line(errors)}')
                if arguments.trace:
                    traceback.print_exception(errors, limit=-2)
            if arguments.trace:
                print(player.played)
            seconds = time.process_time() - began_at
            print(
                f'seed {seed}: {seconds:.1f} s, '
                f'{len(player.history.applied)} entries',
                flush=True,
            )
    print(f'{failures} of {last - first + 1} days failed')
    return 1 if failures else 0


if __name__ == '__main__':
    sys.exit(main())
