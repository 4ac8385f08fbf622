"""A retry budget: retries stay a small share of all requests."""

_MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Allows retries as a share of first tries.

    Args:
        share: Retries may be at most this part of the first tries.
        most_saved: How many retries may be saved up.
    """

    def __init__(
        self, share: float, max_saved: float = _MAX_SAVED_RETRIES
    ) -> None:
        """Starts with what may be saved up."""
        self._share = share
        self._max_saved = max_saved
        self._saved = max_saved

    def record_first_attempt(self) -> None:
        """Notes a first try."""
        self._saved = min(self._saved + self._share, self._max_saved)

    def try_spend(self) -> bool:
        """Spends one retry, if there is one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
