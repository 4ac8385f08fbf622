"""What hello calls have told: who joins, retires, is silent, and is where."""

from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.rpc.messages import HelloReply, HelloRequest

# Hello requests are repeated each half of an election time.
_EXPIRY_ELECTION_TIMES = 4


class HelloRecords:
    """The latest hello request of each replica, until it expires.

    Args:
        options: Timing settings, and this replica's data centre.

    Attributes:
        data_centres: The data centre of each replica that named it; empty if
            the replica doesn't know it.
    """

    def __init__(self, options: ReplicationOptions) -> None:
        """Initialises the records without any request."""
        self._options = options
        self.data_centres: dict[str, str] = {}
        self._received_at: dict[str, float] = {}
        self._retiring: set[str] = set()
        self._silent_since: dict[str, float] = {}
        self._silence_reported_at = float()

    @property
    def joining(self) -> list[str]:
        """Returns who sent requests and does not retire, the earliest first."""
        self._remove_expired()
        return [
            replica_id
            for replica_id in self._received_at
            if replica_id not in self._retiring
        ]

    @property
    def silent_since(self) -> dict[str, float]:
        """Returns since when members have not answered the latest leader."""
        if self._silence_reported_at < self._oldest_valid():
            return {}
        return self._silent_since

    def record_reply(self, reply: HelloReply) -> None:
        """Records where the sender of a reply is."""
        self.data_centres[reply.replica_id] = reply.data_centre

    def record(self, request: HelloRequest) -> None:
        """Records a request as its sender's latest one."""
        now = self._options.now()
        self._received_at[request.replica_id] = now
        self.data_centres[request.replica_id] = request.data_centre
        if request.silent_ids:
            self._silence_reported_at = now
            self._silent_since = {
                replica_id: now - seconds
                for replica_id, seconds in zip(
                    request.silent_ids, request.silent_seconds, strict=False
                )
            }
        if request.retiring:
            self._retiring.add(request.replica_id)
        else:
            self._retiring.discard(request.replica_id)

    def is_retiring(self, replica_id: str) -> bool:
        """Whether a replica's process is about to end."""
        self._remove_expired()
        return replica_id in self._retiring

    def _oldest_valid(self) -> float:
        lifetime = self._options.election_seconds * _EXPIRY_ELECTION_TIMES
        return self._options.now() - lifetime

    def _remove_expired(self) -> None:
        oldest = self._oldest_valid()
        self._received_at = {
            replica_id: received_at
            for replica_id, received_at in self._received_at.items()
            if received_at >= oldest
        }
        self._retiring.intersection_update(self._received_at)
