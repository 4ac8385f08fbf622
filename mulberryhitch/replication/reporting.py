"""Log lines that show who holds which entries, and why members change."""

import anyio

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.election import ElectionResult
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import LogEntry

_ELECTION_LINE_SECONDS = 0.5


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
        self._next_election_line_at = float()

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

    def report_failed_election(
        self, term: int, result: ElectionResult, *, pre_vote: bool
    ) -> None:
        """Logs who did not vote for this replica, and counts the election.

        Elections that follow one another quickly are only counted.
        """
        event = 'replica.pre_vote_failed' if pre_vote else 'replica.vote_failed'
        now = anyio.current_time()
        if now < self._next_election_line_at:
            self._log.count(event)
            return
        self._next_election_line_at = now + _ELECTION_LINE_SECONDS
        answered = {*result.granted, *result.refused, *result.failures}
        self._log.event(
            event,
            group=self._state.group,
            term=term,
            seconds=round(result.seconds, 3),
            granted=sorted(result.granted),
            refused=result.refused,
            failures=result.failures,
            unanswered=sorted(set(self._state.members.voters) - answered),
        )

    def report_leads_no_more(self, leadership: Leadership) -> None:
        """Logs why a leadership ended, and counts the reason."""
        reason = leadership.end_reason.value
        self._log.count(f'replica.leads_no_more.{reason}')
        self._log.event(
            'replica.leads_no_more',
            group=self._state.group,
            term=leadership.term,
            reason=reason,
            ready=leadership.ready,
            silent_seconds=leadership.silent_seconds(),
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
