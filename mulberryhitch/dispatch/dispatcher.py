"""One leader's term: grants are committed, then ordered, then watched."""

import anyio

from mulberryhitch.dispatch.fleet import RunTrack
from mulberryhitch.dispatch.ordering import Ordering
from mulberryhitch.dispatch.permits import PermitDesk
from mulberryhitch.dispatch.planner import Planner
from mulberryhitch.dispatch.plans import MakingWay, Placement, Reckoner, Victim
from mulberryhitch.dispatch.term import Term
from mulberryhitch.dispatch.watching import Watching
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import Resources, StepKey, TaskKey, WorkerRecord
from mulberryhitch.jobs.state import Job, RunOutcome, StepExecution

_HELPER_SILENCE_SECONDS = 2.5
_PAUSE_FACTOR = 2


class Dispatcher:
    """Places, orders and watches, for as long as its replica leads.

    Args:
        term: The leader's term.
    """

    def __init__(self, term: Term) -> None:
        """Takes the workers from the book; none is known yet."""
        self._term = term
        self._reserved: dict[str, Resources] = {}
        self._busy: set[StepKey] = set()
        self._reckoner = Reckoner()
        self.desk = PermitDesk(term.born_of, term.wake, term.log)
        self._watching = Watching(term, self._bury)
        self._ordering = Ordering(term, self.desk, self._watching.look_now)
        self._watching.ordering = self._ordering

    async def run(self) -> None:
        """Works until cancelled, or until a newer leader is met."""
        term = self._term
        term.book.listener = self
        try:
            async with anyio.create_task_group() as tasks:
                term.tasks = tasks
                for record in term.book.workers.values():
                    self._watching.meet(record)
                tasks.start_soon(self.desk.run)
                tasks.start_soon(self._rounds)
                tasks.start_soon(self._ticks)
                term.wake()
                await term.ended.wait()
                tasks.cancel_scope.cancel()
        finally:
            term.book.listener = None

    def wake(self) -> None:
        """Asks for another placement round."""
        self._term.wake()

    def step_ready(self, work: StepExecution) -> None:
        """Units of a step may start."""
        self.wake()

    def run_ended(self, task: TaskKey, run: int, worker_id: str) -> None:
        """A run that was held open is over."""
        live = self._term.live.get(worker_id)
        if live is not None:
            live.tracks.pop(task, None)
        self.wake()

    def job_ended(self, job: Job) -> None:
        """Stops what a cancelled or failed job still runs."""
        for works in job.occurrences.values():
            for work in works:
                self.desk.forget(work.key)
                self._reckoner.forget(work.key)
                if job.cancelled or job.failed:
                    for unit in work.units:
                        self._ordering.stop_unit(unit, 'job ended')

    async def hear(self, record: WorkerRecord, clock: int) -> None:
        """Takes a worker's heartbeat.

        Raises:
            MulberryhitchError: What is new in it could not be committed.
        """
        known = self._term.book.workers.get(record.worker_id)
        if known is not None and known.born > record.born:
            return
        if known is not None and known.draining and known.born == record.born:
            record = record.as_draining()
        if known != record:
            await self._note_record(record)
        live = self._term.live.get(record.worker_id)
        if live is None or live.gone:
            live = self._watching.meet(record)
        if live.record.born == record.born:
            live.describe(record)
        else:
            live.begin_again(record, anyio.current_time())
        live.described = True
        live.hear(clock, anyio.current_time())
        if known != record:
            live.nudge()
            self.wake()

    async def farewell(self, worker_id: str) -> None:
        """Takes a worker's word that it has ended.

        It counts for a life that was draining. A farewell that was held up on
        its way may come when the worker has been started again.

        Raises:
            MulberryhitchError: It could not be committed.
        """
        known = self._term.book.workers.get(worker_id)
        if known is not None and known.draining:
            await self._bury(worker_id, 'left')

    async def _note_record(self, record: WorkerRecord) -> None:
        await self._term.commit([changes.register_worker(record)])
        self._term.log.event(
            'worker.told',
            worker=record.worker_id,
            address=record.address,
            born=record.born,
            draining=record.draining,
        )
        for other in tuple(self._term.book.workers.values()):
            same = other.address == record.address
            older = other.born < record.born
            if same and older and other.worker_id != record.worker_id:
                await self._bury(other.worker_id, 'address taken')

    async def _bury(self, worker_id: str, reason: str) -> None:
        """Ends all runs of a worker that certainly runs nothing."""
        record = self._term.book.workers.get(worker_id)
        if record is None:
            return
        lost = list(self._term.book.open_runs.get(worker_id, {}).items())
        wall = self._term.wall()
        live = self._term.live.get(worker_id)
        batch = []
        for task, run in lost:
            track = live.tracks.get(task) if live else None
            checkpoint = track.checkpoint if track else ''
            batch.append(
                changes.end_run(task, run, RunOutcome.void, checkpoint, wall)
            )
        batch.append(changes.remove_worker(worker_id, record.born))
        await self._term.commit(batch)
        self._term.log.event(
            'worker.gone', worker=worker_id, reason=reason, lost=len(lost)
        )
        if live is not None:
            live.gone = True
            live.nudge()
            self._term.live.pop(worker_id, None)
        for task, run in lost:
            self._ordering.stop_rest(task, run, 'worker gone')

    async def _rounds(self) -> None:
        while True:
            await self._term.dirty.wait()
            self._term.dirty = anyio.Event()
            began = anyio.current_time()
            if self._term.may_act():
                self._plan()
            took = anyio.current_time() - began
            await anyio.sleep(
                max(self._term.options.round_seconds, took * _PAUSE_FACTOR)
            )

    def _plan(self) -> None:
        if not self._term.book.ready_steps:
            self.desk.want(())
            return
        now = anyio.current_time()
        usable = [live for live in self._term.live.values() if live.usable(now)]
        planner = Planner(
            self._term.book,
            usable,
            self._reserved,
            self.desk,
            self._reckoner,
            now,
            self._term.wall(),
            self._term.options.permit_margin_seconds,
        )
        plan = planner.run(self._busy, self._making_way)
        self.desk.want(plan.questions)
        for task, run, worker_id in plan.preempted:
            self._ordering.stop(task, run, worker_id, 'preempted')
        if plan.placements:
            steps = {one.unit.step_key for one in plan.placements}
            self._busy |= steps
            for one in plan.placements:
                self._reserve(one, 1)
            self._term.start_soon(self._grant, plan.placements, steps)

    def _reserve(self, one: Placement, sign: int) -> None:
        work = self._term.book.step_execution(one.unit.step_key)
        room = work.resources if work else Resources()
        held = self._reserved.get(one.worker_id, Resources())
        held = held.plus(room) if sign > 0 else held.minus(room)
        self._reserved[one.worker_id] = held

    def _making_way(self) -> MakingWay:
        way = MakingWay()
        latest = anyio.current_time() - self._term.options.undisturbed_seconds
        for worker_id, live in self._term.live.items():
            for task, track in live.tracks.items():
                work = self._term.book.step_execution(StepKey(*task[:3]))
                if work is None:
                    continue
                if track.stopping:
                    held = way.coming.get(worker_id, Resources())
                    way.coming[worker_id] = held.plus(work.resources)
                elif self._may_stop(work, track, latest):
                    self._add_victim(way, worker_id, task, work, track)
        for victims in way.victims.values():
            victims.sort(key=lambda one: -one.urgency)
        return way

    def _may_stop(
        self, work: StepExecution, track: RunTrack, latest: float
    ) -> bool:
        """Whether a run would go on where it was, and had its time."""
        if work.step.gang or not work.step.checkpointing:
            return False
        settled = track.confirmed and track.confirmed_at < latest
        return settled and track.run <= self._term.options.preempted_runs

    def _add_victim(
        self,
        way: MakingWay,
        worker_id: str,
        task: TaskKey,
        work: StepExecution,
        track: RunTrack,
    ) -> None:
        job = self._term.book.jobs.get(task.job_id)
        if job is None:
            return
        urgency = self._term.book.current_queue(job).urgency
        way.victims.setdefault(worker_id, []).append(
            Victim(task, track.run, worker_id, work.resources, urgency)
        )

    async def _grant(
        self, placements: list[Placement], steps: set[StepKey]
    ) -> None:
        batch = [
            changes.grant(
                one.unit.task_key(one.index), one.unit.run + 1, one.worker_id
            )
            for one in placements
        ]
        try:
            outcomes = await self._term.commit(batch)
        except MulberryhitchError as error:
            self._term.log.problem('grants.uncommitted', error.problem)
            return
        finally:
            self._planned(placements, steps)
        for one, granted in zip(placements, outcomes, strict=True):
            if granted:
                self._ordering.start(one)

    def _planned(
        self, placements: list[Placement], steps: set[StepKey]
    ) -> None:
        self._busy -= steps
        for one in placements:
            self._reserve(one, -1)
        self.wake()

    async def _ticks(self) -> None:
        while True:
            await anyio.sleep(self._term.options.tick_seconds)
            self.desk.drop_silent(_HELPER_SILENCE_SECONDS)
            if not self._term.may_act():
                continue
            await self._come_due()
            for live in tuple(self._term.live.values()):
                if live.misses and live.lease_is_over(anyio.current_time()):
                    await self._watching.try_bury(live, 'lease over')
            await self._forget()
            self.wake()

    async def _come_due(self) -> None:
        wall = self._term.wall()
        batch = [
            changes.start_occurrence(job.job_id, number)
            for job in self._term.book.jobs.values()
            if job.spec.repeat_count and job.active
            for number in range(job.spec.repeat_count)
            if number not in job.occurrences and job.due_at(number) <= wall
        ]
        if batch:
            await self._term.commit_quietly(batch)

    async def _forget(self) -> None:
        oldest = self._term.wall() - self._term.options.retain_seconds
        old = [
            job.job_id
            for job in self._term.book.jobs.values()
            if 0 < job.ended_at < oldest
        ]
        if old:
            await self._term.commit_quietly([changes.delete_jobs(old)])
