"""A client that finds the leader of a group and calls it."""

from collections import Counter
from collections.abc import Callable
from typing import Any, Protocol

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.constants import OPERATION_MAX_BYTES
from mulberryhitch.errors import (
    LostAuthorityError,
    MulberryhitchError,
    NotLeaderError,
    ProtocolError,
    TooLargeError,
)
from mulberryhitch.membership.attempts import (
    Attempts,
    LeaderSearch,
    named_leader_of,
)
from mulberryhitch.membership.call_order import CallOrder, KnownSchedulers
from mulberryhitch.membership.known_group import KnownGroup
from mulberryhitch.membership.recovery import LeaderAbsence
from mulberryhitch.outcomes import Outcome
from mulberryhitch.rpc.messages import ExecuteReply, ExecuteRequest
from mulberryhitch.rpc.records import decode_as, encode, kind_of

_CALL_TIMEOUT_SECONDS = 3.0
# Time after which another VM is called beside one that has not answered, and
# the largest share of an operation's remaining time for it.
_PATIENCE_SECONDS = 0.25
_PATIENCE_SHARE = 0.3
_POLL_SECONDS = 0.05
_MAX_CALLS_IN_FLIGHT = 4
_MAX_CALLS_OF_A_SILENT_LEADER = 2


class SchedulerTransport(KnownSchedulers, Protocol):
    """RPC access to the schedulers."""

    async def call(
        self, vm: str, method: str, request: Any, timeout_seconds: float
    ) -> Any:
        """Calls the scheduler on a VM and returns its reply.

        Raises:
            MulberryhitchError: The call failed or got no reply in time.
        """


def decode_reply(reply: Any, reply_type: type[Any]) -> Any:
    """Decodes the reply to an operation.

    Raises:
        ProtocolError: The reply belongs to another kind of call.
    """
    if not isinstance(reply, ExecuteReply):
        raise ProtocolError('the reply is not an ExecuteReply')
    return decode_as(reply_type, reply.body)


def _encoded(operation: object) -> bytes:
    body = encode(operation)
    if len(body) > OPERATION_MAX_BYTES:
        raise TooLargeError(
            f'the operation has {len(body)} bytes, over {OPERATION_MAX_BYTES}',
            where=kind_of(operation),
        )
    return body


class _Operation:
    """The calls of one operation.

    Attributes:
        in_flight: VMs whose answers are awaited.
        named: VMs that others named as the leader, and are worth a call.
        reply: The leader's reply.
    """

    def __init__(
        self, request: ExecuteRequest, deadline: float, known_leader: str
    ) -> None:
        self.request = request
        self.deadline = deadline
        search = LeaderSearch(known_leader, anyio.current_time())
        self.attempts = Attempts(request.group, search)
        self.in_flight: set[str] = set()
        self.named: set[str] = set()
        self.reply: Any = None
        self._calls: Counter[str] = Counter()
        self._changed = anyio.Event()

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline."""
        return self.deadline - anyio.current_time()

    @property
    def patience_seconds(self) -> float:
        """How long to wait for one VM before another is called as well."""
        share = self.remaining_seconds * _PATIENCE_SHARE
        return min(_PATIENCE_SECONDS, share)

    @property
    def is_settled(self) -> bool:
        """Whether no further call is to be made."""
        return (
            self.reply is not None
            or self.attempts.rejection is not None
            or self.remaining_seconds <= 0
        )

    @property
    def needs_no_other_answer(self) -> bool:
        """Whether calls in flight can't change what the caller is told."""
        rejection = self.attempts.rejection
        return self.reply is not None or (
            rejection is not None and rejection.outcome is not Outcome.not_run
        )

    def begin_call(self, vm: str) -> None:
        """Records that a call was begun."""
        self._calls[vm] += 1
        self.in_flight.add(vm)

    def end_call(self, vm: str) -> None:
        """Records that a call has ended."""
        self.in_flight.discard(vm)
        self._changed.set()

    def add_named(self, vm: str) -> None:
        """Records that a VM was named as the leader."""
        if vm and self._calls[vm] < _MAX_CALLS_OF_A_SILENT_LEADER:
            self.named.add(vm)

    async def wait_for_answer(self, seconds: float) -> bool:
        """Waits until a call ends; returns whether one did in time."""
        with anyio.move_on_after(min(seconds, max(self.remaining_seconds, 0))):
            await self._changed.wait()
        has_answer = self._changed.is_set()
        self._changed = anyio.Event()
        return has_answer


