"""Permit requests made by other processes on behalf of the leader."""

from collections.abc import Callable, Sequence
from dataclasses import replace

import anyio

from mulberryhitch.dispatch.access import KnownKeys, lasting_time
from mulberryhitch.dispatch.operations import (
    AskPermits,
    GroupInfo,
    PermitReply,
    ReportPermitProxy,
)
from mulberryhitch.dispatch.ports import PermitClient
from mulberryhitch.errors import MulberryhitchError, NotFoundError
from mulberryhitch.jobs.model import StepKey
from mulberryhitch.membership.leader_client import LeaderClient, decode_reply
from mulberryhitch.membership.peers import PeerConnectionPool
from mulberryhitch.observability.log import Log
from mulberryhitch.rpc.client import PeerConnection
from mulberryhitch.rpc.messages import ExecuteReply, ExecuteRequest
from mulberryhitch.rpc.records import decode, encode, kind_of
from mulberryhitch.rpc.server import RpcServer

JOBS_GROUP = 'jobs'
_REPORT_SECONDS = 0.5
_REPORT_TIMEOUT_SECONDS = 1.5


class RemotePermitClient:
    """Requests permits through another process of the cluster.

    Args:
        connection: Connection to that process.
    """

    def __init__(self, connection: PeerConnection) -> None:
        """Initialises the client."""
        self._connection = connection

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        """Returns the tickets, by worker id, of the workers allowed to run it.

        Raises:
            MulberryhitchError: The request failed.
        """
        operation = AskPermits(step, tuple(worker_ids), timeout_seconds)
        reply = await self._connection.call(
            'execute',
            ExecuteRequest(JOBS_GROUP, kind_of(operation), encode(operation)),
            timeout_seconds,
        )
        permit_reply: PermitReply = decode_reply(reply, PermitReply)
        return permit_reply.tickets


class PermitProxy:
    """Serves the leader's permit requests in processes other than schedulers.

    Args:
        server: RPC server that receives the requests.
        permit_client: Client of the permit service.
    """

    def __init__(self, server: RpcServer, permit_client: PermitClient) -> None:
        """Registers the RPC handler."""
        self._permit_client = permit_client
        server.register('execute', self._execute)

    async def _execute(self, request: ExecuteRequest) -> ExecuteReply:
        operation = decode(request.name, request.body)
        if not isinstance(operation, AskPermits):
            raise NotFoundError(
                'operation not served by this process', where=request.name
            )
        tickets = await self._permit_client.ask(
            operation.step, operation.worker_ids, operation.patience_seconds
        )
        return ExecuteReply(encode(PermitReply(tickets)))


class LeaderReporter:
    """Periodically reports to the leader that this process is alive.

    Args:
        report: The report to send.
        leader_client: Calls the leader.
        peers: Updated with the group's members from each reply.
        log: Receives an event when contact with the leader is made or lost.
        on_reply: Called with each reply.
        known_keys: Updated with the valid keys; ``None`` if this process needs
            none.

    Attributes:
        reached_at: When the leader last replied, seconds on the local clock.
    """

    def __init__(
        self,
        report: ReportPermitProxy,
        leader_client: LeaderClient,
        peers: PeerConnectionPool,
        log: Log,
        on_reply: Callable[[GroupInfo], None] = lambda reply: None,
        known_keys: KnownKeys | None = None,
    ) -> None:
        """Initialises the reporter; no leader has replied yet."""
        self._report = report
        self._leader_client = leader_client
        self._peers = peers
        self._log = log
        self._on_reply = on_reply
        self._known_keys = known_keys
        self._leader_reached = False
        self.reached_at = -_REPORT_TIMEOUT_SECONDS

    async def run(self) -> None:
        """Reports until cancelled."""
        while True:
            asked_at = lasting_time()
            try:
                reply = await self._leader_client.execute(
                    JOBS_GROUP,
                    self._current_report(),
                    GroupInfo,
                    _REPORT_TIMEOUT_SECONDS,
                )
            except MulberryhitchError as error:
                if self._leader_reached:
                    self._log.problem(
                        'leader.lost',
                        error.problem,
                        **error.summary_fields,
                        **error.log_fields,
                    )
                self._leader_reached = False
            else:
                self._handle_reply(reply, asked_at)
            await anyio.sleep(_REPORT_SECONDS)

    def _current_report(self) -> ReportPermitProxy:
        keys = self._known_keys
        if keys is None:
            return self._report
        return replace(self._report, keys_version=keys.version)

    def _handle_reply(self, reply: GroupInfo, asked_at: float) -> None:
        if not self._leader_reached:
            self._log.event('leader.found', leader=reply.leader_vm)
        self._leader_reached = True
        self.reached_at = anyio.current_time()
        self._peers.update_members(reply.vms, reply.leader_vm)
        if self._known_keys is not None:
            self._known_keys.update(reply, asked_at)
        self._on_reply(reply)
