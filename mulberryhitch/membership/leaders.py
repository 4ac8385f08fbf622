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
_DOUBT_SECONDS = 1.0
_STALE_SECONDS = 0.15

_NOT_REACHED = (UnreachableError, DeadlinePassedError, LostAuthorityError)
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


def read_reply(reply: Any, reply_type: type[Any]) -> Any:
    """What a member answered to an operation.

    Raises:
        ProtocolError: It is the answer to another kind of call.
    """
    if not isinstance(reply, ExecuteReply):
        raise ProtocolError('not the answer to an operation')
    return decode_as(reply_type, reply.body)


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
        self._found: dict[str, str] = {}
        self._doubted_until: dict[str, float] = {}
        self._turn = 0

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
        while anyio.current_time() < ends_at:
            left = ends_at - anyio.current_time()
            vm = self._candidate(group)
            try:
                reply = await self._calls.call(
                    vm, 'execute', request, min(left, self._call_seconds)
                )
            except NotLeaderError as error:
                last = error
                self._found[group] = error.where.partition('#')[0]
                self._doubt(vm, _STALE_SECONDS)
            except _NOT_REACHED as error:
                last = error
                self._doubt(vm)
            except _PERHAPS_DONE as error:
                last = error
                perhaps_done = True
                self._doubt(vm)
            else:
                self._found[group] = vm
                self._doubted_until.pop(vm, None)
                return read_reply(reply, reply_type)
            await anyio.sleep(min(_PAUSE_SECONDS, max(left, 0)))
        raise self._failure(group, perhaps_done, last)

    def _candidate(self, group: str) -> str:
        """The leader, as far as known; else the schedulers in turn.

        Those that gave no answer lately are asked when no other is left.
        """
        known = self._found.get(group) or self._calls.leader_of(group)
        if known and not self._is_doubted(known):
            return known
        voters = self._calls.voters_of(group)
        for _ in voters:
            self._turn += 1
            vm = voters[self._turn % len(voters)]
            if not self._is_doubted(vm):
                break
        return vm

    def _doubt(self, vm: str, seconds: float = _DOUBT_SECONDS) -> None:
        self._doubted_until[vm] = anyio.current_time() + seconds

    def _is_doubted(self, vm: str) -> bool:
        return self._doubted_until.get(vm, 0) > anyio.current_time()

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
