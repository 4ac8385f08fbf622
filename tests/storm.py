"""The platform's programs under random faults: ``python -m tests.storm``.

Real processes, faults from outside them, and promises checked from what
callers and workers see. A seed gives the same faults at the same times; the
processes' own timing differs from run to run.
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
from tests.platform_harness import HOST, REJECTION_REASONS, make_configuration
from tests.processes import LEASE_LIMIT_MS, Cell, Link, Program
from tests.workers import Fleet, StandinWorker

_MAXIMUM_FAILURES = 3
_FAILING_SHARE = 0.05
_LATE_SHARE = 0.01
_RECOVERY_SECONDS = 45
_CANCELLED_SECONDS = 3
_VISIBLE_SECONDS = 3
_ALLOWED_SHARE = 0.6
_JOB_PAUSE_SECONDS = 0.15

Fault = Callable[['Storm'], Awaitable[None]]
FAULTS: list[Fault] = []


class Broken(Exception):
    """A promise was broken."""


def fault(function: Fault) -> Fault:
    """Registers a kind of fault."""
    FAULTS.append(function)
    return function


def fault_of_one(
    function: Callable[['Storm', Program], Awaitable[None]],
) -> Fault:
    """Registers a fault that befalls a process that no other fault holds."""

    async def befall(storm: 'Storm') -> None:
        one = storm.pick()
        if one is not None:
            await function(storm, one)

    return fault(befall)


def step_row(step: Step) -> dict[str, Any]:
    return {
        'count': step.count,
        'cpu': step.processors,
        'mem_mb': step.memory,
        'estimate_ms': int(step.estimate_seconds * 1000),
        'depends_on': list(step.depends_on),
        'gang': step.gang,
        'checkpointing': step.checkpointing,
    }


class StormFleet(Fleet):
    """Workers that check each start against what callers were told.

    A task may run again after it was done if its worker's lease lapsed before
    that end was noted.

    Attributes:
        forgiven: Failed runs that may never have been noted.
        unnoted: Tasks that were done, on such workers.
        dones_before: Those of them that have started again.
    """

    def __init__(self, chance: random.Random) -> None:
        super().__init__()
        self.chance = chance
        self.jobs: dict[str, tuple[Step, ...]] = {}
        self.refused: set[str] = set()
        self.cancelled_at: dict[str, float] = {}
        self.failed: dict[TaskKey, set[int]] = {}
        self.forgiven: dict[TaskKey, set[int]] = {}
        self.unnoted: set[TaskKey] = set()
        self.dones_before: set[TaskKey] = set()
        self.broken: list[str] = []

    async def run(self) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(super().run)
            while True:
                for worker in self.workers.values():
                    if worker.clock > worker.lease_until:
                        self.unnoted.update(
                            row.task
                            for row in worker.ended
                            if row.outcome is RunOutcome.done
                        )
                await anyio.sleep(0.01)

    def step_of(self, task: TaskKey) -> Step:
        return self.jobs[task.job_id][task.step]

    def is_done(self, job_id: str, number: int) -> bool:
        """Whether a step is; one end represents all tasks of a gang."""
        step = self.jobs[job_id][number]
        ended = [
            TaskKey(job_id, 0, number, index) in self.dones | self.dones_before
            for index in range(step.count)
        ]
        return any(ended) if step.gang else all(ended)

    def fate(self, task: TaskKey, run: int) -> RunOutcome:
        failing = self.chance.random() < _FAILING_SHARE
        return RunOutcome.failed if failing else RunOutcome.done

    def started(self, task: TaskKey, run: int) -> None:
        assert task.job_id in self.jobs, f'nobody submitted {task}'
        assert task.job_id not in self.refused, f'was refused: {task}'
        cancelled = self.cancelled_at.get(task.job_id, float('inf'))
        late = anyio.current_time() - cancelled
        assert late < _CANCELLED_SECONDS, f'was cancelled: {task}'
        for before in self.step_of(task).depends_on:
            assert self.is_done(task.job_id, before), f'{task} too early'
        failed = self.failed.get(task, set()) - self.forgiven.get(task, set())
        assert len(failed) < _MAXIMUM_FAILURES, f'one run too many: {task}'
        if task in self.unnoted:
            self.unnoted.discard(task)
            self.dones_before.add(task)
            self.dones.discard(task)
        super().started(task, run)

    def over(self, task: TaskKey, run: int, how: RunOutcome) -> None:
        super().over(task, run, how)
        if how is RunOutcome.failed:
            self.failed.setdefault(task, set()).add(run)

    def crash(self, worker: StandinWorker) -> None:
        """Starts a worker again; ends that were not noted may be lost."""
        for task in tuple(worker.running):
            self.at_work.pop(task, None)
        for row in worker.ended:
            if row.outcome is RunOutcome.done:
                self.unnoted.add(row.task)
            elif row.outcome is RunOutcome.failed:
                self.forgiven.setdefault(row.task, set()).add(row.run)
        fresh = StandinWorker(
            self, worker.record.restarted(worker.record.born + 1)
        )
        self.workers[worker.record.worker_id] = fresh


class Storm:
    """One run: a cell, its workers and callers, and the faults."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        self.chance = random.Random(seed)
        self.seconds = seconds
        self.cell = Cell(folder, entries=2, schedulers=3)
        self.fleet = StormFleet(random.Random(seed + 1))
        self.client = PlatformClient()
        self.runner_links: dict[str, Link] = {}
        self.accepted: dict[str, float] = {}
        self.withdrawn: set[str] = set()
        self.done: set[str] = set()
        self.version = 0
        self.confirmed_version = 0
        self.tasks: TaskGroup | None = None
        self.counts = {'faults': 0, 'answers': 0, 'refused': 0}
        self.wiped_at = float('-inf')

    async def run(self) -> None:
        """Plays, then waits until all that was accepted is done.

        Raises:
            Broken: A promise was broken.
        """
        try:
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                await self._start(tasks)
                tasks.start_soon(self._watch_ends)
                with anyio.move_on_after(self.seconds):
                    async with anyio.create_task_group() as callers:
                        callers.start_soon(self._submit_forever)
                        callers.start_soon(self._configure_forever)
                        callers.start_soon(self._disturb)
                await self._calm()
                await self._finish()
                tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.cell.end()
        if self.fleet.broken:
            raise Broken(self.fleet.broken[0])

    def note(self, text: str) -> None:
        """Says what happens, with the time since the start."""
        print(f'{anyio.current_time() - self.began:7.2f} {text}', flush=True)

    def pick(self, role: str = '') -> Program | None:
        """A process that no other fault holds."""
        free = [
            one
            for one in self.cell.programs
            if not one.disturbed and role in {'', one.role}
        ]
        return self.chance.choice(free) if free else None

    async def _start(self, tasks: TaskGroup) -> None:
        self.began = anyio.current_time()
        tasks.start_soon(self.fleet.run)
        await self.cell.start(tasks)
        tasks.start_soon(self._serve, self.cell.advice, self._advice)
        for number in range(6):
            name = f'i-{number}'
            self.fleet.add(name, 8000)
            host = f'{self.cell.network}.3.{number + 1}'
            tasks.start_soon(
                self._serve,
                f'{host}:{self.cell.port + 38}',
                self._runner(name),
            )
            link = Link(host, self.cell.port + 37, (host, self.cell.port + 38))
            self.runner_links[name] = link
            await link.run(tasks)
            tasks.start_soon(self._beat, name)
        await self._configure(1, patience=30)

    async def _watch_ends(self) -> None:
        """Starts again what ended by itself, which it should not."""
        while True:
            await anyio.sleep(0.3)
            for one in self.cell.programs:
                code = one.process.poll() if one.process else None
                if code is None or one.disturbed:
                    continue
                self.fleet.broken.append(f'{one.name} ended with {code}')
                one.start()

    async def _calm(self) -> None:
        """Waits for the faults to pass, and mends what they left."""
        with anyio.move_on_after(20):
            while any(one.disturbed for one in self.cell.programs):
                await anyio.sleep(0.05)
        for link in (
            *self.cell.links.values(),
            *self.cell.fronts.values(),
            *self.runner_links.values(),
        ):
            link.delay = 0
            link.hold()
        self.note('calm')

    async def _finish(self) -> None:
        """Every accepted job ends, and is shown as it ended."""
        waiting = set(self.accepted) - self.withdrawn
        with anyio.move_on_after(_RECOVERY_SECONDS):
            while waiting and not self.fleet.broken:
                for job_id in tuple(waiting):
                    state = await self._read(job_id)
                    if state in {'completed', 'failed'}:
                        waiting.discard(job_id)
                await anyio.sleep(0.2)
        if waiting:
            self.fleet.broken.append(f'never ended: {sorted(waiting)[:5]}')
        self.counts['jobs'] = len(self.accepted)
        self.note(f'ended: {self.counts}')

    async def _disturb(self) -> None:
        while True:
            await anyio.sleep(self.chance.expovariate(1 / 0.9))
            chosen = self.chance.choice(FAULTS)
            self.counts['faults'] += 1
            assert self.tasks is not None
            self.tasks.start_soon(chosen, self)

    async def _submit_forever(self) -> None:
        async with anyio.create_task_group() as tasks:
            while True:
                job_id = f'{self.chance.getrandbits(64):016x}'
                tasks.start_soon(self._one_job, job_id)
                await anyio.sleep(
                    self.chance.expovariate(1 / _JOB_PAUSE_SECONDS)
                )

    def _steps(self) -> tuple[Step, ...]:
        first = Step(
            self.chance.randint(1, 4),
            self.chance.choice((500, 1000, 2500)),
            100,
            estimate_seconds=self.chance.choice((0.2, 0.6, 1.5)),
            gang=self.chance.random() < 0.3,
            checkpointing=self.chance.random() < 0.3,
        )
        if self.chance.random() < 0.7:
            return (first,)
        return (first, Step(2, 500, 100, estimate_seconds=0.3, depends_on=(0,)))

    async def _one_job(self, job_id: str) -> None:
        steps = self._steps()
        self.fleet.jobs[job_id] = steps
        content = {'spec': job_id, 'steps': list(map(step_row, steps))}
        answers = []
        for _ in range(4):
            answer = await self._ask('POST', job_id, content)
            answers.append(answer.status if answer else 0)
            if answers[-1] in {200, 400, 404, 429, 503}:
                break
        if answers[-1] == 200:
            self.accepted[job_id] = anyio.current_time()
        elif all(status in {400, 404, 429, 503} for status in answers):
            self.fleet.refused.add(job_id)
            self.counts['refused'] += 1
        if answers[-1] == 200 and self.chance.random() < 0.1:
            await anyio.sleep(self.chance.random())
            self.withdrawn.add(job_id)
            answer = await self._ask('DELETE', job_id)
            if answer is not None and answer.status == 200:
                self.fleet.cancelled_at[job_id] = anyio.current_time()
            return
        await anyio.sleep(self.chance.uniform(0.5, 3))
        await self._read(job_id)

    async def _read(self, job_id: str) -> str:
        """Asks for a job's state and checks what is told."""
        answer = await self._ask('GET', job_id)
        if answer is None:
            return ''
        told_at = self.accepted.get(job_id, float('inf'))
        old = anyio.current_time() - told_at > _VISIBLE_SECONDS
        if answer.status == 410 and old:
            self.fleet.broken.append(f'lost: {job_id}')
        if answer.status != 200:
            return ''
        state = str(answer.content['state'])
        tasks = {
            TaskKey(job_id, 0, number, index)
            for number, step in enumerate(self.fleet.jobs[job_id])
            for index in range(step.count)
        }
        steps = range(len(self.fleet.jobs[job_id]))
        done = all(self.fleet.is_done(job_id, number) for number in steps)
        if state == 'completed' and not done:
            self.fleet.broken.append(f'shown as completed: {job_id}')
        if state == 'failed' and not any(
            len(self.fleet.failed.get(task, ())) >= _MAXIMUM_FAILURES
            or self.fleet.step_of(task).gang
            for task in tasks
        ):
            self.fleet.broken.append(f'shown as failed: {job_id}')
        if job_id in self.done and state != 'completed':
            self.fleet.broken.append(f'{state} after completed: {job_id}')
        if state == 'completed':
            self.done.add(job_id)
        return state

    async def _ask(
        self, method: str, job_id: str, content: Any = None
    ) -> JsonResponse | None:
        entry = self.chance.choice(self.cell.entries)
        return await self._send(
            entry.front, method, f'/q/{job_id}', content, HOST
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
            answer = await self.client.send(
                address, method, path, content or {}, 3, host=host
            )
        except MulberryhitchError:
            return None
        self.counts['answers'] += 1
        return answer

    async def _configure_forever(self) -> None:
        while True:
            await anyio.sleep(self.chance.expovariate(1 / 2.0))
            await self._configure(self.version + 1)
            one = self.chance.choice(self.cell.schedulers)
            least = self.confirmed_version
            answer = await self._send(one.front, 'GET', '/config', None)
            if answer is None or answer.status != 200:
                continue
            told = answer.content['version']
            if told < least:
                self.fleet.broken.append(f'configuration {told} after {least}')

    async def _configure(self, version: int, patience: float = 6) -> None:
        content = make_configuration(version, max_attempts=_MAXIMUM_FAILURES)
        self.version = version
        with anyio.move_on_after(patience):
            while True:
                one = self.chance.choice(self.cell.schedulers)
                answer = await self._send(one.front, 'PUT', '/config', content)
                if answer is not None and answer.status == 200:
                    self.confirmed_version = version
                    return
                if answer is not None and answer.status < 500:
                    self.fleet.broken.append(f'refused: version {version}')
                    return
                await anyio.sleep(0.1)

    async def _serve(self, address: str, handler: Any) -> None:
        host, _, port = address.partition(':')
        interface = AsgiApplication(
            handler, Log('storm'), Limits, lambda: False, Histograms()
        )
        server = HttpServer(
            uvicorn.Config(
                interface, lifespan='off', log_config=None, log_level='critical'
            )
        )
        with listen(host, int(port)) as listening:
            await server.serve(sockets=[listening])

    async def _beat(self, name: str) -> None:
        sequence = 0
        while True:
            worker = self.fleet.workers[name]
            sequence += 1
            for one in self.cell.schedulers:
                answer = None
                if not worker.silent:
                    answer = await self._send(
                        one.front,
                        'PUT',
                        f'/instances/{name}',
                        self._description(worker, sequence),
                    )
                if answer is not None and answer.status == 200:
                    break
            await anyio.sleep(0.7)

    def _description(
        self, worker: StandinWorker, sequence: int
    ) -> dict[str, Any]:
        return {
            'service': 'svc',
            'address': self.runner_links[worker.record.worker_id].address,
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

    async def _advice(self, request: HttpRequest) -> HttpResponse:
        asked = orjson.loads(request.body)
        rows = [
            [one, f'{asked["step"]}-{one}']
            for one in asked['workers']
            if _allowed(asked['step'], one)
        ]
        await anyio.sleep(0.01)
        return HttpResponse(200, orjson.dumps({'granted': rows}))

    def _runner(self, name: str) -> Any:
        async def answer(request: HttpRequest) -> HttpResponse:
            worker = self.fleet.workers[name]
            if worker.silent:
                await anyio.sleep(60)
            content = orjson.loads(request.body)
            try:
                body, status = await self._carry_out(
                    worker, request.path, content
                )
            except AssertionError as error:
                self.fleet.broken.append(str(error))
                self.note(f'broken: {error}')
                return HttpResponse(500)
            body['clock_ms'] = worker.clock
            body['born'] = worker.record.born
            return HttpResponse(status, orjson.dumps(body))

        return answer

    async def _carry_out(
        self, worker: StandinWorker, path: str, content: dict[str, Any]
    ) -> tuple[dict[str, Any], int]:
        fence = content.get('fencing_token', 0)
        if path == '/hold':
            until = min(
                content.get('until_ms', 0), worker.clock + LEASE_LIMIT_MS
            )
            view = await self.fleet.poll(
                worker.record,
                fence,
                content['last_seen'],
                until,
                content.get('wait_ms', 0) / 1000,
            )
            if isinstance(view, WorkerAnswer):
                return {'reason': REJECTION_REASONS[view]}, 409
            return _lists(view), 200
        job, occurrence, step, number = content['task'].split('.')
        task = TaskKey(job, int(occurrence), int(step), int(number))
        if path == '/run-stop':
            answer = await self.fleet.stop(
                worker.record, task, content['run'], fence
            )
        else:
            assert content['spec'] == job, f'another argument: {task}'
            assert _allowed(
                f'{job}.{occurrence}.{step}', worker.record.worker_id
            ), f'without a permit: {task}'
            order = StartCommand(
                task,
                content['run'],
                content['spec'],
                content.get('checkpoint', ''),
                fence,
                min(content['until_ms'], worker.clock + LEASE_LIMIT_MS),
                f'-{worker.record.worker_id}',
            )
            if self.chance.random() < _LATE_SHARE:
                at = anyio.current_time() + self.chance.uniform(2, 12)
                worker.late_starts.append((at, order))
                await anyio.sleep(60)
            answer = worker.carry_out(order)
        if answer is WorkerAnswer.started:
            return {}, 200
        return {'reason': REJECTION_REASONS[answer]}, 409


def _lists(view: Any) -> dict[str, Any]:
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


def _allowed(step: str, worker_id: str) -> bool:
    mark = hashlib.sha256(f'{step}-{worker_id}'.encode()).digest()[0]
    return mark < _ALLOWED_SHARE * 256 or worker_id == 'i-0'


async def _restart(storm: Storm, one: Program, pause: float) -> None:
    await anyio.sleep(pause)
    one.write_settings(storm.cell.seeds(), first=False)
    one.start()
    one.disturbed = False


@fault_of_one
async def killed(storm: Storm, one: Program) -> None:
    one.disturbed = True
    torn = one.role == 'scheduler' and storm.chance.random() < 0.5
    storm.note(f'kill {one.name}, torn {torn}')
    await one.kill()
    if torn:
        one.tear_log(storm.chance.randbytes(7))
    await _restart(storm, one, storm.chance.uniform(0.1, 3))


@fault
async def killed_together(storm: Storm) -> None:
    if any(one.disturbed for one in storm.cell.schedulers):
        return
    storm.note('kill all schedulers')
    for one in storm.cell.schedulers:
        one.disturbed = True
        one.signal(signal.SIGKILL)
    for one in storm.cell.schedulers:
        await one.ended(5)
    for one in storm.cell.schedulers:
        await _restart(storm, one, storm.chance.uniform(0, 0.4))


@fault_of_one
async def paused(storm: Storm, one: Program) -> None:
    seconds = storm.chance.uniform(0.3, 5)
    storm.note(f'pause {one.name} for {seconds:.1f} s')
    one.disturbed = True
    one.signal(signal.SIGSTOP)
    await anyio.sleep(seconds)
    one.signal(signal.SIGCONT)
    one.disturbed = False


@fault_of_one
async def terminated(storm: Storm, one: Program) -> None:
    storm.note(f'terminate {one.name}')
    one.disturbed = True
    one.signal(signal.SIGTERM)
    await one.ended(5)
    await one.kill()
    await _restart(storm, one, 0.2)


@fault
async def reseeded(storm: Storm) -> None:
    seeds = storm.cell.seeds()
    storm.chance.shuffle(seeds)
    storm.note('other seeds')
    for one in storm.cell.programs:
        one.write_settings(seeds[:2], first=False)
        if storm.chance.random() < 0.5:
            one.signal(signal.SIGHUP)


@fault_of_one
async def cut_off(storm: Storm, one: Program) -> None:
    ways = storm.chance.choice((('out', 'back'), ('out',), ('back',)))
    seconds = storm.chance.uniform(0.5, 6)
    storm.note(f'cut {one.name} {ways} for {seconds:.1f} s')
    one.disturbed = True
    links = [
        link
        for link in storm.cell.links_of(one)
        if link is not storm.cell.fronts[one.name]
    ]
    for link in links:
        link.hold(*ways)
    await anyio.sleep(seconds)
    for link in links:
        link.hold()
    one.disturbed = False


@fault_of_one
async def slowed_link(storm: Storm, one: Program) -> None:
    storm.note(f'delay {one.name}')
    links = list(storm.cell.links_of(one))
    for link in links:
        link.delay = storm.chance.uniform(0.01, 0.3)
    await anyio.sleep(storm.chance.uniform(0.5, 4))
    for link in links:
        link.delay = 0


@fault_of_one
async def broken_connections(storm: Storm, one: Program) -> None:
    silent = storm.chance.random() < 0.5
    storm.note(f'connections of {one.name}, silent {silent}')
    for link in storm.cell.links_of(one):
        link.silence() if silent else link.reset()


@fault
async def wiped(storm: Storm) -> None:
    """One lost disk at a time, with time for the others to catch up."""
    now = anyio.current_time()
    others = any(one.disturbed for one in storm.cell.schedulers)
    if others or now < storm.wiped_at + 10 or now < storm.began + 10:
        return
    one = storm.chance.choice(storm.cell.schedulers)
    storm.note(f'wipe {one.name}')
    for each in storm.cell.schedulers:
        each.disturbed = True
    await one.kill()
    one.wipe()
    await _restart(storm, one, 0.5)
    one.disturbed = True
    await anyio.sleep(6)
    storm.wiped_at = anyio.current_time()
    for each in storm.cell.schedulers:
        each.disturbed = False


@fault
async def worker_crashed(storm: Storm) -> None:
    worker = storm.chance.choice(list(storm.fleet.workers.values()))
    if worker.silent:
        return
    storm.note(f'crash {worker.record.worker_id}')
    storm.runner_links[worker.record.worker_id].reset()
    storm.fleet.crash(worker)


@fault
async def worker_silent(storm: Storm) -> None:
    worker = storm.chance.choice(list(storm.fleet.workers.values()))
    if worker.silent:
        return
    seconds = storm.chance.uniform(0.5, 8)
    storm.note(f'silence {worker.record.worker_id} for {seconds:.1f} s')
    worker.silent = True
    await anyio.sleep(seconds)
    worker.silent = False


async def play(seed: int, seconds: float, folder: Path) -> None:
    """One run.

    Raises:
        Broken: A promise was broken.
    """
    await Storm(seed, seconds, folder).run()


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=20)
    parser.add_argument('--keep', help='a folder for the logs', default='')
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as made:
        folder = Path(given.keep or made) / f'seed-{given.seed}-{os.getpid()}'
        try:
            anyio.run(play, given.seed, given.seconds, folder)
        except Broken as error:
            print(f'seed {given.seed}: {error}')
            return 1
        except BaseException:  # noqa: BLE001
            traceback.print_exc()
            return 2
    print(f'seed {given.seed}: kept')
    return 0


if __name__ == '__main__':
    sys.exit(main())
