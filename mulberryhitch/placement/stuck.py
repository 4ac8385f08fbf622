"""Work that was passed over because no worker had room for it."""

from itertools import islice

from mulberryhitch.placement.waiting import Waiting
from mulberryhitch.workloads.model import Size, Urgency

_LOOKED_AT = 4
_PASSED_OVER_BY = 16


class UnfitSizes:
    """Sizes that found no room in this round; what is larger finds none."""

    def __init__(self) -> None:
        """Starts with none."""
        self._sizes: dict[bool, list[Size]] = {True: [], False: []}

    def covers(self, waiting: Waiting) -> bool:
        """Whether a workload is known to find no room."""
        unfit = self._sizes[waiting.spec.preemptible]
        return any(size.fits(waiting.size) for size in unfit)

    def add(self, waiting: Waiting) -> None:
        """Notes a workload that found no room.

        Gangs, and work that avoids workers, tell nothing of others.
        """
        unfit = self._sizes[waiting.spec.preemptible]
        general = waiting.together == 1 and not waiting.avoid
        if general and len(unfit) < _LOOKED_AT * 2:
            unfit.append(waiting.size)


class StuckWork:
    """Passed-over workloads, looked at in turn, the most urgent class first.

    Only a few of each class are looked at in one round, so that the cost
    does not grow with their number.
    """

    def __init__(self) -> None:
        """Starts with none."""
        self._since_count: dict[int, int] = {}
        self._classes: dict[Urgency, dict[int, Waiting]] = {
            urgency: {} for urgency in reversed(Urgency)
        }

    def __contains__(self, waiting: Waiting) -> bool:
        """Whether a workload was passed over."""
        return id(waiting) in self._since_count

    def add(self, waiting: Waiting, placed_count: int) -> None:
        """Notes a workload, and how many tasks had been placed by then."""
        self._classes[waiting.urgency][id(waiting)] = waiting
        self._since_count.setdefault(id(waiting), placed_count)

    def discard(self, waiting: Waiting) -> None:
        """Forgets a workload."""
        self._classes[waiting.urgency].pop(id(waiting), None)
        self._since_count.pop(id(waiting), None)

    def next_few(self) -> list[Waiting]:
        """The next of each class; they go to the end of their class."""
        chosen: list[Waiting] = []
        for stuck in self._classes.values():
            few = list(islice(stuck.items(), _LOOKED_AT))
            for identity, waiting in few:
                stuck.pop(identity)
                stuck[identity] = waiting
                chosen.append(waiting)
        return chosen

    def deserves_room(self, waiting: Waiting, placed_count: int) -> bool:
        """Whether room must be held, since it would not come by itself.

        That is so for tasks that must start together, and for a task that
        many others have overtaken.
        """
        if waiting.together > 1:
            return True
        overtaken = placed_count - self._since_count.get(
            id(waiting), placed_count
        )
        return overtaken >= _PASSED_OVER_BY
