"""Replays a data centre's log: no two leases of a task, no overcommit."""

from mulberryhitch.errors import InvariantError, MulberryhitchError
from mulberryhitch.replication.inspection import FolderReport
from mulberryhitch.replication.members import MEMBERS_KIND
from mulberryhitch.replication.state import NOOP_KIND
from mulberryhitch.rpc.messages import LogEntry
from mulberryhitch.scheduler.state import DataCentreState


def audit_log(report: FolderReport) -> str:
    """Replays all entries; returns what is wrong, or nothing.

    Entries after the last committed one are replayed too: they were written
    by a leader, under the same rules.
    """
    state = DataCentreState()
    if report.snapshot is not None:
        try:
            state.restore(report.snapshot.state)
        except MulberryhitchError as error:
            return f'snapshot: {error.what} ({error.where})'
    for entry in report.entries:
        if entry.kind not in {NOOP_KIND, MEMBERS_KIND}:
            broken = _replay(state, entry)
            if broken:
                return broken
    return ''


def _replay(state: DataCentreState, entry: LogEntry) -> str:
    try:
        state.apply(entry)
    except InvariantError as broken:
        return f'entry {entry.index}: {broken.what} ({broken.where})'
    except MulberryhitchError:
        return ''
    return ''
