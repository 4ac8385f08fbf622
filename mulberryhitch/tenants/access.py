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

    def require(self, *roles: PrincipalRole) -> None:
        """Refuses a holder of another role.

        Raises:
            ForbiddenError: The role is none of these.
        """
        if self.role not in roles:
            raise ForbiddenError(
                f'a token of {self.role.value} may not do this',
                where='Authorization',
            )

    def tenant(self, asked: str) -> str:
        """The tenant on whose behalf the holder acts.

        Raises:
            ForbiddenError: A tenant acts as another, or nobody is named.
        """
        if self.role is PrincipalRole.operator and asked:
            return asked
        self.require(PrincipalRole.tenant, PrincipalRole.operator)
        if asked not in {'', self.name} or not self.name:
            raise ForbiddenError(
                f'this token does not act as "{asked}"',
                where='Mulberryhitch-Tenant',
            )
        return self.name


class Access:
    """Finds the holder of a token by its hash."""

    def __init__(self) -> None:
        """Knows no token."""
        self._holders: dict[str, Principal] = {}

    def update(self, configuration: CellConfiguration) -> None:
        """Takes the tokens of a configuration."""
        holders: dict[str, Principal] = {}
        roles = {
            PrincipalRole.operator: configuration.operators,
            PrincipalRole.worker: configuration.workers,
            PrincipalRole.backend_server: configuration.backend_servers,
        }
        for role, tokens in roles.items():
            for digest in tokens.token_hashes:
                holders[digest] = Principal(role)
        for name, tenant in configuration.tenants.items():
            for tenant_digest in tenant.token_hashes:
                holders[tenant_digest] = Principal(PrincipalRole.tenant, name)
        self._holders = holders

    def principal(self, authorization: str) -> Principal:
        """The holder that an Authorization header names.

        Raises:
            UnauthenticatedError: No bearer token, or an unknown one.
        """
        scheme, _, token = authorization.partition(' ')
        if scheme.lower() != 'bearer' or not token:
            raise UnauthenticatedError('no bearer token', where='Authorization')
        found = self._holders.get(token_hash(token.strip()))
        if found is None:
            raise UnauthenticatedError('unknown token', where='Authorization')
        return found
