"""The dispatcher's time-outs, intervals and limits."""

from dataclasses import dataclass, field

from mulberryhitch.dispatch.admission.options import AdmissionOptions


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Options of the dispatcher.

    Attributes:
        lease_seconds: Length of the lease that each renewal requests.
        maximum_lease_seconds: Longest lease that a worker grants.
        clock_drift: Fraction by which a worker's clock may run slower than
            the local one.
        lease_margin_seconds: Added before a lease counts as expired.
        poll_wait_seconds: How long a poll waits for a run to end.
        command_timeout_seconds: Time-out of start and stop commands.
        round_seconds: Minimum time between two placement rounds.
        maintenance_seconds: Interval between two maintenance passes.
        retain_seconds: How long the state of an ended job is kept.
        required_retain_seconds: How long it is kept at least, while the jobs
            take much of their room.
        permit_margin_seconds: Minimum remaining validity of a permit that is
            used.
        preemption_grace_seconds: Minimum time between the confirmation of a
            run and its preemption.
        maximum_preempted_run: Highest run number of a task at which it may be
            preempted.
        max_state_bytes: Size of the jobs and queues beyond which no further
            job is accepted; a configuration may have half of it.
        admission: Settings of admission.
    """

    lease_seconds: float = 5.0
    maximum_lease_seconds: float = 10.0
    clock_drift: float = 0.02
    lease_margin_seconds: float = 0.2
    poll_wait_seconds: float = 1.0
    command_timeout_seconds: float = 0.4
    round_seconds: float = 0.004
    maintenance_seconds: float = 0.25
    retain_seconds: float = 240.0
    required_retain_seconds: float = 120.0
    permit_margin_seconds: float = 0.12
    preemption_grace_seconds: float = 1.0
    maximum_preempted_run: int = 1
    max_state_bytes: int = 16_777_216
    admission: AdmissionOptions = field(default_factory=AdmissionOptions)
