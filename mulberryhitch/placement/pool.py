"""The workers' free room, indexed so that a fit is found without a scan."""

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass

from mulberryhitch.errors import InvariantError, NotFoundError
from mulberryhitch.workloads.model import Size


@dataclass(slots=True)
class Node:
    """One worker as placement sees it.

    Attributes:
        is_open: Whether new tasks may go there.
        hold: The workload that the worker is held for; empty for none.
        takes_backfill: Whether others that may be stopped may still start.
    """

    worker_id: str
    rack: str
    size: Size
    free: Size
    is_open: bool = True
    hold: str = ''
    takes_backfill: bool = True

    def count_fitting(self, size: Size, room: Size | None = None) -> int:
        """How many tasks of a size the free or the given room takes."""
        room = self.free if room is None else room
        counts = []
        if size.millicores:
            counts.append(room.millicores // size.millicores)
        if size.memory_mebibytes:
            counts.append(room.memory_mebibytes // size.memory_mebibytes)
        if size.accelerators:
            counts.append(room.accelerators // size.accelerators)
        return max(min(counts), 0) if counts else 0


class Pool:
    """All workers of a data centre."""

    def __init__(self) -> None:
        """Starts with no worker."""
        self._nodes: dict[str, Node] = {}
        self._total = Size()
        self._plain: list[tuple[int, str]] = []
        self._accelerated: list[tuple[int, str]] = []
        self._turn = 0

    @property
    def total(self) -> Size:
        """What all workers hold together."""
        return self._total

    @property
    def free(self) -> Size:
        """What is free on open workers."""
        free = Size()
        for node in self._nodes.values():
            if node.is_open:
                free += node.free
        return free

    def __iter__(self) -> Iterator[Node]:
        """All workers."""
        return iter(self._nodes.values())

    def __contains__(self, worker_id: str) -> bool:
        """Whether the worker is known."""
        return worker_id in self._nodes

    def node(self, worker_id: str) -> Node:
        """One worker.

        Raises:
            NotFoundError: It is not known.
        """
        found = self._nodes.get(worker_id)
        if found is None:
            raise NotFoundError('no such worker', where=worker_id)
        return found

    def add(self, worker_id: str, rack: str, size: Size) -> None:
        """Adds a worker, or changes its size; what it carries stays."""
        known = self._nodes.get(worker_id)
        used = Size()
        if known is not None:
            used = known.size - known.free
            self._total -= known.size
            self._unlist(known)
        node = Node(worker_id, rack, size, size - used)
        if known is not None:
            node.is_open = known.is_open
            node.hold = known.hold
            node.takes_backfill = known.takes_backfill
        self._nodes[worker_id] = node
        self._total += size
        self._list(node)

    def remove(self, worker_id: str) -> None:
        """Removes a worker, with whatever it carries."""
        node = self.node(worker_id)
        self._unlist(node)
        self._nodes.pop(worker_id)
        self._total -= node.size

    def take(self, worker_id: str, size: Size) -> None:
        """Takes room.

        Raises:
            InvariantError: There is not so much.
        """
        node = self.node(worker_id)
        if not size.fits(node.free):
            raise InvariantError('more than is free', where=worker_id)
        self._change(node, node.free - size)

    def charge(self, worker_id: str, size: Size) -> None:
        """Takes room that is in use already, even beyond what is there."""
        node = self.node(worker_id)
        self._change(node, node.free - size)

    def give(self, worker_id: str, size: Size) -> Node:
        """Gives room back.

        Raises:
            InvariantError: More than was taken.
        """
        node = self.node(worker_id)
        free = node.free + size
        if not free.fits(node.size):
            raise InvariantError('more than was taken', where=worker_id)
        self._change(node, free)
        return node

    def closest(self, size: Size) -> Iterator[Node]:
        """Open workers with room, those with the fewest free cores first.

        Workers with accelerators come last for tasks that need none.
        """
        indexes = [self._accelerated]
        if not size.accelerators:
            indexes = [self._plain, self._accelerated]
        for index in indexes:
            start = bisect_left(index, (size.millicores, ''))
            for _, worker_id in index[start:]:
                node = self._nodes[worker_id]
                if node.is_open and size.fits(node.free):
                    yield node

    def rotated(self, count: int) -> list[Node]:
        """So many workers, others at each call until all had their turn."""
        names = list(self._nodes)
        start = self._turn % max(len(names), 1)
        self._turn = start + count
        chosen = (names + names)[start : start + min(count, len(names))]
        return [self._nodes[name] for name in chosen]

    def could_carry(self, size: Size) -> bool:
        """Whether some worker could carry the size if it were empty."""
        return any(size.fits(node.size) for node in self._nodes.values())

    def _change(self, node: Node, free: Size) -> None:
        self._unlist(node)
        node.free = free
        self._list(node)

    def _index(self, node: Node) -> list[tuple[int, str]]:
        return self._accelerated if node.size.accelerators else self._plain

    def _list(self, node: Node) -> None:
        insort(self._index(node), (node.free.millicores, node.worker_id))

    def _unlist(self, node: Node) -> None:
        index = self._index(node)
        place = bisect_left(index, (node.free.millicores, node.worker_id))
        index.pop(place)
