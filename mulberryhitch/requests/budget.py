"""A retry budget: retries stay a small share of all requests."""

_SAVED_REQUESTS = 10.0


class RetryBudget:
    """Allows retries as a share of first tries.

    Args:
        share: Retries may be at most this part of the first tries.
        most_saved: How many retries may be saved up.
    """

    def __init__(
        self, share: float, most_saved: float = _SAVED_REQUESTS
    ) -> None:
        """Starts with what may be saved up."""
        self._share = share
        self._most_saved = most_saved
        self._saved = most_saved

    def first_try(self) -> None:
        """Notes a first try."""
        self._saved = min(self._saved + self._share, self._most_saved)

    def take(self) -> bool:
        """Spends one retry, if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
