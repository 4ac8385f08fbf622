"""Entries, backend servers and a ledger on a fake network.

These backend servers refuse no request, so only the entries' own leases and
counts keep the slots from being exceeded.
"""

import random
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, cast

import anyio

from mulberryhitch.backend_servers.directory import BackendServerDirectory
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.errors import (
    MulberryhitchError,
    NoQuorumError,
    OutcomeUnknownError,
    UnreachableError,
)
from mulberryhitch.http.announcements import make_ownership_offer
from mulberryhitch.http.entry import Entry
from mulberryhitch.membership.members import MemberList, MemberRole
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.requests.ledger import Ledger, LedgerEntry, StoredResponse
from mulberryhitch.requests.messages import ServiceRequest, ServiceResponse
from mulberryhitch.requests.owned_servers import OwnedServerTracker
from mulberryhitch.requests.ports import Owner
from mulberryhitch.requests.router import DEADLINE_HEADER, Router
from mulberryhitch.rpc.messages import Announcement, Heartbeat
from mulberryhitch.standins.backend_server import StandinBackendServer
from tests.fakes import FakeNetwork

SLOTS = 3
DOCUMENT = (
    '{"base": {"tenants": {"north": {}, "south": {}}, '
    '"services": {"returns": {"slots": 3}}}}'
)


class FakeLedger:
    """A ledger that the entries call over the fake network."""

    def __init__(self, network: FakeNetwork) -> None:
        self._network = network
        self.ledger = Ledger(86_400, 10_000)

    def client(self, vm: str) -> '_FakeLedgerClient':
        return _FakeLedgerClient(self, self._network, vm)


class _FakeLedgerClient:
    def __init__(
        self, owner: FakeLedger, network: FakeNetwork, vm: str
    ) -> None:
        self._owner = owner
        self._network = network
        self._vm = vm

    async def begin(
        self, home: str, entry: LedgerEntry, timeout_seconds: float
    ) -> LedgerEntry:
        try:
            with anyio.fail_after(timeout_seconds):
                await self._network.transmit(self._vm, 'ledger')
                known = self._owner.ledger.begin(entry)
                await self._network.transmit('ledger', self._vm)
                return known
        except TimeoutError as error:
            raise NoQuorumError('ledger did not confirm the request') from error

    async def finish(
        self, home: str, entry: LedgerEntry, response: StoredResponse
    ) -> None:
        await self._record('finish', entry, response)

    async def release(self, home: str, entry: LedgerEntry) -> None:
        await self._record('release', entry)

    async def mark_unknown(self, home: str, entry: LedgerEntry) -> None:
        await self._record('mark_unknown', entry)

    async def _record(self, name: str, entry: LedgerEntry, *rest: Any) -> None:
        with anyio.move_on_after(2):
            await self._network.transmit(self._vm, 'ledger')
            try:
                getattr(self._owner.ledger, name)(
                    entry.tenant, entry.key, entry.request_id, *rest
                )
            except MulberryhitchError:
                return


class FakeBackendServer(StandinBackendServer):
    """A backend server that can be killed and refuses no request."""

    def __init__(self, name: str) -> None:
        address = f'127.0.0.1:{1000 + int(name[-1])}'
        super().__init__(name, 'returns', 'home', address, 1, SLOTS)
        self.alive = True
        self.last_request_at = 0.0
        self.work_seconds = 0.1

    async def handle(self, request: ServiceRequest) -> bytes:
        self.busy += 1
        self.peak_busy = max(self.peak_busy, self.busy)
        self.last_request_at = anyio.current_time()
        assert self.busy <= SLOTS, (
            f'{self.busy} requests at once on {self.server_id}'
        )
        if request.key:
            run_count = self.runs_by_key.get(request.key, 0) + 1
            self.runs_by_key[request.key] = run_count
        try:
            await anyio.sleep(self.work_seconds)
            if not self.alive:
                raise OutcomeUnknownError('server killed', where=self.server_id)
            self.served += 1
            return request.request_id.encode()
        finally:
            self.busy -= 1


