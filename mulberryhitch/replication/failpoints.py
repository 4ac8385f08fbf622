"""Failpoints: named places in the code where tests inject failures."""

from collections.abc import Callable


class FailPoints:
    """A registry of failpoints, which have no effect unless armed."""

    def __init__(self) -> None:
        """Initialises the registry with no failpoint armed."""
        self._armed: dict[str, Callable[[], None]] = {}

    def arm(self, point: str, action: Callable[[], None]) -> None:
        """Sets the action to run each time the point is reached."""
        self._armed[point] = action

    def disarm(self, point: str) -> None:
        """Removes the point's action."""
        self._armed.pop(point, None)

    def reach(self, point: str) -> None:
        """Runs the point's action if it is armed."""
        action = self._armed.get(point)
        if action is not None:
            action()
