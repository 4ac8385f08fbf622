"""HTTP endpoints for workers and operators on the platform."""

from http import HTTPStatus

from mulberryhitch.dispatch.newest_heartbeats import NewestHeartbeats
from mulberryhitch.dispatch.operations import (
    Acknowledged,
    ChangeTable,
    ReadTable,
    TableReply,
    WorkerDeparture,
    WorkerHeartbeat,
)
from mulberryhitch.dispatch.permits.proxy import JOBS_GROUP
from mulberryhitch.errors import (
    NotFoundError,
    OverloadedError,
    UnknownServiceError,
)
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.platform.asgi import HttpRequest, HttpResponse
from mulberryhitch.platform.wire import read_heartbeat, read_table

_WORKERS_PATH = '/instances/'
_CONFIGURATION_PATH = '/config'
# A caller leaves after a second; the rest is for the messages.
_TIMEOUT_SECONDS = 0.8


class ControlHandler:
    """Forwards heartbeats and configurations to the leader.

    Args:
        leader_client: Calls the leader.
    """

    def __init__(self, leader_client: LeaderClient) -> None:
        """Initialises the handler with no heartbeats."""
        self._leader_client = leader_client
        self._newest = NewestHeartbeats()

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Handles one request.

        Raises:
            MulberryhitchError: The request is refused or has failed.
        """
        route = (request.method, request.path)
        if route == ('PUT', _CONFIGURATION_PATH):
            return await self._change_configuration(request)
        if route == ('GET', _CONFIGURATION_PATH):
            return await self._read_configuration(request)
        if request.path.startswith(_WORKERS_PATH):
            worker_id = request.path.removeprefix(_WORKERS_PATH)
            if request.method == 'PUT':
                return await self._forward_heartbeat(worker_id, request)
            if request.method == 'DELETE':
                return await self._remove_worker(worker_id)
        raise NotFoundError(
            f'no endpoint for {request.method} on this path', where=request.path
        )

    async def _change_configuration(self, request: HttpRequest) -> HttpResponse:
        table = read_table(request.body)
        await self._leader_client.execute(
            JOBS_GROUP,
            ChangeTable(table),
            Acknowledged,
            _timeout_seconds(request),
        )
        return HttpResponse(HTTPStatus.OK)

    async def _read_configuration(self, request: HttpRequest) -> HttpResponse:
        reply: TableReply = await self._leader_client.execute(
            JOBS_GROUP, ReadTable(), TableReply, _timeout_seconds(request)
        )
        if reply.version < 0:
            raise OverloadedError('no configuration has been received yet')
        return HttpResponse(HTTPStatus.OK, reply.document.encode())

    async def _forward_heartbeat(
        self, worker_id: str, request: HttpRequest
    ) -> HttpResponse:
        record, clock, sequence = read_heartbeat(worker_id, request.body)
        if self._newest.is_outdated(worker_id, record.born, sequence):
            return HttpResponse(HTTPStatus.OK)
        try:
            await self._leader_client.execute(
                JOBS_GROUP,
                WorkerHeartbeat(record, clock),
                Acknowledged,
                _TIMEOUT_SECONDS,
            )
        except UnknownServiceError:
            # The worker goes on sending; a later configuration may use it.
            return HttpResponse(HTTPStatus.OK)
        self._newest.record(worker_id, record.born, sequence)
        return HttpResponse(HTTPStatus.OK)

    async def _remove_worker(self, worker_id: str) -> HttpResponse:
        born = self._newest.incarnation_of(worker_id)
        await self._leader_client.execute(
            JOBS_GROUP,
            WorkerDeparture(worker_id, born),
            Acknowledged,
            _TIMEOUT_SECONDS,
        )
        return HttpResponse(HTTPStatus.OK)


def _timeout_seconds(request: HttpRequest) -> float:
    return min(request.timeout_seconds, _TIMEOUT_SECONDS)
