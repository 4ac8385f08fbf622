"""Settings of admission."""

from dataclasses import dataclass

from mulberryhitch.errors import InvalidSettingsError


@dataclass(frozen=True, slots=True)
class AdmissionOptions:
    """Settings of admission.

    Attributes:
        enabled: Whether jobs are refused that would be too late; estimates are
            made and measured in any case.
        refresh_seconds: Minimum age at which the summary of the backlog is
            made again; it is longer if a summary takes long.
        settle_seconds: Time after the start of a term before which nothing is
            refused.
        dense_factor: Multiple of the limit up to which a job is accepted that
            is worth more per core-second than what waits; at least 1.

    Raises:
        InvalidSettingsError: A setting is out of its range.
    """

    enabled: bool = True
    refresh_seconds: float = 0.25
    settle_seconds: float = 3.0
    dense_factor: float = 1.5

    def __post_init__(self) -> None:
        """Checks the settings."""
        if self.refresh_seconds <= 0:
            raise InvalidSettingsError(
                'must be above 0', where='refresh_seconds'
            )
        if self.settle_seconds < 0:
            raise InvalidSettingsError(
                'must not be negative', where='settle_seconds'
            )
        if self.dense_factor < 1:
            raise InvalidSettingsError(
                'must be at least 1', where='dense_factor'
            )
