"""Requests that a server reads before it stops or a client's side closes."""

import random

import anyio
import pytest
import uvicorn

from mulberryhitch.http.protocol import FirstRequestTimeoutProtocol
from mulberryhitch.http.server import HttpServer, listen
from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from tests.local_cell import find_free_ports
from tests.raw_client import NoCompleteAnswer, RawConnection, request_bytes

CLIENTS = 30
LOAD_SECONDS = 0.4
HANDLING_SECONDS = (0.0, 0.001, 0.02, 0.3)
PIPELINED_REQUESTS = b''.join(
    request_bytes('POST', path, {}) for path in ('/1', '/2', '/3')
)


class StoppedServer:
    """A server that records which requests it read and which were answered."""

    def __init__(
        self,
        seed: int,
        *,
        announces_close: bool,
        graceful_seconds: float = 10,
    ) -> None:
        self.port = find_free_ports()
        self.read: set[str] = set()
        self.answered: set[str] = set()
        self.handling_seconds = HANDLING_SECONDS
        self._rng = random.Random(seed)
        application = AsgiApplication(
            self._handle,
            Log('test'),
            Limits,
            lambda: announces_close and self._server.should_exit,
            Histograms(),
        )
        self._server = HttpServer(
            uvicorn.Config(
                application,
                http=FirstRequestTimeoutProtocol,
                lifespan='off',
                log_config=None,
                timeout_graceful_shutdown=graceful_seconds,
            )
        )

    async def run(self) -> None:
        """Serves the clients, and stops while they send requests."""
        with anyio.fail_after(30):
            async with anyio.create_task_group() as tasks:
                for number in range(CLIENTS):
                    tasks.start_soon(self._send_requests, number)
                tasks.start_soon(self._stop)
                await self.serve()

    async def serve(self) -> None:
        """Serves until it is told to stop."""
        await self._server.serve(sockets=[listen('127.0.0.1', self.port)])

    async def connect(self) -> RawConnection:
        """Opens a connection as soon as the server listens."""
        with anyio.fail_after(20):
            while True:
                try:
                    return await RawConnection.open('127.0.0.1', self.port)
                except OSError:
                    await anyio.sleep(0.01)

    def stop(self) -> None:
        """Tells the server to stop."""
        self._server.should_exit = True

    async def _stop(self) -> None:
        await anyio.sleep(LOAD_SECONDS)
        self.stop()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.read.add(request.path)
        await anyio.sleep(self._rng.choice(self.handling_seconds))
        return HttpResponse(200)

    async def _send_requests(self, number: int) -> None:
        sent = 0
        connection = await self.connect()
        while True:
            is_open = True
            while is_open:
                sent += 1
                path = f'/{number}/{sent}'
                is_open = await self._exchange(connection, path)
            connection.close()
            try:
                connection = await RawConnection.open('127.0.0.1', self.port)
            except OSError:
                return

    async def _exchange(self, connection: RawConnection, path: str) -> bool:
        try:
            await connection.send(request_bytes('POST', path, {}))
            _, headers = await connection.read_answer()
        except (OSError, NoCompleteAnswer):
            return False
        self.answered.add(path)
        return b'connection: close' not in headers


@pytest.mark.parametrize('announces_close', [True, False])
@pytest.mark.parametrize('seed', [1, 2])
def test_a_stopping_server_answers_each_request_that_it_read(
    seed: int, announces_close: bool
) -> None:
    async def main() -> None:
        server = StoppedServer(seed, announces_close=announces_close)
        await server.run()
        assert len(server.answered) > CLIENTS
        assert server.read - server.answered == set()

    anyio.run(main)


def test_a_client_that_closes_its_sending_side_is_answered() -> None:
    async def main() -> None:
        server = StoppedServer(1, announces_close=False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            connection = await server.connect()
            await connection.send(request_bytes('POST', '/x', {}))
            connection.end_sending()
            with anyio.fail_after(20):
                assert (await connection.read_answer())[0] == 200
                with pytest.raises(NoCompleteAnswer):
                    await connection.read_answer()
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize('announces_close', [True, False])
def test_a_stopping_server_answers_pipelined_requests(
    announces_close: bool,
) -> None:
    async def main() -> None:
        server = StoppedServer(1, announces_close=announces_close)
        server.handling_seconds = (0.3,)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            connection = await server.connect()
            await connection.send(PIPELINED_REQUESTS)
            await anyio.sleep(0.1)
            server.stop()
            with anyio.fail_after(20):
                for _ in range(2):
                    assert (await connection.read_answer())[0] == 200
                _, headers = await connection.read_answer()
                assert (b'connection: close' in headers) is announces_close
                with pytest.raises(NoCompleteAnswer):
                    await connection.read_answer()

    anyio.run(main)


def test_a_client_that_closes_its_sending_side_gets_pipelined_answers() -> None:
    async def main() -> None:
        server = StoppedServer(1, announces_close=False)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            connection = await server.connect()
            await connection.send(PIPELINED_REQUESTS)
            connection.end_sending()
            with anyio.fail_after(20):
                for _ in range(3):
                    assert (await connection.read_answer())[0] == 200
                with pytest.raises(NoCompleteAnswer):
                    await connection.read_answer()
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_a_request_that_a_stop_cuts_off_is_answered_as_unknown() -> None:
    async def main() -> None:
        server = StoppedServer(1, announces_close=True, graceful_seconds=0.1)
        server.handling_seconds = (20,)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(server.serve)
            connection = await server.connect()
            await connection.send(request_bytes('POST', '/x', {}))
            await anyio.sleep(0.1)
            server.stop()
            with anyio.fail_after(10):
                assert (await connection.read_answer())[0] == 502
                with pytest.raises(NoCompleteAnswer):
                    await connection.read_answer()

    anyio.run(main)
