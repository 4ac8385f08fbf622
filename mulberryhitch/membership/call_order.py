"""Which scheduler to call next, by what earlier calls have shown."""

from collections.abc import Callable, Collection, Iterator
from typing import Protocol

import anyio

# A VM that did not answer is called after the others for so long.
_SILENT_SECONDS = 1.0
# A VM whose call failed is not called again for so long.
_PAUSE_SECONDS = 0.25


class KnownSchedulers(Protocol):
    """What is known of the schedulers before any call."""

    def leader_of(self, group: str) -> str:
        """Returns the VM of the last known leader; empty if none is known."""

    def voters_of(self, group: str) -> tuple[str, ...]:
        """Returns the VMs that may lead a group."""


class CallOrder:
    """The order in which VMs are called, shared by all operations.

    A VM is not called for a short time after a call that failed. One that did
    not answer in time is called after the others, or when another VM names it
    as the leader. The leader that is known is called first until a call of it
    has failed, as its answers may only be late.

    Args:
        schedulers: What is known before any call.
    """

    def __init__(self, schedulers: KnownSchedulers) -> None:
        """Initialises the order; nothing has been called."""
        self._schedulers = schedulers
        self._last_leaders: dict[str, str] = {}
        self._paused_until: dict[tuple[str, str], float] = {}
        self._silent_until: dict[str, float] = {}
        self._failed_until: dict[str, float] = {}
        self._voter_index = 0

    def leader_of(self, group: str) -> str:
        """Returns the leader that is known; empty if none is."""
        last = self._last_leaders.get(group)
        return last or self._schedulers.leader_of(group)

    def is_silent(self, vm: str) -> bool:
        """Whether a VM recently did not answer in time."""
        return self._silent_until.get(vm, 0) > anyio.current_time()

    def record_reply(self, group: str, vm: str) -> None:
        """Records that a VM leads."""
        self._record_answer(vm)
        self._paused_until.pop((group, vm), None)
        self._last_leaders[group] = vm

    def record_refusal(self, group: str, vm: str, named_leader: str) -> None:
        """Records that a VM does not lead, and which leader it named.

        A hint replaces the known leader only if that one failed a call, or has
        not answered.
        """
        self._record_answer(vm)
        self._pause(group, vm)
        known = self.leader_of(group)
        if self._is_paused(group, known) or self.is_silent(known) or not known:
            self._last_leaders[group] = named_leader

    def record_failure(self, group: str, vm: str) -> None:
        """Records that a call got no answer."""
        self.record_silence(vm)
        self._failed_until[vm] = self._silent_until[vm]
        self._pause(group, vm)

    def record_silence(self, vm: str) -> None:
        """Records that a VM has not answered yet."""
        self._silent_until[vm] = anyio.current_time() + _SILENT_SECONDS

    def next_vm(
        self, group: str, in_flight: Collection[str], named: Collection[str]
    ) -> str:
        """Returns the VM to call next; empty if it is better to wait.

        Args:
            group: The group whose leader is searched.
            in_flight: VMs whose answers are awaited.
            named: VMs that other VMs named as the leader, to be called even
                if they did not answer in time before.
        """

        def is_callable(vm: str) -> bool:
            return vm not in in_flight and not self._is_paused(group, vm)

        leader = self.leader_of(group)
        if leader and is_callable(leader):
            if leader in named or not self._has_failed(leader):
                return leader
        vms = dict.fromkeys((*self._voters_in_turn(group), leader))
        voters = [vm for vm in vms if vm and is_callable(vm)]
        for vm in voters:
            if not self.is_silent(vm):
                return vm
        return '' if in_flight else self._longest_silent(voters)

    def _record_answer(self, vm: str) -> None:
        self._silent_until.pop(vm, None)
        self._failed_until.pop(vm, None)

    def _has_failed(self, vm: str) -> bool:
        return self._failed_until.get(vm, 0) > anyio.current_time()

    def _pause(self, group: str, vm: str) -> None:
        now = anyio.current_time()
        self._paused_until[(group, vm)] = now + _PAUSE_SECONDS

    def _longest_silent(self, vms: list[str]) -> str:
        silence: Callable[[str], float] = self._silent_until.__getitem__
        return min(vms, key=silence, default='')

    def _is_paused(self, group: str, vm: str) -> bool:
        until = self._paused_until.get((group, vm), 0)
        return until > anyio.current_time()

    def _voters_in_turn(self, group: str) -> Iterator[str]:
        voters = self._schedulers.voters_of(group)
        if voters:
            self._voter_index += 1
            start = self._voter_index % len(voters)
            yield from voters[start:]
            yield from voters[:start]
