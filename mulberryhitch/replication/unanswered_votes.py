"""Since when voters have not answered a candidate's requests."""

import anyio


class UnansweredVotes:
    """The voters that have answered none of a candidate's last requests.

    A voter that is gone is known by that before another leader is elected, so
    the leader need not wait for it once more.
    """

    def __init__(self) -> None:
        """Initialises the records without any request."""
        self._requested_at: dict[str, float] = {}

    @property
    def silent_seconds(self) -> dict[str, float]:
        """Time since the first request that each silent voter got."""
        now = anyio.current_time()
        return {
            voter: now - requested_at
            for voter, requested_at in self._requested_at.items()
        }

    def record_request(self, voter: str) -> None:
        """Records that a voter's answer is awaited."""
        self._requested_at.setdefault(voter, anyio.current_time())

    def record_answer(self, voter: str) -> None:
        """Records that a voter answered."""
        self._requested_at.pop(voter, None)

    def forget_before(self, time: float) -> None:
        """Forgets the requests that were sent before a time, in seconds."""
        self._requested_at = {
            voter: requested_at
            for voter, requested_at in self._requested_at.items()
            if requested_at >= time
        }
