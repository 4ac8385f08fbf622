"""Which running tasks make room for more urgent work, and how often."""

from mulberryhitch.placement.pool import Node
from mulberryhitch.placement.waiting import Running, RunningByWorker, Waiting
from mulberryhitch.workloads.model import Size


class PreemptionBudget:
    """At most so many preemptions a minute, saved up to one minute's worth.

    Args:
        per_minute: How many.
    """

    def __init__(self, per_minute: float) -> None:
        """Starts full."""
        self._per_minute = per_minute
        self._left = per_minute
        self._filled_at = float('-inf')

    def take(self, count: int, now: float) -> bool:
        """Spends so many at once, if there are so many."""
        if self._filled_at > float('-inf'):
            gained = (now - self._filled_at) / 60 * self._per_minute
            self._left = min(self._per_minute, self._left + gained)
        self._filled_at = now
        if count > self._left:
            return False
        self._left -= count
        return True


def choose_victims(
    nodes: list[Node],
    waiting: Waiting,
    by_worker: RunningByWorker,
) -> list[Running]:
    """The fewest less urgent tasks of one worker that make room for a task.

    Only tasks that may be stopped and run again are chosen.
    """
    best: list[Running] = []
    for node in nodes:
        if not node.is_open or node.hold or node.worker_id in waiting.avoid:
            continue
        running = by_worker.get(node.worker_id, {})
        victims = _victims_on(node, waiting, list(running.values()))
        if victims and (not best or len(victims) < len(best)):
            best = victims
    return best


def _victims_on(
    node: Node, waiting: Waiting, running: list[Running]
) -> list[Running]:
    stoppable = sorted(
        (
            one
            for one in running
            if one.spec.preemptible
            and not one.leaving
            and one.spec.urgency.rank < waiting.urgency.rank
        ),
        key=lambda one: (one.spec.urgency.rank, -one.spec.size.millicores),
    )
    room: Size = node.free
    victims: list[Running] = []
    for one in stoppable:
        if waiting.size.fits(room):
            break
        room += one.spec.size
        victims.append(one)
    return victims if waiting.size.fits(room) else []
