"""What entries ask of the cell's leader, and what it answers."""

from dataclasses import dataclass

from mulberryhitch.rpc.records import record


@record('change_configuration')
@dataclass(frozen=True, slots=True)
class ChangeConfiguration:
    """Put a configuration in force, if the version is still the known one.

    Attributes:
        document: The whole configuration as JSON text.
        key: The idempotency key; a resend gets the first answer.
    """

    document: str
    expected_version: int
    key: str
    author: str
    at: float


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """The version that the change became."""

    version: int


@record('read_configuration')
@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Tell the configuration in force, or an older version."""

    version: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationView:
    """One version of the configuration."""

    version: int
    document: str
    author: str
    at: float
