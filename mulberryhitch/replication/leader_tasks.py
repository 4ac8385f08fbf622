"""What a leader does beside replicating its log."""

from collections.abc import Awaitable, Callable

import anyio

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.disk_watch import DiskWatch
from mulberryhitch.replication.hello_records import HelloRecords
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.reconciler import MembershipReconciler
from mulberryhitch.replication.state import ReplicaState
from mulberryhitch.replication.unanswered_votes import UnansweredVotes


class LeaderTasks:
    """Keeps the members complete, and watches the disk, during a leadership.

    Args:
        state: The replica's state.
        transport: Carries calls to the other replicas.
        options: Timing settings.
        hello_records: Which replicas have announced themselves.
        unanswered: Which voters have not answered this replica's elections.
        target_voters: Number of voters in a complete group.
        log: Receives the changes.
        transfer: Transfers the leadership to another voter.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        transport: Transport,
        options: ReplicationOptions,
        hello_records: HelloRecords,
        unanswered: UnansweredVotes,
        target_voters: int,
        log: Log,
        transfer: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialises the tasks; :meth:`run` starts them."""
        self._state = state
        self._transport = transport
        self._options = options
        self._hello_records = hello_records
        self._unanswered = unanswered
        self._target_voters = target_voters
        self._log = log
        self._transfer = transfer

    async def run(self, leadership: Leadership) -> None:
        """Runs the tasks of one leadership until cancelled."""
        reconciler = MembershipReconciler(
            self._state,
            leadership,
            self._options,
            self._transport,
            self._hello_records,
            self._silent_since(),
            self._target_voters,
            self._log,
        )
        disk_watch = DiskWatch(
            self._state.group,
            leadership,
            self._options,
            self._log,
            self._transfer,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(reconciler.run)
            tasks.start_soon(disk_watch.run)

    def _silent_since(self) -> dict[str, float]:
        """Returns since when members have not answered, in seconds."""
        silent_since = dict(self._hello_records.silent_since)
        now = self._options.now()
        for voter, seconds in self._unanswered.silent_seconds.items():
            requested_at = now - seconds
            silent_since[voter] = min(
                silent_since.get(voter, requested_at), requested_at
            )
        return silent_since
