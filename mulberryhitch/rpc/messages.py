"""RPC messages and stored records as data classes.

Each has the same name and fields as its struct in ``mulberryhitch.thrift``.
"""

from dataclasses import dataclass, field
from typing import TypeAlias


@dataclass(frozen=True, slots=True)
class CallHeader:
    """The caller's member id and its remaining timeout."""

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
    """Sends a replica's identity and requests the receiver's.

    Attributes:
        retiring: Whether the sender's process is about to end.
        silent_ids: The members that don't answer, if the sender leads.
        silent_seconds: For how long each of them has not answered.
        data_centre: The sender's; empty if unknown.
    """

    group: str
    replica_id: str
    configured: bool
    retiring: bool = False
    silent_ids: list[str] = field(default_factory=list)
    silent_seconds: list[float] = field(default_factory=list)
    data_centre: str = ''


@dataclass(frozen=True, slots=True)
class HelloReply:
    """The receiver's identity and its view of the group's members.

    Attributes:
        data_centre: The receiver's; empty if unknown.
    """

    replica_id: str
    configured: bool
    voters: list[str]
    learners: list[str]
    last_index: int
    data_centre: str = ''


@dataclass(frozen=True, slots=True)
class VoteRequest:
    """Requests a vote or a pre-vote.

    Attributes:
        transfer: Whether the leader requested this election.
        election_seconds: Time that the candidate needs to begin its term, in
            which the voter helps no other; 0 for the configured time.
    """

    group: str
    target: str
    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool
    election_seconds: float = 0


@dataclass(frozen=True, slots=True)
class VoteReply:
    """Whether the vote is granted, and the voter's term.

    Attributes:
        reason: Why it is not granted, for the candidate's log; may be empty.
    """

    term: int
    granted: bool
    reason: str = ''


@dataclass(frozen=True, slots=True)
class AppendRequest:
    """Entries to append to a follower's log; without entries, a heartbeat.

    Attributes:
        election_seconds: The term's present election time, which the follower
            is to promise; 0 for the configured time.
        lease_epoch: How often the leader has shortened its election time. With
            each new epoch it relies on no longer promise given before.
    """

    group: str
    target: str
    term: int
    leader: str
    previous_index: int
    previous_term: int
    commit_index: int
    entries: list[LogEntry] = field(default_factory=list)
    election_seconds: float = 0
    lease_epoch: int = 0


@dataclass(frozen=True, slots=True)
class AppendReply:
    """Result of an append.

    Attributes:
        term: The follower's term.
        success: Whether the log matched at the previous index.
        last_index: On success, the last index that is synced and matches
            the leader's log; otherwise the previous index to retry with.
        promised_seconds: Time in which the follower votes for no other; 0 for
            the configured time.
        is_room_short: Whether the follower's disk refuses ordinary entries.
    """

    term: int
    success: bool
    last_index: int
    promised_seconds: float = 0
    is_room_short: bool = False


@dataclass(frozen=True, slots=True)
class SnapshotRequest:
    """A chunk of a snapshot, sent to a follower that is too far behind."""

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
    """The follower's term and the offset of the next chunk."""

    term: int
    next_offset: int


@dataclass(frozen=True, slots=True)
class TakeOverRequest:
    """Requests that a caught-up voter start an election immediately."""

    group: str
    target: str
    term: int


@dataclass(frozen=True, slots=True)
class TakeOverReply:
    """Whether the voter starts an election."""

    accepted: bool


@dataclass(frozen=True, slots=True)
class VoteRecord:
    """A replica's term and vote, as stored on disk.

    Attributes:
        promised_seconds: The longest time for which the replica may have
            promised a leader to vote for no other; 0 for the configured time.
    """

    term: int
    voted_for: str
    promised_seconds: float = 0


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """A snapshot, as stored on disk."""

    last_index: int
    last_term: int
    voters: list[str]
    learners: list[str]
    state: bytes


@dataclass(frozen=True, slots=True)
class IdentityRecord:
    """A replica's identity, as stored on disk."""

    replica_id: str


@dataclass(frozen=True, slots=True)
class ExecuteRequest:
    """An operation for the leader of a group."""

    group: str
    name: str
    body: bytes


@dataclass(frozen=True, slots=True)
class ExecuteReply:
    """The operation's result."""

    body: bytes


@dataclass(frozen=True, slots=True)
class GroupView:
    """A group's leader and term, as last known to a member."""

    group: str
    term: int
    leader: str


@dataclass(frozen=True, slots=True)
class Announcement:
    """A backend server's announcement of its state.

    Attributes:
        owner: Member that may use the server's slots; may be empty.
        owner_anchor: The owner's clock in the heartbeat from which its lease is
            counted, in seconds.
        incarnation: Increases with each start of the server.
        sequence: Increases with each announcement of one incarnation.
        age_seconds: Time since the sender received the announcement.
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
    """Free slots and queued requests of a member for a service."""

    service_name: str
    free_slots: int
    queued: int


@dataclass(frozen=True, slots=True)
class Capacity:
    """Free capacity of a data centre's workers, reported by its leader.

    Attributes:
        processors: Free processors, in millicores.
        memory_bytes: Free memory, in mebibytes despite the name.
    """

    processors: float
    memory_bytes: float
    accelerators: float
    queued_tasks: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that members exchange periodically.

    Attributes:
        clock: The sender's clock, in seconds.
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
    """Requests a configuration newer than the known one."""

    known_version: int


@dataclass(frozen=True, slots=True)
class ConfigurationReply:
    """The receiver's active configuration version and document."""

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
