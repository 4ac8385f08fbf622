"""Permits: which workers may run a step, and until when.

The permit service answers one question at a time for each machine that asks,
and a long one holds up those behind it. So every machine of ours that is
alive asks at most one question, and the most urgent one goes first.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.dispatch.ports import PermitAsker
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs.model import PermitPolicy, StepKey
from mulberryhitch.observability.log import Log

MAXIMUM_WORKERS = 100
_PATIENCE_SECONDS = 1.0
_FAILED_PAUSE_SECONDS = 0.5
_TRAVEL_SECONDS = 0.02
_FIRST_SHARE = 0.5
_LEARNING = 0.2


@dataclass(frozen=True, slots=True)
class Permit:
    """The right to start a step's tasks on one life of a worker."""

    ticket: str
    born: int
    valid_until: float


@dataclass(slots=True)
class StepPermits:
    """What is known of one step.

    Attributes:
        allowed: Workers that may run it, in the order of the answers; this
            does not change.
        denied: Workers that may not.
    """

    allowed: dict[str, None] = field(default_factory=dict)
    denied: set[str] = field(default_factory=set)
    permits: dict[str, Permit] = field(default_factory=dict)
    asking: bool = False

    def holding(self, worker_id: str, born: int, until: float) -> Permit | None:
        """The permit of a worker's life, if it holds until then."""
        permit = self.permits.get(worker_id)
        if permit is None or permit.born != born or permit.valid_until < until:
            return None
        return permit


@dataclass(slots=True)
class Question:
    """A step and the workers to ask for."""

    step: StepKey
    worker_ids: tuple[str, ...]
    policy: PermitPolicy
    urgency: tuple[float, ...]
    queue_name: str = ''


@dataclass(slots=True)
class _Helper:
    asker: PermitAsker
    local: bool
    heard_at: float = 0
    busy: bool = False
    failed_at: float = -_FAILED_PAUSE_SECONDS


class PermitDesk:
    """Asks for permits and keeps the answers.

    Args:
        born_of: Which life of a worker is known.
        answered: Called after each answer.
        log: Where failed questions are written.
    """

    def __init__(
        self,
        born_of: Callable[[str], int],
        answered: Callable[[], None],
        log: Log,
    ) -> None:
        """Knows nothing."""
        self._born_of = born_of
        self._answered = answered
        self._log = log
        self._steps: dict[StepKey, StepPermits] = {}
        self._questions: dict[StepKey, Question] = {}
        self._helpers: dict[str, _Helper] = {}
        self._shares: dict[str, float] = {}
        self._woken = anyio.Event()

    def add_helper(
        self, name: str, asker: PermitAsker, *, local: bool = False
    ) -> None:
        """A machine that can ask is there, still or again."""
        helper = self._helpers.get(name)
        if helper is None:
            helper = _Helper(asker, local)
            self._helpers[name] = helper
            self._wake()
        helper.heard_at = anyio.current_time()

    def drop_silent(self, silence_seconds: float) -> None:
        """Forgets machines that were not heard of for so long."""
        now = anyio.current_time()
        for name, helper in tuple(self._helpers.items()):
            silent = now - helper.heard_at > silence_seconds
            if silent and not helper.local and not helper.busy:
                self._helpers.pop(name)

    def of_step(self, step: StepKey) -> StepPermits:
        """What is known of a step."""
        return self._steps.setdefault(step, StepPermits())

    def forget(self, step: StepKey) -> None:
        """Drops what is known of a step."""
        self._steps.pop(step, None)
        self._questions.pop(step, None)

    def share(self, queue_name: str) -> float:
        """Which part of the workers a queue's steps are allowed, as learned."""
        return self._shares.get(queue_name, _FIRST_SHARE)

    def free_helpers(self) -> int:
        """How many machines could ask a question now."""
        now = anyio.current_time()
        return sum(
            not helper.busy and self._may_ask(helper, now)
            for helper in self._helpers.values()
        )

    def spoil(self, step: StepKey, worker_id: str) -> None:
        """Drops a permit that its worker did not accept."""
        self.of_step(step).permits.pop(worker_id, None)

    def want(self, questions: Iterable[Question]) -> None:
        """Replaces the questions that were not yet asked."""
        self._questions = {
            one.step: one
            for one in questions
            if not self.of_step(one.step).asking
        }
        if self._questions:
            self._wake()

    async def run(self) -> None:
        """Asks until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                self._hand_out(tasks)
                woken = self._woken
                with anyio.move_on_after(_FAILED_PAUSE_SECONDS):
                    await woken.wait()

    def _hand_out(self, tasks: TaskGroup) -> None:
        waiting = sorted(self._questions.values(), key=lambda one: one.urgency)
        for question in waiting:
            helper = self._free_helper()
            if helper is None:
                return
            self._questions.pop(question.step)
            helper.busy = True
            self.of_step(question.step).asking = True
            tasks.start_soon(self._ask, helper, question)

    def _free_helper(self) -> _Helper | None:
        now = anyio.current_time()
        free = [
            helper
            for helper in self._helpers.values()
            if not helper.busy and self._may_ask(helper, now)
        ]
        return min(free, key=lambda one: one.local) if free else None

    def _may_ask(self, helper: _Helper, now: float) -> bool:
        """Whether a machine that failed is worth another question.

        One that is not this machine must have been heard of since.
        """
        if now - helper.failed_at < _FAILED_PAUSE_SECONDS:
            return False
        return helper.local or helper.heard_at > helper.failed_at

    async def _ask(self, helper: _Helper, question: Question) -> None:
        ids = question.worker_ids[:MAXIMUM_WORKERS]
        policy = question.policy
        expected = policy.decide_seconds + policy.each_seconds * len(ids)
        try:
            granted = await helper.asker.ask(
                question.step, ids, expected * 2 + _PATIENCE_SECONDS
            )
        except MulberryhitchError as error:
            helper.failed_at = anyio.current_time()
            self._log.problem(
                'permits.unanswered',
                error.problem,
                job=question.step.job_id,
                step=question.step.step,
            )
        else:
            self._note(question, ids, granted)
        finally:
            self._asked(helper, question.step)
        self._answered()

    def _asked(self, helper: _Helper, step: StepKey) -> None:
        helper.busy = False
        self.of_step(step).asking = False
        self._wake()

    def _note(
        self, question: Question, ids: Sequence[str], granted: dict[str, str]
    ) -> None:
        known = self.of_step(question.step)
        until = anyio.current_time() + question.policy.valid_seconds
        self._learn(question.queue_name, known, ids, granted)
        for worker_id in ids:
            ticket = granted.get(worker_id)
            if ticket is None:
                known.denied.add(worker_id)
                continue
            known.allowed[worker_id] = None
            known.permits[worker_id] = Permit(
                ticket, self._born_of(worker_id), until - _TRAVEL_SECONDS
            )

    def _learn(
        self,
        queue_name: str,
        known: StepPermits,
        ids: Sequence[str],
        granted: dict[str, str],
    ) -> None:
        """Counts the workers that were asked for the first time."""
        new = [one for one in ids if one not in known.allowed]
        if new:
            allowed = sum(one in granted for one in new) / len(new)
            before = self.share(queue_name)
            self._shares[queue_name] = before + (allowed - before) * _LEARNING

    def _wake(self) -> None:
        self._woken.set()
        self._woken = anyio.Event()
