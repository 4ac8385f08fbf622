"""Time limits of the servers of a process on the platform."""

import pytest

from mulberryhitch.http.connection_limits import ConnectionTimeouts
from mulberryhitch.http.server import HttpServer
from mulberryhitch.jobs.model import Limits
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.platform.asgi import (
    AsgiApplication,
    HttpRequest,
    HttpResponse,
)
from mulberryhitch.platform.http_servers import HttpServers


async def answer(request: HttpRequest) -> HttpResponse:
    return HttpResponse(200)


def make_server(limits: Limits) -> HttpServer:
    log = Log('test')
    servers = HttpServers(0, log, lambda: limits)
    application = AsgiApplication(
        answer, log, lambda: limits, lambda: False, Histograms()
    )
    return servers.make(application)


@pytest.mark.parametrize('idle_seconds', [15, 120])
def test_no_kept_connection_is_closed_within_the_idle_limit(
    idle_seconds: float,
) -> None:
    """Guards against a limit of uvicorn that comes before the configuration's."""
    server = make_server(Limits(idle_seconds=idle_seconds))
    assert server.config.timeout_keep_alive >= idle_seconds


def test_a_first_head_may_begin_late_and_arrive_slowly() -> None:
    """Guards against a client cut off that keeps to both limits.

    A new connection may be idle before its first request, as later.
    """
    limits = Limits(idle_seconds=15, header_seconds=3)
    protocol = make_server(limits).config.http
    timeouts: ConnectionTimeouts = protocol.keywords['timeouts']()  # type: ignore[union-attr]
    assert timeouts.first_request_seconds >= 15 + 3
