"""Log lines that show who holds which entries, and why members change."""

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import LogEntry


class ReplicationReporter:
    """Logs the state of a replica, and of its group while it leads.

    Args:
        state: The replica's state.
        log: Receives the lines.
    """

    def __init__(self, state: ReplicaState, log: Log) -> None:
        """Initialises the reporter."""
        self._state = state
        self._log = log

    def report_loaded(self) -> None:
        """Logs what the replica's disk held when the replica started."""
        state = self._state
        self._log.event(
            'replica.loaded',
            group=state.group,
            replica=state.replica_id,
            term=state.term,
            last_term=state.last_term,
            last_index=state.last_index,
            snapshot_index=state.snapshot_index,
            voters=list(state.members.voters),
        )

    def report_vote(self, candidate: str) -> None:
        """Logs a vote that has been stored."""
        self._log.event(
            'replica.voted',
            group=self._state.group,
            term=self._state.term,
            candidate=candidate,
            last_index=self._state.last_index,
        )

    def report_applied(self, entry: LogEntry) -> None:
        """Logs a committed change of the members; ignores other entries."""
        if entry.kind != MEMBERS_KIND:
            return
        members = Members.decode(entry.body)
        self._log.event(
            'replica.members',
            group=self._state.group,
            term=entry.term,
            index=entry.index,
            voters=list(members.voters),
            learners=list(members.learners),
        )

    def report_status(self, leadership: Leadership) -> None:
        """Logs which entries each member of the group has synced."""
        self._log.summary(
            'replica.status',
            group=self._state.group,
            term=leadership.term,
            commit_index=self._state.commit_index,
            last_index=self._state.last_index,
            synced=leadership.synced_indexes(),
            silent_seconds=leadership.silent_seconds(),
        )
