"""Injects random faults into the programs: ``python -m tests.storm``.

Runs real processes, injects faults from outside and checks invariants on what
clients and workers observe. A seed gives the same faults at the same times;
the timing inside the processes differs from run to run.
"""

import argparse
import hashlib
import os
import random
import signal
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import orjson
import uvicorn
from anyio.abc import TaskGroup

from mulberryhitch.dispatch.ports import StartCommand, WorkerAnswer
from mulberryhitch.errors import MulberryhitchError
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.jobs.model import Limits, Step, TaskKey
from mulberryhitch.jobs.state import RunOutcome
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from mulberryhitch.platform.client import JsonResponse, PlatformClient
from mulberryhitch.platform.wire import task_name
from tests.fake_workers import FakeFleet, FakeWorker
from tests.platform_harness import HOST, REJECTION_REASONS, make_configuration
from tests.process_cell import (
    LEASE_LIMIT_MS,
    LinkProxy,
    ProcessCell,
    ProgramProcess,
)

_MAX_FAILURES = 3
_FAILURE_PROBABILITY = 0.05
_DELAYED_START_PROBABILITY = 0.01
_RECOVERY_SECONDS = 45
_CONFIGURATION_SECONDS = 12
_CANCEL_DELAY_SECONDS = 3
_VISIBILITY_DELAY_SECONDS = 3
_PERMITTED_SHARE = 0.6
# Together they have room for the widest gang.
_ALWAYS_PERMITTED = ('i-0', 'i-1')
_MEAN_JOB_INTERVAL_SECONDS = 0.15

Fault = Callable[['FaultInjectionRun'], Awaitable[None]]
FAULTS: list[Fault] = []


class InvariantViolation(Exception):
    """An invariant was violated."""


def fault(function: Fault) -> Fault:
    """Registers a fault."""
    FAULTS.append(function)
    return function


def process_fault(
    function: Callable[['FaultInjectionRun', ProgramProcess], Awaitable[None]],
) -> Fault:
    """Registers a fault of one process that is not ``faulted`` already."""

    async def inject(run: 'FaultInjectionRun') -> None:
        process = run.pick_process()
        if process is not None:
            await function(run, process)

    return fault(inject)


def step_content(step: Step) -> dict[str, Any]:
    return {
        'count': step.count,
        'cpu': step.processors,
        'mem_mb': step.memory,
        'estimate_ms': int(step.estimate_seconds * 1000),
        'depends_on': list(step.depends_on),
        'gang': step.gang,
        'checkpointing': step.checkpointing,
    }


