"""When a step is worth the runs that have to be stopped for it."""

from collections.abc import Sequence

from mulberryhitch.dispatch.placement.plans import MOST_URGENT, WaitingStep
from mulberryhitch.dispatch.placement.preemption_candidates import Victim
from mulberryhitch.dispatch.placement.step_order import StepRank
from mulberryhitch.jobs.model import Resources

# From the decision to stop a run until another one can start in its place.
_STOP_SECONDS = 0.5
# Estimates are off by up to 90%: with less spare time than this share of the
# run time, a job with an objective of twice its run time may be late already.
_NEEDED_SPARE_SHARE = 0.6
# A stopped run waits for room and for a permit again. With no such limit 11% of
# the runs are stopped while the demand is above the capacity, with twice this one
# gangs lose.
_VICTIM_SPARE_SHARE = 1.0
# Callers pay about this many times as much for a core-second of a class that is
# more urgent.
_URGENCY_FACTOR = 4
# Taken for a step whose submitter gave no estimate.
_UNKNOWN_RUN_SECONDS = 1.0
_MILLICORES_PER_CORE = 1000


def needs_stops(waiting: WaitingStep) -> bool:
    """Whether a step would be late if it waited for other runs to end.

    A step that can be neither in time nor within three times its objective
    gains nothing. One with spare time waits.
    """
    estimate = waiting.execution.step.estimate_seconds
    needed = _STOP_SECONDS + _NEEDED_SPARE_SHARE * estimate
    return 0 <= waiting.spare_seconds < needed


def may_be_stopped_for(
    waiting: WaitingStep, rank: StepRank, victim: Victim
) -> bool:
    """Whether a run may be stopped for a step, as its own job has spare time.

    Any run may be stopped for the most urgent steps, which take little. A
    tenant over its share may have its own runs stopped, which take as much of
    the workers, but none of others.

    Args:
        waiting: The step.
        rank: Where the step of the run stands.
        victim: The run.
    """
    if waiting.over_share and rank.tenant != waiting.job.tenant:
        return False
    if waiting.queue.urgency == MOST_URGENT:
        return True
    estimate = victim.execution.step.estimate_seconds
    needed = _STOP_SECONDS + _VICTIM_SPARE_SHARE * estimate
    return rank.spare_seconds >= needed


def gain_of_start(waiting: WaitingStep, tasks: int) -> float:
    """Returns what an earlier start of some tasks is worth, in core-seconds.

    These are core-seconds of the less urgent runs that are stopped for them.
    """
    cores = waiting.execution.resources.processors / _MILLICORES_PER_CORE
    seconds = waiting.execution.step.estimate_seconds or _UNKNOWN_RUN_SECONDS
    return _URGENCY_FACTOR * cores * seconds * tasks


def cheapest_victims(
    victims: Sequence[Victim], needed: Resources, free: Resources
) -> list[Victim]:
    """Returns the runs to stop so that some resources become free.

    Runs that turn out not to be needed beside those chosen later are left, the
    costliest first.

    Args:
        victims: Runs that may be stopped, the preferred ones first.
        needed: The resources.
        free: Those that are free or soon will be.
    """
    chosen: list[Victim] = []
    for victim in victims:
        if needed.fits(free):
            break
        free = free.plus(victim.execution.resources)
        chosen.append(victim)
    for unneeded in sorted(chosen, key=lambda one: one.lost, reverse=True):
        without = free.minus(unneeded.execution.resources)
        if needed.fits(without):
            free = without
            chosen.remove(unneeded)
    return chosen