@dataclass
class RunningEntry:
    """One running entry and its components."""

    name: str
    entry: Entry
    server_tracker: OwnedServerTracker
    alive: bool = True
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class EntryCell:
    """Entries and backend servers of one data centre."""

    def __init__(self, seed: int, entries: int = 3, servers: int = 3) -> None:
        self.rng = random.Random(seed)
        self.network = FakeNetwork(self.rng)
        self.ledger = FakeLedger(self.network)
        self.entries: dict[str, RunningEntry] = {}
        self.servers = {
            f'server-{number + 1}': FakeBackendServer(f'server-{number + 1}')
            for number in range(servers)
        }
        self.outcomes: Counter[str] = Counter()
        self._names = [f'entry-{number + 1}' for number in range(entries)]
        self._task_group: Any = None

    @asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            self._task_group = tasks
            for name in self._names:
                self.start(name)
            for server in self.servers.values():
                tasks.start_soon(self._announce, server)
            yield self
            tasks.cancel_scope.cancel()

    def start(self, name: str) -> None:
        configuration = ConfigurationHolder('home')
        configuration.apply_if_newer(1, DOCUMENT)
        members = MemberList(name)
        directory = BackendServerDirectory()
        members.add_listener(directory.record_heartbeat)
        incarnation = int(anyio.current_time() * 1000) + 1
        router = Router(
            name,
            configuration,
            lambda service: _owners(members, service),
            self.ledger.client(name),
            lambda tenant, key: 'dc:home',
            Metrics(''),
            Histograms(),
            self.rng,
            lambda address, connections: cast(
                'Any', FakeUpstream(self, name, address)
            ),
        )
        server_tracker = OwnedServerTracker(
            name, directory, router, configuration
        )

        def heartbeat() -> Heartbeat:
            return Heartbeat(
                name,
                incarnation,
                'entry',
                'home',
                name,
                name,
                name,
                'stopping' if entry.stopping else 'ready',
                1,
                announcements=directory.direct_announcements(),
                loads=server_tracker.service_loads(),
                clock=anyio.current_time(),
            )

        unused = cast('Any', None)
        entry = Entry(
            name,
            'home',
            unused,
            configuration,
            unused,
            members,
            unused,
            directory,
            unused,
            router,
            Histograms(),
            Metrics(''),
            unused,
            heartbeat,
        )
        running_entry = RunningEntry(name, entry, server_tracker)
        self.entries[name] = running_entry
        self._task_group.start_soon(self._run_entry, running_entry)

    def kill(self, name: str) -> None:
        running_entry = self.entries.pop(name)
        running_entry.alive = False
        running_entry.scope.cancel()

    async def send(
        self,
        name: str,
        key: str = '',
        tenant: str = 'north',
        seconds: float = 5,
    ) -> str:
        """Sends a request through an entry and returns its outcome."""
        running_entry = self.entries.get(name)
        if running_entry is None:
            return 'not_run'
        request = ServiceRequest(
            f'{self.rng.random()}',
            tenant,
            'returns',
            'POST',
            b'/x',
            [],
            b'',
            None,
            anyio.current_time() + seconds,
            idempotent=not key,
            key=key,
        )
        outcome = await self._route(running_entry, request)
        self.outcomes[outcome] += 1
        return outcome

    async def _route(
        self, running_entry: RunningEntry, request: ServiceRequest
    ) -> str:
        earlier_runs = self.run_count(request.key)
        outcome = 'unknown'
        try:
            with anyio.CancelScope() as scope:
                response = await running_entry.entry.router.route(request)
                outcome = response.outcome.value
                if not request.key and outcome == 'completed':
                    assert response.body == request.request_id.encode()
            if scope.cancelled_caught:
                outcome = 'unknown'
        except MulberryhitchError as error:
            outcome = error.outcome.value
        if outcome == 'completed' and request.key:
            assert self.run_count(request.key) == 1
        if outcome == 'not_run' and request.key and not earlier_runs:
            assert self.run_count(request.key) <= 1
        return outcome

    def run_count(self, key: str) -> int:
        return sum(
            server.runs_by_key.get(key, 0) for server in self.servers.values()
        )

    async def _run_entry(self, running_entry: RunningEntry) -> None:
        with running_entry.scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(running_entry.server_tracker.run)
                tasks.start_soon(self._gossip, running_entry)

    async def _gossip(self, running_entry: RunningEntry) -> None:
        while True:
            for other in self._names:
                if other != running_entry.name:
                    self._task_group.start_soon(
                        self._deliver,
                        running_entry.name,
                        other,
                        running_entry.entry.make_heartbeat(),
                    )
            await anyio.sleep(0.5)

    async def _deliver(self, source: str, target: str, heartbeat: Any) -> None:
        with anyio.move_on_after(10):
            await self.network.transmit(source, target)
            if target in self.entries:
                self.entries[target].entry.members.record_heartbeat(heartbeat)

    async def _announce(self, server: FakeBackendServer) -> None:
        while True:
            if server.alive and self.entries:
                self._task_group.start_soon(self._announce_once, server)
            await anyio.sleep(1)

    async def _announce_once(self, server: FakeBackendServer) -> None:
        name = self.rng.choice(sorted(self.entries))
        body = server.announcement()
        announcement = Announcement(
            server.server_id,
            'returns',
            'home',
            server.server_id,
            body.state.value,
            SLOTS,
            64,
            body.busy,
            body.owner,
            body.owner_anchor,
            body.incarnation,
            body.sequence,
        )
        with anyio.move_on_after(1):
            await self.network.transmit(server.server_id, name)
            running_entry = self.entries.get(name)
            if running_entry is None:
                return
            running_entry.entry.directory.record_announcement(announcement)
            offer = make_ownership_offer(running_entry.entry, announcement)
            await self.network.transmit(name, server.server_id)
            server.take_offer(offer.owner, offer.anchor, offer.lease_seconds)