class CheckingFleet(FakeFleet):
    """Workers that check each start against the responses to clients.

    A done task may run again if its worker restarted, or its worker's lease
    expired, before the leader recorded the end.

    Attributes:
        unrecorded_failures: Failed runs that the leader may not have recorded.
        unrecorded_done: Done tasks that the leader may not have recorded.
        rerun_done: Those of ``unrecorded_done`` that have started again.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng = rng
        self.jobs: dict[str, tuple[Step, ...]] = {}
        self.refused_jobs: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.failed_runs: dict[TaskKey, set[int]] = {}
        self.unrecorded_failures: dict[TaskKey, set[int]] = {}
        self.unrecorded_done: set[TaskKey] = set()
        self.rerun_done: set[TaskKey] = set()
        self.violations: list[str] = []

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            while True:
                for worker in self.workers.values():
                    if worker.clock > worker.lease_until:
                        self.unrecorded_done.update(
                            row.task
                            for row in worker.ended
                            if row.outcome is RunOutcome.done
                        )
                await anyio.sleep(0.01)

    def step_of(self, task: TaskKey) -> Step:
        return self.jobs[task.job_id][task.step]

    def is_step_done(self, job_id: str, number: int) -> bool:
        """Whether a step is done; one done task is enough for a gang."""
        step = self.jobs[job_id][number]
        ended = [
            TaskKey(job_id, 0, number, index)
            in self.done_tasks | self.rerun_done
            for index in range(step.count)
        ]
        return any(ended) if step.gang else all(ended)

    def outcome_of(self, task: TaskKey, run: int) -> RunOutcome:
        failing = self.rng.random() < _FAILURE_PROBABILITY
        return RunOutcome.failed if failing else RunOutcome.done

    def record_start(self, task: TaskKey, run: int) -> None:
        assert task.job_id in self.jobs, f'never submitted: {task}'
        assert task.job_id not in self.refused_jobs, f'job was refused: {task}'
        cancelled_at = self.cancelled_at.get(task.job_id, float('inf'))
        delay = anyio.current_time() - cancelled_at
        assert delay < _CANCEL_DELAY_SECONDS, f'job was cancelled: {task}'
        for dependency in self.step_of(task).depends_on:
            assert self.is_step_done(task.job_id, dependency), (
                f'started before its dependency: {task}'
            )
        recorded_failures = self.failed_runs.get(
            task, set()
        ) - self.unrecorded_failures.get(task, set())
        assert len(recorded_failures) < _MAX_FAILURES, (
            f'started after the last attempt: {task}'
        )
        if task in self.unrecorded_done:
            self.unrecorded_done.discard(task)
            self.rerun_done.add(task)
            self.done_tasks.discard(task)
        super().record_start(task, run)

    def record_end(self, task: TaskKey, run: int, outcome: RunOutcome) -> None:
        super().record_end(task, run, outcome)
        if outcome is RunOutcome.failed:
            self.failed_runs.setdefault(task, set()).add(run)

    def restart_worker(self, worker: FakeWorker) -> None:
        """Restarts a worker; it loses the ends that are not recorded yet."""
        for task in tuple(worker.running):
            self.active_runs.pop(task, None)
        for row in worker.ended:
            if row.outcome is RunOutcome.done:
                self.unrecorded_done.add(row.task)
            elif row.outcome is RunOutcome.failed:
                self.unrecorded_failures.setdefault(row.task, set()).add(
                    row.run
                )
        new_worker = FakeWorker(
            self, worker.record.restarted(worker.record.born + 1)
        )
        self.workers[worker.record.worker_id] = new_worker


class FaultInjectionRun:
    """A run of a cell, its workers and clients under random faults.

    Attributes:
        accepted_at: Acceptance times of jobs by job id.
        cancel_requested: Jobs whose cancellation was requested.
        completed_jobs: Jobs that were shown as completed.
        version: Newest version of the configuration that was sent.
        confirmed_version: Newest version whose change was confirmed.
        wiped_at: Time at which the last wipe of a disk ended.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.cell = ProcessCell(folder, entries=2, schedulers=3)
        self.fleet = CheckingFleet(random.Random(seed + 1))
        self.client = PlatformClient()
        self.worker_links: dict[str, LinkProxy] = {}
        self.accepted_at: dict[str, float] = {}
        self.cancel_requested: set[str] = set()
        self.completed_jobs: set[str] = set()
        self.version = 0
        self.confirmed_version = 0
        self.task_group: TaskGroup | None = None
        self.counts = {'faults': 0, 'answers': 0, 'refused': 0}
        self.wiped_at = float('-inf')

    async def run(self) -> None:
        """Injects faults, then waits until all accepted jobs have ended.

        Raises:
            InvariantViolation: An invariant was violated.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self.task_group = tasks
                await self._start(tasks)
                tasks.start_soon(self._watch_exits)
                with anyio.move_on_after(self.seconds):
                    async with anyio.create_task_group() as load_tasks:
                        load_tasks.start_soon(self._submit_forever)
                        load_tasks.start_soon(self._configure_forever)
                        load_tasks.start_soon(self._inject_faults)
                await self._end_faults()
                await self._wait_for_configuration()
                await self._wait_for_jobs()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.cell.stop()
        if self.fleet.violations:
            raise InvariantViolation(self.fleet.violations[0])

    def note(self, text: str) -> None:
        """Prints an event with the seconds since the start."""
        print(
            f'{anyio.current_time() - self.started_at:7.2f} {text}', flush=True
        )

    def pick_process(self, role: str = '') -> ProgramProcess | None:
        """Returns a random process that is not ``faulted``, or None."""
        unaffected = [
            process
            for process in self.cell.processes
            if not process.faulted and role in {'', process.role}
        ]
        return self.rng.choice(unaffected) if unaffected else None

    async def _start(self, tasks: TaskGroup) -> None:
        self.started_at = anyio.current_time()
        tasks.start_soon(self.fleet.run)
        await self.cell.start(tasks)
        tasks.start_soon(
            self._serve, self.cell.permit_address, self._handle_permit_request
        )
        for number in range(6):
            name = f'i-{number}'
            self.fleet.add_worker(name, 8000)
            host = f'{self.cell.network}.3.{number + 1}'
            tasks.start_soon(
                self._serve,
                f'{host}:{self.cell.port + 38}',
                self._worker_handler(name),
            )
            link = LinkProxy(
                host, self.cell.port + 37, (host, self.cell.port + 38)
            )
            self.worker_links[name] = link
            await link.run(tasks)
            tasks.start_soon(self._send_heartbeats, name)
        await self._configure(1, timeout_seconds=30)

    async def _watch_exits(self) -> None:
        """Reports and restarts processes that exit without a fault."""
        while True:
            await anyio.sleep(0.3)
            for process in self.cell.processes:
                code = process.popen.poll() if process.popen else None
                if code is None or process.faulted:
                    continue
                self.fleet.violations.append(
                    f'{process.name} ended with {code}'
                )
                process.start()

    async def _end_faults(self) -> None:
        """Waits up to 20 s for faults to end, then restores all links."""
        with anyio.move_on_after(20):
            while any(process.faulted for process in self.cell.processes):
                await anyio.sleep(0.05)
        for link in (
            *self.cell.links.values(),
            *self.cell.frontend_links.values(),
            *self.worker_links.values(),
        ):
            link.delay = 0
            link.block()
        self.note('calm')

    async def _wait_for_configuration(self) -> None:
        """Checks that each scheduler soon returns the configuration."""
        unread = {process.name for process in self.cell.schedulers}

        async def read(process: ProgramProcess) -> None:
            while process.name in unread:
                response = await self._send(
                    process.frontend_address, 'GET', '/config', None
                )
                if response is not None and response.status == 200:
                    unread.discard(process.name)
                    self._check_version(
                        response.content['version'], self.confirmed_version
                    )
                await anyio.sleep(0.2)

        with anyio.move_on_after(_CONFIGURATION_SECONDS):
            async with anyio.create_task_group() as tasks:
                for process in self.cell.schedulers:
                    tasks.start_soon(read, process)
        if unread:
            self.fleet.violations.append(
                f'no configuration from {", ".join(sorted(unread))}'
            )

    def _check_version(self, version_read: int, minimum: int) -> None:
        if version_read < minimum:
            self.fleet.violations.append(
                f'read configuration {version_read} after {minimum}'
            )

    async def _wait_for_jobs(self) -> None:
        """Checks that each accepted job ends within ``_RECOVERY_SECONDS``.

        Jobs whose cancellation was requested are left out.
        """
        waiting = set(self.accepted_at) - self.cancel_requested
        with anyio.move_on_after(_RECOVERY_SECONDS):
            while waiting and not self.fleet.violations:
                for job_id in tuple(waiting):
                    state = await self._read_state(job_id)
                    if state in {'completed', 'failed'}:
                        waiting.discard(job_id)
                await anyio.sleep(0.2)
        if waiting:
            self.fleet.violations.append(
                f'jobs did not end: {sorted(waiting)[:5]}'
            )
        self.counts['jobs'] = len(self.accepted_at)
        self.note(f'ended: {self.counts}')

    async def _inject_faults(self) -> None:
        while True:
            await anyio.sleep(self.rng.expovariate(1 / 0.9))
            selected_fault = self.rng.choice(FAULTS)
            self.counts['faults'] += 1
            assert self.task_group is not None
            self.task_group.start_soon(selected_fault, self)

    async def _submit_forever(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                job_id = f'{self.rng.getrandbits(64):016x}'
                tasks.start_soon(self._run_job, job_id)
                await anyio.sleep(
                    self.rng.expovariate(1 / _MEAN_JOB_INTERVAL_SECONDS)
                )

    def _random_steps(self) -> tuple[Step, ...]:
        first = Step(
            self.rng.randint(1, 4),
            self.rng.choice((500, 1000, 2500)),
            100,
            estimate_seconds=self.rng.choice((0.2, 0.6, 1.5)),
            gang=self.rng.random() < 0.3,
            checkpointing=self.rng.random() < 0.3,
        )
        if self.rng.random() < 0.7:
            return (first,)
        return (first, Step(2, 500, 100, estimate_seconds=0.3, depends_on=(0,)))

    async def _run_job(self, job_id: str) -> None:
        steps = self._random_steps()
        self.fleet.jobs[job_id] = steps
        content = {'spec': job_id, 'steps': list(map(step_content, steps))}
        statuses = []
        for _ in range(4):
            response = await self._send_to_entry('POST', job_id, content)
            statuses.append(response.status if response else 0)
            if statuses[-1] in {200, 400, 404, 429, 503}:
                break
        if statuses[-1] == 200:
            self.accepted_at[job_id] = anyio.current_time()
        elif all(status in {400, 404, 429, 503} for status in statuses):
            self.fleet.refused_jobs.add(job_id)
            self.counts['refused'] += 1
        if statuses[-1] == 200 and self.rng.random() < 0.1:
            await anyio.sleep(self.rng.random())
            self.cancel_requested.add(job_id)
            response = await self._send_to_entry('DELETE', job_id)
            if response is not None and response.status == 200:
                self.fleet.cancelled_at[job_id] = anyio.current_time()
            return
        await anyio.sleep(self.rng.uniform(0.5, 3))
        await self._read_state(job_id)

    async def _read_state(self, job_id: str) -> str:
        """Reads a job's state and checks it against the runs."""
        response = await self._send_to_entry('GET', job_id)
        if response is None:
            return ''
        accepted_at = self.accepted_at.get(job_id, float('inf'))
        must_be_visible = (
            anyio.current_time() - accepted_at > _VISIBILITY_DELAY_SECONDS
        )
        if response.status == 410 and must_be_visible:
            self.fleet.violations.append(f'accepted job was lost: {job_id}')
        if response.status != 200:
            return ''
        state = str(response.content['state'])
        tasks = {
            TaskKey(job_id, 0, number, index)
            for number, step in enumerate(self.fleet.jobs[job_id])
            for index in range(step.count)
        }
        steps = range(len(self.fleet.jobs[job_id]))
        done = all(self.fleet.is_step_done(job_id, number) for number in steps)
        if state == 'completed' and not done:
            self.fleet.violations.append(
                f'completed before its steps were done: {job_id}'
            )
        if state == 'failed' and not any(
            len(self.fleet.failed_runs.get(task, ())) >= _MAX_FAILURES
            or self.fleet.step_of(task).gang
            for task in tasks
        ):
            self.fleet.violations.append(
                f'failed before its last attempt: {job_id}'
            )
        if job_id in self.completed_jobs and state != 'completed':
            self.fleet.violations.append(f'{state} after completed: {job_id}')
        if state == 'completed':
            self.completed_jobs.add(job_id)
        return state

    async def _send_to_entry(
        self, method: str, job_id: str, content: Any = None
    ) -> JsonResponse | None:
        entry = self.rng.choice(self.cell.entries)
        return await self._send(
            entry.frontend_address, method, f'/q/{job_id}', content, HOST
        )

    async def _send(
        self,
        address: str,
        method: str,
        path: str,
        content: Any,
        host: str = '',
    ) -> JsonResponse | None:
        try:
            response = await self.client.send(
                address, method, path, content or {}, 3, host=host
            )
        except MulberryhitchError:
            return None
        self.counts['answers'] += 1
        return response

    async def _configure_forever(self) -> None:
        while True:
            await anyio.sleep(self.rng.expovariate(1 / 2.0))
            await self._configure(self.version + 1)
            process = self.rng.choice(self.cell.schedulers)
            min_version = self.confirmed_version
            response = await self._send(
                process.frontend_address, 'GET', '/config', None
            )
            if response is None or response.status != 200:
                continue
            self._check_version(response.content['version'], min_version)

    async def _configure(
        self, version: int, timeout_seconds: float = 6
    ) -> None:
        content = make_configuration(version, max_attempts=_MAX_FAILURES)
        self.version = version
        with anyio.move_on_after(timeout_seconds):
            while True:
                process = self.rng.choice(self.cell.schedulers)
                response = await self._send(
                    process.frontend_address, 'PUT', '/config', content
                )
                if response is not None and response.status == 200:
                    self.confirmed_version = version
                    return
                if response is not None and response.status < 500:
                    self.fleet.violations.append(
                        f'configuration refused: version {version}'
                    )
                    return
                await anyio.sleep(0.1)

    async def _serve(self, address: str, handler: Any) -> None:
        host, _, port = address.partition(':')
        application = AsgiApplication(
            handler, Log('storm'), Limits, lambda: False, Histograms()
        )
        server = HttpServer(
            uvicorn.Config(
                application,
                lifespan='off',
                log_config=None,
                log_level='critical',
            )
        )
        with listen(host, int(port)) as listening_socket:
            await server.serve(sockets=[listening_socket])

    async def _send_heartbeats(self, name: str) -> None:
        sequence = 0
        while True:
            worker = self.fleet.workers[name]
            sequence += 1
            for process in self.cell.schedulers:
                response = None
                if not worker.unresponsive:
                    response = await self._send(
                        process.frontend_address,
                        'PUT',
                        f'/instances/{name}',
                        self._heartbeat(worker, sequence),
                    )
                if response is not None and response.status == 200:
                    break
            await anyio.sleep(0.7)

    def _heartbeat(self, worker: FakeWorker, sequence: int) -> dict[str, Any]:
        return {
            'service': 'svc',
            'address': self.worker_links[worker.record.worker_id].address,
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {'cpu': 8000, 'mem_mb': 64_000, 'gpu': 0},
            'labels': ['k', 'r1'],
            'clock_ms': worker.clock,
            'sequence': sequence,
            'born': worker.record.born,
        }

    async def _handle_permit_request(
        self, request: HttpRequest
    ) -> HttpResponse:
        content = orjson.loads(request.body)
        rows = [
            [worker_id, f'{content["step"]}-{worker_id}']
            for worker_id in content['workers']
            if _is_permitted(content['step'], worker_id)
        ]
        await anyio.sleep(0.01)
        return HttpResponse(200, orjson.dumps({'granted': rows}))

    def _worker_handler(self, name: str) -> Any:
        async def handle(request: HttpRequest) -> HttpResponse:
            worker = self.fleet.workers[name]
            if worker.unresponsive:
                await anyio.sleep(60)
            content = orjson.loads(request.body)
            try:
                body, status = await self._handle_command(
                    worker, request.path, content
                )
            except AssertionError as error:
                self.fleet.violations.append(str(error))
                self.note(f'broken: {error}')
                return HttpResponse(500)
            body['clock_ms'] = worker.clock
            body['born'] = worker.record.born
            return HttpResponse(status, orjson.dumps(body))

        return handle

    async def _handle_command(
        self, worker: FakeWorker, path: str, content: dict[str, Any]
    ) -> tuple[dict[str, Any], int]:
        fence = content.get('fencing_token', 0)
        if path == '/hold':
            lease_until = min(
                content.get('until_ms', 0), worker.clock + LEASE_LIMIT_MS
            )
            view = await self.fleet.poll(
                worker.record,
                fence,
                content['last_seen'],
                lease_until,
                content.get('wait_ms', 0) / 1000,
            )
            if isinstance(view, WorkerAnswer):
                return {'reason': REJECTION_REASONS[view]}, 409
            return _worker_lists(view), 200
        job, occurrence, step, number = content['task'].split('.')
        task = TaskKey(job, int(occurrence), int(step), int(number))
        if path == '/run-stop':
            answer = await self.fleet.stop(
                worker.record, task, content['run'], fence
            )
        else:
            assert content['spec'] == job, f'wrong argument: {task}'
            assert _is_permitted(
                f'{job}.{occurrence}.{step}', worker.record.worker_id
            ), f'started without a permit: {task}'
            command = StartCommand(
                task,
                content['run'],
                content['spec'],
                content.get('checkpoint', ''),
                fence,
                min(content['until_ms'], worker.clock + LEASE_LIMIT_MS),
                f'-{worker.record.worker_id}',
            )
            if self.rng.random() < _DELAYED_START_PROBABILITY:
                due_at = anyio.current_time() + self.rng.uniform(2, 12)
                worker.delayed_starts.append((due_at, command))
                await anyio.sleep(60)
            answer = worker.handle_start(command)
        if answer is WorkerAnswer.started:
            return {}, 200
        return {'reason': REJECTION_REASONS[answer]}, 409


