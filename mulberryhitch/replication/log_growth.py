"""How long a leader's log was at recent times."""

from collections import deque

_KEPT_RECORDS = 32


class LogGrowth:
    """The last index of a log at the latest times at which it was recorded."""

    def __init__(self) -> None:
        """Initialises the growth without any record."""
        self._records: deque[tuple[float, int]] = deque(maxlen=_KEPT_RECORDS)

    def record(self, now: float, last_index: int) -> None:
        """Records the last index at a time, in seconds."""
        self._records.append((now, last_index))

    def last_index_at(self, time: float) -> int | None:
        """Returns the last index recorded until a time, if there is one."""
        indexes = [
            last_index
            for recorded_at, last_index in self._records
            if recorded_at <= time
        ]
        return indexes[-1] if indexes else None
