"""Log lines that show who holds which entries, and why members change."""

import math
from dataclasses import dataclass

import anyio

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.election import ElectionResult
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.members import MEMBERS_KIND, Members
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.rpc.messages import LogEntry

_ELECTION_LINE_SECONDS = 0.5
_SAME_ELECTION_LINE_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class _ElectionAnswers:
    """The answers of an election, apart from the times that they took."""

    event: str
    term: int
    granted: frozenset[str]
    refused: frozenset[tuple[str, str]]
    failures: frozenset[tuple[str, str]]

    @classmethod
    def of(
        cls, event: str, term: int, result: ElectionResult
    ) -> '_ElectionAnswers':
        return cls(
            event,
            term,
            frozenset(result.granted),
            frozenset(result.refused.items()),
            frozenset(result.failures.items()),
        )


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
        self._election_line_at = -math.inf
        self._reported_result: _ElectionAnswers | None = None
        self._unreported_elections = 0

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
            **self._stored_sizes(),
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

        Elections that follow one another quickly, or have the same answers as
        the last one that was logged, are only counted for some time.
        """
        event = 'replica.pre_vote_failed' if pre_vote else 'replica.vote_failed'
        answers = _ElectionAnswers.of(event, term, result)
        now = anyio.current_time()
        is_same = answers == self._reported_result
        pause = (
            _SAME_ELECTION_LINE_SECONDS if is_same else _ELECTION_LINE_SECONDS
        )
        if now < self._election_line_at + pause:
            self._unreported_elections += 1
            self._log.count(event)
            return
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
            left_out=self._unreported_elections,
        )
        self._election_line_at = now
        self._reported_result = answers
        self._unreported_elections = 0

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
            **self._stored_sizes(),
            synced=leadership.synced_indexes(),
            silent_seconds=leadership.silent_seconds(),
        )

    def _stored_sizes(self) -> dict[str, int]:
        storage = self._state.storage
        return {
            'log_bytes': storage.log_bytes,
            'snapshot_bytes': storage.snapshot_bytes,
        }
