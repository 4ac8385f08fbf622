"""HTTP client for the messages from a leader to its workers."""

from typing import Protocol

import anyio
import httpcore
from pydantic import ValidationError

from mulberryhitch.configuration.addresses import parse_address
from mulberryhitch.constants import UPSTREAM_KEEPALIVE_SECONDS
from mulberryhitch.errors import (
    OutcomeUnknownError,
    ProtocolError,
    UnreachableError,
)
from mulberryhitch.workers.protocol import LeaseMessage, LeaseResponse

_STATUS_OK = 200
_CONNECTIONS_PER_WORKER = 2


class WorkerGateway(Protocol):
    """Sends messages to workers."""

    async def exchange(
        self, address: str, message: LeaseMessage, timeout_seconds: float
    ) -> LeaseResponse:
        """Sends a message and returns the worker's response.

        Raises:
            MulberryhitchError: No valid response was received.
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
    ) -> LeaseResponse:
        """Sends a message and returns the worker's response.

        Raises:
            InvalidInputError: The address is malformed; nothing was sent.
            UnreachableError: The connection failed.
            OutcomeUnknownError: No response within the timeout.
            ProtocolError: The response is invalid.
        """
        authority = parse_address(address).authority
        try:
            with anyio.fail_after(timeout_seconds):
                response = await self._pool(address).request(
                    'POST',
                    f'http://{authority}/v1/leases',
                    headers=self._headers,
                    content=message.model_dump_json().encode(),
                )
        except (TimeoutError, httpcore.ReadError) as read_error:
            raise OutcomeUnknownError(
                'the worker did not respond', where=address
            ) from read_error
        except (httpcore.NetworkError, httpcore.TimeoutException) as error:
            raise UnreachableError(
                'the connection to the worker failed', where=address
            ) from error
        except httpcore.ProtocolError as protocol_error:
            raise ProtocolError(
                repr(protocol_error), where=address
            ) from protocol_error
        if response.status != _STATUS_OK:
            raise ProtocolError(
                f'the worker responded with HTTP status {response.status}',
                where=address,
            )
        try:
            return LeaseResponse.model_validate_json(response.content)
        except ValidationError as validation_error:
            raise ProtocolError(
                str(validation_error), where=address
            ) from validation_error

    def _pool(self, address: str) -> httpcore.AsyncConnectionPool:
        pool = self._pools.get(address)
        if pool is None:
            pool = httpcore.AsyncConnectionPool(
                max_connections=_CONNECTIONS_PER_WORKER,
                keepalive_expiry=UPSTREAM_KEEPALIVE_SECONDS,
            )
            self._pools[address] = pool
        return pool
