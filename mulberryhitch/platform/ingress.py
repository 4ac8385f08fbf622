"""Callers' requests on the platform, handed to the leader."""

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
from mulberryhitch.platform.asgi import HttpReply, HttpRequest
from mulberryhitch.platform.wire import read_job


class Ingress:
    """Submits, reads and cancels jobs.

    Args:
        leaders: Finds the leader.
    """

    def __init__(self, leaders: LeaderClient) -> None:
        """Asks nobody yet."""
        self._leaders = leaders

    async def answer(self, request: HttpRequest) -> HttpReply:
        """Answers one request.

        Raises:
            MulberryhitchError: What it is refused with.
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
            raise InvalidInputError(request.method, where='method')
        answer: JobAnswer = await self._leaders.execute(
            JOBS_GROUP, operation, JobAnswer, request.patience_seconds
        )
        if answer.pending >= 0:
            return _reply({'pending': answer.pending})
        if not answer.state:
            return HttpReply(HTTPStatus.GONE)
        return _reply({'state': answer.state})


def _reply(content: dict[str, object]) -> HttpReply:
    return HttpReply(HTTPStatus.OK, orjson.dumps(content))
