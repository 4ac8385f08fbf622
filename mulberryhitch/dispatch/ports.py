"""Interfaces of the dispatcher to workers and to the permit service."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from mulberryhitch.jobs.model import StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.state import RunOutcome


class WorkerAnswer(str, Enum):  # noqa: WPS600
    """A worker's answer to a command, or its refusal of a poll.

    Attributes:
        started: The command was carried out; for a start, the run exists.
        fenced: The worker has seen a newer leader.
        stale: The same run or a later one was stopped or ended there.
        expired: The lease had expired when the command arrived.
        no_room: The worker has too few free resources.
        no_permit: The permit is no longer valid.
        replaced: Another worker answered at this address.
        refused: The worker did nothing, for another reason.
    """

    started = 'started'
    fenced = 'fenced'
    stale = 'stale'
    expired = 'expired'
    no_room = 'no_room'
    no_permit = 'no_permit'
    replaced = 'replaced'
    refused = 'refused'


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Command that starts a run on a worker.

    Attributes:
        fence: The leader's term; a worker refuses any term lower than the
            highest that it has seen.
        lease_until: End of the lease on the worker's clock, milliseconds.
    """

    task: TaskKey
    run: int
    argument: str
    checkpoint: str
    fence: int
    lease_until: int
    ticket: str


class RunningRow(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        checkpoint: The newest checkpoint written; empty if none.
        percent: Progress of the run.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int


class EndedRow(NamedTuple):
    """A run that a worker lists as ended.

    Attributes:
        number: Sequence number among the ends of one worker incarnation.
        outcome: How the run ended.
    """

    number: int
    task: TaskKey
    run: int
    outcome: RunOutcome
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker's lists of runs.

    Attributes:
        clock: Time on the worker's own clock, milliseconds.
        incarnation: Incarnation of the worker that answered; zero if the
            answer did not contain it.
        complete: Whether every row could be read; if not, the lists prove
            nothing about runs that they do not show.
    """

    clock: int
    incarnation: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]
    complete: bool = True


class WorkerClient(Protocol):
    """Client of the workers.

    Each call raises ``UnreachableError`` if the worker did nothing,
    ``OutcomeUnknownError`` if the request was sent but no complete response
    was received, and ``ProtocolError`` if the response is invalid.
    """

    async def start(
        self, worker: WorkerRecord, command: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        """Starts a run.

        Returns:
            The answer, and the time on the worker's clock in milliseconds;
            zero if the response did not contain it.
        """

    async def stop(
        self, worker: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        """Stops a run; the worker also refuses a start that arrives later."""

    async def poll(
        self,
        worker: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        """Renews the lease and reads the lists of running and ended runs.

        Args:
            worker: The worker to poll.
            fence: The leader's term.
            acknowledged_end: Ends up to this number are committed; the worker
                may discard them.
            lease_until: End of the lease on the worker's clock, milliseconds;
                zero renews nothing.
            wait_seconds: How long the worker may wait for a run to end before
                it answers.

        Returns:
            The lists, or the answer of a worker that refused the poll.
        """


class PermitClient(Protocol):
    """Client of the permit service."""

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        """Returns the tickets, by worker id, of the workers allowed to run it.

        Raises:
            MulberryhitchError: The request failed.
        """
