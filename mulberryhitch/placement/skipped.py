"""Workloads skipped because no worker had enough free resources."""

from itertools import islice

from mulberryhitch.placement.model import WaitingWorkload
from mulberryhitch.workloads.model import Size, Urgency

_SCAN_LIMIT = 4
_STARVED_AFTER_PLACED_TASKS = 16


class UnplaceableSizes:
    """Sizes that did not fit in this round; larger ones won't fit either."""

    def __init__(self) -> None:
        """Initialises an empty set."""
        self._sizes: dict[bool, list[Size]] = {True: [], False: []}

    def rules_out(self, workload: WaitingWorkload) -> bool:
        """Whether a workload is known not to fit."""
        unplaceable = self._sizes[workload.spec.preemptible]
        return any(size.fits(workload.size) for size in unplaceable)

    def add(self, workload: WaitingWorkload) -> None:
        """Records the size of a workload that did not fit.

        Gangs and workloads that avoid workers are left out: that they did not
        fit says nothing about others of their size.
        """
        unplaceable = self._sizes[workload.spec.preemptible]
        is_generic = workload.gang_size == 1 and not workload.avoided_workers
        if is_generic and len(unplaceable) < _SCAN_LIMIT * 2:
            unplaceable.append(workload.size)


class SkippedWorkloads:
    """Skipped workloads, checked in turn, the most urgent class first.

    Only a few of each class are checked in one round, so that the cost does
    not grow with their number.
    """

    def __init__(self) -> None:
        """Initialises empty queues."""
        self._placed_count_at_skip: dict[int, int] = {}
        self._classes: dict[Urgency, dict[int, WaitingWorkload]] = {
            urgency: {} for urgency in reversed(Urgency)
        }

    def __contains__(self, workload: WaitingWorkload) -> bool:
        """Whether a workload was skipped."""
        return id(workload) in self._placed_count_at_skip

    def add(self, workload: WaitingWorkload, placed_count: int) -> None:
        """Adds a workload with the number of tasks placed so far."""
        self._classes[workload.urgency][id(workload)] = workload
        self._placed_count_at_skip.setdefault(id(workload), placed_count)

    def discard(self, workload: WaitingWorkload) -> None:
        """Removes a workload."""
        self._classes[workload.urgency].pop(id(workload), None)
        self._placed_count_at_skip.pop(id(workload), None)

    def next_batch(self) -> list[WaitingWorkload]:
        """Returns the next few of each class and moves them to the end."""
        chosen: list[WaitingWorkload] = []
        for skipped in self._classes.values():
            batch = list(islice(skipped.items(), _SCAN_LIMIT))
            for workload_key, workload in batch:
                skipped.pop(workload_key)
                skipped[workload_key] = workload
                chosen.append(workload)
        return chosen

    def needs_reservation(
        self, workload: WaitingWorkload, placed_count: int
    ) -> bool:
        """Whether a workload needs a reservation to get its resources.

        True for tasks that must start together, and for a task that many
        others have overtaken.
        """
        if workload.gang_size > 1:
            return True
        overtaken = placed_count - self._placed_count_at_skip.get(
            id(workload), placed_count
        )
        return overtaken >= _STARVED_AFTER_PLACED_TASKS
