"""The configuration that operators set for the whole cell."""

import hashlib
from typing import Any, Literal

from pydantic import BaseModel, ConfigDict, Field, field_validator

from mulberryhitch.configuration.overlays import merge, validate
from mulberryhitch.constants import (
    CONNECTIONS_PER_BACKEND_SERVER,
    REQUEST_BODY_LIMIT_BYTES,
    REQUEST_DEADLINE_SECONDS,
    SLOTS_PER_BACKEND_SERVER,
)

_TOKEN_HASH = r'^[0-9a-f]{64}$'
_NAME = r'^[a-z0-9][a-z0-9_-]{0,62}$'


def token_hash(token: str) -> str:
    """Returns the SHA-256 hex digest by which a bearer token is stored."""
    return hashlib.sha256(token.encode()).hexdigest()


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Quota(_Model):
    """Maximum resources of a tenant in one data centre."""

    millicores: int = Field(ge=0)
    memory_mebibytes: int = Field(ge=0)
    accelerators: int = Field(default=0, ge=0)


class TenantConfiguration(_Model):
    """The configuration of a tenant.

    Attributes:
        weight: Share of free capacity, relative to other tenants' weights.
        ledger_home: Data centre that records its non-idempotent requests;
            empty to distribute them by key.
        maximum_queued_tasks: Submissions beyond this limit are rejected.
    """

    token_hashes: list[str] = Field(default_factory=list)
    weight: float = Field(default=1, gt=0)
    quota: Quota | None = None
    ledger_home: str = ''
    maximum_queued_tasks: int = Field(default=20_000, ge=0)

    @field_validator('token_hashes')
    @classmethod
    def _check_hashes(cls, hashes: list[str]) -> list[str]:
        return _validate_hashes(hashes)


class RoleConfiguration(_Model):
    """The token hashes of a role."""

    token_hashes: list[str] = Field(default_factory=list)

    @field_validator('token_hashes')
    @classmethod
    def _check_hashes(cls, hashes: list[str]) -> list[str]:
        return _validate_hashes(hashes)


class ServiceConfiguration(_Model):
    """The configuration of a service that requests are routed to.

    Attributes:
        slots: Not used; each backend server announces its slots.
        connections: Maximum connections from one VM to one backend server.
        deadline_seconds: Time limit of a request that sets no deadline.
        queue_limit: Maximum number of requests that wait on one VM.
        retry_share: Maximum number of retries per first attempt.
    """

    slots: int = Field(default=SLOTS_PER_BACKEND_SERVER, ge=1)
    connections: int = Field(default=CONNECTIONS_PER_BACKEND_SERVER, ge=1)
    deadline_seconds: float = Field(default=REQUEST_DEADLINE_SECONDS, gt=0)
    queue_limit: int = Field(default=2_000, ge=0)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    order: Literal['fair', 'fifo'] = 'fair'


class ClassWeightsConfiguration(_Model):
    """The guaranteed share of each urgency class, as a weight."""

    deferrable: float = Field(default=1, gt=0)
    normal: float = Field(default=3, gt=0)
    high: float = Field(default=6, gt=0)
    urgent: float = Field(default=10, gt=0)


class CellConfiguration(_Model):
    """The effective configuration of one data centre."""

    tenants: dict[str, TenantConfiguration] = Field(default_factory=dict)
    operators: RoleConfiguration = Field(default_factory=RoleConfiguration)
    workers: RoleConfiguration = Field(default_factory=RoleConfiguration)
    backend_servers: RoleConfiguration = Field(
        default_factory=RoleConfiguration
    )
    services: dict[str, ServiceConfiguration] = Field(default_factory=dict)
    classes: ClassWeightsConfiguration = Field(
        default_factory=ClassWeightsConfiguration
    )
    body_limit_bytes: int = Field(default=REQUEST_BODY_LIMIT_BYTES, ge=0)


class CellDocument(_Model):
    """An operator's document: a base, and an overlay per data centre."""

    base: dict[str, Any] = Field(default_factory=dict)
    data_centres: dict[str, dict[str, Any]] = Field(default_factory=dict)

    def effective(self, data_centre: str) -> CellConfiguration:
        """Returns the merged configuration of one data centre.

        Raises:
            InvalidInputError: The merged document is invalid.
        """
        overlay = self.data_centres.get(data_centre, {})
        return validate(
            CellConfiguration,
            merge(self.base, overlay),
            f'configuration of {data_centre or "the base"}: ',
        )

    def check(self, known_data_centres: list[str]) -> None:
        """Checks the base and every overlay.

        Raises:
            InvalidInputError: A document is invalid, or an overlay is for
                an unknown data centre.
        """
        validate(
            _DataCentreNames,
            {'data_centres': list(self.data_centres)},
            'configuration: ',
        ).check(known_data_centres)
        for data_centre in ('', *known_data_centres):
            self.effective(data_centre)


class _DataCentreNames(_Model):
    data_centres: list[str]

    def check(self, known: list[str]) -> None:
        for name in self.data_centres:
            validate(
                _KnownDataCentre,
                {'name': name, 'known': name in known},
                f'configuration: /data_centres/{name}',
            )


class _KnownDataCentre(_Model):
    name: str
    known: bool

    @field_validator('known')
    @classmethod
    def _check(cls, known: bool) -> bool:
        if not known:
            raise ValueError('unknown data centre')
        return known


def _validate_hashes(hashes: list[str]) -> list[str]:
    for digest in hashes:
        if len(digest) != 64 or set(digest) - set('0123456789abcdef'):
            raise ValueError(
                'a token hash must be 64 lowercase hexadecimal digits'
            )
    return hashes
