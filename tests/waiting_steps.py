"""Builders of workers and waiting steps for tests of placement."""

from mulberryhitch.dispatch.options import DispatchOptions
from mulberryhitch.dispatch.placement.free_capacity import FreeCapacity
from mulberryhitch.dispatch.placement.plans import WaitingStep
from mulberryhitch.dispatch.placement.speed_order import SpeedOrder
from mulberryhitch.dispatch.runs.tracked_worker import TrackedWorker
from mulberryhitch.jobs.model import JobSpec, Queue, Step, WorkerRecord
from mulberryhitch.jobs.state import Job, create_step_executions
from mulberryhitch.jobs.store import JobStore

QUEUE = Queue('q', 'h', '/q/', 'svc', maximum_failures=2)


def make_worker(
    worker_id: str,
    processors: int = 64_000,
    speed: float = 1,
    rack: str = '',
) -> TrackedWorker:
    record = WorkerRecord(
        worker_id,
        f'{worker_id}:1',
        'svc',
        'a',
        rack,
        (),
        processors,
        256_000,
        0,
        1,
    )
    worker = TrackedWorker(record, DispatchOptions(), began_at=0)
    worker.speed = speed
    return worker


def make_waiting_step(
    step: Step,
    speed_order: SpeedOrder = SpeedOrder.any,
    job_id: str = 'j',
    *,
    behind: bool = False,
) -> WaitingStep:
    spec = JobSpec('argument', (step,))
    job = Job(job_id, QUEUE, spec, accepted_at=0)
    execution = create_step_executions(job_id, 0, spec)[0]
    execution.waiting_units = {
        unit.first_index: unit for unit in execution.units
    }
    return WaitingStep(
        execution,
        job,
        QUEUE,
        (False, 0, False, behind, 0, 0),
        None,
        speed_order=speed_order,
    )


def make_free_capacity(
    *workers: TrackedWorker, reserved: tuple[str, ...] = ()
) -> FreeCapacity:
    return FreeCapacity(JobStore(), workers, {}, reserved)
