"""A limit on the bytes that a process holds at once for requests."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.errors import OverloadedError

SMALL_BYTES: Final = 64 * 1024
_BODIES_BYTES: Final = 10 * BYTES_PER_MEBIBYTE
_SMALL_BODIES_BYTES: Final = 2 * BYTES_PER_MEBIBYTE
_LARGE_ANSWERS_BYTES: Final = 16 * BYTES_PER_MEBIBYTE
# A configuration takes a dozen times its size while it is validated.
_CONTROL_BODY_MEMORY_SHARE: Final = 1 / 32
_MOST_CONTROL_BODY_BYTES: Final = 8 * BYTES_PER_MEBIBYTE
_RETRY_AFTER_SECONDS = 1.0


class ByteBudget:
    """Bytes that may be held at once; more are refused.

    A part is reserved for small amounts, so that large ones can't keep them
    out. A large amount is never refused while no other large one is held, so
    that each that is allowed at all is admitted at some time.

    Args:
        limit_bytes: Maximum number of bytes held.
        reserved_bytes: The part of it that only small amounts may use.
        admits_small: Whether small amounts are never refused, because
            something else bounds their number; they still count.
    """

    def __init__(
        self,
        limit_bytes: int,
        reserved_bytes: int,
        *,
        admits_small: bool = False,
    ) -> None:
        """Initialises the budget; nothing is held."""
        self._admits_small = admits_small
        self._limit_bytes = limit_bytes
        self._reserved_bytes = reserved_bytes
        self._large_count = 0
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Number of bytes held."""
        return self._held_bytes

    @contextmanager
    def reservation(self) -> Iterator['Reservation']:
        """Returns an empty reservation, which is released at the end."""
        reservation = Reservation(self)
        try:
            yield reservation
        finally:
            self._release(reservation.held_bytes)

    def admit(self, held_bytes: int, total_bytes: int) -> None:
        """Enlarges an amount that is held.

        Raises:
            OverloadedError: There is no room for it; nothing has changed.
        """
        is_large = total_bytes > SMALL_BYTES
        was_large = held_bytes > SMALL_BYTES
        limit_bytes = self._limit_bytes
        if is_large:
            limit_bytes -= self._reserved_bytes
        is_only_large = is_large and self._large_count == int(was_large)
        added_bytes = total_bytes - held_bytes
        is_over = self._held_bytes + added_bytes > limit_bytes
        is_always_admitted = is_only_large or (
            self._admits_small and not is_large
        )
        if is_over and not is_always_admitted:
            raise OverloadedError(
                f'{self._held_bytes} bytes of other requests are held, '
                f'the limit is {limit_bytes}',
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            )
        self._held_bytes += added_bytes
        self._large_count += int(is_large) - int(was_large)

    def _release(self, held_bytes: int) -> None:
        self._held_bytes -= held_bytes
        self._large_count -= int(held_bytes > SMALL_BYTES)


class Reservation:
    """An amount that one request holds.

    Args:
        budget: The budget that it belongs to.

    Attributes:
        held_bytes: The amount.
    """

    def __init__(self, budget: ByteBudget) -> None:
        """Initialises an empty reservation."""
        self._budget = budget
        self.held_bytes = 0

    def grow_to(self, total_bytes: int) -> None:
        """Holds at least this amount.

        Raises:
            OverloadedError: There is no room for it; the amount is unchanged.
        """
        if total_bytes > self.held_bytes:
            self._budget.admit(self.held_bytes, total_bytes)
            self.held_bytes = total_bytes


class RequestBudgets:
    """Limits on bodies and large answers, for all HTTP addresses of a process.

    Small bodies are never refused: the number of connections bounds them.

    Attributes:
        bodies: Bodies of requests that are received or handled.
        answers: Large bodies of answers that are being sent.
    """

    def __init__(self) -> None:
        """Initialises the budgets; nothing is held."""
        self.bodies = ByteBudget(
            _BODIES_BYTES, _SMALL_BODIES_BYTES, admits_small=True
        )
        self.answers = ByteBudget(_LARGE_ANSWERS_BYTES, 0)


def control_body_limit(memory_bytes: int) -> int:
    """Returns the largest body of a worker or an operator, in bytes.

    Args:
        memory_bytes: Memory of the process; zero if unknown.
    """
    share_bytes = int(memory_bytes * _CONTROL_BODY_MEMORY_SHARE)
    return min(
        share_bytes or _MOST_CONTROL_BODY_BYTES, _MOST_CONTROL_BODY_BYTES
    )
