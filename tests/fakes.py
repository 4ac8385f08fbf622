"""In-memory fakes of a disk, a network and a state machine."""

import random
from collections import defaultdict
from dataclasses import replace
from typing import Any

import anyio
import orjson

from mulberryhitch.constants import (
    RPC_CONNECT_TIMEOUT_SECONDS,
    RPC_MAX_FRAME_BYTES,
)
from mulberryhitch.errors import (
    ConnectionLostError,
    DiskFullError,
    OutcomeUnknownError,
    StorageError,
    UnreachableError,
)
from mulberryhitch.replication.storage import Snapshot, StoredState
from mulberryhitch.rpc.codec import Call, encode_call
from mulberryhitch.rpc.messages import CallHeader, LogEntry

SYNC_SECONDS = 0.002
# Interval at which the RPC client begins another attempt to connect.
CONNECT_INTERVAL_SECONDS = 0.3
STALL_POLL_SECONDS = 0.01


class FakeDisk:
    """A disk that loses unsynced writes when its VM is killed."""

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.generation = 0
        self.failing_operation = ''
        self.sync_seconds = SYNC_SECONDS
        self._stall_ended: anyio.Event | None = None
        self._stored = StoredState(f'{vm}#0')
        self._written = list(self._stored.entries)

    @property
    def is_synced(self) -> bool:
        return self._written == self._stored.entries

    @property
    def is_room_short(self) -> bool:
        """Returns whether ordinary entries are refused for others."""
        return False

    @property
    def log_bytes(self) -> int:
        """Returns the size of the entries that were written."""
        return sum(len(entry.body) for entry in self._written)

    @property
    def snapshot_bytes(self) -> int:
        """Returns the size of the stored snapshot's state."""
        snapshot = self._stored.snapshot
        return len(snapshot.state) if snapshot else 0

    @property
    def keeps_room(self) -> bool:
        return False

    @property
    def is_room_kept(self) -> bool:
        return True

    @property
    def synced_index(self) -> int:
        """Returns the last index that a loss of power leaves on the disk."""
        if self._stored.entries:
            return self._stored.entries[-1].index
        snapshot = self._stored.snapshot
        return snapshot.last_index if snapshot else 0

    def wipe(self) -> None:
        """Replaces the disk by an empty one, with a new replica id."""
        self.generation += 1
        self._stored = StoredState(f'{self.vm}#{self.generation}')
        self.crash()

    def crash(self) -> None:
        """Discards all writes that have not been synced."""
        self._written = list(self._stored.entries)

    def fill(self) -> None:
        """Refuses every write from now on, as a full disk does."""
        self.failing_operation = 'write'

    def fill_after_a_snapshot(self) -> None:
        """Stores a snapshot, and refuses to rewrite the log after it."""
        self.failing_operation = 'compact'

    def free(self) -> None:
        """Accepts writes again."""
        self.failing_operation = ''

    def stall(self) -> None:
        """Leaves every sync unanswered from now on."""
        self._stall_ended = anyio.Event()

    def resume(self) -> None:
        """Answers the syncs that are waiting, and later ones."""
        if self._stall_ended is not None:
            self._stall_ended.set()
        self._stall_ended = None

    def load(self) -> StoredState:
        self._stored.entries = self._continuing_entries()
        self.crash()
        return replace(self._stored, entries=list(self._stored.entries))

    def _continuing_entries(self) -> list[LogEntry]:
        """Returns the entries behind the snapshot, if the log matches it."""
        snapshot, entries = self._stored.snapshot, self._stored.entries
        if snapshot is None or not entries:
            return entries
        index, term = snapshot.last_index, snapshot.last_term
        matches = any(
            (entry.index, entry.term) == (index, term) for entry in entries
        )
        if not matches and entries[0].index != index + 1:
            return []
        return [entry for entry in entries if entry.index > index]

    def write(self, entries: list[LogEntry]) -> None:
        if self.failing_operation == 'write':
            raise DiskFullError('no space left', where=self.vm)
        assert self.is_synced, f'{self.vm}: a write behind an unsynced one'
        self._written.extend(entries)

    async def sync(self) -> None:
        syncing = list(self._written)
        await self._wait_for_disk(self.sync_seconds)
        if self.failing_operation == 'sync':
            raise StorageError('fsync failed', where=self.vm)
        self._stored.entries = syncing

    async def truncate(self, index: int) -> None:
        self._written = [
            entry for entry in self._written if entry.index < index
        ]
        await self.sync()

    async def save_vote(
        self, term: int, voted_for: str, promised_seconds: float = 0
    ) -> None:
        await self._wait_for_disk(self.sync_seconds)
        if self.failing_operation == 'write':
            raise DiskFullError('no space left', where=self.vm)
        if self.failing_operation == 'sync':
            raise StorageError('fsync failed', where=self.vm)
        self._stored.term = term
        self._stored.voted_for = voted_for
        self._stored.promised_seconds = promised_seconds

    async def save_snapshot(
        self, snapshot: Snapshot, entries: list[LogEntry]
    ) -> None:
        await self._wait_for_disk(SYNC_SECONDS)
        if self.failing_operation == 'write':
            raise DiskFullError('no space left', where=self.vm)
        self._stored.snapshot = snapshot
        if self.failing_operation == 'compact':
            raise DiskFullError('no space left', where=self.vm)
        self._written = list(entries)
        self._stored.entries = list(entries)

    async def keep_room(self) -> None:
        """Keeps no room: the fake's disk has no size."""

    async def _wait_for_disk(self, seconds: float) -> None:
        """Waits for the disk, which no cancellation interrupts."""
        await anyio.sleep(seconds)
        if self._stall_ended is not None:
            with anyio.CancelScope(shield=True):
                await self._stall_ended.wait()


