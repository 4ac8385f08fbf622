"""Components that the endpoints of an entry use."""

from collections.abc import Callable
from dataclasses import dataclass, field

from mulberryhitch.backend_servers.directory import BackendServerDirectory
from mulberryhitch.byte_budget import ByteBudget
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.settings import Settings
from mulberryhitch.constants import BYTES_PER_MEBIBYTE
from mulberryhitch.membership.heartbeat_exchange import HeartbeatExchange
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.membership.members import MemberList
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.requests.router import Router
from mulberryhitch.rpc.messages import Heartbeat
from mulberryhitch.tenants.authentication import Authenticator

_BODIES_BYTES = 48 * BYTES_PER_MEBIBYTE
_SMALL_BODIES_BYTES = 16 * BYTES_PER_MEBIBYTE


def _make_body_budget() -> ByteBudget:
    return ByteBudget(_BODIES_BYTES, _SMALL_BODIES_BYTES)


@dataclass(slots=True)
class Entry:
    """Components and state of one entry.

    Attributes:
        make_heartbeat: Returns a new heartbeat of this process.
        stopping: Whether it rejects new requests from clients.
        bodies: Limits the bytes of the bodies that it holds.
    """

    member_id: str
    data_centre: str
    settings: Settings
    configuration: ConfigurationHolder
    authenticator: Authenticator
    members: MemberList
    heartbeat_exchange: HeartbeatExchange
    directory: BackendServerDirectory
    leader_client: LeaderClient
    router: Router
    histograms: Histograms
    metrics: Metrics
    log: Log
    make_heartbeat: Callable[[], Heartbeat]
    stopping: bool = False
    bodies: ByteBudget = field(default_factory=_make_body_budget)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send clients to this entry."""
        return not self.stopping and self.configuration.version > 0
