"""Groups workers whose speeds can't be told apart.

Measured speeds of equal workers differ by the noise of their run times. Placement
by such differences would cost the other goals of placement and gain nothing.
"""

import math
import statistics
from collections.abc import Sequence
from itertools import accumulate

# The smallest difference between two classes, as a logarithm: 16%.
_MIN_GAP = 0.15
# The two halves of one normal distribution are 2.7 of their own standard
# deviations apart, and those of a uniform one 3.5.
_MIN_GAP_DEVIATIONS = 4.0


def split_into_classes(
    logarithms: Sequence[float], errors: Sequence[float]
) -> list[list[float]]:
    """Splits speeds into as many classes as can be told apart.

    The errors of both sides of a split count: a worker of which little is known
    would otherwise seem to differ from many that are known well.

    Args:
        logarithms: Logarithms of the speeds, in ascending order.
        errors: The standard error of each.

    Returns:
        The classes in ascending order.
    """
    if len(logarithms) < 2:
        return [list(logarithms)]
    sums = list(accumulate(logarithms, initial=float()))
    at = max(
        range(1, len(logarithms)),
        key=lambda index: _squares_between(sums, index),
    )
    slower, faster = logarithms[:at], logarithms[at:]
    gap = _mean(faster) - _mean(slower)
    within = math.sqrt((_squares(slower) + _squares(faster)) / len(logarithms))
    sides = (errors[:at], errors[at:])
    noise = max(map(statistics.median, sides))
    if gap < max(_MIN_GAP, _MIN_GAP_DEVIATIONS * max(within, noise)):
        return [list(logarithms)]
    return [
        *split_into_classes(slower, sides[0]),
        *split_into_classes(faster, sides[1]),
    ]


def _squares_between(sums: Sequence[float], index: int) -> float:
    """Returns the part of the squares that a split there explains.

    Args:
        sums: Sums of the first numbers, from none to all.
        index: How many numbers are before the split.
    """
    behind = len(sums) - 1 - index
    return sums[index] ** 2 / index + (sums[-1] - sums[index]) ** 2 / behind


def _squares(numbers: Sequence[float]) -> float:
    mean = _mean(numbers)
    return sum((number - mean) ** 2 for number in numbers)


def _mean(numbers: Sequence[float]) -> float:
    return sum(numbers) / len(numbers)