def _worker_lists(view: Any) -> dict[str, Any]:
    return {
        'running': [
            [task_name(row.task), row.run, '', row.percent, 10]
            for row in view.running
        ],
        'ended': [
            [row.number, task_name(row.task), row.run, row.outcome.value, '']
            for row in view.ended
        ],
    }


def _is_permitted(step: str, worker_id: str) -> bool:
    digest_byte = hashlib.sha256(f'{step}-{worker_id}'.encode()).digest()[0]
    return (
        digest_byte < _PERMITTED_SHARE * 256 or worker_id in _ALWAYS_PERMITTED
    )


async def _restart(
    run: FaultInjectionRun, process: ProgramProcess, delay_seconds: float
) -> None:
    await anyio.sleep(delay_seconds)
    process.write_settings(run.cell.seeds(), bootstrap=False)
    process.start()
    process.faulted = False


@process_fault
async def kill_process(run: FaultInjectionRun, process: ProgramProcess) -> None:
    process.faulted = True
    tear_record = process.role == 'scheduler' and run.rng.random() < 0.5
    run.note(f'kill {process.name}, torn {tear_record}')
    await process.kill()
    if tear_record:
        process.append_torn_record(run.rng.randbytes(7))
    await _restart(run, process, run.rng.uniform(0.1, 3))


