"""Recognises heartbeats that arrive after later ones of the same worker."""

from collections import OrderedDict
from dataclasses import dataclass

import anyio

# Longer than a call may be delayed in the network. A worker whose time of day
# went back at its restart is heard again after this time.
_RETENTION_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class _Heartbeat:
    born: int
    sequence: int
    accepted_at: float

    def is_later_than(self, born: int, sequence: int) -> bool:
        return (self.born, self.sequence) > (born, sequence)


class NewestHeartbeats:
    """The newest accepted heartbeat of each worker, for a limited time."""

    def __init__(self) -> None:
        """Initialises the collection without heartbeats."""
        self._heartbeats: OrderedDict[str, _Heartbeat] = OrderedDict()

    def is_outdated(self, worker_id: str, born: int, sequence: int) -> bool:
        """Whether a later heartbeat of the worker was accepted lately."""
        self._remove_old()
        newest = self._heartbeats.get(worker_id)
        return newest is not None and newest.is_later_than(born, sequence)

    def record(self, worker_id: str, born: int, sequence: int) -> None:
        """Records an accepted heartbeat, unless a later one was accepted."""
        if self.is_outdated(worker_id, born, sequence):
            return
        self._heartbeats[worker_id] = _Heartbeat(
            born, sequence, anyio.current_time()
        )
        self._heartbeats.move_to_end(worker_id)

    def incarnation_of(self, worker_id: str) -> int:
        """Returns the incarnation of a worker; zero if unknown."""
        self._remove_old()
        newest = self._heartbeats.get(worker_id)
        return newest.born if newest else 0

    def _remove_old(self) -> None:
        oldest = anyio.current_time() - _RETENTION_SECONDS
        while self._heartbeats:
            worker_id, first = next(iter(self._heartbeats.items()))
            if first.accepted_at >= oldest:
                return
            self._heartbeats.pop(worker_id)
