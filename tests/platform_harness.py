"""A platform cell on loopback, with a runner and an advice service."""

import random
import socket
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import orjson
import uvicorn

from mulberryhitch.dispatch.ports import StartCommand, WorkerAnswer
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.jobs.model import Limits, TaskKey
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from mulberryhitch.platform.client import JsonResponse, PlatformClient
from mulberryhitch.platform.settings import PlatformSettings
from mulberryhitch.platform.wire import task_name
from mulberryhitch.platform_composition import EntryProgram, SchedulerProgram
from mulberryhitch.replication.members import vm_of
from tests.fake_workers import FakeFleet, FakeWorker

SCHEDULERS = ('127.0.2.1', '127.0.2.2', '127.0.2.3')
ENTRY = '127.0.1.1'
RUNNER = '127.0.3.1'
ADVICE = '127.0.4.1'
HOST = 'queue.example'
REJECTION_REASONS = {
    WorkerAnswer.fenced: 'fence',
    WorkerAnswer.stale: 'old',
    WorkerAnswer.expired: 'late',
}


def find_free_ports() -> int:
    """Returns the first of five consecutive ports free on all addresses."""
    for _ in range(100):
        port = random.randrange(20_000, 50_000)
        if all(
            _is_free(vm, port + offset)
            for vm in (*SCHEDULERS, ENTRY, RUNNER, ADVICE)
            for offset in range(5)
        ):
            return port
    raise RuntimeError('no five consecutive free ports found')


