"""Reaches the ledgers of all data centres."""

from mulberryhitch.errors import (
    MulberryhitchError,
    NoQuorumError,
    OutcomeUnknownError,
)
from mulberryhitch.membership.leaders import Leaders
from mulberryhitch.observability.log import Log
from mulberryhitch.requests.ledger import LedgerEntry, StoredResponse
from mulberryhitch.scheduler import operations as ops

_RECORD_SECONDS = 5.0
_RETRY_AFTER_SECONDS = 5.0


class LeaderLedgerClient:
    """Keeps non-idempotent requests at their home's leader.

    Args:
        leaders: Finds the leaders.
        log: Where failures to record an end are written.
    """

    def __init__(self, leaders: Leaders, log: Log) -> None:
        """Keeps nothing itself."""
        self._leaders = leaders
        self._log = log

    async def begin(
        self, home: str, entry: LedgerEntry, timeout_seconds: float
    ) -> LedgerEntry:
        """Keeps an intent, or returns what is known of its key.

        Raises:
            NoQuorumError: The home can't confirm it; nothing may be sent.
            ConflictError: The key was used for another request.
        """
        try:
            recorded: LedgerEntry = await self._leaders.execute(
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
        """Keeps an answer; if it can't be kept, the log says so."""
        await self._record(
            home,
            ops.FinishRequest(
                entry.tenant, entry.key, entry.request_id, response
            ),
        )

    async def release(self, home: str, entry: LedgerEntry) -> None:
        """Forgets a request that did not run."""
        await self._record(
            home, ops.ReleaseRequest(entry.tenant, entry.key, entry.request_id)
        )

    async def mark_unknown(self, home: str, entry: LedgerEntry) -> None:
        """Notes that the outcome stays unknown."""
        await self._record(
            home, ops.GiveUpRequest(entry.tenant, entry.key, entry.request_id)
        )

    async def _record(self, home: str, operation: object) -> None:
        try:
            await self._leaders.execute(
                home, operation, ops.Done, _RECORD_SECONDS
            )
        except MulberryhitchError as error:
            self._log.problem('ledger.not_recorded', error.problem)
