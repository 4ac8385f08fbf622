"""Replays a data centre's log and checks its invariants.

A task must never have two leases, and no worker may be overcommitted.
"""

from mulberryhitch.errors import InvariantError, MulberryhitchError
from mulberryhitch.replication.inspection import FolderReport
from mulberryhitch.replication.members import MEMBERS_KIND
from mulberryhitch.replication.state import NOOP_KIND
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.scheduler.state import DataCentreState


def audit_log(report: FolderReport) -> str:
    """Replays all entries and returns the first violation, or ``''``.

    Uncommitted entries are replayed too: a leader wrote them under the same
    rules. A rejected command changes nothing and is not a violation.
    """
    state = DataCentreState()
    if report.snapshot is not None:
        try:
            state.restore(report.snapshot.state)
        except MulberryhitchError as error:
            return f'snapshot: {error.what} ({error.where})'
    for entry in report.entries:
        if entry.kind not in {NOOP_KIND, MEMBERS_KIND}:
            violation = _replay_entry(state, entry)
            if violation:
                return violation
    return ''


def _replay_entry(state: DataCentreState, entry: LogEntry) -> str:
    try:
        state.apply(entry)
    except InvariantError as violation:
        return f'entry {entry.index}: {violation.what} ({violation.where})'
    except MulberryhitchError:
        return ''
    return ''