def _is_free(vm: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((vm, port))
        except OSError:
            return False
    return True


def make_settings(
    vm: str, port: int, folder: Path, name: str
) -> PlatformSettings:
    return PlatformSettings(
        name,
        vm,
        'a',
        f'{ENTRY}:{port + 2}',
        f'{ENTRY}:{port + 3}',
        f'{vm}:{port + 2}',
        port,
        SCHEDULERS,
        True,
        str(folder / vm),
        3,
        f'{ADVICE}:{port + 2}',
        6.0,
        4.0,
        120.0,
        f'{vm}:{port + 4}',
    )


def make_configuration(version: int, **route: Any) -> dict[str, Any]:
    """Returns a configuration with one queue that requests advice."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r',
                'host': HOST,
                'path_prefix': '/q/',
                'timeout_ms': 3000,
                'target_duration_ms': 1000,
                'priority': 0,
                'service': 'svc',
                'max_attempts': 3,
                'stretch': 2.0,
                'advice': {'decide_ms': 5, 'each_ms': 1, 'valid_ms': 1500},
                **route,
            },
        ],
        'services': [{'name': 'svc', 'enforces_capacity': False}],
        'limits': {'max_body_bytes': 262144},
    }


class PlatformHarness:
    """An entry, three schedulers, one runner and the advice service."""

    def __init__(self, folder: Path) -> None:
        self.port = find_free_ports()
        self.folder = folder
        self.client = PlatformClient()
        self.fleet = FakeFleet()
        self.log = Log('platform')
        self.stop_events: dict[str, anyio.Event] = {}
        self.schedulers: dict[str, SchedulerProgram] = {}
        self.entry: EntryProgram | None = None
        self.advice_requests: list[Any] = []
        self.worker: FakeWorker | None = None
        self.sequence = 0

    @asynccontextmanager
    async def running(self):
        async with anyio.create_task_group() as tasks:
            for vm in SCHEDULERS:
                self._start(tasks, SchedulerProgram, vm)
            self._start(tasks, EntryProgram, ENTRY)
            self.fleet.add_worker('i-1', 16_000)
            self.worker = self.fleet.workers['i-1']
            tasks.start_soon(self.fleet.run)
            tasks.start_soon(self._serve, RUNNER, self._handle_runner_call)
            tasks.start_soon(self._serve, ADVICE, self._handle_advice_call)
            tasks.start_soon(self._send_heartbeats)
            yield self
            tasks.cancel_scope.cancel()

    def _start(self, tasks: Any, program: Any, vm: str) -> None:
        self.stop_events[vm] = anyio.Event()
        settings = make_settings(vm, self.port, self.folder, vm)
        started = program(settings, self.stop_events[vm])
        if vm in SCHEDULERS:
            self.schedulers[vm] = started
        else:
            self.entry = started
        tasks.start_soon(started.run)

    def leader(self) -> SchedulerProgram:
        """Returns the leading scheduler."""
        for scheduler in self.schedulers.values():
            if scheduler.service.replica.has_authority:
                return scheduler
        raise RuntimeError('no scheduler leads')

    def stop_leader(self) -> str:
        """Tells the leading scheduler to stop and returns its VM."""
        vm = vm_of(self.leader().service.replica.replica_id)
        self.stop_events[vm].set()
        return vm

    async def _serve(self, vm: str, handler: Any) -> None:
        application = AsgiApplication(
            handler, self.log, Limits, lambda: False, Histograms()
        )
        server = HttpServer(
            uvicorn.Config(application, lifespan='off', log_config=None)
        )
        await server.serve(sockets=[listen(vm, self.port + 2)])

    async def send(
        self, vm: str, method: str, path: str, content: Any = None
    ) -> JsonResponse:
        """Sends a request to a VM as a client, a runner or the operator."""
        return await self.client.send(
            f'{vm}:{self.port + 2}',
            method,
            path,
            content or {},
            10,
        )

    async def send_to_queue(
        self, method: str, path: str, content: Any = None, key: str = ''
    ) -> JsonResponse:
        """Sends a client's request to the queue's host."""
        headers = (('Authorization', f'Bearer {key}'),) if key else ()
        return await self.client.send(
            f'{ENTRY}:{self.port + 2}',
            method,
            path,
            content or {},
            10,
            headers,
            HOST,
        )

    async def retry_until_status(
        self, expected_status: int, call: Any, *args: Any
    ) -> JsonResponse:
        """Repeats a call until its response has the expected status."""
        with anyio.fail_after(40):
            while True:
                try:
                    response = await call(*args)
                except Exception:  # noqa: BLE001
                    response = None
                if response is not None and response.status == expected_status:
                    return response
                await anyio.sleep(0.05)

    async def _send_heartbeats(self) -> None:
        assert self.worker is not None
        while True:
            for vm in SCHEDULERS:
                self.sequence += 1
                try:
                    response = await self.send(
                        vm, 'PUT', '/instances/i-1', self._description()
                    )
                except Exception:  # noqa: BLE001, S112
                    continue
                if response.status == 200:
                    break
            await anyio.sleep(0.5)

    def _description(self) -> dict[str, Any]:
        assert self.worker is not None
        return {
            'service': 'svc',
            'address': f'{RUNNER}:{self.port + 2}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {'cpu': 16_000, 'mem_mb': 64_000, 'gpu': 0},
            'labels': ['k', 'r1'],
            'clock_ms': self.worker.clock,
            'sequence': self.sequence,
            'born': 1,
        }

    async def _handle_advice_call(self, request: HttpRequest) -> HttpResponse:
        advice_request = orjson.loads(request.body)
        self.advice_requests.append(advice_request)
        rows = [
            [worker_id, f'{advice_request["step"]}-{worker_id}']
            for worker_id in advice_request['workers']
        ]
        return HttpResponse(200, orjson.dumps({'granted': rows}))

    async def _handle_runner_call(self, request: HttpRequest) -> HttpResponse:
        assert self.worker is not None
        content = orjson.loads(request.body)
        if request.path == '/hold':
            return await self._handle_hold(content)
        job, occurrence, step, number = content['task'].split('.')
        task = TaskKey(job, int(occurrence), int(step), int(number))
        if request.path == '/run-stop':
            answer = await self.fleet.stop(
                self.worker.record,
                task,
                content['run'],
                content['fencing_token'],
            )
            return self._respond(answer)
        command = StartCommand(
            task,
            content['run'],
            content['spec'],
            content.get('checkpoint', ''),
            content['fencing_token'],
            content['until_ms'],
            content['ticket'],
        )
        assert content['ticket'].startswith(f'{job}.{occurrence}.{step}-')
        return self._respond(self.worker.handle_start(command))

    async def _handle_hold(self, content: dict[str, Any]) -> HttpResponse:
        assert self.worker is not None
        view = await self.fleet.poll(
            self.worker.record,
            content['fencing_token'],
            content['last_seen'],
            content.get('until_ms', 0),
            content.get('wait_ms', 0) / 1000,
        )
        if isinstance(view, WorkerAnswer):
            return self._respond(view)
        body = {
            'clock_ms': view.clock,
            'born': 1,
            'running': [
                [task_name(row.task), row.run, '', 0, 10]
                for row in view.running
            ],
            'ended': [
                [
                    row.number,
                    task_name(row.task),
                    row.run,
                    row.outcome.value,
                    '',
                ]
                for row in view.ended
            ],
        }
        return HttpResponse(200, orjson.dumps(body))

    def _respond(self, answer: WorkerAnswer) -> HttpResponse:
        assert self.worker is not None
        body: dict[str, Any] = {'clock_ms': self.worker.clock}
        if answer is WorkerAnswer.started:
            return HttpResponse(200, orjson.dumps(body))
        body['reason'] = REJECTION_REASONS[answer]
        return HttpResponse(409, orjson.dumps(body))
