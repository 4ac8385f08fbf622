"""Token holders, their roles and their permissions."""

from dataclasses import dataclass
from enum import Enum

from mulberryhitch.configuration.models import CellConfiguration, token_hash
from mulberryhitch.errors import ForbiddenError, UnauthenticatedError


class PrincipalRole(str, Enum):  # noqa: WPS600
    """Role of a token holder."""

    tenant = 'tenant'
    operator = 'operator'
    worker = 'worker'
    backend_server = 'backend_server'


@dataclass(frozen=True, slots=True)
class Principal:
    """The holder of a token.

    Attributes:
        name: Name of the tenant; empty for the other roles.
    """

    role: PrincipalRole
    name: str = ''

    def require_role(self, *roles: PrincipalRole) -> None:
        """Checks that the holder has one of the roles.

        Raises:
            ForbiddenError: The holder has another role.
        """
        if self.role not in roles:
            raise ForbiddenError(
                f'the role {self.role.value} may not do this',
                where='Authorization',
            )

    def acting_tenant(self, requested: str) -> str:
        """Returns the tenant on whose behalf the holder acts.

        Raises:
            ForbiddenError: A tenant requests another one, or an operator none.
        """
        if self.role is PrincipalRole.operator and requested:
            return requested
        self.require_role(PrincipalRole.tenant, PrincipalRole.operator)
        if requested not in {'', self.name} or not self.name:
            raise ForbiddenError(
                f'this token may not act as tenant "{requested}"',
                where='Mulberryhitch-Tenant',
            )
        return self.name


class Authenticator:
    """Finds token holders by the hash of their token."""

    def __init__(self) -> None:
        """Initialises an authenticator that rejects all tokens."""
        self._principals: dict[str, Principal] = {}

    def update(self, configuration: CellConfiguration) -> None:
        """Replaces all tokens by those of a configuration."""
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
        """Returns the holder of the token in an Authorization header.

        Raises:
            UnauthenticatedError: There is no bearer token, or it is unknown.
        """
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise UnauthenticatedError('no bearer token', where='Authorization')
        principal = self._principals.get(token_hash(token.strip()))
        if principal is None:
            raise UnauthenticatedError('unknown token', where='Authorization')
        return principal
