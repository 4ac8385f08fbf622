"""Executes operations on the job store while its replica leads."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from mulberryhitch.dispatch.access import JobAccess
from mulberryhitch.dispatch.dispatcher import Dispatcher
from mulberryhitch.dispatch.intake import (
    RETRY_AFTER_SECONDS,
    JobIntake,
    StateRoom,
)
from mulberryhitch.dispatch.operations import (
    Acknowledged,
    AskPermits,
    CancelJob,
    ChangeTable,
    GroupInfo,
    JobReply,
    PermitReply,
    ReadJob,
    ReadTable,
    ReportPermitProxy,
    SubmitJob,
    TableReply,
    WorkerDeparture,
    WorkerHeartbeat,
)
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.permits.proxy import RemotePermitClient
from mulberryhitch.dispatch.ports import PermitClient, WorkerClient
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import (
    InvalidInputError,
    NotFoundError,
    NotLeaderError,
    OverloadedError,
)
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.clock import JobClock
from mulberryhitch.jobs.model import JobSpec, Queue
from mulberryhitch.jobs.store import JobStore
from mulberryhitch.membership.known_group import (
    ElectionView,
    KnownGroup,
    ReplicaView,
)
from mulberryhitch.membership.peers import PeerConnectionPool
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.replication.leader_overview import LeaderOverview
from mulberryhitch.replication.members import vm_of
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.records import kind_of

_POLL_SECONDS = 0.02

_OperationHandler = Callable[[Any, Any], Awaitable[Any]]
_operation_handlers: dict[type, _OperationHandler] = {}


def operation(
    request_type: type,
) -> Callable[[_OperationHandler], _OperationHandler]:
    """Registers the handler of an operation type."""

    def register(handler: _OperationHandler) -> _OperationHandler:
        _operation_handlers[request_type] = handler
        return handler

    return register


class JobsService:
    """This scheduler's member of the group that replicates the job store.

    Args:
        replica: This VM's replica.
        job_store: The state machine of the replica.
        worker_client: Client of the workers.
        permit_client: Requests permits from the permit service directly.
        peers: Connections to the other processes.
        options: Options of the dispatcher.
        log: Receives decisions.
        histograms: Receives waiting times.
    """

    def __init__(  # noqa: WPS211
        self,
        replica: Replica,
        job_store: JobStore,
        worker_client: WorkerClient,
        permit_client: PermitClient,
        peers: PeerConnectionPool,
        options: DispatchOptions,
        log: Log,
        histograms: Histograms,
    ) -> None:
        """Initialises the service without a dispatcher."""
        self.replica = replica
        self.job_store = job_store
        self._worker_client = worker_client
        self._permit_client = permit_client
        self._peers = peers
        self._options = options
        self._log = log
        self._histograms = histograms
        self._clock = JobClock()
        self._dispatcher: Dispatcher | None = None
        self._access = JobAccess(job_store)
        self._room = StateRoom(job_store, options.max_state_bytes)
        self._intake = JobIntake(job_store, self._commit, self._now)

    async def run(self) -> None:
        """Runs the replica until cancelled, and a dispatcher while leading."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_terms)
            await self.replica.run()
            tasks.cancel_scope.cancel()

    def known_group(self) -> KnownGroup:
        """Returns what this VM's replica knows of its group."""
        replica = self.replica
        overview = replica.overview
        view = ReplicaView(
            vm_of(replica.replica_id),
            overview.leads,
            replica.has_authority,
            replica.term,
            tuple(map(vm_of, replica.members.voters)),
            vm_of(overview.last_leader_id),
            overview.leaderless_seconds,
            _view_of(overview),
        )
        return KnownGroup(vm_of(replica.leader_id), self._member_vms(), view)

    async def execute(self, request: Any) -> Any:
        """Executes an operation.

        Raises:
            NotFoundError: There is no such operation or queue.
            InvalidInputError: The job or its path is invalid.
            UnauthenticatedError: The caller's key is missing or unknown.
            ConflictError: The job's id is that of another tenant's job.
            OverQuotaError: The job can't run within its tenant's cap.
            OverloadedError: No configuration has been received yet.
            NotLeaderError: This VM does not lead; nothing was done.
        """
        if isinstance(request, AskPermits):
            return PermitReply(
                await self._permit_client.ask(
                    request.step,
                    request.worker_ids,
                    request.patience_seconds,
                ),
            )
        handler = _operation_handlers.get(request.__class__)
        if handler is None:
            raise NotFoundError('unknown operation', where=kind_of(request))
        if not self.replica.has_authority:
            raise self._not_leader_error()
        return await handler(self, request)

    async def _run_terms(self) -> None:
        while True:
            if self.replica.has_authority:
                await self._serve_term(self.replica.term)
            await anyio.sleep(_POLL_SECONDS)

    async def _serve_term(self, term: int) -> None:
        self._clock.advance_to(self.job_store.latest_time)
        dispatcher = Dispatcher(
            Term(
                self.job_store,
                self._commit,
                self._may_act,
                term,
                self._worker_client,
                self._options,
                self._log,
                self._histograms,
                self._clock.now,
            ),
        )
        dispatcher.permit_manager.add_client(
            'own', self._permit_client, local=True
        )
        for vm in self._member_vms():
            if vm != vm_of(self.replica.replica_id):
                dispatcher.permit_manager.add_client(
                    f'scheduler@{vm}',
                    RemotePermitClient(self._peers.scheduler(vm)),
                )
        self._dispatcher = dispatcher
        self._log.event(
            'dispatcher.began',
            term=term,
            jobs=len(self.job_store.jobs),
            workers=len(self.job_store.workers),
            version=self.job_store.queue_table.version,
        )
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(dispatcher.run)
                while self._is_leader_of(term):
                    await anyio.sleep(_POLL_SECONDS)
                tasks.cancel_scope.cancel()
        finally:
            self._dispatcher = None
            self._log.event('dispatcher.ended', term=term)

    def _member_vms(self) -> tuple[str, ...]:
        return tuple(map(vm_of, self.replica.members.replica_ids))

    def _is_leader_of(self, term: int) -> bool:
        return self.replica.overview.leads and self.replica.term == term

    def _now(self) -> float:
        """Returns seconds since 1970, by the clock in use at the call."""
        return self._clock.now()

    def _may_act(self) -> bool:
        return self.replica.has_authority

    async def _commit(self, batch: list[changes.Change]) -> list[Any]:
        began = anyio.current_time()
        outcomes: list[Any] = await self.replica.propose(
            changes.CHANGES_KIND, changes.encode_changes(batch)
        )
        self._histograms.record(
            'commit', 'jobs', batch[0][0], anyio.current_time() - began
        )
        return outcomes

    def _commit_fields(self) -> dict[str, Any]:
        """Returns where the log stands, and which replicas have synced it."""
        index = self.replica.state.commit_index
        return {
            'commit_index': index,
            'synced_by': self.replica.replicas_with(index),
        }

    def _not_leader_error(self) -> NotLeaderError:
        view = self.known_group().replica
        what = 'this VM is not the leader'
        return NotLeaderError(
            f'{what}: {view.statement}' if view else what,
            where=self.replica.leader_id,
        )

    def _active_dispatcher(self) -> Dispatcher:
        if self._dispatcher is None:
            raise NotLeaderError('this VM has not started its term as leader')
        return self._dispatcher

    def _find_queue(self, host: str, path: str) -> tuple[Queue, str]:
        if self.job_store.queue_table.version < 0:
            raise OverloadedError(
                'no configuration received yet',
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
        queue = self.job_store.queue_table.find(host, path)
        if queue is None:
            raise NotFoundError(
                'no queue matches this host and path', where=f'{host}{path}'
            )
        return queue, path[len(queue.prefix) :]

    @operation(SubmitJob)
    async def _submit(self, request: SubmitJob) -> JobReply:
        queue, job_id = self._find_queue(request.host, request.path)
        caller = self._access.caller_of(queue, request.key_digest)
        if not job_id:
            raise InvalidInputError(
                f'no job id after the path prefix {queue.prefix}', where='path'
            )
        request.spec.validate()
        job = self.job_store.jobs.get(job_id)
        if job is None:
            owner = self._access.owner_of(queue, caller)
            dispatcher = self._dispatcher
            job = await self._intake.accept(
                job_id,
                queue,
                request.spec,
                owner,
                lambda: self._check_limits(job_id, request.spec, owner),
                dispatcher.admission if dispatcher else None,
            )
            self._access.check_same_owner(job_id, caller)
            self._log.event(
                'job.accepted',
                job=job_id,
                queue=queue.name,
                tenant=job.tenant,
                version=self.job_store.queue_table.version,
                steps=len(request.spec.steps),
                tasks=sum(step.count for step in request.spec.steps),
                **self._commit_fields(),
            )
        else:
            self._access.check_same_owner(job_id, caller)
        return JobReply(job.state.value)

    def _check_limits(self, job_id: str, spec: JobSpec, owner: str) -> None:
        """Checks that a job's tenant and the state have room for it."""
        self._access.check_gangs(owner, spec)
        self._room.check_job(job_id, spec)

    @operation(ReadJob)
    async def _read(self, request: ReadJob) -> JobReply:
        queue, job_id = self._find_queue(request.host, request.path)
        caller = self._access.caller_of(queue, request.key_digest)
        if not job_id:
            return JobReply('', self.job_store.count_queued_jobs(queue.name))
        job = self._access.find_job(job_id, caller)
        return JobReply(job.state.value if job else '')

    @operation(CancelJob)
    async def _cancel(self, request: CancelJob) -> JobReply:
        queue, job_id = self._find_queue(request.host, request.path)
        caller = self._access.caller_of(queue, request.key_digest)
        job = self._access.find_job(job_id, caller)
        if job is None:
            return JobReply('')
        if job.active:
            await self._commit([changes.cancel(job_id, self._clock.now())])
            self._log.event('job.cancelled', job=job_id, state=job.state.value)
        return JobReply(job.state.value)

    @operation(WorkerHeartbeat)
    async def _handle_heartbeat(self, request: WorkerHeartbeat) -> Acknowledged:
        await self._active_dispatcher().workers.handle_heartbeat(
            request.worker, request.clock
        )
        return Acknowledged()

    @operation(WorkerDeparture)
    async def _handle_departure(self, request: WorkerDeparture) -> Acknowledged:
        await self._active_dispatcher().workers.handle_departure(
            request.worker_id, request.born
        )
        return Acknowledged()

    @operation(ChangeTable)
    async def _change_table(self, request: ChangeTable) -> Acknowledged:
        if request.table.version > self.job_store.queue_table.version:
            self._room.check_table(request.table)
            await self._commit([changes.configure(request.table)])
            self._log.event(
                'configuration.in_force',
                version=request.table.version,
                **self._commit_fields(),
            )
            if self._dispatcher is not None:
                self._dispatcher.request_round()
        return Acknowledged()

    @operation(ReadTable)
    async def _read_table(self, request: ReadTable) -> TableReply:
        return TableReply(
            self.job_store.queue_table.version,
            self.job_store.queue_table.document,
        )

    @operation(ReportPermitProxy)
    async def _report(self, request: ReportPermitProxy) -> GroupInfo:
        dispatcher = self._active_dispatcher()
        own_vm = vm_of(self.replica.replica_id)
        if request.host != own_vm or request.name != 'scheduler':
            connection = self._peers.connection(request.host, request.port)
            dispatcher.permit_manager.add_client(
                f'{request.name}@{request.host}', RemotePermitClient(connection)
            )
        table = self.job_store.queue_table
        is_told = request.keys_version in {None, table.version}
        return GroupInfo(
            own_vm,
            self._member_vms(),
            table.version,
            table.limits,
            None if is_told else self._access.caller_keys(),
        )


def _view_of(overview: LeaderOverview) -> ElectionView | None:
    election = overview.election
    if election is None:
        return None
    answered = {*election.granted, *election.refused}
    return ElectionView(
        len(election.voters),
        len(election.granted),
        {vm_of(name): why for name, why in election.refused.items()},
        tuple(vm_of(one) for one in election.voters if one not in answered),
        overview.obstacle.value,
    )
