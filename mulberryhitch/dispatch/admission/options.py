"""Settings of admission."""

from dataclasses import dataclass


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
            is worth more per core-second than what waits.
    """

    enabled: bool = True
    refresh_seconds: float = 0.25
    settle_seconds: float = 3.0
    dense_factor: float = 1.5
