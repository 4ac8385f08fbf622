"""Bodies of requests and responses are bounded in bytes, whatever their number."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

from mulberryhitch.byte_budget import ByteBudget
from mulberryhitch.errors import OverloadedError
from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from tests.replica_group import run_with_mock_clock

MEBIBYTE = 1024 * 1024
LIMITS = Limits(body_bytes=8 * MEBIBYTE)


class Answer:
    """The response to one request."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}

    async def send(self, message: dict[str, Any]) -> None:
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = dict(message['headers'])


class Callers:
    """Callers of an application whose handler waits until it is released."""

    def __init__(self) -> None:
        self.released = anyio.Event()
        self.handled = 0
        self.application = AsgiApplication(
            self._handle,
            Log('test'),
            lambda: LIMITS,
            lambda: False,
            Histograms(),
        )

    async def put(self, answer: Answer, body: bytes, *, whole: bool) -> None:
        parts = [{'type': 'http.request', 'body': body, 'more_body': not whole}]

        async def receive() -> dict[str, Any]:
            if not parts:
                await anyio.sleep_forever()
            return parts.pop()

        scope = {'type': 'http', 'method': 'PUT', 'path': '/', 'headers': []}
        await self.application(scope, receive, answer.send)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        self.handled += 1
        await self.released.wait()
        return HttpResponse(200)


def run_with_callers(
    script: Callable[[Callers, Any], Awaitable[None]],
) -> None:
    async def main() -> None:
        callers = Callers()
        async with anyio.create_task_group() as tasks:
            await script(callers, tasks)
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


@pytest.mark.parametrize('whole', [True, False])
def test_many_large_bodies_at_once_do_not_fill_the_memory(whole: bool) -> None:
    async def script(callers: Callers, tasks: Any) -> None:
        answers = [Answer() for _ in range(40)]
        for answer in answers:
            tasks.start_soon(_put, callers, answer, MEBIBYTE, whole)
        await anyio.sleep(1)
        refused = [answer for answer in answers if answer.status]
        assert len(refused) >= 28
        assert {answer.status for answer in refused} == {503}
        assert {answer.headers[b'retry-after'] for answer in refused} == {b'1'}

    run_with_callers(script)


def test_small_bodies_are_read_while_large_ones_are_refused() -> None:
    async def script(callers: Callers, tasks: Any) -> None:
        for _ in range(9):
            tasks.start_soon(_put, callers, Answer(), MEBIBYTE, True)
        await anyio.sleep(1)
        handled = callers.handled
        assert handled < 9
        for _ in range(1000):
            tasks.start_soon(_put, callers, Answer(), 1024, True)
        await anyio.sleep(1)
        assert callers.handled == handled + 1000

    run_with_callers(script)


def test_small_bodies_that_stop_coming_do_not_keep_others_out() -> None:
    """As many as a process with 160 MB has connections."""

    async def script(callers: Callers, tasks: Any) -> None:
        for _ in range(300):
            tasks.start_soon(_put, callers, Answer(), 60_000, False)
        await anyio.sleep(1)
        tasks.start_soon(_put, callers, Answer(), 60_000, True)
        await anyio.sleep(1)
        assert callers.handled == 1

    run_with_callers(script)


def test_eight_orders_of_a_mebibyte_at_once_are_read() -> None:
    async def script(callers: Callers, tasks: Any) -> None:
        answers = [Answer() for _ in range(8)]
        for answer in answers:
            tasks.start_soon(_put, callers, answer, MEBIBYTE, True)
        await anyio.sleep(1)
        assert callers.handled == 8
        callers.released.set()
        await anyio.sleep(1)
        assert [answer.status for answer in answers] == [200] * 8

    run_with_callers(script)


def test_a_body_that_stops_coming_is_not_awaited_for_ever() -> None:
    async def script(callers: Callers, tasks: Any) -> None:
        stalled = Answer()
        tasks.start_soon(_put, callers, stalled, 8 * MEBIBYTE, False)
        await anyio.sleep(20)
        assert stalled.status == 503
        await _put_and_release(callers, tasks)

    run_with_callers(script)


def test_large_responses_that_nobody_reads_do_not_fill_the_memory() -> None:
    statuses: list[int] = []
    buffered: list[int] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b'x' * MEBIBYTE)

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': b''}

    async def send(message: dict[str, Any]) -> None:
        if message['type'] == 'http.response.start':
            statuses.append(message['status'])
            return
        buffered.append(len(message['body']))
        if message.get('more_body', False):
            await anyio.sleep_forever()

    async def main() -> None:
        application = AsgiApplication(
            handle, Log('test'), lambda: LIMITS, lambda: False, Histograms()
        )
        scope = {'type': 'http', 'method': 'GET', 'path': '/', 'headers': []}
        async with anyio.create_task_group() as tasks:
            for _ in range(40):
                tasks.start_soon(application, scope, receive, send)
            await anyio.sleep(1)
            assert sum(buffered) < 4 * MEBIBYTE
            assert sorted(statuses) == [200] * 16 + [503] * 24
            assert application.in_flight == 16
            await anyio.sleep(15)
            assert not application.in_flight
            tasks.cancel_scope.cancel()

    run_with_mock_clock(main)


@pytest.mark.parametrize('size', [0, 1, 65_536, 65_537, 3_000_000])
def test_a_response_of_any_size_arrives_whole(size: int) -> None:
    content = bytes(range(256)) * (size // 256 + 1)
    received: list[dict[str, Any]] = []

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, content[:size])

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': b''}

    async def send(message: dict[str, Any]) -> None:
        received.append(message)

    async def main() -> None:
        application = AsgiApplication(
            handle, Log('test'), lambda: LIMITS, lambda: False, Histograms()
        )
        scope = {'type': 'http', 'method': 'GET', 'path': '/', 'headers': []}
        await application(scope, receive, send)

    run_with_mock_clock(main)
    bodies = received[1:]
    assert b''.join(part['body'] for part in bodies) == content[:size]
    more = [part.get('more_body', False) for part in bodies]
    assert more == [True] * (len(bodies) - 1) + [False]


def test_room_is_free_again_after_each_end() -> None:
    budget = ByteBudget(100_000, 30_000)
    with budget.reservation() as first, budget.reservation() as second:
        first.grow_to(90_000)
        with pytest.raises(OverloadedError):
            second.grow_to(80_000)
        second.grow_to(10_000)
        with pytest.raises(OverloadedError):
            second.grow_to(20_000)
        assert budget.held_bytes == 100_000
    assert not budget.held_bytes
    with budget.reservation() as only:
        only.grow_to(200_000)
        assert budget.held_bytes == 200_000
    assert not budget.held_bytes


async def _put(
    callers: Callers, answer: Answer, size: int, whole: bool
) -> None:
    await callers.put(answer, b'x' * size, whole=whole)


async def _put_and_release(callers: Callers, tasks: Any) -> None:
    answer = Answer()
    tasks.start_soon(_put, callers, answer, 8 * MEBIBYTE, True)
    await anyio.sleep(1)
    callers.released.set()
    await anyio.sleep(1)
    assert answer.status == 200
