"""Orders to workers: starts, stops, and starts whose answer was lost."""

from collections.abc import Awaitable, Callable
from dataclasses import replace

import anyio

from mulberryhitch.dispatch.fleet import LiveWorker, RunTrack
from mulberryhitch.dispatch.permits import PermitDesk
from mulberryhitch.dispatch.plans import Placement
from mulberryhitch.dispatch.ports import StartAnswer, StartOrder
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import MulberryhitchError, UnreachableError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import StepKey, TaskKey
from mulberryhitch.jobs.state import RunOutcome, Unit

_RETRY_PAUSE_SECONDS = 0.1
_MISS_PAUSE_SECONDS = 0.25
_START_TRIES = 2


class Ordering:
    """Sends orders and learns what became of them.

    Args:
        term: The leader's term.
        desk: Told of permits that a worker did not accept.
        look: Reads a worker's lists at once.
    """

    def __init__(
        self,
        term: Term,
        desk: PermitDesk,
        look: Callable[[LiveWorker], Awaitable[None]],
    ) -> None:
        """Has sent nothing."""
        self._term = term
        self._desk = desk
        self._look = look

    def start(self, one: Placement) -> None:
        """Sends the start of a committed grant."""
        task = one.unit.task_key(one.index)
        live = self._term.live.get(one.worker_id)
        job = self._term.book.jobs.get(task.job_id)
        if live is None or job is None:
            return
        now = anyio.current_time()
        work = self._term.book.step_execution(one.unit.step_key)
        estimate = work.step.estimate_seconds if work else 0
        track = RunTrack(one.unit.run, moved_at=now, estimate_seconds=estimate)
        live.tracks[task] = track
        live.nudge()
        self._term.histograms.record(
            'wait', job.queue.name, 'start', self._term.wall() - job.accepted_at
        )
        self._term.log_task(
            'task.granted',
            task,
            track.run,
            one.worker_id,
            heard_ago=round(now - live.heard_at, 3),
        )
        order = StartOrder(
            task,
            track.run,
            job.spec.argument,
            one.unit.checkpoint,
            self._term.fence,
            0,
            one.permit,
        )
        self._term.start_soon(self._start, live, track, order)

    def stop(
        self, task: TaskKey, run: int, worker_id: str, reason: str
    ) -> None:
        """Stops a run that is held open."""
        live = self._term.live.get(worker_id)
        track = live.tracks.get(task) if live else None
        if live is None or track is None or track.run != run:
            return
        if track.stopping:
            return
        track.stopping = True
        self._term.log_task(
            'task.stopping', task, run, worker_id, reason=reason
        )
        self._term.start_soon(self._settle, live, track, task)

    def stop_unit(self, unit: Unit, reason: str) -> None:
        """Stops all that may run of a unit."""
        for index, worker_id in tuple(unit.holders.items()):
            self.stop(unit.task_key(index), unit.run, worker_id, reason)

    def stop_rest(self, task: TaskKey, run: int, reason: str) -> None:
        """Stops the other members of a gang that has lost one."""
        unit = self._term.book.unit(task)
        if unit is not None and unit.task_count > 1 and unit.run == run:
            self.stop_unit(unit, reason)

    def stop_stray(self, live: LiveWorker, task: TaskKey, run: int) -> None:
        """Stops a run that nobody is to have started."""
        self._term.log_task('task.stray', task, run, live.record.worker_id)
        self._term.start_soon(self._try_stop, live, task, run)

    async def _start(
        self, live: LiveWorker, track: RunTrack, order: StartOrder
    ) -> None:
        answer = await self._send_start(live, track, order)
        self._term.log_task(
            'task.ordered',
            order.task,
            track.run,
            live.record.worker_id,
            answer=answer.value if answer else 'none',
            uncertain=track.uncertain,
        )
        if answer is StartAnswer.started:
            track.confirm(anyio.current_time())
            if self._term.is_unwanted(order.task, track.run):
                self.stop(
                    order.task, track.run, live.record.worker_id, 'unwanted'
                )
            return
        await self._not_started(live, track, order, answer)
        self.stop_rest(order.task, track.run, 'a member did not start')

    async def _send_start(
        self, live: LiveWorker, track: RunTrack, order: StartOrder
    ) -> StartAnswer | None:
        for _ in range(_START_TRIES):
            if live.gone or not self._term.may_act() or track.stopping:
                return None
            answer = await self._try_start(live, track, order)
            if answer is not None:
                return answer
            await anyio.sleep(_RETRY_PAUSE_SECONDS)
        return None

    async def _try_start(
        self, live: LiveWorker, track: RunTrack, order: StartOrder
    ) -> StartAnswer | None:
        now = anyio.current_time()
        order = replace(order, lease_until=live.next_lease(now))
        try:
            answer, clock = await self._term.orders.start(live.record, order)
        except UnreachableError:
            return None
        except MulberryhitchError as error:
            track.uncertain = True
            self._term.log.problem(
                'task.unanswered',
                error.problem,
                job=order.task.job_id,
                worker=live.record.worker_id,
            )
            return None
        live.hear(clock, now)
        return answer

    async def _not_started(
        self,
        live: LiveWorker,
        track: RunTrack,
        order: StartOrder,
        answer: StartAnswer | None,
    ) -> None:
        if answer is StartAnswer.fenced:
            self._term.depose(live)
        elif answer is StartAnswer.stale:
            track.confirm(anyio.current_time())
            await self._look(live)
        elif track.uncertain:
            await self._settle(live, track, order.task)
        else:
            if answer is StartAnswer.no_permit:
                self._desk.spoil(
                    StepKey(*order.task[:3]), live.record.worker_id
                )
            else:
                live.refuse(anyio.current_time())
            await self._void(live, order.task, track, str(answer))

    async def _void(
        self, live: LiveWorker, task: TaskKey, track: RunTrack, reason: str
    ) -> None:
        self._term.log_task(
            'task.void', task, track.run, live.record.worker_id, reason=reason
        )
        ended = changes.end_run(
            task,
            track.run,
            RunOutcome.void,
            track.checkpoint,
            self._term.wall(),
        )
        await self._term.commit_quietly([ended])

    async def _settle(
        self, live: LiveWorker, track: RunTrack, task: TaskKey
    ) -> None:
        """Stops a run, or keeps a start without an answer from acting."""
        track.stopping = True
        while not live.gone and live.tracks.get(task) is track:
            answer = await self._try_stop(live, task, track.run)
            if answer is StartAnswer.fenced:
                self._term.depose(live)
                return
            if answer is not None:
                track.blocked_at = anyio.current_time()
                if not track.confirmed or track.uncertain:
                    await self._look(live)
                return
            await anyio.sleep(_MISS_PAUSE_SECONDS)

    async def _try_stop(
        self, live: LiveWorker, task: TaskKey, run: int
    ) -> StartAnswer | None:
        if not self._term.may_act():
            return None
        try:
            return await self._term.orders.stop(
                live.record, task, run, self._term.fence
            )
        except MulberryhitchError as error:
            self._term.log.problem(
                'stop.unanswered',
                error.problem,
                job=task.job_id,
                worker=live.record.worker_id,
            )
        return None
