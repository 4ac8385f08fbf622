"""HTTP client for the messages from a leader to its workers."""

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
    """Sends messages to workers."""

    async def exchange(
        self, address: str, message: LeaseMessage, timeout_seconds: float
    ) -> LeaseReply:
        """Sends a message and returns the worker's answer.

        Raises:
            MulberryhitchError: No valid answer was received.
        """


class HttpWorkerGateway:
    """Sends messages to workers over plain HTTP.

    Each worker has its own connection pool: a pool scans all of its
    connections on each request, so a shared one would have quadratic cost.

    Args:
        token: The bearer token that authenticates the scheduler to workers.
    """

    def __init__(self, token: str = '') -> None:
        """Initialises the gateway; connections are opened on first use."""
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
            UnreachableError: The connection failed.
            OutcomeUnknownError: No answer within the timeout.
            ProtocolError: The answer is invalid.
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
            raise OutcomeUnknownError(
                'the worker did not answer', where=address
            ) from late
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise UnreachableError(
                'the connection to the worker failed', where=address
            ) from error
        except httpcore.ProtocolError as garbled:
            raise ProtocolError(repr(garbled), where=address) from garbled
        if response.status != _OK:
            raise ProtocolError(
                f'the worker answered with HTTP status {response.status}',
                where=address,
            )
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