@fault
async def kill_all_schedulers(run: FaultInjectionRun) -> None:
    if any(process.faulted for process in run.cell.schedulers):
        return
    run.note('kill all schedulers')
    for process in run.cell.schedulers:
        process.faulted = True
        process.signal(signal.SIGKILL)
    for process in run.cell.schedulers:
        await process.wait_exit(5)
    for process in run.cell.schedulers:
        await _restart(run, process, run.rng.uniform(0, 0.4))


@process_fault
async def pause_process(
    run: FaultInjectionRun, process: ProgramProcess
) -> None:
    seconds = run.rng.uniform(0.3, 5)
    run.note(f'pause {process.name} for {seconds:.1f} s')
    process.faulted = True
    process.signal(signal.SIGSTOP)
    await anyio.sleep(seconds)
    process.signal(signal.SIGCONT)
    process.faulted = False


@process_fault
async def terminate_process(
    run: FaultInjectionRun, process: ProgramProcess
) -> None:
    run.note(f'terminate {process.name}')
    process.faulted = True
    process.signal(signal.SIGTERM)
    await process.wait_exit(5)
    await process.kill()
    await _restart(run, process, 0.2)


@fault
async def change_seeds(run: FaultInjectionRun) -> None:
    seeds = run.cell.seeds()
    run.rng.shuffle(seeds)
    run.note('other seeds')
    for process in run.cell.processes:
        process.write_settings(seeds[:2], bootstrap=False)
        if run.rng.random() < 0.5:
            process.signal(signal.SIGHUP)


