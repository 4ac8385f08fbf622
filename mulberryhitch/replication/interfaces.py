"""Interfaces that users of a replicated log implement."""

from typing import Any, Protocol

from mulberryhitch.rpc.messages import LogEntry, Reply, Request


class StateMachine(Protocol):
    """State determined solely by the log entries and their order."""

    def apply(self, entry: LogEntry) -> Any:
        """Applies a committed entry and returns the result for the proposer.

        Raises:
            MulberryhitchError: The entry has no effect; the proposer gets the
                error.
        """

    def snapshot(self) -> bytes:
        """Returns the complete state, serialised."""

    def restore(self, state: bytes) -> None:
        """Replaces the state by a serialised one."""


class Transport(Protocol):
    """Carries calls between the replicas of a group."""

    async def call(
        self, vm: str, method: str, request: Request, timeout_seconds: float
    ) -> Reply:
        """Calls a method of the replica on a VM.

        Raises:
            MulberryhitchError: The call failed or got no reply in time.
        """
