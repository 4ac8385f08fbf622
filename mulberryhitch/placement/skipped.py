"""Work that was passed over because no worker had room for it."""

from itertools import islice

from mulberryhitch.placement.model import WaitingWorkload
from mulberryhitch.workloads.model import Size, Urgency

_SCAN_LIMIT = 4
_STARVED_AFTER_PLACED_TASKS = 16


class UnplaceableSizes:
    """Sizes that found no room in this round; what is larger finds none."""

    def __init__(self) -> None:
        """Starts with none."""
        self._sizes: dict[bool, list[Size]] = {True: [], False: []}

    def rules_out(self, workload: WaitingWorkload) -> bool:
        """Whether a workload is known to find no room."""
        unplaceable = self._sizes[workload.spec.preemptible]
        return any(size.fits(workload.size) for size in unplaceable)

    def add(self, workload: WaitingWorkload) -> None:
        """Notes a workload that found no room.

        Gangs, and work that avoids workers, tell nothing of others.
        """
        unplaceable = self._sizes[workload.spec.preemptible]
        general = workload.gang_size == 1 and not workload.avoided_workers
        if general and len(unplaceable) < _SCAN_LIMIT * 2:
            unplaceable.append(workload.size)


class SkippedWorkloads:
    """Passed-over workloads, looked at in turn, the most urgent class first.

    Only a few of each class are looked at in one round, so that the cost
    does not grow with their number.
    """

    def __init__(self) -> None:
        """Starts with none."""
        self._placed_count_at_skip: dict[int, int] = {}
        self._classes: dict[Urgency, dict[int, WaitingWorkload]] = {
            urgency: {} for urgency in reversed(Urgency)
        }

    def __contains__(self, workload: WaitingWorkload) -> bool:
        """Whether a workload was passed over."""
        return id(workload) in self._placed_count_at_skip

    def add(self, workload: WaitingWorkload, placed_count: int) -> None:
        """Notes a workload, and how many tasks had been placed by then."""
        self._classes[workload.urgency][id(workload)] = workload
        self._placed_count_at_skip.setdefault(id(workload), placed_count)

    def discard(self, workload: WaitingWorkload) -> None:
        """Forgets a workload."""
        self._classes[workload.urgency].pop(id(workload), None)
        self._placed_count_at_skip.pop(id(workload), None)

    def next_batch(self) -> list[WaitingWorkload]:
        """The next of each class; they go to the end of their class."""
        chosen: list[WaitingWorkload] = []
        for stuck in self._classes.values():
            few = list(islice(stuck.items(), _SCAN_LIMIT))
            for identity, workload in few:
                stuck.pop(identity)
                stuck[identity] = workload
                chosen.append(workload)
        return chosen

    def needs_reservation(
        self, workload: WaitingWorkload, placed_count: int
    ) -> bool:
        """Whether room must be held, since it would not come by itself.

        That is so for tasks that must start together, and for a task that
        many others have overtaken.
        """
        if workload.gang_size > 1:
            return True
        overtaken = placed_count - self._placed_count_at_skip.get(
            id(workload), placed_count
        )
        return overtaken >= _STARVED_AFTER_PLACED_TASKS
