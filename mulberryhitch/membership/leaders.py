"""Finding the leader of a group and asking it."""

from typing import Any, Protocol

import anyio

from mulberryhitch.errors import (
    ConnectionLostError,
    DeadlinePassedError,
    LostAuthorityError,
    MulberryhitchError,
    NoQuorumError,
    NotLeaderError,
    OutcomeUnknownError,
    ProtocolError,
    UnreachableError,
)
from mulberryhitch.rpc.messages import ExecuteReply, ExecuteRequest
from mulberryhitch.rpc.records import decode_as, encode, kind_of

_PAUSE_SECONDS = 0.1
_CALL_SECONDS = 3.0
_RETRY_AFTER_SECONDS = 2.0

_NOTHING_DONE = (
    NotLeaderError,
    UnreachableError,
    DeadlinePassedError,
    LostAuthorityError,
)
_PERHAPS_DONE = (ConnectionLostError, OutcomeUnknownError)


class SchedulerCalls(Protocol):
    """Reaches the schedulers."""

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        """Calls the scheduler of a VM."""

    def leader_of(self, group: str) -> str:
        """The VM that is thought to lead a group; may be empty."""

    def voters_of(self, group: str) -> tuple[str, ...]:
        """The VMs that may lead a group."""


class Leaders:
    """Carries out operations at whoever leads a group.

    Every operation has an id or key by which its leader knows a resend, so an
    operation whose answer was lost is sent again until the deadline.

    Args:
        calls: Reaches the schedulers.
        call_seconds: How long one scheduler's answer is waited for.
    """

    def __init__(
        self, calls: SchedulerCalls, call_seconds: float = _CALL_SECONDS
    ) -> None:
        """Asks nobody yet."""
        self._calls = calls
        self._call_seconds = call_seconds

    async def execute(
        self,
        group: str,
        operation: object,
        reply_type: type[Any],
        timeout_seconds: float,
    ) -> Any:
        """Carries out an operation and returns the leader's answer.

        Raises:
            NoQuorumError: No leader was found; nothing was done.
            OutcomeUnknownError: It may have been done.
            MulberryhitchError: What the leader refused it with.
        """
        request = ExecuteRequest(group, kind_of(operation), encode(operation))
        ends_at = anyio.current_time() + timeout_seconds
        perhaps_done = False
        last: MulberryhitchError | None = None
        turn = 0
        while anyio.current_time() < ends_at:
            left = ends_at - anyio.current_time()
            vm = self._candidate(group, turn, last)
            turn += 1
            try:
                reply = await self._calls.call(
                    vm, 'execute', request, min(left, self._call_seconds)
                )
            except _NOTHING_DONE as error:
                last = error
            except _PERHAPS_DONE as error:
                last = error
                perhaps_done = True
            else:
                return self._read(reply, reply_type)
            await anyio.sleep(min(_PAUSE_SECONDS, max(left, 0)))
        raise self._failure(group, perhaps_done, last)

    def _candidate(
        self, group: str, turn: int, last: MulberryhitchError | None
    ) -> str:
        if isinstance(last, NotLeaderError) and last.where:
            return last.where.partition('#')[0]
        known = self._calls.leader_of(group)
        voters = self._calls.voters_of(group)
        if known and turn % 2 == 0:
            return known
        return voters[turn % len(voters)]

    def _read(self, reply: Any, reply_type: type[Any]) -> Any:
        if not isinstance(reply, ExecuteReply):
            raise ProtocolError('not the answer to an operation')
        return decode_as(reply_type, reply.body)

    def _failure(
        self, group: str, perhaps_done: bool, last: MulberryhitchError | None
    ) -> MulberryhitchError:
        why = last.what if last else 'no time was left'
        if perhaps_done:
            return OutcomeUnknownError(
                f'the leader did not answer: {why}', where=group
            )
        return NoQuorumError(
            f'no leader could be asked: {why}',
            where=group,
            retry_after_seconds=_RETRY_AFTER_SECONDS,
        )