class LeaderClient:
    """Executes operations on the current leader of a group.

    Every operation has an id or key by which the leader detects a resend, so
    an operation whose reply was lost or is late is sent again, also to other
    VMs, until the deadline.

    Args:
        transport: Calls the schedulers.
        call_timeout_seconds: Timeout of a call to one scheduler.
        count: Counts an event of the given name.
        known_group: Returns what this process knows without a call.
    """

    def __init__(
        self,
        transport: SchedulerTransport,
        call_timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
        count: Callable[[str], None] = lambda event: None,
        known_group: Callable[[], KnownGroup] = KnownGroup,
    ) -> None:
        """Initialises the client with no known leader."""
        self._transport = transport
        self._call_timeout_seconds = call_timeout_seconds
        self._count = count
        self._known_group = known_group
        self._order = CallOrder(transport)
        self._absence = LeaderAbsence()

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
            TooLargeError: The operation is too large; nothing was sent.
            NoQuorumError: No leader was found; nothing was executed.
            OutcomeUnknownError: The operation may have been executed, also if
                another call was rejected.
            MulberryhitchError: The leader rejected the operation, and no
                other call was left without a reply.
        """
        calls_of = _Operation(
            ExecuteRequest(group, kind_of(operation), _encoded(operation)),
            anyio.current_time() + timeout_seconds,
            self._order.leader_of(group),
        )
        self._count('leader.operation')
        async with anyio.create_task_group() as tasks:
            await self._search(calls_of, tasks)
            if calls_of.needs_no_other_answer:
                tasks.cancel_scope.cancel()
        if calls_of.reply is None:
            raise self._final_error(group, calls_of.attempts)
        self._absence.end(group)
        return decode_reply(calls_of.reply, reply_type)

    def _final_error(
        self, group: str, attempts: Attempts
    ) -> MulberryhitchError:
        """Returns the error of an operation that has no reply."""
        replica = self._known_group().replica
        if attempts.rejection is not None:
            self._absence.end(group)
            return attempts.final_error(replica)
        self._count('leader.search_failed')
        missed_at = self._absence.begin(group, attempts.search.began_at)
        leaderless = anyio.current_time() - missed_at
        if replica is not None:
            leaderless = max(leaderless, replica.leaderless_seconds)
        return attempts.final_error(replica, leaderless)

    async def _search(self, operation: _Operation, tasks: TaskGroup) -> None:
        """Calls VMs until the leader has answered, or time is up."""
        while not operation.is_settled:
            vm = self._next_vm(operation)
            if not vm:
                await operation.wait_for_answer(_POLL_SECONDS)
                continue
            is_silent = self._order.is_silent(vm)
            operation.begin_call(vm)
            tasks.start_soon(self._call, operation, vm)
            patience = 0 if is_silent else operation.patience_seconds
            has_answer = await operation.wait_for_answer(patience)
            if not has_answer and vm in operation.in_flight:
                self._order.record_silence(vm)

    def _next_vm(self, operation: _Operation) -> str:
        answering = [
            vm for vm in operation.in_flight if not self._order.is_silent(vm)
        ]
        if len(answering) >= _MAX_CALLS_IN_FLIGHT:
            return ''
        return self._order.next_vm(
            operation.request.group, operation.in_flight, operation.named
        )

    async def _call(self, operation: _Operation, vm: str) -> None:
        self._count('leader.attempt')
        started_at = anyio.current_time()
        try:
            operation.reply = await self._transport.call(
                vm,
                'execute',
                operation.request,
                min(operation.remaining_seconds, self._call_timeout_seconds),
            )
        except MulberryhitchError as error:
            operation.attempts.record(vm, started_at, error)
            self._record_failure(operation, vm, error)
        else:
            self._order.record_reply(operation.request.group, vm)
        operation.end_call(vm)

    def _record_failure(
        self, operation: _Operation, vm: str, error: MulberryhitchError
    ) -> None:
        group = operation.request.group
        operation.named.discard(vm)
        if operation.attempts.rejection is error:
            return
        if isinstance(error, (NotLeaderError, LostAuthorityError)):
            named_leader = named_leader_of(error)
            operation.add_named(named_leader)
            self._order.record_refusal(group, vm, named_leader)
        else:
            self._order.record_failure(group, vm)
