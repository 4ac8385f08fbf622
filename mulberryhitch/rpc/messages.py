"""The messages between our own processes, as data classes.

Each has the name and the fields of its struct in ``mulberryhitch.thrift``.
"""

from dataclasses import dataclass, field
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CallHeader:
    """Who calls, and how many seconds the caller still waits."""

    caller: str
    timeout_seconds: float


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One entry of a replicated log."""

    index: int
    term: int
    kind: str
    body: bytes


@dataclass(frozen=True, slots=True)
class HelloRequest:
    """Tells a replica's identity and asks for the other's."""

    group: str
    replica_id: str
    configured: bool


@dataclass(frozen=True, slots=True)
class HelloReply:
    """Who answers, and which members it knows the group to have."""

    replica_id: str
    configured: bool
    voters: list[str]
    learners: list[str]
    last_index: int


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Asks for a vote, or for a promise of one (pre-vote).

    Attributes:
        transfer: The leader itself asked for this election.
    """

    group: str
    target: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Whether the vote is given, and the voter's term."""

    term: int
    granted: bool


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries for a follower's log; with none, a heartbeat."""

    group: str
    target: str
    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Whether the entries fit.

    Attributes:
        term: The follower's term.
        success: Whether the log matched at the previous index.
        last_index: On success the last index that is now synced and known
            to match; else where the leader should try next.
    """

    term: int
    success: bool
    last_index: int


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A part of a snapshot, for a follower too far behind."""

    group: str
    target: str
    term: int
    leader: str
    last_index: int
    last_term: int
    voters: list[str]
    learners: list[str]
    state: bytes
    offset: int
    done: bool


@dataclass(frozen=True, slots=True)
class SnapshotReply:
    """The follower's term and the offset it wants next."""

    term: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class TakeOverRequest:
    """Asks a caught-up voter to stand for election at once."""

    group: str
    target: str
    term: int


@dataclass(frozen=True, slots=True)
class TakeOverReply:
    """Whether the voter stands."""

    accepted: bool


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """A replica's term and vote, as kept on disk."""

    term: int
    voted_for: str


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """A snapshot, as kept on disk."""

    last_index: int
    last_term: int
    voters: list[str]
    learners: list[str]
    state: bytes


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """A replica's identity, as kept on disk."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """An operation for the leader of a group."""

    group: str
    name: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ExecuteReply:
    """The operation's answer."""

    body: bytes


@dataclass(frozen=True, slots=True)
class GroupView:
    """What a member believes of a group's leadership."""

    group: str
    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class Announcement:
    """What a backend server said of itself.

    Attributes:
        owner: The member that may use the server's slots; may be empty.
        owner_anchor: The owner's own clock, as the lease was granted.
        incarnation: Grows with each start of the server.
        sequence: Grows with each announcement of one incarnation.
        age_seconds: How long ago the sender had heard it.
    """

    backend_server_id: str
    service_name: str
    data_centre: str
    address: str
    state: str
    slots: int
    connections: int
    busy: int
    owner: str
    owner_anchor: float
    incarnation: int
    sequence: int
    age_seconds: float = 0


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """How loaded a member's own slots of a service are."""

    service_name: str
    free_slots: int
    queued: int


@dataclass(frozen=True, slots=True)
class Capacity:
    """What is free on a data centre's workers, told by its leader."""

    processors: float
    memory_bytes: float
    accelerators: float
    queued_tasks: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """All that members tell each other.

    Attributes:
        clock: The sender's own clock, in seconds.
    """

    member_id: str
    incarnation: int
    role: str
    data_centre: str
    vm: str
    rpc_address: str
    http_address: str
    state: str
    configuration_version: int
    groups: list[GroupView] = field(default_factory=list)
    announcements: list[Announcement] = field(default_factory=list)
    loads: list[ServiceLoad] = field(default_factory=list)
    capacities: list[Capacity] = field(default_factory=list)
    clock: float = 0


@dataclass(frozen=True, slots=True)
class ConfigurationRequest:
    """Asks for a configuration newer than the known one."""

    known_version: int


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The version in force at the answering member, with its document."""

    version: int
    document: bytes


Request: TypeAlias = (
    HelloRequest
    | VoteRequest
    | AppendRequest
    | SnapshotRequest
    | TakeOverRequest
    | ExecuteRequest
    | Heartbeat
    | ConfigurationRequest
)
Reply: TypeAlias = (
    HelloReply
    | VoteReply
    | AppendReply
    | SnapshotReply
    | TakeOverReply
    | ExecuteReply
    | Heartbeat
    | ConfigurationReply
)
