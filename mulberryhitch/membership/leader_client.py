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

_RETRY_INTERVAL_SECONDS = 0.1
_CALL_TIMEOUT_SECONDS = 3.0
_RETRY_AFTER_SECONDS = 2.0
_AVOID_UNANSWERED_SECONDS = 1.0
_AVOID_FORMER_LEADER_SECONDS = 0.15

_NOT_EXECUTED_ERRORS = (
    UnreachableError,
    DeadlinePassedError,
    LostAuthorityError,
)
_UNKNOWN_OUTCOME_ERRORS = (ConnectionLostError, OutcomeUnknownError)


class SchedulerTransport(Protocol):
    """Reaches the schedulers."""

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        """Calls the scheduler of a VM."""

    def leader_of(self, group: str) -> str:
        """The VM that is thought to lead a group; may be empty."""

    def voters_of(self, group: str) -> tuple[str, ...]:
        """The VMs that may lead a group."""


def decode_reply(reply: Any, reply_type: type[Any]) -> Any:
    """What a member answered to an operation.

    Raises:
        ProtocolError: It is the answer to another kind of call.
    """
    if not isinstance(reply, ExecuteReply):
        raise ProtocolError('not the answer to an operation')
    return decode_as(reply_type, reply.body)


class LeaderClient:
    """Carries out operations at whoever leads a group.

    Every operation has an id or key by which its leader knows a resend, so an
    operation whose answer was lost is sent again until the deadline.

    Args:
        transport: Reaches the schedulers.
        call_timeout_seconds: How long one scheduler's answer is waited for.
    """

    def __init__(
        self,
        transport: SchedulerTransport,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> None:
        """Asks nobody yet."""
        self._transport = transport
        self._call_timeout_seconds = call_timeout_seconds
        self._last_leaders: dict[str, str] = {}
        self._avoided_until: dict[str, float] = {}
        self._voter_index = 0

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
        deadline = anyio.current_time() + timeout_seconds
        maybe_executed = False
        last_error: MulberryhitchError | None = None
        while anyio.current_time() < deadline:
            remaining = deadline - anyio.current_time()
            vm = self._select_vm(group)
            try:
                reply = await self._transport.call(
                    vm,
                    'execute',
                    request,
                    min(remaining, self._call_timeout_seconds),
                )
            except NotLeaderError as error:
                last_error = error
                self._last_leaders[group] = error.where.partition('#')[0]
                self._avoid(vm, _AVOID_FORMER_LEADER_SECONDS)
            except _NOT_EXECUTED_ERRORS as error:
                last_error = error
                self._avoid(vm)
            except _UNKNOWN_OUTCOME_ERRORS as error:
                last_error = error
                maybe_executed = True
                self._avoid(vm)
            else:
                self._last_leaders[group] = vm
                self._avoided_until.pop(vm, None)
                return decode_reply(reply, reply_type)
            await anyio.sleep(min(_RETRY_INTERVAL_SECONDS, max(remaining, 0)))
        raise self._make_error(group, maybe_executed, last_error)

    def _select_vm(self, group: str) -> str:
        """The leader, as far as known; else the schedulers in turn.

        Those that gave no answer lately are asked when no other is left.
        """
        known = self._last_leaders.get(group) or self._transport.leader_of(
            group
        )
        if known and not self._is_avoided(known):
            return known
        voters = self._transport.voters_of(group)
        for _ in voters:
            self._voter_index += 1
            vm = voters[self._voter_index % len(voters)]
            if not self._is_avoided(vm):
                break
        return vm

    def _avoid(
        self, vm: str, seconds: float = _AVOID_UNANSWERED_SECONDS
    ) -> None:
        self._avoided_until[vm] = anyio.current_time() + seconds

    def _is_avoided(self, vm: str) -> bool:
        return self._avoided_until.get(vm, 0) > anyio.current_time()

    def _make_error(
        self,
        group: str,
        maybe_executed: bool,
        last_error: MulberryhitchError | None,
    ) -> MulberryhitchError:
        cause = last_error.what if last_error else 'no time was left'
        if maybe_executed:
            return OutcomeUnknownError(
                f'the leader did not answer: {cause}', where=group
            )
        return NoQuorumError(
            f'no leader could be asked: {cause}',
            where=group,
            retry_after_seconds=_RETRY_AFTER_SECONDS,
        )
