"""A client of the request ledgers in all data centres."""

from mulberryhitch.errors import (
    MulberryhitchError,
    NoQuorumError,
    OutcomeUnknownError,
)
from mulberryhitch.membership.leader_client import LeaderClient
from mulberryhitch.observability.log import Log
from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.scheduler import operations as ops

_RECORD_TIMEOUT_SECONDS = 5.0
_RETRY_AFTER_SECONDS = 5.0


class LeaderLedgerClient:
    """Records non-idempotent requests at the leader of their home group.

    Args:
        leader_client: Executes operations at the leaders.
        log: Receives failures to record the end of a request.
    """

    def __init__(self, leader_client: LeaderClient, log: Log) -> None:
        """Initialises the client."""
        self._leader_client = leader_client
        self._log = log

    async def begin(
        self, home: str, entry: LedgerEntry, timeout_seconds: float
    ) -> LedgerEntry:
        """Records an intent, or returns the existing entry of its key.

        Raises:
            NoQuorumError: The home group did not confirm the intent; the
                request must not be sent.
            ConflictError: The key was used for a different request.
            OverloadedError: The ledger is full.
        """
        try:
            recorded: LedgerEntry = await self._leader_client.execute(
                home, ops.BeginRequest(entry), LedgerEntry, timeout_seconds
            )
        except OutcomeUnknownError as error:
            await self.release(home, entry)
            raise NoQuorumError(
                'the ledger did not confirm the request',
                where=home,
                retry_after_seconds=_RETRY_AFTER_SECONDS,
            ) from error
        return recorded

    async def finish(
        self, home: str, entry: LedgerEntry, response: StoredResponse
    ) -> None:
        """Stores a response; a failure to store it is logged."""
        await self._record(
            home,
            ops.FinishRequest(
                entry.tenant, entry.key, entry.request_id, response
            ),
        )

    async def release(self, home: str, entry: LedgerEntry) -> None:
        """Removes a request that did not run; a failure is logged."""
        await self._record(
            home, ops.ReleaseRequest(entry.tenant, entry.key, entry.request_id)
        )

    async def mark_unknown(self, home: str, entry: LedgerEntry) -> None:
        """Marks the outcome as unknown; a failure to do so is logged."""
        await self._record(
            home, ops.GiveUpRequest(entry.tenant, entry.key, entry.request_id)
        )

    async def _record(self, home: str, operation: object) -> None:
        try:
            await self._leader_client.execute(
                home, operation, ops.Done, _RECORD_TIMEOUT_SECONDS
            )
        except MulberryhitchError as error:
            self._log.problem('ledger.not_recorded', error.problem)
