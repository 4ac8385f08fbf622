"""What the dispatcher needs of the world: workers and permits."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple, Protocol

from mulberryhitch.jobs.model import StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.units import RunEnd


class WorkerAnswer(str, Enum):  # noqa: WPS600
    """What a worker answered to a start.

    Attributes:
        started: The run is there.
        fenced: The worker has seen a newer leader.
        stale: A run as high was stopped or ended there.
        expired: The lease had run out when the order came.
        no_room: It does not fit.
        no_permit: The permit is not valid any more.
        replaced: Another life of the worker answered.
        refused: The worker did nothing.
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
    """Tells a worker to start a run.

    Attributes:
        fence: The leader's term; a worker refuses lower ones than it saw.
        lease_until: On the worker's clock, milliseconds.
    """

    task: TaskKey
    run: int
    argument: str
    checkpoint: str
    fence: int
    lease_until: int
    permit: str


class RunningRow(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        checkpoint: The newest that it wrote; empty if none.
        percent: How far it is.
    """

    task: TaskKey
    run: int
    checkpoint: str
    percent: int


class EndedRow(NamedTuple):
    """A run that a worker lists as ended.

    Attributes:
        number: Counts the ends of one life of the worker.
    """

    number: int
    task: TaskKey
    run: int
    how: RunEnd
    checkpoint: str


@dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker's lists of runs.

    Attributes:
        clock: The worker's own clock, milliseconds.
        born: Which life of the worker answered; zero if it did not say.
    """

    clock: int
    incarnation: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndedRow, ...]


class WorkerClient(Protocol):
    """Speaks to workers.

    Each call raises ``UnreachableError`` where nothing was sent, and
    ``OutcomeUnknownError`` where it was sent and no answer came.
    """

    async def start(
        self, worker: WorkerRecord, command: StartCommand
    ) -> tuple[WorkerAnswer, int]:
        """Starts a run; returns the worker's clock too, zero if untold."""

    async def stop(
        self, worker: WorkerRecord, task: TaskKey, run: int, fence: int
    ) -> WorkerAnswer:
        """Stops a run, and refuses it if it should come later."""

    async def poll(
        self,
        worker: WorkerRecord,
        fence: int,
        acknowledged_end: int,
        lease_until: int,
        wait_seconds: float,
    ) -> WorkerView | WorkerAnswer:
        """Renews the lease and reads both lists.

        Args:
            worker: Whom to ask.
            fence: The leader's term.
            seen: Ends up to this number may be forgotten.
            lease_until: On the worker's clock; zero to renew nothing.
            wait_seconds: How long it may wait for an end.
        """


class PermitClient(Protocol):
    """Asks the permit service from one machine."""

    async def ask(
        self, step: StepKey, worker_ids: Sequence[str], timeout_seconds: float
    ) -> dict[str, str]:
        """The permits of those workers that may run the step."""
