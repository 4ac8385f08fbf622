"""Reads the workers' lists of runs and commits what they tell."""

from collections.abc import Awaitable, Callable

import anyio

from mulberryhitch.dispatch.fleet import LiveWorker, RunTrack
from mulberryhitch.dispatch.ordering import Ordering
from mulberryhitch.dispatch.ports import StartAnswer, WorkerView
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.state import RunOutcome

_PAUSE_SECONDS = 0.1
_MISS_PAUSE_SECONDS = 0.25
_FULL_LIST = 500


class Watching:
    """Watches every worker, one task each.

    Args:
        term: The leader's term.
        bury: Ends all runs of a worker that certainly runs nothing.
    """

    def __init__(
        self,
        term: Term,
        bury: Callable[[str, str], Awaitable[None]],
    ) -> None:
        """Watches nobody yet."""
        self._term = term
        self._bury = bury
        self.ordering: Ordering | None = None

    def meet(self, record: WorkerRecord) -> LiveWorker:
        """Begins to watch a worker."""
        now = anyio.current_time()
        live = LiveWorker(record, self._term.options, now)
        self._term.live[record.worker_id] = live
        held = self._term.book.open_runs.get(record.worker_id, {})
        for task, run in held.items():
            live.tracks[task] = RunTrack(
                run, confirmed=True, moved_at=now, inherited=True
            )
        self._term.start_soon(self._watch, live)
        return live

    async def look_now(self, live: LiveWorker) -> None:
        """Reads a worker's lists at once."""
        await self._look(live, 0)

    async def try_bury(self, live: LiveWorker, reason: str) -> None:
        """Buries a worker; where that can't be committed, it is tried again."""
        try:
            await self._bury(live.record.worker_id, reason)
        except MulberryhitchError as error:
            self._term.log.problem('worker.not_buried', error.problem)

    async def _watch(self, live: LiveWorker) -> None:
        while not live.gone and not self._term.ended.is_set():
            wake = live.wake
            if live.tracks or not live.known:
                pause = await self._watch_once(live)
            else:
                pause = self._term.options.lease_seconds
            if pause:
                with anyio.move_on_after(pause):
                    await wake.wait()

    async def _watch_once(self, live: LiveWorker) -> float:
        if not self._term.may_act():
            return _PAUSE_SECONDS
        wait = self._term.options.look_wait_seconds
        await self._look(live, wait if live.known else 0)
        return _MISS_PAUSE_SECONDS if live.misses else 0

    async def _look(self, live: LiveWorker, wait_seconds: float) -> None:
        now = anyio.current_time()
        seen = 0 if live.unsure else live.seen
        # A silent worker's leases are left to run out: a renewal that is
        # held up on its way would keep its tasks from starting elsewhere.
        lease_until = 0 if live.misses else live.next_lease(now)
        try:
            view = await self._term.orders.look(
                live.record,
                self._term.fence,
                seen,
                lease_until,
                wait_seconds,
            )
        except MulberryhitchError as error:
            self._missed(live, error)
            return
        if isinstance(view, StartAnswer):
            await self._refused(live, view)
        elif not live.gone:
            live.misses = 0
            await self._take_view(live, view, now)

    def _missed(self, live: LiveWorker, error: MulberryhitchError) -> None:
        live.misses += 1
        live.unsure = True
        if live.misses == 1:
            self._term.log.problem(
                'worker.silent',
                error.problem,
                worker=live.record.worker_id,
                runs=len(live.tracks),
            )

    async def _refused(self, live: LiveWorker, view: StartAnswer) -> None:
        live.misses += 1
        if view is StartAnswer.fenced:
            self._term.depose(live)
        elif view is StartAnswer.replaced:
            await self.try_bury(live, 'replaced')

    async def _take_view(
        self, live: LiveWorker, view: WorkerView, sent_at: float
    ) -> None:
        if not await self._same_life(live, view):
            return
        first = not live.known
        live.hear(view.clock, anyio.current_time())
        if first:
            live.meet(view.clock)
            self._term.log.event(
                'worker.listed',
                worker=live.record.worker_id,
                born=live.record.born,
                running=len(view.running),
                ended=len(view.ended),
                fence=self._term.fence,
            )
            self._term.wake()
        batch = self._ends(live, view)
        batch.extend(self._missing(live, view, sent_at))
        self._note_running(live, view)
        if batch and not await self._term.commit_quietly(batch):
            return
        live.unsure = False
        newest = max((row.number for row in view.ended), default=0)
        live.seen = max(live.seen, newest)

    async def _same_life(self, live: LiveWorker, view: WorkerView) -> bool:
        """Notes that the worker was started again, if it was."""
        if not view.born or view.born == live.record.born:
            return True
        if view.born < live.record.born:
            return False
        record = live.record.restarted(view.born)
        if not await self._term.commit_quietly(
            [changes.register_worker(record)]
        ):
            return False
        live.begin_again(record, anyio.current_time())
        live.described = False
        return True

    def _ends(self, live: LiveWorker, view: WorkerView) -> list[changes.Change]:
        batch = []
        wall = self._term.wall()
        now = anyio.current_time()
        for row in view.ended:
            if row.number <= live.seen:
                continue
            if row.how in {RunOutcome.done, RunOutcome.failed}:
                live.count_end(row.how is RunOutcome.failed, now)
            batch.append(
                changes.end_run(
                    row.task, row.run, row.how, row.checkpoint, wall
                )
            )
            self._term.log_task(
                'task.ended',
                row.task,
                row.run,
                live.record.worker_id,
                how=row.how.value,
                number=row.number,
            )
        return batch

    def _missing(
        self, live: LiveWorker, view: WorkerView, sent_at: float
    ) -> list[changes.Change]:
        """Ends of runs that are not listed and can't come any more."""
        if len(view.ended) >= _FULL_LIST:
            return []
        listed = {(row.task, row.run) for row in view.running}
        listed |= {(row.task, row.run) for row in view.ended}
        batch = []
        wall = self._term.wall()
        held = self._term.book.open_runs.get(live.record.worker_id, {})
        for task, run in held.items():
            track = live.tracks.get(task)
            if (task, run) in listed or track is None or track.run != run:
                continue
            if not track.certainly_over(sent_at):
                continue
            batch.append(
                changes.end_run(
                    task, run, RunOutcome.void, track.checkpoint, wall
                )
            )
            self._term.log_task(
                'task.void',
                task,
                run,
                live.record.worker_id,
                reason='not listed',
                inherited=track.inherited,
            )
        return batch

    def _note_running(self, live: LiveWorker, view: WorkerView) -> None:
        now = anyio.current_time()
        ratios = []
        for row in view.running:
            track = live.tracks.get(row.task)
            if track is None or track.run != row.run:
                self._check_stray(live, row.task, row.run)
                continue
            track.progress(row.percent, row.checkpoint, now)
            ratio = track.pace_ratio(now)
            if ratio:
                ratios.append(ratio)
            self._stop_needless(live, row.task, track, now)
        if live.note_pace(ratios, now):
            self._term.log.event(
                'worker.slow',
                worker=live.record.worker_id,
                ratios=[round(ratio, 1) for ratio in ratios],
            )

    def _stop_needless(
        self, live: LiveWorker, task: TaskKey, track: RunTrack, now: float
    ) -> None:
        """Stops a run that nobody needs, or that makes no progress."""
        reason = ''
        if self._term.is_unwanted(task, track.run):
            reason = 'unwanted'
        elif track.stalled(now) and self._can_stall(task):
            reason = 'stalled'
        if reason and self.ordering is not None:
            self.ordering.stop(task, track.run, live.record.worker_id, reason)

    def _can_stall(self, task: TaskKey) -> bool:
        work = self._term.book.step_execution(StepKey(*task[:3]))
        return work is not None and not work.step.long_running

    def _check_stray(self, live: LiveWorker, task: TaskKey, run: int) -> None:
        held = self._term.book.open_runs.get(live.record.worker_id, {})
        if held.get(task) != run and self.ordering is not None:
            self.ordering.stop_stray(live, task, run)
