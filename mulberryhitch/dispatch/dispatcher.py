"""One leader's term: grants are committed, then ordered, then watched."""

import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import TaskGroup

from mulberryhitch.dispatch.fleet import LiveWorker, RunTrack
from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.permits import PermitDesk
from mulberryhitch.dispatch.planner import Placement, Planner, Victim
from mulberryhitch.dispatch.ports import (
    StartAnswer,
    StartOrder,
    WorkerOrders,
    WorkerView,
)
from mulberryhitch.errors import (
    MulberryhitchError,
    StorageError,
    UnreachableError,
)
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.book import JobBook
from mulberryhitch.jobs.model import Room, StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.units import Job, RunEnd, StepWork, Unit, UnitState
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log

_RETRY_PAUSE_SECONDS = 0.1
_LOOK_MARGIN_SECONDS = 0.6
_MISS_PAUSE_SECONDS = 0.25
_START_TRIES = 2
_FULL_LIST = 500
_HELPER_SILENCE_SECONDS = 2.5
_DISK_PAUSE_SECONDS = 0.3

Commit = Callable[[list[changes.Change]], Awaitable[list[Any]]]


class Dispatcher:
    """Places, orders and watches, for as long as its replica leads.

    Args:
        book: The committed state.
        commit: Commits changes and returns their results.
        may_act: Whether the leader's lease holds.
        fence: The term; higher than that of any leader before.
        orders: Speaks to the workers.
        options: Times.
        log: Where each decision is written.
        histograms: Where waits are noted.
    """

    def __init__(  # noqa: WPS211
        self,
        book: JobBook,
        commit: Commit,
        may_act: Callable[[], bool],
        fence: int,
        orders: WorkerOrders,
        options: DispatchOptions,
        log: Log,
        histograms: Histograms,
    ) -> None:
        """Takes the workers from the book; none is known yet."""
        self._book = book
        self._commit = commit
        self._may_act = may_act
        self._fence = fence
        self._orders = orders
        self._options = options
        self._log = log
        self._histograms = histograms
        self._began_at = anyio.current_time()
        self._tasks: TaskGroup | None = None
        self._dirty = anyio.Event()
        self._ended = anyio.Event()
        self._reserved: dict[str, Room] = {}
        self._busy: set[StepKey] = set()
        self.live: dict[str, LiveWorker] = {}
        self.desk = PermitDesk(self._born_of, self.wake, log)

    async def run(self) -> None:
        """Works until cancelled, or until a newer leader is met."""
        self._book.listener = self
        try:
            async with anyio.create_task_group() as tasks:
                self._tasks = tasks
                for record in self._book.workers.values():
                    self._meet(record)
                tasks.start_soon(self.desk.run)
                tasks.start_soon(self._rounds)
                tasks.start_soon(self._ticks)
                self.wake()
                await self._ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            self._book.listener = None

    def wake(self) -> None:
        """Asks for another placement round."""
        self._dirty.set()

    def step_ready(self, work: StepWork) -> None:
        """Units of a step may start."""
        self.wake()

    def run_over(self, task: TaskKey, run: int, worker_id: str) -> None:
        """A run that was held open is over."""
        live = self.live.get(worker_id)
        if live is not None:
            live.tracks.pop(task, None)
        self.wake()

    def job_ended(self, job: Job) -> None:
        """Stops what a cancelled or failed job still runs."""
        for works in job.occurrences.values():
            for work in works:
                self.desk.forget(work.key)
                for unit in work.units:
                    if job.cancelled or job.failed:
                        self._stop_unit(unit, 'job ended')

    async def hear(
        self, record: WorkerRecord, clock: int, *, leaving: bool
    ) -> None:
        """Takes a worker's heartbeat or farewell.

        Raises:
            MulberryhitchError: What is new in it could not be committed.
        """
        known = self._book.workers.get(record.worker_id)
        if known is not None and known.born > record.born:
            return
        if leaving:
            await self._farewell(record)
            return
        if known is not None and known.draining and known.born == record.born:
            record = _draining(record)
        if known != record:
            await self._note_record(record)
        live = self.live.get(record.worker_id)
        if live is None or live.gone:
            live = self._meet(record)
        changed = live.record.born != record.born
        live.record = record
        if changed:
            self._reborn(live)
        live.hear(clock, anyio.current_time())
        if known != record:
            live.nudge()
            self.wake()

    async def _note_record(self, record: WorkerRecord) -> None:
        await self._commit([changes.worker(record)])
        self._log.event(
            'worker.told',
            worker=record.worker_id,
            address=record.address,
            born=record.born,
            draining=record.draining,
        )
        for other in tuple(self._book.workers.values()):
            same = other.address == record.address
            older = other.born < record.born
            if same and older and other.worker_id != record.worker_id:
                await self._bury(other.worker_id, 'address taken')

    def _meet(self, record: WorkerRecord) -> LiveWorker:
        now = anyio.current_time()
        live = LiveWorker(record, self._options, now)
        self.live[record.worker_id] = live
        for task, run in self._book.open_runs.get(record.worker_id, {}).items():
            live.tracks[task] = RunTrack(run, now, confirmed=True)
        if self._tasks is not None:
            self._tasks.start_soon(self._watch, live)
        return live

    def _reborn(self, live: LiveWorker) -> None:
        live.seen = 0
        live.clock = 0
        live.unsure = True
        live.known = False
        live.began_at = anyio.current_time()
        live.nudge()

    async def _farewell(self, record: WorkerRecord) -> None:
        if record.worker_id in self._book.workers:
            await self._bury(record.worker_id, 'left')

    async def _bury(self, worker_id: str, reason: str) -> None:
        """Ends all runs of a worker that certainly runs nothing."""
        record = self._book.workers.get(worker_id)
        if record is None:
            return
        lost = list(self._book.open_runs.get(worker_id, {}).items())
        wall = time.time()
        live = self.live.get(worker_id)
        batch = [
            changes.end(
                task, run, RunEnd.void, _checkpoint_of(live, task), wall
            )
            for task, run in lost
        ]
        batch.append(changes.worker_gone(worker_id, record.born))
        await self._commit(batch)
        self._log.event(
            'worker.gone', worker=worker_id, reason=reason, lost=len(lost)
        )
        if live is not None:
            live.gone = True
            live.nudge()
            self.live.pop(worker_id, None)
        for task, run in lost:
            self._stop_rest(task, run, 'worker gone')

    async def _rounds(self) -> None:
        while True:
            await self._dirty.wait()
            self._dirty = anyio.Event()
            if self._may_act():
                self._plan()
            await anyio.sleep(self._options.round_seconds)

    def _plan(self) -> None:
        now = anyio.current_time()
        usable = [
            live.record for live in self.live.values() if live.usable(now)
        ]
        planner = Planner(
            self._book,
            usable,
            self._reserved,
            self.desk,
            now,
            time.time(),
            self._options.permit_margin_seconds,
        )
        plan = planner.run(self._busy, self._victims(), self._coming())
        self.desk.want(plan.questions)
        for task, run, worker_id in plan.preempted:
            self._stop(task, run, worker_id, 'preempted')
        if plan.placements and self._tasks is not None:
            steps = {one.unit.step_key for one in plan.placements}
            self._busy |= steps
            for one in plan.placements:
                self._reserve(one, 1)
            self._tasks.start_soon(self._grant, plan.placements, steps)

    def _reserve(self, one: Placement, sign: int) -> None:
        work = self._book.work(one.unit.step_key)
        room = work.step.room if work else Room()
        held = self._reserved.get(one.worker_id, Room())
        held = held.plus(room) if sign > 0 else held.minus(room)
        self._reserved[one.worker_id] = held

    def _victims(self) -> list[Victim]:
        found = []
        for live in self.live.values():
            for key, track in live.tracks.items():
                task = TaskKey(*key)  # type: ignore[misc]
                work = self._book.work(StepKey(*task[:3]))
                job = self._book.jobs.get(task.job_id)
                if work is None or job is None or track.stopping:
                    continue
                step = work.step
                if not track.confirmed or step.gang or not step.checkpointing:
                    continue
                urgency = self._book.queue_now(job).urgency
                found.append(
                    Victim(
                        task,
                        track.run,
                        live.record.worker_id,
                        step.room,
                        urgency,
                    ),
                )
        found.sort(key=lambda one: -one.urgency)
        return found

    def _coming(self) -> dict[str, Room]:
        coming: dict[str, Room] = {}
        for worker_id, live in self.live.items():
            for key, track in live.tracks.items():
                work = self._book.work(StepKey(*TaskKey(*key)[:3]))  # type: ignore[misc]
                if track.stopping and work is not None:
                    held = coming.get(worker_id, Room())
                    coming[worker_id] = held.plus(work.step.room)
        return coming

    async def _grant(
        self, placements: list[Placement], steps: set[StepKey]
    ) -> None:
        runs: dict[tuple[StepKey, int], int] = {}
        for one in placements:
            unit = one.unit
            runs[(unit.step_key, unit.first)] = unit.run + 1
        batch = [
            changes.grant(
                one.unit.task(one.index),
                runs[(one.unit.step_key, one.unit.first)],
                one.worker_id,
            )
            for one in placements
        ]
        try:
            outcomes = await self._commit(batch)
        except MulberryhitchError as error:
            self._log.problem('grants.uncommitted', error.problem)
            return
        finally:
            self._planned(placements, steps)
        for one, granted in zip(placements, outcomes, strict=True):
            if granted:
                self._order(one)

    def _planned(
        self, placements: list[Placement], steps: set[StepKey]
    ) -> None:
        self._busy -= steps
        for one in placements:
            self._reserve(one, -1)
        self.wake()

    def _order(self, one: Placement) -> None:
        task = one.unit.task(one.index)
        live = self.live.get(one.worker_id)
        job = self._book.jobs.get(task.job_id)
        if live is None or job is None or self._tasks is None:
            return
        now = anyio.current_time()
        track = RunTrack(one.unit.run, now, uncertain=False, moved_at=now)
        live.tracks[task] = track
        live.nudge()
        queue = job.queue.name
        self._histograms.record(
            'wait', queue, 'start', time.time() - job.accepted_at
        )
        self._log.event(
            'task.granted',
            job=task.job_id,
            task=list(task[1:]),
            run=track.run,
            worker=one.worker_id,
            heard_ago=round(now - live.heard_at, 3),
        )
        order = StartOrder(
            task,
            track.run,
            job.spec.argument,
            one.unit.checkpoint,
            self._fence,
            0,
            one.permit,
        )
        self._tasks.start_soon(self._start, live, track, order)

    async def _start(
        self, live: LiveWorker, track: RunTrack, order: StartOrder
    ) -> None:
        answer = await self._send_start(live, track, order)
        self._log.event(
            'task.ordered',
            job=order.task.job_id,
            task=list(order.task[1:]),
            run=track.run,
            worker=live.record.worker_id,
            answer=answer.value if answer else 'none',
            uncertain=track.uncertain,
        )
        if answer is StartAnswer.started:
            self._confirm(track)
            if self._is_unwanted(order.task, track.run):
                self._stop(
                    order.task, track.run, live.record.worker_id, 'unwanted'
                )
            return
        await self._not_started(live, track, order, answer)
        self._stop_rest(order.task, track.run, 'a member did not start')

    async def _send_start(
        self, live: LiveWorker, track: RunTrack, order: StartOrder
    ) -> StartAnswer | None:
        for _ in range(_START_TRIES):
            if live.gone or not self._may_act() or track.stopping:
                return None
            answer = await self._try_start(live, track, order)
            if answer is not None:
                return answer
            await anyio.sleep(_RETRY_PAUSE_SECONDS)
        return None

    def _confirm(self, track: RunTrack) -> None:
        track.confirmed = True
        track.confirmed_at = anyio.current_time()

    async def _not_started(
        self,
        live: LiveWorker,
        track: RunTrack,
        order: StartOrder,
        answer: StartAnswer | None,
    ) -> None:
        if answer is StartAnswer.fenced:
            self._deposed(live)
        elif answer is StartAnswer.stale:
            self._confirm(track)
            await self._look(live, 0)
        elif track.uncertain:
            await self._settle(live, track, order.task)
        else:
            if answer is StartAnswer.no_permit:
                self.desk.spoil(StepKey(*order.task[:3]), live.record.worker_id)
            else:
                live.refuse(anyio.current_time())
            await self._void(live, order.task, track.run, str(answer))

    async def _try_start(
        self, live: LiveWorker, track: RunTrack, order: StartOrder
    ) -> StartAnswer | None:
        now = anyio.current_time()
        order = StartOrder(
            order.task,
            order.run,
            order.argument,
            order.checkpoint,
            order.fence,
            live.next_lease(now),
            order.permit,
        )
        try:
            answer, clock = await self._orders.start(live.record, order)
        except UnreachableError:
            return None
        except MulberryhitchError:
            track.uncertain = True
            return None
        live.hear(clock, now)
        return answer

    async def _settle(
        self, live: LiveWorker, track: RunTrack, task: TaskKey
    ) -> None:
        """Makes sure that a start without an answer has no effect."""
        track.stopping = True
        while not live.gone and live.tracks.get(task) is track:
            if self._may_act():
                try:
                    answer = await self._orders.stop(
                        live.record, task, track.run, self._fence
                    )
                except MulberryhitchError:
                    answer = None
                if answer is StartAnswer.fenced:
                    self._deposed(live)
                    return
                if answer is not None:
                    track.blocked_at = anyio.current_time()
                    await self._look(live, 0)
                    return
            await anyio.sleep(_MISS_PAUSE_SECONDS)

    def _stop(
        self, task: TaskKey, run: int, worker_id: str, reason: str
    ) -> None:
        live = self.live.get(worker_id)
        track = live.tracks.get(task) if live else None
        if live is None or track is None or track.run != run:
            return
        if track.stopping or self._tasks is None:
            return
        track.stopping = True
        self._log.event(
            'task.stopping',
            job=task.job_id,
            task=list(task[1:]),
            run=run,
            worker=worker_id,
            reason=reason,
        )
        self._tasks.start_soon(self._settle, live, track, task)

    def _stop_unit(self, unit: Unit, reason: str) -> None:
        for index, worker_id in tuple(unit.holders.items()):
            self._stop(unit.task(index), unit.run, worker_id, reason)

    def _stop_rest(self, task: TaskKey, run: int, reason: str) -> None:
        """Stops the other members of a gang that has lost one."""
        unit = self._book.unit(task)
        if unit is not None and unit.width > 1 and unit.run == run:
            self._stop_unit(unit, reason)

    def _is_unwanted(self, task: TaskKey, run: int) -> bool:
        job = self._book.jobs.get(task.job_id)
        unit = self._book.unit(task)
        if job is None or unit is None or not job.active:
            return True
        return unit.run != run or unit.state is not UnitState.running

    async def _void(
        self, live: LiveWorker, task: TaskKey, run: int, reason: str
    ) -> None:
        self._log.event(
            'task.void',
            job=task.job_id,
            task=list(task[1:]),
            run=run,
            worker=live.record.worker_id,
            reason=reason,
        )
        await self._commit_quietly(
            [
                changes.end(
                    task,
                    run,
                    RunEnd.void,
                    _checkpoint_of(live, task),
                    time.time(),
                ),
            ],
        )

    async def _commit_quietly(self, batch: list[changes.Change]) -> bool:
        while True:
            try:
                await self._commit(batch)
            except StorageError as error:
                self._log.problem('changes.disk', error.problem)
                await anyio.sleep(_DISK_PAUSE_SECONDS)
            except MulberryhitchError as error:
                self._log.problem('changes.uncommitted', error.problem)
                return False
            else:
                return True

    async def _watch(self, live: LiveWorker) -> None:
        while not live.gone and not self._ended.is_set():
            wake = live.wake
            if not live.tracks and live.known:
                with anyio.move_on_after(self._options.lease_seconds):
                    await wake.wait()
                if not live.tracks:
                    continue
            pause = _RETRY_PAUSE_SECONDS
            if self._may_act():
                wait = self._options.look_wait_seconds if live.known else 0
                await self._look(live, wait)
                pause = _MISS_PAUSE_SECONDS if live.misses else 0
            with anyio.move_on_after(pause):
                await wake.wait()

    async def _look(self, live: LiveWorker, wait_seconds: float) -> None:
        now = anyio.current_time()
        seen = 0 if live.unsure else live.seen
        try:
            view = await self._orders.look(
                live.record,
                self._fence,
                seen,
                live.next_lease(now),
                wait_seconds,
            )
        except MulberryhitchError as error:
            self._missed(live, error)
            return
        if isinstance(view, StartAnswer):
            await self._look_refused(live, view)
        elif not live.gone:
            live.misses = 0
            await self._take_view(live, view, now)

    def _missed(self, live: LiveWorker, error: MulberryhitchError) -> None:
        live.misses += 1
        live.unsure = True
        if live.misses == 1:
            self._log.problem(
                'worker.silent',
                error.problem,
                worker=live.record.worker_id,
                runs=len(live.tracks),
            )

    async def _look_refused(self, live: LiveWorker, view: StartAnswer) -> None:
        live.misses += 1
        if view is StartAnswer.fenced:
            self._deposed(live)
        elif view is StartAnswer.replaced:
            await self._try_bury(live, 'replaced')

    async def _try_bury(self, live: LiveWorker, reason: str) -> None:
        try:
            await self._bury(live.record.worker_id, reason)
        except MulberryhitchError as error:
            self._log.problem('worker.not_buried', error.problem)

    async def _take_view(
        self, live: LiveWorker, view: WorkerView, sent_at: float
    ) -> None:
        if view.born and view.born != live.record.born:
            if view.born < live.record.born:
                return
            record = _with_born(live.record, view.born)
            if not await self._commit_quietly([changes.worker(record)]):
                return
            live.record = record
            self._reborn(live)
        first = not live.known
        live.hear(view.clock, anyio.current_time())
        if first:
            live.meet(view.clock)
            self._log.event(
                'worker.listed',
                worker=live.record.worker_id,
                born=live.record.born,
                running=len(view.running),
                ended=len(view.ended),
                fence=self._fence,
            )
            self.wake()
        batch = self._ends(live, view)
        batch.extend(self._missing(live, view, sent_at, first=first))
        self._note_running(live, view)
        if batch and not await self._commit_quietly(batch):
            return
        live.unsure = False
        newest = max((row.number for row in view.ended), default=0)
        live.seen = max(live.seen, newest)

    def _ends(self, live: LiveWorker, view: WorkerView) -> list[changes.Change]:
        batch = []
        wall = time.time()
        now = anyio.current_time()
        for row in view.ended:
            if row.number <= live.seen:
                continue
            if row.how in {RunEnd.done, RunEnd.failed}:
                live.count_end(row.how is RunEnd.failed, now)
            batch.append(
                changes.end(row.task, row.run, row.how, row.checkpoint, wall)
            )
            self._log.event(
                'task.ended',
                job=row.task.job_id,
                task=list(row.task[1:]),
                run=row.run,
                worker=live.record.worker_id,
                how=row.how.value,
                number=row.number,
            )
        return batch

    def _missing(
        self,
        live: LiveWorker,
        view: WorkerView,
        sent_at: float,
        *,
        first: bool,
    ) -> list[changes.Change]:
        if len(view.ended) >= _FULL_LIST:
            return []
        listed = {(row.task, row.run) for row in view.running}
        listed |= {(row.task, row.run) for row in view.ended}
        batch = []
        wall = time.time()
        held = self._book.open_runs.get(live.record.worker_id, {})
        for task, run in held.items():
            track = live.tracks.get(task)
            if (task, run) in listed or track is None or track.run != run:
                continue
            settled = 0 < track.blocked_at < sent_at
            told = track.confirmed and track.confirmed_at < sent_at
            if settled or (told and not track.uncertain):
                batch.append(
                    changes.end(task, run, RunEnd.void, track.checkpoint, wall)
                )
                self._log.event(
                    'task.void',
                    job=task.job_id,
                    task=list(task[1:]),
                    run=run,
                    worker=live.record.worker_id,
                    reason='not listed',
                    first_list=first,
                )
        return batch

    def _note_running(self, live: LiveWorker, view: WorkerView) -> None:
        now = anyio.current_time()
        for row in view.running:
            track = live.tracks.get(row.task)
            if track is None or track.run != row.run:
                self._stray(live, row.task, row.run)
                continue
            track.confirmed = True
            track.checkpoint = row.checkpoint or track.checkpoint
            if row.percent > track.percent:
                track.percent = row.percent
                track.moved_at = now
            if self._is_unwanted(row.task, row.run):
                self._stop(row.task, row.run, live.record.worker_id, 'unwanted')

    def _stray(self, live: LiveWorker, task: TaskKey, run: int) -> None:
        """Stops a run that nobody is to have started."""
        held = self._book.open_runs.get(live.record.worker_id, {})
        if held.get(task) == run or self._tasks is None:
            return
        track = RunTrack(run, anyio.current_time(), confirmed=True)
        self._log.event(
            'task.stray',
            job=task.job_id,
            task=list(task[1:]),
            run=run,
            worker=live.record.worker_id,
        )
        self._tasks.start_soon(self._stop_stray, live, track, task)

    async def _stop_stray(
        self, live: LiveWorker, track: RunTrack, task: TaskKey
    ) -> None:
        try:
            await self._orders.stop(live.record, task, track.run, self._fence)
        except MulberryhitchError as error:
            self._log.problem('task.stray_kept', error.problem)

    def _deposed(self, live: LiveWorker) -> None:
        self._log.event(
            'dispatcher.deposed',
            worker=live.record.worker_id,
            fence=self._fence,
        )
        self._ended.set()

    async def _ticks(self) -> None:
        while True:
            await anyio.sleep(self._options.tick_seconds)
            self.desk.drop_silent(_HELPER_SILENCE_SECONDS)
            if not self._may_act():
                continue
            await self._come_due()
            for live in tuple(self.live.values()):
                if live.misses and live.lease_is_over(anyio.current_time()):
                    await self._try_bury(live, 'lease over')
            await self._forget()
            self.wake()

    async def _come_due(self) -> None:
        wall = time.time()
        batch = [
            changes.occur(job.job_id, number)
            for job in self._book.jobs.values()
            if job.spec.repeat_count and job.active
            for number in range(job.spec.repeat_count)
            if number not in job.occurrences and job.due_at(number) <= wall
        ]
        if batch:
            await self._commit_quietly(batch)

    async def _forget(self) -> None:
        oldest = time.time() - self._options.retain_seconds
        old = [
            job.job_id
            for job in self._book.jobs.values()
            if 0 < job.ended_at < oldest
        ]
        if old:
            await self._commit_quietly([changes.forget(old)])

    def _born_of(self, worker_id: str) -> int:
        live = self.live.get(worker_id)
        return live.record.born if live else 0


def _checkpoint_of(live: LiveWorker | None, task: TaskKey) -> str:
    track = live.tracks.get(task) if live else None
    return track.checkpoint if track else ''


def _with_born(record: WorkerRecord, born: int) -> WorkerRecord:
    return WorkerRecord(
        record.worker_id,
        record.address,
        record.service,
        record.data_centre,
        record.rack,
        record.labels,
        record.processors,
        record.memory,
        record.accelerators,
        born,
        draining=False,
    )


def _draining(record: WorkerRecord) -> WorkerRecord:
    return WorkerRecord(
        record.worker_id,
        record.address,
        record.service,
        record.data_centre,
        record.rack,
        record.labels,
        record.processors,
        record.memory,
        record.accelerators,
        record.born,
        draining=True,
    )