@process_fault
async def partition_process(
    run: FaultInjectionRun, process: ProgramProcess
) -> None:
    directions = run.rng.choice((('out', 'back'), ('out',), ('back',)))
    seconds = run.rng.uniform(0.5, 6)
    run.note(f'cut {process.name} {directions} for {seconds:.1f} s')
    process.faulted = True
    links = [
        link
        for link in run.cell.links_of(process)
        if link is not run.cell.frontend_links[process.name]
    ]
    for link in links:
        link.block(*directions)
    await anyio.sleep(seconds)
    for link in links:
        link.block()
    process.faulted = False


@process_fault
async def delay_links(run: FaultInjectionRun, process: ProgramProcess) -> None:
    run.note(f'delay {process.name}')
    links = list(run.cell.links_of(process))
    for link in links:
        link.delay = run.rng.uniform(0.01, 0.3)
    await anyio.sleep(run.rng.uniform(0.5, 4))
    for link in links:
        link.delay = 0


@process_fault
async def break_connections(
    run: FaultInjectionRun, process: ProgramProcess
) -> None:
    stall = run.rng.random() < 0.5
    run.note(f'connections of {process.name}, silent {stall}')
    for link in run.cell.links_of(process):
        link.stall_connections() if stall else link.reset_connections()


@fault
async def wipe_disk(run: FaultInjectionRun) -> None:
    """Wipes one disk at a time, with time for its replica to catch up."""
    now = anyio.current_time()
    scheduler_faulted = any(process.faulted for process in run.cell.schedulers)
    if (
        scheduler_faulted
        or now < run.wiped_at + 10
        or now < run.started_at + 10
    ):
        return
    process = run.rng.choice(run.cell.schedulers)
    run.note(f'wipe {process.name}')
    for scheduler in run.cell.schedulers:
        scheduler.faulted = True
    await process.kill()
    process.wipe()
    await _restart(run, process, 0.5)
    process.faulted = True
    await anyio.sleep(6)
    run.wiped_at = anyio.current_time()
    for scheduler in run.cell.schedulers:
        scheduler.faulted = False


