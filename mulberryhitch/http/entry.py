"""Components that the endpoints of an entry use."""

from collections.abc import Callable
from dataclasses import dataclass

from mulberryhitch.backend_servers.directory import BackendServerDirectory
from mulberryhitch.configuration.holder import ConfigurationHolder
from mulberryhitch.configuration.settings import Settings
from mulberryhitch.membership.heartbeat_exchange import HeartbeatExchange
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.membership.members import MemberList
from mulberryhitch.observability.histograms import Histograms
from mulberryhitch.observability.log import Log
from mulberryhitch.observability.metrics import Metrics
from mulberryhitch.requests.router import Router
from mulberryhitch.rpc.messages import Heartbeat
from mulberryhitch.tenants.authentication import Authenticator


@dataclass(slots=True)
class Entry:
    """Components and state of one entry.

    Attributes:
        make_heartbeat: Returns a new heartbeat of this process.
        stopping: Whether it rejects new requests from clients.
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

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send clients to this entry."""
        return not self.stopping and self.configuration.version > 0
