"""A client that finds the leader of a group and calls it."""

from collections.abc import Callable
from dataclasses import dataclass
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
from mulberryhitch.membership.attempts import LeaderSearch, named_leader_of
from mulberryhitch.outcomes import Outcome
from mulberryhitch.rpc.messages import ExecuteReply, ExecuteRequest
from mulberryhitch.rpc.records import decode_as, encode, kind_of

_RETRY_INTERVAL_SECONDS = 0.1
_CALL_TIMEOUT_SECONDS = 3.0
_RETRY_AFTER_SECONDS = 2.0
_AVOID_UNRESPONSIVE_SECONDS = 1.0
_AVOID_NON_LEADER_SECONDS = 0.15

_NOT_EXECUTED_ERRORS = (
    NotLeaderError,
    UnreachableError,
    DeadlinePassedError,
    LostAuthorityError,
)
_UNKNOWN_OUTCOME_ERRORS = (ConnectionLostError, OutcomeUnknownError)


class SchedulerTransport(Protocol):
    """RPC access to the schedulers."""

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        """Calls the scheduler on a VM and returns its reply.

        Raises:
            MulberryhitchError: The call failed or got no reply in time.
        """

    def leader_of(self, group: str) -> str:
        """Returns the VM of the last known leader; empty if none is known."""

    def voters_of(self, group: str) -> tuple[str, ...]:
        """Returns the VMs that may lead a group."""


def decode_reply(reply: Any, reply_type: type[Any]) -> Any:
    """Decodes the reply to an operation.

    Raises:
        ProtocolError: The reply belongs to another kind of call.
    """
    if not isinstance(reply, ExecuteReply):
        raise ProtocolError('the reply is not an ExecuteReply')
    return decode_as(reply_type, reply.body)


@dataclass(slots=True)
class _Attempts:
    """The failed calls of one operation.

    Attributes:
        search: Every call, for the log.
        maybe_executed: Whether one of them may have executed the operation.
    """

    group: str
    search: LeaderSearch
    maybe_executed: bool = False
    last_error: MulberryhitchError | None = None

    def record_failure(self, error: MulberryhitchError) -> None:
        """Records a failed call.

        Raises:
            OutcomeUnknownError: The call was rejected, but an earlier one may
                have executed the operation.
            MulberryhitchError: The call was rejected with this error.
        """
        self.last_error = error
        if isinstance(error, _UNKNOWN_OUTCOME_ERRORS):
            self.maybe_executed = True
        elif not isinstance(error, _NOT_EXECUTED_ERRORS):
            raise self._rejection(error)

    def timeout_error(self) -> MulberryhitchError:
        """Returns the error of an operation that ran out of time."""
        cause = (
            self.last_error.what
            if self.last_error
            else 'the timeout had already expired'
        )
        if self.maybe_executed:
            return OutcomeUnknownError(
                f'the leader did not reply: {cause}', where=self.group
            )
        return NoQuorumError(
            f'no leader was found: {cause}',
            where=self.group,
            retry_after_seconds=_RETRY_AFTER_SECONDS,
        )

    def _rejection(self, error: MulberryhitchError) -> MulberryhitchError:
        if self.maybe_executed and error.outcome is Outcome.not_run:
            return OutcomeUnknownError(
                f'rejected after a call without a reply: {error.what}',
                where=self.group,
            )
        return error


class LeaderClient:
    """Executes operations on the current leader of a group.

    Every operation has an id or key by which the leader detects a resend, so
    an operation whose reply was lost is sent again until the deadline.

    Args:
        transport: Calls the schedulers.
        call_timeout_seconds: Timeout of a call to one scheduler.
        count: Counts an event of the given name.
    """

    def __init__(
        self,
        transport: SchedulerTransport,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
        count: Callable[[str], None] = lambda event: None,
    ) -> None:
        """Initialises the client with no known leader."""
        self._transport = transport
        self._call_timeout_seconds = call_timeout_seconds
        self._count = count
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
        """Executes an operation and returns the leader's reply.

        The details of an error are the :class:`LeaderSearch`.

        Raises:
            NoQuorumError: No leader was found; nothing was executed.
            OutcomeUnknownError: The operation may have been executed, also if
                a later call was rejected.
            MulberryhitchError: The leader rejected the operation, and no
                earlier call was left without a reply.
        """
        request = ExecuteRequest(group, kind_of(operation), encode(operation))
        deadline = anyio.current_time() + timeout_seconds
        attempts = _Attempts(group, LeaderSearch(self._known_leader(group)))
        self._count('leader.operation')
        try:
            reply = await self._execute_until(deadline, request, attempts)
        except MulberryhitchError as error:
            error.details = attempts.search
            raise
        return decode_reply(reply, reply_type)

    async def _execute_until(
        self, deadline: float, request: ExecuteRequest, attempts: _Attempts
    ) -> Any:
        group = request.group
        while anyio.current_time() < deadline:
            remaining_seconds = deadline - anyio.current_time()
            vm = self._select_vm(group)
            started_at = anyio.current_time()
            self._count('leader.attempt')
            try:
                reply = await self._call(vm, request, remaining_seconds)
            except MulberryhitchError as error:
                attempts.search.record(
                    vm, anyio.current_time() - started_at, error
                )
                attempts.record_failure(error)
                self._leave(group, vm, error)
            else:
                self._last_leaders[group] = vm
                self._avoided_until.pop(vm, None)
                return reply
            remaining_seconds = deadline - anyio.current_time()
            await anyio.sleep(
                min(_RETRY_INTERVAL_SECONDS, max(remaining_seconds, 0))
            )
        self._count('leader.search_failed')
        raise attempts.timeout_error()

    async def _call(
        self, vm: str, request: ExecuteRequest, remaining_seconds: float
    ) -> Any:
        if not vm:
            raise UnreachableError('no scheduler is known', where=request.group)
        return await self._transport.call(
            vm,
            'execute',
            request,
            min(remaining_seconds, self._call_timeout_seconds),
        )

    def _known_leader(self, group: str) -> str:
        return self._last_leaders.get(group) or self._transport.leader_of(group)

    def _select_vm(self, group: str) -> str:
        """Returns the known leader, or else the next voter in turn.

        A VM that recently failed is chosen only if all voters did. Empty if
        no voter is known.
        """
        known = self._known_leader(group)
        if known and not self._is_avoided(known):
            return known
        voters = self._transport.voters_of(group)
        vm = ''
        for _ in voters:
            self._voter_index += 1
            vm = voters[self._voter_index % len(voters)]
            if not self._is_avoided(vm):
                break
        return vm

    def _leave(self, group: str, vm: str, error: MulberryhitchError) -> None:
        """Avoids a VM for a while; follows it to the leader that it names."""
        seconds = _AVOID_UNRESPONSIVE_SECONDS
        if isinstance(error, NotLeaderError):
            self._last_leaders[group] = named_leader_of(error)
            seconds = _AVOID_NON_LEADER_SECONDS
        self._avoided_until[vm] = anyio.current_time() + seconds

    def _is_avoided(self, vm: str) -> bool:
        return self._avoided_until.get(vm, 0) > anyio.current_time()
