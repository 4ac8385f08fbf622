"""Records workers from their heartbeats, and removes those that have ended."""

import anyio

from mulberryhitch.dispatch.runs.run_controller import RunController
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.dispatch.runs.worker_monitor import WorkerMonitor
from mulberryhitch.dispatch.term import Term
from mulberryhitch.errors import ConflictError, UnknownServiceError
from mulberryhitch.jobs import changes
from mulberryhitch.jobs.model import TaskKey, WorkerRecord
from mulberryhitch.jobs.state import RunOutcome


class WorkerRegistry:
    """The workers that the leader knows.

    Args:
        term: The leader's term.

    Attributes:
        monitor: Polls the recorded workers.
    """

    def __init__(self, term: Term) -> None:
        """Initialises the registry; :meth:`connect` completes it."""
        self._term = term
        self._run_controller: RunController | None = None
        self.monitor = WorkerMonitor(term, self._remove)

    def connect(self, run_controller: RunController) -> None:
        """Sets the controller of runs, which itself needs the monitor."""
        self._run_controller = run_controller
        self.monitor.run_controller = run_controller

    async def handle_heartbeat(self, record: WorkerRecord, clock: int) -> None:
        """Handles a worker's heartbeat.

        Args:
            record: The worker as it describes itself.
            clock: Time on the worker's own clock, milliseconds.

        Raises:
            UnknownServiceError: Its service is not configured.
            ConflictError: Its address differs from an earlier one of the
                same incarnation.
            MulberryhitchError: A change of its record could not be committed.
        """
        known = self._term.job_store.workers.get(record.worker_id)
        if known is not None and known.born > record.born:
            return
        self._check_record(record, known)
        if known is not None and known.draining and known.born == record.born:
            record = record.as_draining()
        if known != record:
            await self._commit_record(record)
        worker = self._term.tracked_workers.get(record.worker_id)
        if worker is None or worker.removed:
            worker = self.monitor.start_watching(record)
        if worker.record.born == record.born:
            worker.update_record(record)
        else:
            worker.record_restart(record, anyio.current_time())
            self._term.speeds.forget(record.worker_id)
        worker.is_record_current = True
        worker.record_contact(clock, anyio.current_time())
        if known != record:
            worker.wake_watcher()
            self._term.request_round()

    async def handle_departure(self, worker_id: str, born: int) -> None:
        """Removes a worker that has reported its shutdown.

        Ignored unless the worker is draining: a delayed report may arrive
        after the worker has been restarted.

        Args:
            worker_id: The worker.
            born: Incarnation that has shut down; zero if unknown. The worker
                is then removed only if it doesn't answer any more.

        Raises:
            MulberryhitchError: The removal could not be committed.
        """
        known = self._term.job_store.workers.get(worker_id)
        worker = self._term.tracked_workers.get(worker_id)
        if known is None or not known.draining or born not in {0, known.born}:
            return
        if born or worker is None:
            await self._remove(worker_id, 'left')
        else:
            self._term.start_soon(self._remove_if_silent, worker)

    async def remove_expired(self) -> None:
        """Removes the silent workers whose leases have run out."""
        for worker in tuple(self._term.tracked_workers.values()):
            now = anyio.current_time()
            if worker.missed_polls and worker.lease_expired(now):
                await self.monitor.try_remove_worker(worker, 'lease over')

    def _check_record(
        self, record: WorkerRecord, known: WorkerRecord | None
    ) -> None:
        """Checks that a heartbeat may change what is known of its worker."""
        is_same_service = known is not None and known.service == record.service
        names_service = self._term.job_store.names_service
        if not is_same_service and not names_service(record.service):
            self._term.log.event(
                'worker.unknown_service',
                worker=record.worker_id,
                service=record.service,
            )
            raise UnknownServiceError(
                f'no configuration names the service {record.service!r}',
                where=record.worker_id,
            )
        if known is None or known.born != record.born or not record.born:
            return
        if known.address != record.address:
            raise ConflictError(
                f'{record.address} is not the address of this incarnation, '
                f'{known.address}',
                where=record.worker_id,
            )

    async def _commit_record(self, record: WorkerRecord) -> None:
        await self._term.commit([changes.register_worker(record)])
        self._term.log.event(
            'worker.told',
            worker=record.worker_id,
            address=record.address,
            born=record.born,
            draining=record.draining,
        )
        for other in tuple(self._term.tracked_workers.values()):
            is_same_worker = other.record.worker_id == record.worker_id
            if other.record.address == record.address and not is_same_worker:
                # A heartbeat doesn't prove that the other has ended.
                self.monitor.check_soon(other)

    async def _remove_if_silent(self, worker: TrackedWorker) -> None:
        await self.monitor.poll_now(worker)
        if worker.missed_polls and not worker.removed:
            await self.monitor.try_remove_worker(worker, 'left')

    async def _remove(self, worker_id: str, reason: str) -> None:
        """Removes a worker that can no longer run anything; voids its runs."""
        record = self._term.job_store.workers.get(worker_id)
        if record is None:
            return
        lost = tuple(self._term.job_store.open_runs.get(worker_id, {}).items())
        worker = self._term.tracked_workers.get(worker_id)
        batch = [self._void_run(task, run, worker) for task, run in lost]
        batch.append(changes.remove_worker(worker_id, record.born))
        await self._term.commit(batch)
        lease = worker.describe_lease(anyio.current_time()) if worker else {}
        self._term.log.event(
            'worker.gone',
            worker=worker_id,
            reason=reason,
            lost=len(lost),
            **lease,
        )
        if worker is not None:
            worker.removed = True
            worker.wake_watcher()
            self._term.tracked_workers.pop(worker_id, None)
            self._term.speeds.forget(worker_id)
        if self._run_controller is not None:
            for task, run in lost:
                self._run_controller.stop_gang(task, run, 'worker gone')

    def _void_run(
        self, task: TaskKey, run: int, worker: TrackedWorker | None
    ) -> changes.Change:
        """Counts the end of a lost run and returns its change."""
        tracked = worker.tracked_runs.get(task) if worker else None
        checkpoint = tracked.checkpoint if tracked else ''
        self._term.record_end(task, RunOutcome.void, tracked, checkpoint)
        return changes.end_run(
            task, run, RunOutcome.void, checkpoint, self._term.wall_time()
        )
