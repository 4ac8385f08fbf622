"""The dispatcher's times and limits."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Times in seconds.

    Attributes:
        lease_seconds: How far ahead each renewal reaches.
        maximum_lease_seconds: The longest lease that a worker grants.
        clock_drift: How much slower a worker's clock may run, a share.
        lease_margin_seconds: Added before a lease counts as run out.
        look_wait_seconds: How long a look waits for an end.
        order_seconds: How long the answer to an order is waited for.
        round_seconds: The least time between two placement rounds.
        tick_seconds: The time between two looks at what has come due.
        retain_seconds: How long an ended job can still be asked for.
        permit_margin_seconds: A permit must last this much longer.
        undisturbed_seconds: How long a run goes on before it may be
            preempted.
        preempted_runs: A task's run with a higher number is not preempted.
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
    permit_margin_seconds: float = 0.12
    preemption_grace_seconds: float = 1.0
    maximum_preempted_run: int = 3