class FakeNetwork:
    """Carries messages; links can be cut one way, lossy and slow.

    Attributes:
        silent_vms: VMs that, while stopped, leave attempts to connect
            unanswered rather than refuse them.
        stalled_vms: VMs whose messages are held until they are not listed.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.nodes: dict[str, Any] = {}
        self._handling: dict[str, set[anyio.CancelScope]] = defaultdict(set)
        self.cut_links: set[tuple[str, str]] = set()
        self.loss_rate = 0.0
        self.delay_seconds = 0.002
        self.vm_delays: dict[str, float] = {}
        self.duplicate_rate = 0.0
        self.silent_vms: set[str] = set()
        self.stalled_vms: set[str] = set()
        self.calls = 0

    def stop(self, vm: str) -> None:
        """Ends a node, and the calls that it is handling."""
        self.nodes.pop(vm, None)
        for scope in tuple(self._handling[vm]):
            scope.cancel()

    async def handle(self, vm: str, method: str, request: Any) -> Any:
        """Lets a node handle a call; never returns if it is stopped."""
        with anyio.CancelScope() as scope:
            self._handling[vm].add(scope)
            try:
                return await getattr(self.nodes[vm], method)(request)
            finally:
                self._handling[vm].discard(scope)
        await anyio.sleep_forever()

    def isolate(self, vm: str) -> None:
        for other in self.nodes:
            self.cut_links |= {(vm, other), (other, vm)}

    def heal(self) -> None:
        self.cut_links.clear()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.delay_seconds = 0.002
        self.vm_delays.clear()

    def transport(self, vm: str) -> 'FakeTransport':
        return FakeTransport(self, vm)

    async def connect(self, vm: str) -> None:
        """Waits until a VM that is stopped answers, if it may be silent."""
        if vm in self.silent_vms:
            with anyio.move_on_after(RPC_CONNECT_TIMEOUT_SECONDS):
                while vm not in self.nodes:
                    await anyio.sleep(CONNECT_INTERVAL_SECONDS)
        else:
            await anyio.sleep(self.delay_seconds)
        if vm not in self.nodes:
            raise UnreachableError('not connected', where=vm)

    async def transmit(self, source: str, target: str) -> None:
        """Delays a message; never returns if the message is lost."""
        delay = max(
            self.delay_seconds,
            self.vm_delays.get(source, 0),
            self.vm_delays.get(target, 0),
        )
        await anyio.sleep(delay * (1 + self.rng.random()))
        while self.stalled_vms & {source, target}:
            await anyio.sleep(STALL_POLL_SECONDS)
        if (
            source,
            target,
        ) in self.cut_links or self.rng.random() < self.loss_rate:
            await anyio.sleep_forever()


class FakeTransport:
    """Carries the calls of one VM to the replicas on the network."""

    def __init__(self, network: FakeNetwork, vm: str) -> None:
        self._network = network
        self._vm = vm

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        network = self._network
        network.calls += 1
        try:
            with anyio.fail_after(timeout_seconds):
                if vm not in network.nodes:
                    await network.connect(vm)
                await network.transmit(self._vm, vm)
                is_duplicated = network.rng.random() < network.duplicate_rate
                if is_duplicated and vm in network.nodes:
                    await network.handle(vm, method, request)
                if vm not in network.nodes:
                    raise UnreachableError('connection lost', where=vm)
                reply = await network.handle(vm, method, request)
                await network.transmit(vm, self._vm)
                return reply
        except TimeoutError as error:
            raise OutcomeUnknownError(
                'no response in time', where=vm
            ) from error


class FrameLimitedTransport(FakeTransport):
    """Loses the connection on each call that is too large for a frame."""

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        header = CallHeader(self._vm, timeout_seconds)
        frame = encode_call(Call(method, 1, header, request))
        if len(frame) > RPC_MAX_FRAME_BYTES:
            raise ConnectionLostError('frame too long', where=vm)
        return await super().call(vm, method, request, timeout_seconds)


class KeyValueStateMachine:
    """Keeps the latest value of each key and all values in order."""

    def __init__(self) -> None:
        self.values: dict[str, Any] = {}
        self.applied: list[int] = []

    def apply(self, entry: LogEntry) -> Any:
        key, value = orjson.loads(entry.body)
        self.values[key] = value
        self.applied.append(value)
        return len(self.applied)

    def snapshot(self) -> bytes:
        return orjson.dumps([self.values, self.applied])

    def restore(self, state: bytes) -> None:
        self.values, self.applied = orjson.loads(state)
