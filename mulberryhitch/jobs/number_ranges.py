"""A set of numbers that takes little room while most of them follow on."""

from bisect import bisect_right
from collections.abc import Iterable, Iterator


class NumberRanges:
    """A set of whole numbers, kept as ranges.

    Args:
        ranges: Start and end of each range, in order; the end is not part of
            it.
    """

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        """Initialises the set with the numbers of the ranges."""
        self._ranges = [(start, end) for start, end in ranges]

    @property
    def ranges(self) -> list[tuple[int, int]]:
        """Start and end of each range, in order."""
        return list(self._ranges)

    def __contains__(self, number: int) -> bool:
        """Whether a number is in the set."""
        place = self._place(number)
        return place >= 0 and number < self._ranges[place][1]

    def __iter__(self) -> Iterator[int]:
        """Yields the numbers, the lowest first."""
        for start, end in self._ranges:
            yield from range(start, end)

    def __bool__(self) -> bool:
        """Whether it has a number."""
        return bool(self._ranges)

    def append(self, number: int) -> None:
        """Adds a number that is higher than all others."""
        if self._ranges and self._ranges[-1][1] == number:
            self._ranges[-1] = (self._ranges[-1][0], number + 1)
        else:
            self._ranges.append((number, number + 1))

    def discard(self, number: int) -> None:
        """Removes a number, if it is in the set."""
        if number not in self:
            return
        place = self._place(number)
        start, end = self._ranges[place]
        parts = ((start, number), (number + 1, end))
        left = [(first, last) for first, last in parts if first < last]
        self._ranges = self._ranges[:place] + left + self._ranges[place + 1 :]

    def _place(self, number: int) -> int:
        """Returns the place of the last range that starts by a number."""
        return bisect_right(self._ranges, number, key=_start_of) - 1


def _start_of(row: tuple[int, int]) -> int:
    return row[0]
