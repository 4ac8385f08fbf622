"""Named points at which a test makes a part fail."""

from collections.abc import Callable


class FailPoints:
    """Points that do nothing unless armed."""

    def __init__(self) -> None:
        """Starts with no point armed."""
        self._armed: dict[str, Callable[[], None]] = {}

    def arm(self, point: str, action: Callable[[], None]) -> None:
        """Calls the action whenever the point is reached."""
        self._armed[point] = action

    def disarm(self, point: str) -> None:
        """Lets the point do nothing again."""
        self._armed.pop(point, None)

    def reach(self, point: str) -> None:
        """Calls the point's action, if it is armed."""
        action = self._armed.get(point)
        if action is not None:
            action()
