"""What the stop of a run loses."""

from mulberryhitch.jobs.model import Resources

_MILLICORES_PER_CORE = 1000
# The processors are held while a run stops, and again while it resumes: 0.2 s
# and 0.25 to 0.6 s on the workers seen.
_STOP_SECONDS = 0.2
_RESUME_SECONDS = 0.6


def stop_loss(resources: Resources) -> float:
    """Returns the core-seconds that the stop of a checkpointing run loses.

    It writes a checkpoint of all its work when it is told to stop, so that no
    work is lost but that of the stop itself and of resuming.
    """
    cores = resources.processors / _MILLICORES_PER_CORE
    return cores * (_STOP_SECONDS + _RESUME_SECONDS)