@fault
async def crash_worker(run: FaultInjectionRun) -> None:
    worker = run.rng.choice(list(run.fleet.workers.values()))
    if worker.unresponsive:
        return
    run.note(f'crash {worker.record.worker_id}')
    run.worker_links[worker.record.worker_id].reset_connections()
    run.fleet.restart_worker(worker)


@fault
async def stop_worker_responses(run: FaultInjectionRun) -> None:
    worker = run.rng.choice(list(run.fleet.workers.values()))
    if worker.unresponsive:
        return
    seconds = run.rng.uniform(0.5, 8)
    run.note(f'silence {worker.record.worker_id} for {seconds:.1f} s')
    worker.unresponsive = True
    await anyio.sleep(seconds)
    worker.unresponsive = False


async def play(seed: int, seconds: float, folder: Path) -> None:
    """Runs a cell under faults.

    Raises:
        InvariantViolation: An invariant was violated.
    """
    await FaultInjectionRun(seed, seconds, folder).run()


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--keep', help='directory for the logs', default='')
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = (
            Path(arguments.keep or temporary_folder)
            / f'seed-{arguments.seed}-{os.getpid()}'
        )
        try:
            anyio.run(play, arguments.seed, arguments.seconds, folder)
        except InvariantViolation as error:
            print(f'seed {arguments.seed}: {error}')
            return 1
        except BaseException:  # noqa: BLE001
            traceback.print_exc()
            return 2
    print(f'seed {arguments.seed}: kept')
    return 0


if __name__ == '__main__':
    sys.exit(main())