def _owners(members: MemberList, service: str) -> list[Owner]:
    return [
        Owner(
            heartbeat.member_id,
            heartbeat.http_address,
            load.free_slots,
            0,
            True,
        )
        for heartbeat in members.live(MemberRole.entry)
        for load in heartbeat.loads
        if load.service_name == service
    ]


class FakeUpstream:
    """One entry's connection to a backend server or to another entry."""

    def __init__(self, cell: EntryCell, source: str, address: str) -> None:
        self._cell = cell
        self._source = source
        self._address = address

    async def aclose(self) -> None:
        """Does nothing: there is no connection to close."""

    async def send(
        self, request: ServiceRequest, target: bytes, extra: Any, on_end: Any
    ) -> ServiceResponse:
        remaining_seconds = request.deadline - anyio.current_time()
        try:
            with anyio.fail_after(remaining_seconds):
                return await self._send(request, dict(extra), on_end)
        except TimeoutError as error:
            on_end(True)
            raise OutcomeUnknownError(
                'no response before the deadline'
            ) from error
        except BaseException:
            on_end(True)
            raise

    async def _send(
        self, request: ServiceRequest, extra: Any, on_end: Any
    ) -> ServiceResponse:
        network = self._cell.network
        server = self._cell.servers.get(self._address)
        if server is None:
            return await self._forward(request, float(extra[DEADLINE_HEADER]))
        if not server.alive:
            on_end(False)
            raise UnreachableError('connection refused')
        await network.transmit(self._source, self._address)
        done = anyio.Event()
        bodies: list[bytes] = []
        self._cell._task_group.start_soon(
            self._handle, server, request, bodies, done
        )
        await done.wait()
        if not bodies:
            on_end(True)
            raise OutcomeUnknownError('connection lost')
        await network.transmit(self._address, self._source)
        on_end(False)
        return ServiceResponse(200, [], bodies[0])

    async def _handle(
        self,
        server: FakeBackendServer,
        request: ServiceRequest,
        bodies: list[bytes],
        done: anyio.Event,
    ) -> None:
        try:
            bodies.append(await server.handle(request))
        except OutcomeUnknownError:
            pass
        finally:
            done.set()

    async def _forward(
        self, request: ServiceRequest, seconds: float
    ) -> ServiceResponse:
        network = self._cell.network
        running_entry = self._cell.entries.get(self._address)
        if running_entry is None:
            raise UnreachableError('connection refused')
        await network.transmit(self._source, self._address)
        forwarded_request = ServiceRequest(
            request.request_id,
            request.tenant,
            request.service,
            request.method,
            request.target,
            [],
            request.body,
            None,
            anyio.current_time() + seconds,
            request.idempotent,
            request.key,
            forwarded_by=self._source,
        )
        headers = [(b'Mulberryhitch-Outcome', b'completed')]
        try:
            response = await running_entry.entry.router.route(forwarded_request)
            status = response.status
            body = response.body
        except MulberryhitchError as error:
            status = int(error.status)
            body = b''
            outcome = error.outcome.value.encode()
            headers = [(b'Mulberryhitch-Outcome', outcome)]
        await network.transmit(self._address, self._source)
        return ServiceResponse(status, headers, body)
