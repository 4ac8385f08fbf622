"""What a leader does besides replication, while its leadership lasts."""

from collections.abc import Awaitable, Callable

import anyio

from mulberryhitch.observability.log import Log
from mulberryhitch.replication.disk_watch import DiskWatch
from mulberryhitch.replication.hello_records import HelloRecords
from mulberryhitch.replication.interfaces import Transport
from mulberryhitch.replication.leadership import Leadership
from mulberryhitch.replication.options import ReplicationOptions
from mulberryhitch.replication.reconciler import MembershipReconciler
from mulberryhitch.replication.silence_reporter import SilenceReporter
from mulberryhitch.replication.state import ReplicaState


class LeaderTasks:
    """Keeps the members complete, and watches the leader's disk.

    Args:
        state: The leader's state.
        transport: Carries calls to the other replicas.
        leadership: The leadership that commits changes of the members.
        options: Timing settings.
        hello_records: What the other replicas have told.
        target_voters: Number of voters in a complete group.
        log: Receives the events.
        hand_over: Hands the leadership over.
    """

    def __init__(  # noqa: WPS211
        self,
        state: ReplicaState,
        transport: Transport,
        leadership: Leadership,
        options: ReplicationOptions,
        hello_records: HelloRecords,
        target_voters: int,
        log: Log,
        hand_over: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialises the tasks; :meth:`run` starts them."""
        self._reconciler = MembershipReconciler(
            state, leadership, options, hello_records, target_voters, log
        )
        self._silence_reporter = SilenceReporter(
            state, transport, options, self._reconciler
        )
        self._disk_watch = DiskWatch(
            state.group, leadership, options, log, hand_over
        )

    async def run(self) -> None:
        """Runs the tasks until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._reconciler.run)
            tasks.start_soon(self._silence_reporter.run)
            tasks.start_soon(self._disk_watch.run)
