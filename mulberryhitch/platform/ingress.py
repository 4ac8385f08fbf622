"""HTTP endpoints for clients, which submit, read and cancel jobs."""

from collections.abc import Callable
from http import HTTPStatus

import orjson

from mulberryhitch.costly_work import CostlyWork
from mulberryhitch.dispatch.access import KnownKeys, digest_of
from mulberryhitch.dispatch.operations import (
    CancelJob,
    JobReply,
    ReadJob,
    SubmitJob,
)
from mulberryhitch.dispatch.permits.proxy import JOBS_GROUP
from mulberryhitch.errors import (
    InvalidInputError,
    NoQuorumError,
    UnauthenticatedError,
)
from mulberryhitch.json_size import parsed_size
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.platform.asgi import HttpRequest, HttpResponse
from mulberryhitch.platform.wire import read_job

_KEY_SCHEME = 'bearer'
# Other kinds of space may be bytes of a key.
_WHITESPACE = ' \t'


class IngressHandler:
    """Forwards requests to submit, read and cancel jobs to the leader.

    Args:
        leader_client: Calls the leader.
        known_keys: The valid keys, for while no leader is found.
        count: Counts an event of the given name.
    """

    def __init__(
        self,
        leader_client: LeaderClient,
        known_keys: KnownKeys,
        count: Callable[[str], None],
    ) -> None:
        """Initialises the handler."""
        self._leader_client = leader_client
        self._known_keys = known_keys
        self._count = count
        self._costly_jobs = CostlyWork()

    async def respond(self, request: HttpRequest) -> HttpResponse:
        """Handles one request.

        Raises:
            MulberryhitchError: The request is refused or has failed.
        """
        # Bodies of other methods are not parsed.
        size = parsed_size(request.body) if request.method == 'POST' else 0
        admission = self._costly_jobs.admitted(size, request.timeout_seconds)
        try:
            async with admission as remaining_seconds:
                return await self._forward(
                    request, _key_digest(request), remaining_seconds
                )
        except UnauthenticatedError:
            self._count('request.unauthenticated')
            raise

    async def _forward(
        self, request: HttpRequest, key_digest: str, timeout_seconds: float
    ) -> HttpResponse:
        operation: SubmitJob | ReadJob | CancelJob
        if request.method == 'POST':
            operation = SubmitJob(
                request.host,
                request.path,
                read_job(request.body),
                key_digest,
            )
        elif request.method == 'GET':
            operation = ReadJob(request.host, request.path, key_digest)
        elif request.method == 'DELETE':
            operation = CancelJob(request.host, request.path, key_digest)
        else:
            raise InvalidInputError(
                f'unsupported method {request.method}', where='method'
            )
        reply = await self._execute(operation, timeout_seconds)
        if reply.pending >= 0:
            return _json_response({'pending': reply.pending})
        if not reply.state:
            return HttpResponse(HTTPStatus.GONE)
        return _json_response({'state': reply.state})

    async def _execute(
        self,
        operation: SubmitJob | ReadJob | CancelJob,
        timeout_seconds: float,
    ) -> JobReply:
        """Executes an operation; without a leader, denies unknown keys."""
        try:
            reply: JobReply = await self._leader_client.execute(
                JOBS_GROUP, operation, JobReply, timeout_seconds
            )
        except NoQuorumError as error:
            if not self._known_keys.deny(
                operation.host, operation.path, operation.key_digest
            ):
                raise
            raise UnauthenticatedError(
                'unknown key, and no leader was found', where='Authorization'
            ) from error
        return reply


def _key_digest(request: HttpRequest) -> str:
    """Returns the digest of the caller's key; empty if there is none."""
    header = request.authorization.strip(_WHITESPACE)
    scheme, _, key = header.partition(' ')
    key = key.strip(_WHITESPACE)
    if scheme.lower() != _KEY_SCHEME or not key:
        return ''
    return digest_of(key.encode('latin-1'))


def _json_response(content: dict[str, object]) -> HttpResponse:
    return HttpResponse(HTTPStatus.OK, orjson.dumps(content))
