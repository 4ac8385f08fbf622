"""The configuration that operators put in force for the whole cell."""

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
    """The digest under which a bearer token is kept."""
    return hashlib.sha256(token.encode()).hexdigest()


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class Quota(_Model):
    """The most that a tenant may hold in one data centre."""

    millicores: int = Field(ge=0)
    memory_mebibytes: int = Field(ge=0)
    accelerators: int = Field(default=0, ge=0)


class TenantConfiguration(_Model):
    """One tenant.

    Attributes:
        weight: Its part of what is free, against the others' weights.
        ledger_home: The data centre that keeps its non-idempotent requests;
            empty to spread them by key.
        maximum_queued_tasks: Beyond this, submissions are not run.
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
    """The tokens of a role."""

    token_hashes: list[str] = Field(default_factory=list)

    @field_validator('token_hashes')
    @classmethod
    def _check_hashes(cls, hashes: list[str]) -> list[str]:
        return _validate_hashes(hashes)


class ServiceConfiguration(_Model):
    """One service that requests are routed to.

    Attributes:
        queue_limit: The most requests that wait at one VM.
        retry_share: Retries may be at most this part of all requests.
    """

    slots: int = Field(default=SLOTS_PER_BACKEND_SERVER, ge=1)
    connections: int = Field(default=CONNECTIONS_PER_BACKEND_SERVER, ge=1)
    deadline_seconds: float = Field(default=REQUEST_DEADLINE_SECONDS, gt=0)
    queue_limit: int = Field(default=2_000, ge=0)
    retry_share: float = Field(default=0.1, ge=0, le=1)
    order: Literal['fair', 'fifo'] = 'fair'


class ClassWeights(_Model):
    """The guaranteed part of each class of urgency, as weights."""

    deferrable: float = Field(default=1, gt=0)
    normal: float = Field(default=3, gt=0)
    high: float = Field(default=6, gt=0)
    urgent: float = Field(default=10, gt=0)


class CellConfiguration(_Model):
    """What is in force in one data centre."""

    tenants: dict[str, TenantConfiguration] = Field(default_factory=dict)
    operators: RoleConfiguration = Field(default_factory=RoleConfiguration)
    workers: RoleConfiguration = Field(default_factory=RoleConfiguration)
    backend_servers: RoleConfiguration = Field(
        default_factory=RoleConfiguration
    )
    services: dict[str, ServiceConfiguration] = Field(default_factory=dict)
    classes: ClassWeights = Field(default_factory=ClassWeights)
    body_limit_bytes: int = Field(default=REQUEST_BODY_LIMIT_BYTES, ge=0)


class CellDocument(_Model):
    """What operators send: a base and an overlay for each data centre."""

    base: dict[str, Any] = Field(default_factory=dict)
    data_centres: dict[str, dict[str, Any]] = Field(default_factory=dict)

    def effective(self, data_centre: str) -> CellConfiguration:
        """The configuration of one data centre.

        Raises:
            InvalidInputError: The merged document does not fit.
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
            InvalidInputError: One does not fit, or names no data centre.
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
            raise ValueError('no such data centre')
        return known


def _validate_hashes(hashes: list[str]) -> list[str]:
    for each in hashes:
        if len(each) != 64 or set(each) - set('0123456789abcdef'):
            raise ValueError('a token hash is 64 hexadecimal digits')
    return hashes
