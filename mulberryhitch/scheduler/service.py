"""The scheduler service of one VM: executes operations while it leads."""

import time
from collections.abc import Awaitable, Callable
from typing import Any, TypeAlias

import anyio

from mulberryhitch.errors import (
    ImpossibleError,
    NotFoundError,
    NotLeaderError,
    OverQuotaError,
)
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.placement.engine import PlacementEngine, PlacementOptions
from mulberryhitch.placement.orders import CapacityShares
from mulberryhitch.replication.replica import Replica
from mulberryhitch.rpc.messages import Capacity
from mulberryhitch.rpc.records import encode, kind_of
from mulberryhitch.scheduler import commands
from mulberryhitch.scheduler import operations as ops
from mulberryhitch.scheduler.state import DataCentreState
from mulberryhitch.scheduler.term import LeaderTerm
from mulberryhitch.workers.gateway import WorkerGateway
from mulberryhitch.workloads.model import Workload

_AUTHORITY_POLL_SECONDS = 0.05
_DESCRIBE_POLL_SECONDS = 0.05
_MAX_WAIT_SECONDS = 60.0
_RETRY_AFTER_SECONDS = 5.0


_OperationHandler: TypeAlias = Callable[[Any, Any], Awaitable[Any]]
_operation_handlers: dict[type, _OperationHandler] = {}


def operation(
    request_type: type,
) -> Callable[[_OperationHandler], _OperationHandler]:
    """Registers the decorated method as the handler of a request type."""

    def register(function: _OperationHandler) -> _OperationHandler:
        _operation_handlers[request_type] = function
        return function

    return register


