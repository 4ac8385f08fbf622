"""Histograms are bounded in number, whatever callers send."""

from typing import Any

from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from tests.replica_group import run_with_mock_clock


def test_invented_methods_make_no_histograms_of_their_own() -> None:
    histograms = Histograms()

    async def handle(request: HttpRequest) -> HttpResponse:
        return HttpResponse(404)

    async def receive() -> dict[str, Any]:
        return {'type': 'http.request', 'body': b''}

    async def send(message: dict[str, Any]) -> None:
        """Ignores the response."""

    async def main() -> None:
        application = AsgiApplication(
            handle, Log('test'), Limits, lambda: False, histograms
        )
        for method in ('GET', *(f'M{number}' for number in range(100))):
            scope = {'type': 'http', 'path': '/', 'headers': []}
            await application({**scope, 'method': method}, receive, send)

    run_with_mock_clock(main)
    counts = {row.tenant: row.count for row in histograms.summaries()}
    assert counts == {'GET': 1, 'other': 100}


def test_names_that_change_for_ever_do_not_fill_the_memory() -> None:
    histograms = Histograms()
    for number in range(2000):
        histograms.record('wait', f'queue-{number}', 'start', 0.1)
        histograms.record('answer', 'GET', '200', 0.1)
    rows = histograms.summaries()
    assert len(rows) <= 502
    assert sum(row.count for row in rows) == 4000
    answers = [row.count for row in rows if row.name == 'answer']
    assert answers == [2000]
