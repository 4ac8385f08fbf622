"""What a replicated log drives, and what carries it."""

from typing import Any, Protocol

from mulberryhitch.rpc.messages import LogEntry, Reply, Request


class StateMachine(Protocol):
    """State that follows from the entries alone, in their order."""

    def apply(self, entry: LogEntry) -> Any:
        """Applies one committed entry; its result goes to the proposer.

        Raises:
            MulberryhitchError: The entry has no effect; the proposer is told.
        """

    def snapshot(self) -> bytes:
        """The whole state."""

    def restore(self, state: bytes) -> None:
        """Takes over a whole state."""


class Transport(Protocol):
    """Carries calls between the replicas of a group."""

    async def call(
        self, vm: str, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls a VM's replica.

        Raises:
            MulberryhitchError: No answer.
        """
