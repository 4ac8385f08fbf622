"""HTTP client of an entry; raises its problem documents as errors."""

import json
import os
from dataclasses import dataclass
from typing import Any

import httpcore

from mulberryhitch.errors import (
    ConnectionLostError,
    Problem,
    ProtocolError,
    UnreachableError,
    error_from_problem,
)

_PROBLEM_MEDIA_TYPE = b'application/problem+json'
_DEFAULT_ENTRY = '127.0.0.1:8700'
_DEMO_TOKEN = 'demo-operator'


@dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response, with header names in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    @property
    def content(self) -> Any:
        """The parsed JSON body."""
        return json.loads(self.body)


@dataclass(frozen=True, slots=True)
class Target:
    """The entry to call, and the credentials to use.

    Attributes:
        entry: IP address and port of an entry.
        token: Bearer token.
        tenant: Tenant to act for; empty for the token's own tenant.
    """

    entry: str
    token: str
    tenant: str

    @classmethod
    def from_environment(
        cls, entry: str = '', token: str = '', tenant: str = ''
    ) -> 'Target':
        """Returns a target from options, then environment, then demo values."""
        return cls(
            entry or os.environ.get('MULBERRYHITCH_ENTRY', _DEFAULT_ENTRY),
            token or os.environ.get('MULBERRYHITCH_TOKEN', _DEMO_TOKEN),
            tenant or os.environ.get('MULBERRYHITCH_TENANT', ''),
        )


def send_request(
    target: Target,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout_seconds: float = 70,
) -> Response:
    """Sends a request to the entry and returns its response.

    Raises:
        UnreachableError: Connecting failed; nothing was sent.
        ConnectionLostError: No complete response was received.
        MulberryhitchError: The error that the entry returned.
    """
    request_headers = {'Authorization': f'Bearer {target.token}'}
    if target.tenant:
        request_headers['Mulberryhitch-Tenant'] = target.tenant
    request_headers.update(headers or {})
    try:
        raw_response = httpcore.request(
            method,
            f'http://{target.entry}{path}',
            headers=list(request_headers.items()),
            content=body,
            extensions={'timeout': {'read': timeout_seconds, 'connect': 3}},
        )
    except (httpcore.ConnectError, httpcore.ConnectTimeout) as connect_error:
        raise UnreachableError(
            'could not connect to the entry', where=target.entry
        ) from connect_error
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
    ) as network_error:
        raise ConnectionLostError(
            repr(network_error), where=target.entry
        ) from network_error
    response = Response(
        raw_response.status,
        {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in raw_response.headers
        },
        raw_response.content,
    )
    if response.headers.get('content-type', '').encode() == _PROBLEM_MEDIA_TYPE:
        raise _to_error(response)
    return response


def _to_error(response: Response) -> Exception:
    try:
        content = response.content
        return error_from_problem(
            Problem(content['code'], content['detail'], content['where'])
        )
    except (ValueError, KeyError) as error:
        return ProtocolError(f'invalid problem document: {error!r}')
