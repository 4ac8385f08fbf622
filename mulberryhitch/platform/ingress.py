"""HTTP endpoints of callers on the platform, which submit and read jobs."""

from http import HTTPStatus

import orjson

from mulberryhitch.dispatch.operations import (
    CancelJob,
    JobAnswer,
    ReadJob,
    SubmitJob,
)
from mulberryhitch.dispatch.permit_proxy import JOBS_GROUP
from mulberryhitch.errors import InvalidInputError
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.platform.asgi import HttpRequest, HttpResponse
from mulberryhitch.platform.wire import read_job


class IngressHandler:
    """Forwards requests to submit, read and cancel jobs to the leader.

    Args:
        leaders: Locates the leader.
    """

    def __init__(self, leaders: LeaderClient) -> None:
        """Initialises the handler."""
        self._leaders = leaders

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Handles one request.

        Raises:
            MulberryhitchError: The request is refused or has failed.
        """
        operation: SubmitJob | ReadJob | CancelJob
        if request.method == 'POST':
            operation = SubmitJob(
                request.host, request.path, read_job(request.body)
            )
        elif request.method == 'GET':
            operation = ReadJob(request.host, request.path)
        elif request.method == 'DELETE':
            operation = CancelJob(request.host, request.path)
        else:
            raise InvalidInputError(
                f'unsupported method {request.method}', where='method'
            )
        answer: JobAnswer = await self._leaders.execute(
            JOBS_GROUP, operation, JobAnswer, request.timeout_seconds
        )
        if answer.pending >= 0:
            return _json_response({'pending': answer.pending})
        if not answer.state:
            return HttpResponse(HTTPStatus.GONE)
        return _json_response({'state': answer.state})


def _json_response(content: dict[str, object]) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, orjson.dumps(content))
