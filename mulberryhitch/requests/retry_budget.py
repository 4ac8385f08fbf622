"""A retry budget, which limits retries to a share of first attempts."""

_MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Limits retries to a share of the first attempts.

    Args:
        share: Maximum number of retries per first attempt.
        max_saved: Maximum number of unused retries that are saved.
    """

    def __init__(
        self, share: float, max_saved: float = _MAX_SAVED_RETRIES
    ) -> None:
        """Initialises the budget with the maximum of saved retries."""
        self._share = share
        self._max_saved = max_saved
        self._saved = max_saved

    def record_first_attempt(self) -> None:
        """Credits the budget with the share of one first attempt."""
        self._saved = min(self._saved + self._share, self._max_saved)

    def try_spend(self) -> bool:
        """Spends one retry and returns whether one was available."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
