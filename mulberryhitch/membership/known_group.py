"""What this process's own replica knows of its group."""

from dataclasses import dataclass

_SECONDS_DIGITS = 1


@dataclass(frozen=True, slots=True)
class ElectionView:
    """The newest election of a replica, if no leader was heard from since.

    Attributes:
        voters: Number of voters that were asked, with the replica itself.
        granted: Number of voters that granted their votes.
        refusals: The reasons of those that answered with a refusal, by VM.
        missing_vms: The VMs of the voters that did not answer.
        obstacle: What kept the replica from voting for itself after its last
            pre-vote was won; empty if nothing did.
    """

    voters: int
    granted: int
    refusals: dict[str, str]
    missing_vms: tuple[str, ...]
    obstacle: str = ''

    @property
    def statement(self) -> str:
        """One clause that says how many voters answered."""
        answered = self.voters - len(self.missing_vms)
        statement = f'{answered} of {self.voters} voters answered the election'
        if answered <= self.voters // 2:
            return statement
        statement = f'{statement}, {self.granted} for this VM'
        return f'{statement}, {self.obstacle}' if self.obstacle else statement

    def log_fields(self) -> dict[str, object]:
        """Returns who did not vote for the replica, as fields of a line."""
        refused = {'refused': self.refusals} if self.refusals else {}
        return {'missing': list(self.missing_vms), **refused}


@dataclass(frozen=True, slots=True)
class ReplicaView:
    """What a replica knows of its group's leader and voters.

    Attributes:
        vm: The VM of the replica.
        leads: Whether it leads, with or without a lease.
        has_authority: Whether it leads, and may act as the leader.
        term: The highest term that it knows.
        voter_vms: The VMs of the voters in its log.
        last_leader_vm: The VM of the last leader; empty if it knew none.
        leaderless_seconds: Time since it last heard from a leader or, if it
            never did, since it started; zero while it waits for its leader.
        election: Its newest election.
    """

    vm: str
    leads: bool
    has_authority: bool
    term: int
    voter_vms: tuple[str, ...]
    last_leader_vm: str
    leaderless_seconds: float
    election: ElectionView | None

    @property
    def leader_vm(self) -> str:
        """The VM of the present leader; empty if there is none."""
        if self.leads or not self.leaderless_seconds:
            return self.last_leader_vm
        return ''

    @property
    def statement(self) -> str:
        """One clause that says who leads, or why nobody does."""
        if self.leader_vm:
            return self._leader_statement
        if not self.voter_vms:
            return 'this VM knows no voters'
        if self.election is not None:
            return self.election.statement
        if self.vm not in self.voter_vms:
            return f'this VM is no voter, {self._end_statement}'
        return self._end_statement

    def log_fields(self) -> dict[str, object]:
        """Returns the view as short fields of a log line."""
        fields: dict[str, object] = {
            'term': self.term,
            'leaderless': round(self.leaderless_seconds, _SECONDS_DIGITS),
        }
        if self.election is None:
            return {**fields, 'voters': list(self.voter_vms)}
        return {**fields, **self.election.log_fields()}

    @property
    def _leader_statement(self) -> str:
        if not self.leads:
            return f'{self.leader_vm} leads'
        if self.has_authority:
            return 'this VM leads'
        return 'this VM leads, not confirmed by a majority'

    @property
    def _end_statement(self) -> str:
        seconds = round(self.leaderless_seconds, _SECONDS_DIGITS)
        if self.last_leader_vm:
            return f'{self.last_leader_vm} led until {seconds} s ago'
        return f'no leader since the start {seconds} s ago'


@dataclass(frozen=True, slots=True)
class KnownGroup:
    """What this process knows of its group without a call.

    Attributes:
        leader_vm: The VM of the present leader; empty if it knows none.
        member_vms: The VMs of the members in its log.
        replica: What its own replica knows; ``None`` if it has none.
    """

    leader_vm: str = ''
    member_vms: tuple[str, ...] = ()
    replica: ReplicaView | None = None
