"""Operations that entry processes send to the cell's leader."""

from dataclasses import dataclass

from mulberryhitch.rpc.records import record


@record('change_configuration')
@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Replaces the configuration if it still has the expected version.

    Attributes:
        document: The whole configuration as JSON text.
        key: The idempotency key; a resend returns the first result.
        at: Time of the change, in seconds since the epoch.
    """

    document: str
    expected_version: int
    key: str
    author: str
    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The version that the change created."""

    version: int


@record('read_configuration')
@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Requests one configuration version; zero selects the newest."""

    version: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """One version of the configuration.

    Attributes:
        author: The operator who made the change.
        at: Time of the change, in seconds since the epoch.
    """

    version: int
    document: str
    author: str
    at: float
