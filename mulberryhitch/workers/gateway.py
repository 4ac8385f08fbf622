"""Carries a leader's messages to workers over HTTP."""

from typing import Protocol

import anyio
import httpcore
from pydantic import ValidationError

from mulberryhitch.constants import UPSTREAM_KEEPALIVE_SECONDS
from mulberryhitch.errors import (
    OutcomeUnknownError,
    ProtocolError,
    UnreachableError,
)
from mulberryhitch.workers.protocol import LeaseMessage, LeaseReply

_OK = 200
_CONNECTIONS = 2


class WorkerGateway(Protocol):
    """Reaches workers."""

    async def exchange(
        self, address: str, message: LeaseMessage, timeout_seconds: float
    ) -> LeaseReply:
        """Sends a message and returns the worker's answer.

        Raises:
            MulberryhitchError: No answer that can be used.
        """


class HttpWorkerGateway:
    """Reaches workers over plain HTTP.

    Each worker has a pool of its own: a pool looks at all of its connections
    at every request, so that one for all would cost their number squared.

    Args:
        token: The bearer token that workers know the scheduler by.
    """

    def __init__(self, token: str = '') -> None:
        """Connects at the first message."""
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self._headers: dict[bytes | str, bytes | str] = {
            'Content-Type': 'application/json',
        }
        if token:
            self._headers['Authorization'] = f'Bearer {token}'

    async def exchange(
        self, address: str, message: LeaseMessage, timeout_seconds: float
    ) -> LeaseReply:
        """Sends a message and returns the worker's answer.

        Raises:
            UnreachableError: No connection.
            OutcomeUnknownError: No answer in time.
            ProtocolError: An answer that can't be read.
        """
        try:
            with anyio.fail_after(timeout_seconds):
                response = await self._pool(address).request(
                    'POST',
                    f'http://{address}/v1/leases',
                    headers=self._headers,
                    content=message.model_dump_json().encode(),
                )
        except (TimeoutError, httpcore.ReadError) as late:
            raise OutcomeUnknownError('no answer', where=address) from late
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise UnreachableError('no connection', where=address) from error
        except httpcore.ProtocolError as garbled:
            raise ProtocolError(repr(garbled), where=address) from garbled
        if response.status != _OK:
            raise ProtocolError(f'status {response.status}', where=address)
        try:
            return LeaseReply.model_validate_json(response.content)
        except ValidationError as invalid:
            raise ProtocolError(str(invalid), where=address) from invalid

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=_CONNECTIONS,
                keepalive_expiry=UPSTREAM_KEEPALIVE_SECONDS,
            )
            self._pools[address] = pool
        return pool
