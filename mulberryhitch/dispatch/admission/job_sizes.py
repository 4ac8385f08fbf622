"""Sizes of a queue's jobs: their value, and how often each size is accepted."""

from bisect import insort
from collections import deque
from dataclasses import dataclass, field

# The value of a job relative to its queue: a part for the job itself, and one
# that grows with its work over the mean of the queue.
_BASE_VALUE = 0.3
_VALUE_OF_WORK = 0.7
_MAX_VALUE = 4.0
_KEPT_SIZES = 200
# The largest tenth and the fifth below it are served at least half as often as
# all; admission leaves room for what happens to them later.
_LARGEST_PERCENT = 90
_LARGE_PERCENT = 70
_LEAST_ACCEPTED_SHARE = 0.75
_DECAY = 0.995


@dataclass(slots=True)
class _Band:
    """Decaying counts of the jobs of one size."""

    offered: float = 0
    accepted: float = 0

    @property
    def share(self) -> float:
        return self.accepted / self.offered if self.offered else 1

    def record(self, *, is_accepted: bool) -> None:
        self.offered = self.offered * _DECAY + 1
        self.accepted = self.accepted * _DECAY + is_accepted


@dataclass(slots=True)
class JobSizes:
    """Sizes of the jobs that were submitted to one queue, in core-seconds."""

    count: int = 0
    _total: float = 0
    _recent: deque[float] = field(
        default_factory=lambda: deque(maxlen=_KEPT_SIZES)
    )
    _sorted: list[float] = field(default_factory=list)
    _all: _Band = field(default_factory=_Band)
    _bands: tuple[_Band, _Band, _Band] = field(
        default_factory=lambda: (_Band(), _Band(), _Band())
    )

    def record(self, core_seconds: float, *, is_accepted: bool) -> None:
        """Records a submitted job and whether it was accepted."""
        band = self._band_of(core_seconds)
        band.record(is_accepted=is_accepted)
        self._all.record(is_accepted=is_accepted)
        self.count += 1
        self._total += core_seconds
        if len(self._recent) == _KEPT_SIZES:
            self._sorted.remove(self._recent[0])
        self._recent.append(core_seconds)
        insort(self._sorted, core_seconds)

    def value_of(self, core_seconds: float) -> float:
        """Returns the value of a job relative to its queue."""
        if not self._total:
            return 1.0
        relative = core_seconds * self.count / self._total
        return min(_MAX_VALUE, _BASE_VALUE + _VALUE_OF_WORK * relative)

    def is_underserved(self, core_seconds: float) -> bool:
        """Whether large jobs of this size are refused more than others."""
        band = self._band_of(core_seconds)
        if band is self._bands[0]:
            return False
        return band.share < self._all.share * _LEAST_ACCEPTED_SHARE

    def _band_of(self, core_seconds: float) -> _Band:
        if not self._sorted:
            return self._bands[0]
        known = len(self._sorted) - 1
        if core_seconds > self._sorted[known * _LARGEST_PERCENT // 100]:
            return self._bands[2]
        if core_seconds > self._sorted[known * _LARGE_PERCENT // 100]:
            return self._bands[1]
        return self._bands[0]
