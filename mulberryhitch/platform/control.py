"""Workers' heartbeats and operators' calls on the platform."""

from http import HTTPStatus

from mulberryhitch.dispatch.operations import (
    Acknowledged,
    ChangeTable,
    LeaveWorker,
    ReadTable,
    TableAnswer,
    WorkerHeartbeat,
)
from mulberryhitch.dispatch.permit_proxy import JOBS_GROUP
from mulberryhitch.errors import NotFoundError, OverloadedError
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.platform.asgi import HttpReply, HttpRequest
from mulberryhitch.platform.wire import read_beat, read_table

_WORKERS = '/instances/'
_CONFIGURATION = '/config'
_BEAT_SECONDS = 0.9


class Control:
    """Passes heartbeats and configurations on to the leader.

    Args:
        leaders: Finds the leader.
    """

    def __init__(self, leaders: LeaderClient) -> None:
        """Has heard nobody."""
        self._leaders = leaders
        self._newest: dict[str, tuple[int, int]] = {}

    async def answer(self, request: HttpRequest) -> HttpReply:
        """Answers one request.

        Raises:
            MulberryhitchError: What it is refused with.
        """
        route = (request.method, request.path)
        if route == ('PUT', _CONFIGURATION):
            return await self._change(request)
        if route == ('GET', _CONFIGURATION):
            return await self._read(request)
        if request.path.startswith(_WORKERS):
            worker_id = request.path.removeprefix(_WORKERS)
            if request.method == 'PUT':
                return await self._beat(worker_id, request)
            if request.method == 'DELETE':
                return await self._leave(worker_id)
        raise NotFoundError('not served', where=request.path)

    async def _change(self, request: HttpRequest) -> HttpReply:
        table = read_table(request.body)
        await self._leaders.execute(
            JOBS_GROUP,
            ChangeTable(table),
            Acknowledged,
            request.patience_seconds,
        )
        return HttpReply(HTTPStatus.OK)

    async def _read(self, request: HttpRequest) -> HttpReply:
        answer: TableAnswer = await self._leaders.execute(
            JOBS_GROUP, ReadTable(), TableAnswer, request.patience_seconds
        )
        if answer.version < 0:
            raise OverloadedError('no configuration yet')
        return HttpReply(HTTPStatus.OK, answer.document.encode())

    async def _beat(self, worker_id: str, request: HttpRequest) -> HttpReply:
        record, clock, sequence = read_beat(worker_id, request.body)
        newest = self._newest.get(worker_id, (0, 0))
        if (record.born, sequence) < newest:
            return HttpReply(HTTPStatus.OK)
        self._newest[worker_id] = (record.born, sequence)
        await self._leaders.execute(
            JOBS_GROUP,
            WorkerHeartbeat(record, clock),
            Acknowledged,
            _BEAT_SECONDS,
        )
        return HttpReply(HTTPStatus.OK)

    async def _leave(self, worker_id: str) -> HttpReply:
        born = self._newest.get(worker_id, (0, 0))[0]
        await self._leaders.execute(
            JOBS_GROUP,
            LeaveWorker(worker_id, born),
            Acknowledged,
            _BEAT_SECONDS,
        )
        return HttpReply(HTTPStatus.OK)
