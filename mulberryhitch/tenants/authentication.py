"""Who holds a token, and what its holder may do."""

from dataclasses import dataclass
from enum import Enum

from mulberryhitch.configuration.models import CellConfiguration, token_hash
from mulberryhitch.errors import ForbiddenError, UnauthenticatedError


class PrincipalRole(str, Enum):  # noqa: WPS600
    """The kinds of token holders."""

    tenant = 'tenant'
    operator = 'operator'
    worker = 'worker'
    backend_server = 'backend_server'


@dataclass(frozen=True, slots=True)
class Principal:
    """The holder of a token.

    Attributes:
        name: The tenant's name; empty for the other roles.
    """

    role: PrincipalRole
    name: str = ''

    def require_role(self, *roles: PrincipalRole) -> None:
        """Refuses a holder of another role.

        Raises:
            ForbiddenError: The role is none of these.
        """
        if self.role not in roles:
            raise ForbiddenError(
                f'a token of {self.role.value} may not do this',
                where='Authorization',
            )

    def acting_tenant(self, requested: str) -> str:
        """The tenant on whose behalf the holder acts.

        Raises:
            ForbiddenError: A tenant acts as another, or nobody is named.
        """
        if self.role is PrincipalRole.operator and requested:
            return requested
        self.require_role(PrincipalRole.tenant, PrincipalRole.operator)
        if requested not in {'', self.name} or not self.name:
            raise ForbiddenError(
                f'this token does not act as "{requested}"',
                where='Mulberryhitch-Tenant',
            )
        return self.name


class Authenticator:
    """Finds the holder of a token by its hash."""

    def __init__(self) -> None:
        """Knows no token."""
        self._principals: dict[str, Principal] = {}

    def update(self, configuration: CellConfiguration) -> None:
        """Takes the tokens of a configuration."""
        principals: dict[str, Principal] = {}
        roles = {
            PrincipalRole.operator: configuration.operators,
            PrincipalRole.worker: configuration.workers,
            PrincipalRole.backend_server: configuration.backend_servers,
        }
        for role, tokens in roles.items():
            for digest in tokens.token_hashes:
                principals[digest] = Principal(role)
        for name, tenant in configuration.tenants.items():
            for tenant_digest in tenant.token_hashes:
                principals[tenant_digest] = Principal(
                    PrincipalRole.tenant, name
                )
        self._principals = principals

    def authenticate(self, authorization: str) -> Principal:
        """The holder that an Authorization header names.

        Raises:
            UnauthenticatedError: No bearer token, or an unknown one.
        """
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise UnauthenticatedError('no bearer token', where='Authorization')
        found = self._principals.get(token_hash(token.strip()))
        if found is None:
            raise UnauthenticatedError('unknown token', where='Authorization')
        return found