class DataCentreService:
    """Executes operations on a data centre's workloads.

    Args:
        replica: This VM's replica of the data centre's log.
        state: The state machine of the replica.
        gateway: Sends messages to the workers.
        shares: Shares of the tenants and classes; the caller updates them.
        queue_limit: Returns the maximum number of queued tasks of a tenant.
        log: Receives log events.
        metrics: Receives counts and times.
        histograms: Records task wait times.
    """

    def __init__(
        self,
        replica: Replica,
        state: DataCentreState,
        gateway: WorkerGateway,
        shares: CapacityShares,
        queue_limit: Callable[[str], int],
        log: Log,
        metrics: Metrics,
        histograms: Histograms,
    ) -> None:
        """Initialises the service without a leader term."""
        self.replica = replica
        self.state = state
        self._gateway = gateway
        self._shares = shares
        self._queue_limit = queue_limit
        self._log = log
        self._metrics = metrics
        self._histograms = histograms
        self._term: LeaderTerm | None = None

    @property
    def term(self) -> LeaderTerm | None:
        """The current term while this VM leads, otherwise None."""
        return self._term

    async def run(self) -> None:
        """Runs the replica, and leads whenever elected, until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._lead_forever)
            await self.replica.run()

    async def execute(self, request: Any) -> Any:
        """Executes an operation.

        Raises:
            NotLeaderError: This VM is not the leader; nothing was done.
            NotFoundError: The operation is unknown.
            MulberryhitchError: The operation failed with this error.
        """
        handler = _operation_handlers.get(request.__class__)
        if handler is None:
            raise NotFoundError('unknown operation', where=repr(request))
        if self._term is None or not self.replica.has_authority:
            raise NotLeaderError(
                'this VM is not the leader', where=self.replica.leader_id
            )
        return await handler(self, request)

    def capacity(self) -> Capacity | None:
        """Returns the free resources, or None if this VM does not lead."""
        if self._term is None:
            return None
        free = self._term.placement.pool.free
        return Capacity(
            float(free.millicores),
            float(free.memory_mebibytes),
            float(free.accelerators),
            self._term.placement.queued,
        )

    async def _lead_forever(self) -> None:
        while True:
            await anyio.sleep(_AUTHORITY_POLL_SECONDS)
            if self.replica.has_authority:
                await self._lead()

    async def _lead(self) -> None:
        term = LeaderTerm(
            self.replica,
            self.state,
            PlacementEngine(PlacementOptions(), self._shares),
            self._gateway,
            self._log,
            self._metrics,
            self._histograms,
        )
        self._term = term
        try:
            await term.run()
        finally:
            self._term = None

    async def _propose(self, command: Any) -> Any:
        return await self.replica.propose(kind_of(command), encode(command))

    @operation(ops.Submit)
    async def _submit(self, request: ops.Submit) -> ops.Submitted:
        term = self._require_term()
        spec = request.spec
        pool = term.placement.pool
        if any(pool) and not pool.could_fit(spec.size):
            raise ImpossibleError(
                'no worker is large enough for one task', where='size'
            )
        queued = term.placement.queued_of(spec.tenant)
        limit = self._queue_limit(spec.tenant)
        if queued + spec.task_count > limit:
            raise OverQuotaError(
                f'{queued} tasks are queued and {spec.task_count} submitted; '
                f'the limit is {limit}',
                where=spec.tenant,
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        workload_id = await self._propose(commands.WorkloadAccepted(spec))
        return ops.Submitted(workload_id)

    @operation(ops.Describe)
    async def _describe(self, request: ops.Describe) -> ops.WorkloadView:
        await self.replica.read_barrier()
        wait = min(request.wait_seconds, _MAX_WAIT_SECONDS)
        workload = self.state.workload(request.workload_id)
        with anyio.move_on_after(wait):
            while wait > 0 and not workload.ended:
                await anyio.sleep(_DESCRIBE_POLL_SECONDS)
                self.replica.require_authority()
                workload = self.state.workload(request.workload_id)
        return self._view(workload)

    def _view(self, workload: Workload) -> ops.WorkloadView:
        term = self._require_term()
        return ops.WorkloadView(
            workload.spec,
            tuple(workload.tasks),
            workload.cancelled,
            workload.ended,
            term.waiting_reason(workload),
        )

    @operation(ops.Cancel)
    async def _cancel(self, request: ops.Cancel) -> ops.Done:
        await self.replica.read_barrier()
        if not self.state.workload(request.workload_id).ended:
            await self._propose(
                commands.WorkloadCancelled(request.workload_id, time.time())
            )
        return ops.Done()

    @operation(ops.ListWorkloads)
    async def _list_workloads(
        self, request: ops.ListWorkloads
    ) -> ops.WorkloadPage:
        await self.replica.read_barrier()
        found = sorted(
            (
                workload
                for workload in self.state.workloads_of_tenant(request.tenant)
                if workload.spec.workload_id > request.after
            ),
            key=lambda workload: workload.spec.workload_id,
        )
        page = tuple(_summary(workload) for workload in found[: request.limit])
        return ops.WorkloadPage(page, len(found) > request.limit)

    @operation(ops.AnnounceWorker)
    async def _announce_worker(self, request: ops.AnnounceWorker) -> ops.Done:
        term = self._require_term()
        worker = request.worker
        known = self.state.leases.workers.get(worker.worker_id)
        if known is None or known.incarnation < worker.incarnation:
            await self._propose(commands.WorkerRegistered(worker))
        elif known != worker and known.incarnation == worker.incarnation:
            await self._propose(commands.WorkerRegistered(worker))
        term.update_leaving(worker.worker_id, request.leaving)
        return ops.Done()

    @operation(ops.BeginRequest)
    async def _begin_request(self, request: ops.BeginRequest) -> Any:
        return await self._propose(commands.RequestBegun(request.entry))

    @operation(ops.FinishRequest)
    async def _finish_request(self, request: ops.FinishRequest) -> ops.Done:
        await self._propose(
            commands.RequestFinished(
                request.tenant,
                request.key,
                request.request_id,
                request.answer,
            ),
        )
        return ops.Done()

    @operation(ops.ReleaseRequest)
    async def _release_request(self, request: ops.ReleaseRequest) -> ops.Done:
        await self._propose(
            commands.RequestReleased(
                request.tenant, request.key, request.request_id
            ),
        )
        return ops.Done()

    @operation(ops.GiveUpRequest)
    async def _give_up_request(self, request: ops.GiveUpRequest) -> ops.Done:
        await self._propose(
            commands.RequestGivenUp(
                request.tenant, request.key, request.request_id
            ),
        )
        return ops.Done()

    @operation(ops.ReadHistograms)
    async def _read_histograms(
        self, request: ops.ReadHistograms
    ) -> ops.HistogramsView:
        return ops.HistogramsView(tuple(self._histograms.summaries()))

    @operation(ops.ReplaceVoter)
    async def _replace_voter(self, request: ops.ReplaceVoter) -> ops.Done:
        await self.replica.replace_voter(request.replica_id)
        return ops.Done()

    def _require_term(self) -> LeaderTerm:
        if self._term is None:
            raise NotLeaderError(
                'this VM is not the leader', where=self.replica.leader_id
            )
        return self._term


def _summary(workload: Workload) -> ops.WorkloadSummary:
    spec = workload.spec
    return ops.WorkloadSummary(
        spec.workload_id,
        spec.kind.value,
        spec.urgency.value,
        spec.task_count,
        workload.open_tasks,
        workload.cancelled,
    )
